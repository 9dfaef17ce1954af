//! The snapshot a request is answered from.

use std::time::Duration;

use vanillapick_model::hash::shard_of_key;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::SnapshotId;
use vanillapick_model::snapshot::SnapshotPin;

use crate::serving_view::PoolView;
use crate::serving_view::ReplicaView;
use crate::serving_view::ShardMapView;
use crate::serving_view::ShardView;

/// A snapshot and how many shards have a replica in service that holds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PinChoice {
    /// Shard map and snapshot.
    pub pin: SnapshotPin,
    /// Shards with a replica in service that holds the snapshot.
    pub covered: u32,
    /// Shards of the shard map.
    pub total: u32,
}

impl PinChoice {
    /// `covered / total`.
    pub fn fraction(&self) -> f64 {
        f64::from(self.covered) / f64::from(self.total.max(1))
    }
}

/// The newest snapshot of the newest shard map at which every shard has a free replica; where there is none, the newest
/// at which every shard has one in service; where there is none either, the newest snapshot seen, if every shard has a
/// replica that may hold it by now; otherwise the one that covers the largest fraction,
/// newest first. None when no replica in service holds any snapshot.
///
/// A snapshot that has reached one replica of a shard only would otherwise take all load of the shard to that replica.
pub fn choose_pin(pool: &PoolView, now: Duration) -> Option<PinChoice> {
    let mut best: Option<PinChoice> = None;
    for map in &pool.maps {
        let Some(choice) = best_of_map(map, now) else { continue };
        if choice.covered == choice.total {
            return Some(choice);
        }
        if best.is_none_or(|best| best.fraction() < choice.fraction()) {
            best = Some(choice);
        }
    }
    best
}

/// The newest snapshot of the one shard that `key` selects, under the newest shard map at which a replica of it is in
/// service, held by a free replica if there is one; without a key, of shard 0.
pub fn choose_shard_pin(
    pool: &PoolView,
    key: Option<&[u8]>,
    now: Duration,
) -> Option<(SnapshotPin, ShardIndex)> {
    pool.maps.iter().find_map(|map| {
        let total = u32::try_from(map.shards.len()).unwrap_or(u32::MAX);
        let shard = key.map_or(0, |key| shard_of_key(key, total));
        let newest = newest_of_shard(map.shards.get(shard as usize)?, map, shard, now)?;
        Some((SnapshotPin { shard_map: map.id, snapshot: newest }, shard))
    })
}

fn newest_of_shard(
    view: &ShardView,
    map: &ShardMapView,
    shard: ShardIndex,
    now: Duration,
) -> Option<SnapshotId> {
    let mut newest = None;
    let mut newest_free = None;
    for replica in &view.replicas {
        let is_free = is_free(replica);
        for_each_held(replica, map, shard, now, |snapshot| {
            newest = newest.max(Some(snapshot));
            if is_free {
                newest_free = newest_free.max(Some(snapshot));
            }
        });
    }
    newest_free.or(newest)
}

/// Shards of one shard map that hold one snapshot.
struct SnapshotTally {
    snapshot: SnapshotId,
    /// Shards with a replica in service.
    covered: ShardCount,
    /// Shards with a replica that is neither lost nor at its limits.
    free: ShardCount,
}

/// Number of shards, counted in order of their indexes.
#[derive(Clone, Copy, Default)]
struct ShardCount {
    shards: u32,
    /// One more than the last shard counted.
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

fn best_of_map(map: &ShardMapView, now: Duration) -> Option<PinChoice> {
    let mut tallies: Vec<SnapshotTally> = Vec::with_capacity(4);
    for (shard, view) in (0..).zip(&map.shards) {
        for replica in &view.replicas {
            let is_free = is_free(replica);
            for_each_held(replica, map, shard, now, |snapshot| {
                let tally = tally_of(&mut tallies, snapshot);
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

/// Shards with a replica in service that holds the snapshot, or may hold it by now.
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

fn tally_of(tallies: &mut Vec<SnapshotTally>, snapshot: SnapshotId) -> &mut SnapshotTally {
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

fn for_each_held(
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
