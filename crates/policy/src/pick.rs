//! The replica for one attempt: two random choices by in-flight count, latency and state.

use std::time::Duration;
use std::time::SystemTime;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::SnapshotPin;

use crate::serving_view::ReplicaUse;
use crate::serving_view::ReplicaView;
use crate::serving_view::ShardView;

/// Factor by which a replica of another failure domain must be cheaper than the one in the own domain. Estimates
/// vary by less than this between equal targets, so equal targets do not attract traffic over the link.
const REMOTE_MARGIN: u32 = 2;

/// Latency of a target without samples in a shard without samples.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(10);

/// When a lost target that is due for a probe is picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeRule {
    /// Before all others, so that it is probed even when others are free.
    First,
    /// Only when no other replica is usable.
    Last,
    /// Not at all.
    Never,
}

/// What is asked of a replica.
#[derive(Clone, Copy, Debug)]
pub struct PickRule<'a> {
    /// Kind of the call.
    pub kind: RouteKind,
    /// Priority class of the route.
    pub class: u8,
    /// Snapshot and shard map that the replica must hold.
    pub pin: SnapshotPin,
    /// Indexes of replicas that are not picked.
    pub tried: &'a [usize],
    /// When lost targets are probed.
    pub probe: ProbeRule,
    /// Any replica at random, without limits.
    pub baseline: bool,
}

/// Why no replica was picked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PickFailure {
    /// None is left that takes new work.
    NoReplica,
    /// None that takes new work holds the snapshot.
    SnapshotMissing,
    /// All that hold the snapshot are lost and not due for a probe.
    Lost,
    /// This host has no share of those that hold the snapshot.
    NoShare,
    /// All that hold the snapshot are at their limits.
    Busy,
}

/// Picks a replica and begins a request at it; the caller ends it with `TargetState::end`.
pub fn pick(
    shard: &ShardView,
    rule: &PickRule<'_>,
    now: Duration,
    wall: SystemTime,
    rng: &mut ChaCha8Rng,
) -> Result<usize, PickFailure> {
    if rule.baseline {
        return pick_any(shard, rule, now, rng);
    }
    let mut home = TwoChoices::default();
    let mut remote = TwoChoices::default();
    let mut held_back = TwoChoices::default();
    let mut probe = None;
    let mut failure = PickFailure::NoReplica;
    for (index, replica) in shard.replicas.iter().enumerate() {
        if rule.tried.contains(&index) {
            continue;
        }
        match replica.usability(rule.pin, now) {
            ReplicaUse::Usable if !replica.draws_share(wall, rng) => held_back.offer(index, rng),
            ReplicaUse::Usable if replica.is_home => home.offer(index, rng),
            ReplicaUse::Usable => remote.offer(index, rng),
            ReplicaUse::ProbeDue => probe = Some(index),
            ReplicaUse::Busy => failure = failure.max(PickFailure::Busy),
            ReplicaUse::NoShare => failure = failure.max(PickFailure::NoShare),
            ReplicaUse::Lost => failure = failure.max(PickFailure::Lost),
            ReplicaUse::SnapshotMissing => failure = failure.max(PickFailure::SnapshotMissing),
            ReplicaUse::Out => {}
        }
    }
    if rule.probe == ProbeRule::First
        && let Some(index) = probe
        && begin_probe(&shard.replicas[index], rule.class, now)
    {
        return Ok(index);
    }
    if failure == PickFailure::Busy {
        // Others are free again soon; taking a returning domain's replica now would be over its share.
        held_back = TwoChoices::default();
    }
    let usual = shard.windows.get(rule.kind).median().unwrap_or(UNKNOWN_LATENCY);
    let cost = |index: usize| expected_cost(&shard.replicas[index], rule.kind, usual, now);
    for index in by_cost(&home, &remote, &held_back, cost).into_iter().flatten() {
        if shard.replicas[index].target.try_start(rule.class, now) {
            return Ok(index);
        }
        failure = PickFailure::Busy;
    }
    if let Some(index) = probe.filter(|_| rule.probe != ProbeRule::Never) {
        if begin_probe(&shard.replicas[index], rule.class, now) {
            return Ok(index);
        }
        failure = failure.max(PickFailure::Lost);
    }
    Err(failure)
}

/// Time that an attempt at the replica is expected to take now.
pub fn expected_cost(
    replica: &ReplicaView,
    kind: RouteKind,
    usual: Duration,
    now: Duration,
) -> Duration {
    let ahead = replica.target.in_flight().saturating_add(1);
    replica.target.latency(kind, usual, now).saturating_mul(ahead) + replica.round_trip
}

fn begin_probe(replica: &ReplicaView, class: u8, now: Duration) -> bool {
    !replica.target.is_at_limit()
        && replica.target.claim_probe(now)
        && replica.target.try_start(class, now)
}

/// Up to four candidates, cheapest first; replicas held back by their domain's ramp only when there are no others.
fn by_cost(
    home: &TwoChoices,
    remote: &TwoChoices,
    held_back: &TwoChoices,
    cost: impl Copy + Fn(usize) -> Duration,
) -> [Option<usize>; 4] {
    let near = home.ordered(cost);
    let far = remote.ordered(cost);
    match (near[0], far[0]) {
        (None, None) => {
            let rest = held_back.ordered(cost);
            [rest[0], rest[1], None, None]
        }
        (Some(first), Some(other)) if cost(other) * REMOTE_MARGIN < cost(first) => {
            [far[0], near[0], near[1], far[1]]
        }
        _ => [near[0], near[1], far[0], far[1]],
    }
}

/// Two candidates drawn uniformly from all that are offered.
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

fn pick_any(
    shard: &ShardView,
    rule: &PickRule<'_>,
    now: Duration,
    rng: &mut ChaCha8Rng,
) -> Result<usize, PickFailure> {
    let holds = |index: &usize| {
        let replica = &shard.replicas[*index];
        !matches!(replica.usability(rule.pin, now), ReplicaUse::Out | ReplicaUse::SnapshotMissing)
    };
    let all: Vec<_> = (0..shard.replicas.len()).filter(holds).collect();
    if all.is_empty() {
        return Err(PickFailure::NoReplica);
    }
    let index = all[rng.random_range(0..all.len())];
    shard.replicas[index].target.start_unlimited();
    Ok(index)
}
