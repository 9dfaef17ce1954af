//! Tests of the division of a search among hosts, and of the plan that waits for them.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use vanillapick_dispatch::config_document::PoolId;
use vanillapick_dispatch::host_record::HostId;
use vanillapick_dispatch::shard_groups::OwnerState;
use vanillapick_dispatch::shard_groups::ShardGroup;
use vanillapick_dispatch::shard_groups::owner_backoff;
use vanillapick_dispatch::shard_groups::pick_owner;
use vanillapick_dispatch::shard_groups::shard_groups;

fn pools(count: usize) -> Vec<PoolId> {
    (0..count).map(|number| PoolId::from(format!("s{number}").as_str())).collect()
}

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|number| Arc::from(format!("h{number}").as_str())).collect()
}

/// Guards against shards that no host or two hosts gather, and against hosts that disagree on the owners.
#[test]
fn groups_cover_all_shards_once_and_are_the_same_everywhere() {
    for count in [60, 61, 89, 135, 180, 270] {
        let groups = shard_groups(&pools(count), &hosts(49));
        let covered: Vec<usize> = groups.iter().flat_map(|group| group.shards.clone()).collect();
        assert_eq!(covered, (0..count).collect::<Vec<_>>());
        let mut reversed = hosts(49);
        reversed.reverse();
        assert_eq!(groups, shard_groups(&pools(count), &reversed));
    }
}

/// Guards against small systems that depend on a few hosts for parts of each search.
#[test]
fn small_searches_and_small_failure_domains_are_not_divided() {
    assert_eq!(shard_groups(&pools(59), &hosts(49)), []);
    assert_eq!(shard_groups(&pools(270), &hosts(5)), []);
}

/// Guards against a division that gives some hosts all the work, or that moves all groups when one host leaves.
#[test]
fn groups_are_spread_over_hosts_and_stay_when_a_host_leaves() {
    let before = shard_groups(&pools(270), &hosts(49));
    let mut owned: BTreeMap<&HostId, usize> = BTreeMap::new();
    for owner in before.iter().flat_map(|group| &group.owners) {
        *owned.entry(owner).or_default() += 1;
    }
    let left = &before[0].owners[0];
    let rest: Vec<HostId> = hosts(49).into_iter().filter(|host| host != left).collect();
    let after = shard_groups(&pools(270), &rest);
    let others = |group: &ShardGroup| {
        group.owners.iter().filter(|owner| *owner != left).cloned().collect::<Vec<_>>()
    };
    let kept = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| others(before).iter().all(|owner| after.owners.contains(owner)));
    insta::assert_snapshot!(format!(
        "{} groups; owners: {}; most groups of a host: {}; groups that keep their other owners: {}",
        before.len(),
        owned.len(),
        owned.values().max().expect("there are owners"),
        kept.count(),
    ));
}

/// Guards against asking a host that failed a moment ago, or one that is busy while another is idle.
#[test]
fn the_least_busy_owner_that_did_not_fail_is_asked() {
    let mut rng = SmallRng::seed_from_u64(1);
    let owner = |is_in_backoff, in_flight| OwnerState { is_in_backoff, in_flight };
    assert_eq!(pick_owner(&[owner(true, 0), owner(false, 2), owner(false, 1)], &mut rng), Some(2));
    assert_eq!(pick_owner(&[owner(true, 0), owner(true, 0)], &mut rng), None);
    let backoffs: Vec<Duration> = [1, 2, 3, 9, 100].map(owner_backoff).into();
    insta::assert_debug_snapshot!(backoffs);
}
