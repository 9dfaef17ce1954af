//! Replica selection: the cheaper of two random candidates, based on in-flight requests, latency and target state.

use std::time::Duration;
use std::time::SystemTime;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::SnapshotPin;

use crate::serving_view::ReplicaUsability;
use crate::serving_view::ReplicaView;
use crate::serving_view::ShardView;

/// Minimum cost ratio at which a remote replica is preferred to one in the local failure domain. Latency estimates of
/// equal targets differ by less than this, so equal targets do not attract cross-domain traffic.
const REMOTE_MARGIN: u32 = 2;

/// Assumed latency if neither the target nor its shard has latency samples.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(10);

/// Whether to pick a lost target that is due for a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbePolicy {
    /// Pick it before all other replicas, so that it is probed even if others are available.
    First,
    /// Pick it only if no other replica is usable.
    Last,
    /// Never pick it.
    Never,
}

/// Criteria for selecting a replica.
#[derive(Clone, Copy, Debug)]
pub struct PickCriteria<'a> {
    /// Whether the call is a search, read or write.
    pub kind: RouteKind,
    /// Priority class of the route.
    pub class: u8,
    /// Snapshot and shard map that the replica must have.
    pub pin: SnapshotPin,
    /// Indexes of replicas to exclude.
    pub tried: &'a [usize],
    /// Whether lost targets may be probed.
    pub probe: ProbePolicy,
    /// Picks a random replica and ignores all limits.
    pub baseline: bool,
}

/// Why no replica was picked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PickFailure {
    /// No replica that accepts new work is left.
    NoReplica,
    /// No replica that accepts new work has the snapshot.
    SnapshotMissing,
    /// All replicas with the snapshot are lost and not due for a probe.
    Lost,
    /// This host has no share of the capacity of any replica with the snapshot.
    NoShare,
    /// All replicas with the snapshot are at their limits.
    Busy,
}

/// Picks a replica and counts a request as in flight at its target. The caller must call `TargetState::end` afterwards.
pub fn pick_replica(
    shard: &ShardView,
    criteria: &PickCriteria<'_>,
    now: Duration,
    wall: SystemTime,
    rng: &mut ChaCha8Rng,
) -> Result<usize, PickFailure> {
    if criteria.baseline {
        return pick_baseline(shard, criteria, now, rng);
    }
    let mut local = TwoChoices::default();
    let mut remote = TwoChoices::default();
    let mut ramping = TwoChoices::default();
    let mut probe = None;
    let mut failure = PickFailure::NoReplica;
    for (index, replica) in shard.replicas.iter().enumerate() {
        if criteria.tried.contains(&index) {
            continue;
        }
        match replica.usability(criteria.pin, now) {
            ReplicaUsability::Usable if !replica.sample_domain_share(wall, rng) => {
                ramping.offer(index, rng)
            }
            ReplicaUsability::Usable if replica.is_local => local.offer(index, rng),
            ReplicaUsability::Usable => remote.offer(index, rng),
            ReplicaUsability::ProbeDue => probe = Some(index),
            ReplicaUsability::Busy => failure = failure.max(PickFailure::Busy),
            ReplicaUsability::NoShare => failure = failure.max(PickFailure::NoShare),
            ReplicaUsability::Lost => failure = failure.max(PickFailure::Lost),
            ReplicaUsability::SnapshotMissing => {
                failure = failure.max(PickFailure::SnapshotMissing)
            }
            ReplicaUsability::Out => {}
        }
    }
    if criteria.probe == ProbePolicy::First
        && let Some(index) = probe
        && start_probe(&shard.replicas[index], criteria.class, now)
    {
        return Ok(index);
    }
    if failure == PickFailure::Busy {
        // Busy replicas become available soon, whereas a replica of a returning domain would exceed its share.
        ramping = TwoChoices::default();
    }
    let usual = shard.windows.get(criteria.kind).median().unwrap_or(UNKNOWN_LATENCY);
    let cost = |index: usize| expected_cost(&shard.replicas[index], criteria.kind, usual, now);
    for index in candidates_by_cost(&local, &remote, &ramping, cost).into_iter().flatten() {
        if shard.replicas[index].target.try_start(criteria.class, now) {
            return Ok(index);
        }
        failure = PickFailure::Busy;
    }
    if let Some(index) = probe.filter(|_| criteria.probe != ProbePolicy::Never) {
        if start_probe(&shard.replicas[index], criteria.class, now) {
            return Ok(index);
        }
        failure = failure.max(PickFailure::Lost);
    }
    Err(failure)
}

/// Returns the estimated time that an attempt at the replica would take.
pub fn expected_cost(
    replica: &ReplicaView,
    kind: RouteKind,
    usual: Duration,
    now: Duration,
) -> Duration {
    let ahead = replica.target.in_flight().saturating_add(1);
    replica.target.latency(kind, usual, now).saturating_mul(ahead) + replica.round_trip
}

fn start_probe(replica: &ReplicaView, class: u8, now: Duration) -> bool {
    !replica.target.is_at_limit()
        && replica.target.claim_probe(now)
        && replica.target.try_start(class, now)
}

/// Returns up to four candidates in order of preference. Replicas above the share of their returning domain are used
/// only if there are no others.
fn candidates_by_cost(
    local: &TwoChoices,
    remote: &TwoChoices,
    ramping: &TwoChoices,
    cost: impl Copy + Fn(usize) -> Duration,
) -> [Option<usize>; 4] {
    let local_order = local.ordered(cost);
    let remote_order = remote.ordered(cost);
    match (local_order[0], remote_order[0]) {
        (None, None) => {
            let rest = ramping.ordered(cost);
            [rest[0], rest[1], None, None]
        }
        (Some(first), Some(other)) if cost(other) * REMOTE_MARGIN < cost(first) => {
            [remote_order[0], local_order[0], local_order[1], remote_order[1]]
        }
        _ => [local_order[0], local_order[1], remote_order[0], remote_order[1]],
    }
}

/// Uniform random sample of two candidates (reservoir sampling).
#[derive(Clone, Copy, Debug, Default)]
struct TwoChoices {
    offered: usize,
    kept: [Option<usize>; 2],
}

impl TwoChoices {
    fn offer(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        self.offered += 1;
        if self.offered <= 2 {
            self.kept[self.offered - 1] = Some(index);
            return;
        }
        let place = rng.random_range(0..self.offered);
        if place < 2 {
            self.kept[place] = Some(index);
        }
    }

    fn ordered(&self, cost: impl Fn(usize) -> Duration) -> [Option<usize>; 2] {
        match self.kept {
            [Some(first), Some(second)] if cost(second) < cost(first) => {
                [Some(second), Some(first)]
            }
            kept => kept,
        }
    }
}

fn pick_baseline(
    shard: &ShardView,
    criteria: &PickCriteria<'_>,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> Result<usize, PickFailure> {
    let holds = |index: &usize| {
        let replica = &shard.replicas[*index];
        !matches!(
            replica.usability(criteria.pin, now),
            ReplicaUsability::Out | ReplicaUsability::SnapshotMissing
        )
    };
    let all: Vec<_> = (0..shard.replicas.len()).filter(holds).collect();
    if all.is_empty() {
        return Err(PickFailure::NoReplica);
    }
    let index = all[rng.random_range(0..all.len())];
    shard.replicas[index].target.start_unlimited();
    Ok(index)
}
