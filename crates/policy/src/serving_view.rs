//! Immutable runtime view of a configuration: routes, pools, shard maps, shards and replicas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::contract::TargetContract;
use vanillapick_model::failure_domain::DomainState;
use vanillapick_model::pool::PoolId;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::route::RouteRow;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::ShardMapId;
use vanillapick_model::snapshot::SnapshotPin;
use vanillapick_model::table::ConfigRevision;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::target::TargetEntry;
use vanillapick_model::target::TargetId;

use crate::hedge::LatencyWindow;
use crate::host_state::HostProfile;
use crate::per_kind::PerKind;
use crate::target_state::TargetState;

/// Replica of a shard.
#[derive(Debug)]
pub struct ReplicaView {
    /// Configuration of the target.
    pub entry: TargetEntry,
    /// Runtime state of the target, shared with other views.
    pub target: Arc<TargetState>,
    /// Recent latency across all shards of the pool, by kind of call.
    pub pool_windows: Arc<PerKind<LatencyWindow>>,
    /// Operator-controlled state of the target's failure domain in this pool.
    pub domain_state: DomainState,
    /// Network round-trip time from this host to the target's failure domain.
    pub round_trip: Duration,
    /// Whether the target is in this host's failure domain.
    pub is_local: bool,
    /// Whether limits and lost targets are ignored, as in the baseline.
    pub is_baseline: bool,
}

/// Whether a replica can receive an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaUsability {
    /// The replica can receive an attempt.
    Usable,
    /// The target is at its limits or sheds load.
    Busy,
    /// This host's share of the target's capacity is 0.
    NoShare,
    /// The target is lost and due for a probe.
    ProbeDue,
    /// The target is lost and not due for a probe.
    Lost,
    /// The target serves the shard, but does not have the snapshot.
    SnapshotMissing,
    /// The target is leaving, draining, in a domain that is out, or does not serve the shard.
    Out,
}

impl ReplicaView {
    /// Returns whether the replica accepts new work for any snapshot, immediately or once another attempt has ended.
    pub fn is_in_service(&self, now: Duration) -> bool {
        if self.is_baseline {
            return !self.is_out();
        }
        let lost = self.target.is_lost() && !self.target.is_probe_due(now);
        !lost && !self.is_out() && 0 < self.target.limit()
    }

    /// Returns whether the replica accepts no new work because it is leaving, draining or in a domain that is out.
    pub fn is_out(&self) -> bool {
        self.target.is_retired() || self.target.is_draining()
    }

    /// Returns whether the replica can receive an attempt at `pin`.
    pub fn usability(&self, pin: SnapshotPin, now: Duration) -> ReplicaUsability {
        if self.is_out() {
            return ReplicaUsability::Out;
        }
        let marks = self.target.marks();
        let Some(marks) = marks.as_ref() else { return ReplicaUsability::Out };
        if marks.shard_map != pin.shard_map || marks.shard != self.entry.shard {
            return ReplicaUsability::Out;
        }
        let holds = marks.snapshots.contains(&pin.snapshot);
        if !holds && !self.target.may_hold_snapshot(pin.snapshot, now) {
            return ReplicaUsability::SnapshotMissing;
        }
        if self.target.is_lost() && 0 < self.target.limit() {
            let due = self.target.is_probe_due(now);
            return if due { ReplicaUsability::ProbeDue } else { ReplicaUsability::Lost };
        }
        if self.target.limit() == 0 {
            return ReplicaUsability::NoShare;
        }
        let waits = self.target.is_at_limit() || self.target.is_shedding(now);
        if waits { ReplicaUsability::Busy } else { ReplicaUsability::Usable }
    }

    /// Randomly decides whether an attempt falls within the share of the replica's failure domain.
    pub fn sample_domain_share(&self, wall: SystemTime, rng: &mut ChaCha8Rng) -> bool {
        match self.domain_state {
            DomainState::Serving => true,
            DomainState::Out => false,
            state => rng.random::<f64>() < state.share_at(wall),
        }
    }

    /// Returns whether the configuration excludes the replica from new work.
    pub fn is_withdrawn(&self) -> bool {
        self.entry.leaving || self.domain_state == DomainState::Out
    }
}

/// Shard of a shard map.
#[derive(Debug)]
pub struct ShardView {
    /// Replicas in configuration order.
    pub replicas: Vec<ReplicaView>,
    /// Recent latency of accepted replies, including network time.
    pub windows: Arc<PerKind<LatencyWindow>>,
}

/// Runtime view of a shard map.
#[derive(Debug)]
pub struct ShardMapView {
    pub id: ShardMapId,
    /// Shards in index order; never empty.
    pub shards: Vec<ShardView>,
}

/// Runtime view of a pool.
#[derive(Debug)]
pub struct PoolView {
    /// Unique across the configuration.
    pub name: PoolId,
    /// Capacity of each target.
    pub contract: TargetContract,
    /// Active shard maps, newest first.
    pub maps: Vec<ShardMapView>,
    /// Recent latency across all shards.
    pub windows: Arc<PerKind<LatencyWindow>>,
}

