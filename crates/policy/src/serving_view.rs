//! The immutable view of one configuration: routes, pools, shard maps, shards and replicas.

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

/// One replica of a shard.
#[derive(Debug)]
pub struct ReplicaView {
    /// Row of the pools table.
    pub entry: TargetEntry,
    /// State of the target, shared with other views.
    pub target: Arc<TargetState>,
    /// Recent latency over all shards of the pool, by kind of call.
    pub pool_windows: Arc<PerKind<LatencyWindow>>,
    /// Whether operators let the failure domain serve the pool.
    pub domain_state: DomainState,
    /// Round trip from this host to the target's failure domain.
    pub round_trip: Duration,
    /// Whether the target stands in this host's failure domain.
    pub is_home: bool,
    /// Whether limits and lost targets are ignored, as the baseline does.
    pub is_baseline: bool,
}

/// Whether a replica takes an attempt now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaUse {
    /// It does.
    Usable,
    /// It is at its limits.
    Busy,
    /// This host's limit at it is 0.
    NoShare,
    /// It is lost and due for a probe.
    ProbeDue,
    /// It is lost.
    Lost,
    /// It serves the shard and does not hold the snapshot.
    SnapshotMissing,
    /// It leaves, drains, stands in a domain that is out, or does not serve the shard.
    Out,
}

impl ReplicaView {
    /// Whether the replica may take new work of any snapshot, now or once an attempt has ended.
    pub fn is_in_service(&self, now: Duration) -> bool {
        if self.is_baseline {
            return !self.is_out();
        }
        let lost = self.target.is_lost() && !self.target.is_probe_due(now);
        !lost && !self.is_out() && 0 < self.target.limit()
    }

    /// Whether the replica takes no new work because it leaves, drains or stands in a domain that is out.
    pub fn is_out(&self) -> bool {
        self.target.is_retired() || self.target.is_draining()
    }

    /// Whether the replica takes an attempt at `pin` now.
    pub fn usability(&self, pin: SnapshotPin, now: Duration) -> ReplicaUse {
        if self.is_out() {
            return ReplicaUse::Out;
        }
        let marks = self.target.marks();
        let Some(marks) = marks.as_ref() else { return ReplicaUse::Out };
        if marks.shard_map != pin.shard_map || marks.shard != self.entry.shard {
            return ReplicaUse::Out;
        }
        let holds = marks.snapshots.contains(&pin.snapshot);
        if !holds && !self.target.may_hold_snapshot(pin.snapshot, now) {
            return ReplicaUse::SnapshotMissing;
        }
        if self.target.is_lost() && 0 < self.target.limit() {
            let due = self.target.is_probe_due(now);
            return if due { ReplicaUse::ProbeDue } else { ReplicaUse::Lost };
        }
        if self.target.limit() == 0 {
            return ReplicaUse::NoShare;
        }
        let waits = self.target.is_at_limit() || self.target.is_shedding(now);
        if waits { ReplicaUse::Busy } else { ReplicaUse::Usable }
    }

    /// Whether the replica takes this attempt as part of its domain's share.
    pub fn draws_share(&self, wall: SystemTime, rng: &mut ChaCha8Rng) -> bool {
        match self.domain_state {
            DomainState::Serving => true,
            DomainState::Out => false,
            state => rng.random::<f64>() < state.share_at(wall),
        }
    }

    /// Whether the tables take the replica out of service for new work.
    pub fn is_withdrawn(&self) -> bool {
        self.entry.leaving || self.domain_state == DomainState::Out
    }
}

/// One shard under one shard map.
#[derive(Debug)]
pub struct ShardView {
    /// Replicas in the order of the table.
    pub replicas: Vec<ReplicaView>,
    /// Recent latency of counted replies, with the time on the link.
    pub windows: Arc<PerKind<LatencyWindow>>,
}

/// One partitioning of a pool's data.
#[derive(Debug)]
pub struct ShardMapView {
    /// Id of the shard map.
    pub id: ShardMapId,
    /// Shards by index; never empty.
    pub shards: Vec<ShardView>,
}

/// One pool.
#[derive(Debug)]
pub struct PoolView {
    /// Name of the pool.
    pub name: PoolId,
    /// Limits of each target.
    pub contract: TargetContract,
    /// Shard maps, newest first.
    pub maps: Vec<ShardMapView>,
    /// Recent latency over all shards.
    pub windows: Arc<PerKind<LatencyWindow>>,
}

impl PoolView {
    /// The shard map with this id.
    pub fn map(&self, id: ShardMapId) -> Option<&ShardMapView> {
        self.maps.iter().find(|map| map.id == id)
    }

    /// One shard under one shard map.
    pub fn shard(&self, map: ShardMapId, shard: ShardIndex) -> Option<&ShardView> {
        self.map(map)?.shards.get(shard as usize)
    }
}

/// One configuration as a host serves it. Immutable but for the atomics in target states and latency windows.
#[derive(Debug, Default)]
pub struct ServingView {
    table: Arc<ConfigTable>,
    pools: HashMap<PoolId, Arc<PoolView>>,
    targets: HashMap<TargetId, Arc<TargetState>>,
}

impl ServingView {
    /// View of `table` for the host of `profile`. Targets with the same id and address, and shards with the same pool
    /// and shard map, keep the state they have in `previous`.
    pub fn build(table: Arc<ConfigTable>, profile: &HostProfile, previous: &Self) -> Self {
        let mut targets = HashMap::new();
        let mut pools = HashMap::new();
        for row in table.pools.values() {
            let pool = build_pool(row, profile, previous, &mut targets);
            pools.insert(row.name.clone(), Arc::new(pool));
        }
        Self { table, pools, targets }
    }

    /// Revision of the configuration; 0 before the first one.
    pub fn revision(&self) -> ConfigRevision {
        self.table.revision
    }

    /// The configuration itself.
    pub fn table(&self) -> &Arc<ConfigTable> {
        &self.table
    }

    /// Row of a route.
    pub fn route(&self, name: &str) -> Option<&RouteRow> {
        self.table.routes.get(name)
    }

    /// One pool.
    pub fn pool(&self, name: &str) -> Option<&Arc<PoolView>> {
        self.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolView>> {
        self.pools.values()
    }

    /// State of one target.
    pub fn target(&self, id: &str) -> Option<&Arc<TargetState>> {
        self.targets.get(id)
    }

    /// Address of one target.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.target(id).map(|target| target.address)
    }

    /// Puts the withdrawals of this view into force in the target states, which `previous` shares.
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

    /// States of all targets.
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
            is_home: profile.domain == entry.domain,
            is_baseline: profile.baseline,
        });
    }
    PoolView { name: row.name.clone(), contract: row.contract.clone(), maps, windows }
}
