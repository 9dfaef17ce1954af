//! Selection of the snapshot that a request is pinned to.

use std::time::Duration;

use vanillapick_model::hash::shard_of_key;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::SnapshotId;
use vanillapick_model::snapshot::SnapshotPin;

use crate::serving_view::PoolView;
use crate::serving_view::ReplicaView;
use crate::serving_view::ShardMapView;
use crate::serving_view::ShardView;

/// Snapshot with its coverage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PinChoice {
    /// Selected shard map and snapshot.
    pub pin: SnapshotPin,
    /// Number of shards with an in-service replica that has the snapshot.
    pub covered: u32,
    /// Number of shards in the shard map.
    pub total: u32,
}

impl PinChoice {
    /// Returns `covered / total`.
    pub fn fraction(&self) -> f64 {
        f64::from(self.covered) / f64::from(self.total.max(1))
    }
}

/// Selects a snapshot for a search. Starting with the newest shard map, the order of preference is:
///
/// 1. the newest snapshot for which every shard has a free replica;
/// 2. the newest snapshot for which every shard has an in-service replica;
/// 3. the newest known snapshot, if every shard has a replica that may have received it by now;
/// 4. the snapshot that covers the largest fraction of shards, or the newest of several.
///
/// Returns `None` if no in-service replica has any snapshot.
///
/// Free replicas take precedence because a snapshot that has reached only one replica of a shard would otherwise direct
/// the entire load of the shard to that replica.
pub fn choose_pin(pool: &PoolView, now: Duration) -> Option<PinChoice> {
    let mut best: Option<PinChoice> = None;
    for map in &pool.maps {
        let Some(choice) = best_pin_of_map(map, now) else { continue };
        if choice.covered == choice.total {
            return Some(choice);
        }
        if best.is_none_or(|best| best.fraction() < choice.fraction()) {
            best = Some(choice);
        }
    }
    best
}

/// Selects a snapshot for the shard that `key` belongs to, or for shard 0 without a key. Uses the newest shard map with
/// an in-service replica of that shard, and the newest snapshot of a free replica if there is one.
pub fn choose_shard_pin(
    pool: &PoolView,
    key: Option<&[u8]>,
    now: Duration,
) -> Option<(SnapshotPin, ShardIndex)> {
    pool.maps.iter().find_map(|map| {
        let total = u32::try_from(map.shards.len()).unwrap_or(u32::MAX);
        let shard = key.map_or(0, |key| shard_of_key(key, total));
        let newest = newest_snapshot_of_shard(map.shards.get(shard as usize)?, map, shard, now)?;
        Some((SnapshotPin { shard_map: map.id, snapshot: newest }, shard))
    })
}

fn newest_snapshot_of_shard(
    view: &ShardView,
    map: &ShardMapView,
    shard: ShardIndex,
    now: Duration,
) -> Option<SnapshotId> {
    let mut newest = None;
    let mut newest_free = None;
    for replica in &view.replicas {
        let is_free = is_free(replica);
        for_each_held_snapshot(replica, map, shard, now, |snapshot| {
            newest = newest.max(Some(snapshot));
            if is_free {
                newest_free = newest_free.max(Some(snapshot));
            }
        });
    }
    newest_free.or(newest)
}

/// Coverage of a snapshot within a shard map.
struct SnapshotTally {
    snapshot: SnapshotId,
    /// Shards with an in-service replica that has the snapshot.
    covered: ShardCount,
    /// Shards with such a replica that is neither lost nor at its limits.
    free: ShardCount,
}

/// Counter of distinct shards, which must be added in ascending order.
#[derive(Clone, Copy, Default)]
struct ShardCount {
    shards: u32,
    /// Lowest shard index that has not been counted yet.
    next: ShardIndex,
}

impl ShardCount {
    fn add(&mut self, shard: ShardIndex) {
        if self.next <= shard {
            self.shards += 1;
            self.next = shard + 1;
        }
    }
}

fn best_pin_of_map(map: &ShardMapView, now: Duration) -> Option<PinChoice> {
    let mut tallies: Vec<SnapshotTally> = Vec::with_capacity(4);
    for (shard, view) in (0..).zip(&map.shards) {
        for replica in &view.replicas {
            let is_free = is_free(replica);
            for_each_held_snapshot(replica, map, shard, now, |snapshot| {
                let tally = tally_for(&mut tallies, snapshot);
                tally.covered.add(shard);
                if is_free {
                    tally.free.add(shard);
                }
            });
        }
    }
    let total = u32::try_from(map.shards.len()).unwrap_or(u32::MAX);
    let free = tallies.iter().filter(|tally| tally.free.shards == total);
    let best = free
        .max_by_key(|tally| tally.snapshot)
        .or_else(|| tallies.iter().max_by_key(|tally| (tally.covered.shards, tally.snapshot)))?;
    let choice = PinChoice {
        pin: SnapshotPin { shard_map: map.id, snapshot: best.snapshot },
        covered: best.covered.shards,
        total,
    };
    if choice.covered == total {
        return Some(choice);
    }
    let newest = tallies.iter().map(|tally| tally.snapshot).max()?;
    let covered = shards_that_may_hold(map, newest, now);
    if covered < total {
        return Some(choice);
    }
    Some(PinChoice { pin: SnapshotPin { shard_map: map.id, snapshot: newest }, covered, total })
}

/// Counts the shards with an in-service replica that has the snapshot or may have received it by now.
fn shards_that_may_hold(map: &ShardMapView, snapshot: SnapshotId, now: Duration) -> u32 {
    let mut count = ShardCount::default();
    for (shard, view) in (0..).zip(&map.shards) {
        for replica in view.replicas.iter().filter(|replica| replica.is_in_service(now)) {
            let marks = replica.target.marks();
            let holds = marks.as_ref().is_some_and(|marks| marks.snapshots.contains(&snapshot));
            if holds || replica.target.may_hold_snapshot(snapshot, now) {
                count.add(shard);
            }
        }
    }
    count.shards
}

fn tally_for(tallies: &mut Vec<SnapshotTally>, snapshot: SnapshotId) -> &mut SnapshotTally {
    let index = tallies.iter().position(|tally| tally.snapshot == snapshot);
    let index = index.unwrap_or_else(|| {
        let (covered, free) = Default::default();
        tallies.push(SnapshotTally { snapshot, covered, free });
        tallies.len() - 1
    });
    &mut tallies[index]
}

fn is_free(replica: &ReplicaView) -> bool {
    !replica.target.is_lost() && !replica.target.is_at_limit()
}

fn for_each_held_snapshot(
    replica: &ReplicaView,
    map: &ShardMapView,
    shard: ShardIndex,
    now: Duration,
    mut visit: impl FnMut(SnapshotId),
) {
    if !replica.is_in_service(now) {
        return;
    }
    let marks = replica.target.marks();
    let Some(marks) = marks.as_ref() else { return };
    if marks.shard_map == map.id && marks.shard == shard {
        marks.snapshots.iter().copied().for_each(&mut visit);
    }
}