impl PoolView {
    /// Looks up a shard map by id.
    pub fn map(&self, id: ShardMapId) -> Option<&ShardMapView> {
        self.maps.iter().find(|map| map.id == id)
    }

    /// Looks up a shard by shard map and index.
    pub fn shard(&self, map: ShardMapId, shard: ShardIndex) -> Option<&ShardView> {
        self.map(map)?.shards.get(shard as usize)
    }
}

/// Runtime view of a configuration. Immutable except for the atomics in target states and latency windows.
#[derive(Debug, Default)]
pub struct ServingView {
    table: Arc<ConfigTable>,
    pools: HashMap<PoolId, Arc<PoolView>>,
    targets: HashMap<TargetId, Arc<TargetState>>,
}

impl ServingView {
    /// Builds the view of `table` for the host described by `profile`. Targets with the same id and address, and shards
    /// with the same pool and shard map, share their state with `previous`.
    pub fn build(table: Arc<ConfigTable>, profile: &HostProfile, previous: &Self) -> Self {
        let mut targets = HashMap::new();
        let mut pools = HashMap::new();
        for row in table.pools.values() {
            let pool = build_pool(row, profile, previous, &mut targets);
            pools.insert(row.name.clone(), Arc::new(pool));
        }
        Self { table, pools, targets }
    }

    /// Returns the configuration revision, or 0 before the first configuration.
    pub fn revision(&self) -> ConfigRevision {
        self.table.revision
    }

    /// Returns the underlying configuration.
    pub fn table(&self) -> &Arc<ConfigTable> {
        &self.table
    }

    /// Looks up a route by name.
    pub fn route(&self, name: &str) -> Option<&RouteRow> {
        self.table.routes.get(name)
    }

    /// Looks up a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Arc<PoolView>> {
        self.pools.get(name)
    }

    /// Returns all pools in arbitrary order.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolView>> {
        self.pools.values()
    }

    /// Looks up the state of a target by id.
    pub fn target(&self, id: &str) -> Option<&Arc<TargetState>> {
        self.targets.get(id)
    }

    /// Looks up the address of a target by id.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.target(id).map(|target| target.address)
    }

    /// Marks withdrawn and removed targets as retired in the target states, which are shared with `previous`. Running
    /// sessions that use the previous view then send nothing more to them.
    pub fn retire_targets(&self, previous: &Self) {
        for (id, target) in &previous.targets {
            let kept = self.target(id).is_some_and(|other| Arc::ptr_eq(other, target));
            if !kept {
                target.set_retired(true);
            }
        }
        let shards = self.pools().flat_map(|pool| &pool.maps).flat_map(|map| &map.shards);
        for replica in shards.flat_map(|shard| &shard.replicas) {
            replica.target.set_retired(replica.is_withdrawn());
        }
    }

    /// Returns the states of all targets in arbitrary order.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<TargetState>> {
        self.targets.values()
    }
}

fn build_pool(
    row: &PoolRow,
    profile: &HostProfile,
    previous: &ServingView,
    targets: &mut HashMap<TargetId, Arc<TargetState>>,
) -> PoolView {
    let before = previous.pool(&row.name);
    let windows: Arc<PerKind<LatencyWindow>> =
        before.map(|pool| pool.windows.clone()).unwrap_or_default();
    let mut maps: Vec<_> = row
        .shard_maps
        .iter()
        .map(|map| ShardMapView {
            id: map.id,
            shards: (0..map.shards)
                .map(|shard| ShardView {
                    replicas: Vec::new(),
                    windows: before
                        .and_then(|pool| pool.shard(map.id, shard))
                        .map(|shard| shard.windows.clone())
                        .unwrap_or_default(),
                })
                .collect(),
        })
        .collect();
    maps.sort_unstable_by_key(|map| std::cmp::Reverse(map.id));
    for entry in &row.targets {
        let kept = previous.target(&entry.id).filter(|target| target.address == entry.address);
        let target = kept.cloned().unwrap_or_else(|| {
            Arc::new(TargetState::new(entry.id.clone(), entry.address, &row.contract))
        });
        targets.insert(entry.id.clone(), target.clone());
        let map = maps.iter_mut().find(|map| map.id == entry.shard_map);
        let Some(shard) = map.and_then(|map| map.shards.get_mut(entry.shard as usize)) else {
            continue;
        };
        shard.replicas.push(ReplicaView {
            entry: entry.clone(),
            target,
            pool_windows: windows.clone(),
            domain_state: row.domain_state(&entry.domain),
            round_trip: profile.round_trip(&entry.domain),
            is_local: profile.domain == entry.domain,
            is_baseline: profile.baseline,
        });
    }
    PoolView { name: row.name.clone(), contract: row.contract.clone(), maps, windows }
}
