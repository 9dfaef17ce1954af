//! Tests of the division of a search among hosts, and of the plan that waits for them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use vanillapick_dispatch::config_document::DomainId;
use vanillapick_dispatch::config_document::PoolId;
use vanillapick_dispatch::host_record::HostId;
use vanillapick_dispatch::shard_groups::OwnerState;
use vanillapick_dispatch::shard_groups::PartHosts;
use vanillapick_dispatch::shard_groups::ShardGroup;
use vanillapick_dispatch::shard_groups::owner_backoff;
use vanillapick_dispatch::shard_groups::owner_count;
use vanillapick_dispatch::shard_groups::pick_owner;
use vanillapick_dispatch::shard_groups::shard_groups;

fn pools(count: usize) -> Vec<PoolId> {
    (0..count).map(|number| PoolId::from(format!("s{number}").as_str())).collect()
}

/// Hosts `a0`, `a1` and so on in failure domain `a`, as many as `counts` says, and likewise in others.
fn hosts(counts: &[(&str, usize)]) -> PartHosts {
    let mut hosts = PartHosts::new();
    for (domain, count) in counts {
        for number in 0..*count {
            let host: HostId = Arc::from(format!("{domain}{number}").as_str());
            let address = ([127, 0, 0, 1], 7395).into();
            hosts.entry(DomainId::from(*domain)).or_default().insert(host, address);
        }
    }
    hosts
}

/// Groups of a search by host `own` in domain `a`; `home` names the domain of the nearest target of each shard.
fn groups(
    count: usize,
    home: impl Fn(usize) -> &'static str,
    own: &str,
    hosts: &PartHosts,
) -> Vec<ShardGroup> {
    let homes: Vec<DomainId> = (0..count).map(|shard| DomainId::from(home(shard))).collect();
    let homes: Vec<Option<&DomainId>> = homes.iter().map(Some).collect();
    shard_groups(&pools(count), &homes, "a", own, hosts)
}

/// Guards against shards that no host or two hosts gather, and against hosts that disagree on the owners.
#[test]
fn groups_cover_all_shards_once_and_are_the_same_everywhere() {
    let hosts = hosts(&[("a", 49), ("b", 49)]);
    for count in [60, 90, 180, 270] {
        let home = |shard: usize| if shard % 60 < 30 { "a" } else { "b" };
        let own = groups(count, home, "none", &hosts);
        let mut covered: Vec<usize> = own.iter().flat_map(|group| group.shards.clone()).collect();
        covered.sort_unstable();
        assert_eq!(covered, (0..count).collect::<Vec<_>>());
        let homes: Vec<DomainId> = (0..count).map(|shard| DomainId::from(home(shard))).collect();
        let homes: Vec<Option<&DomainId>> = homes.iter().map(Some).collect();
        assert_eq!(own, shard_groups(&pools(count), &homes, "b", "none", &hosts));
    }
}

/// Guards against small systems that depend on a few hosts for parts of each search.
#[test]
fn small_searches_and_small_failure_domains_are_not_divided() {
    assert_eq!(groups(59, |_| "a", "a0", &hosts(&[("a", 49)])), []);
    assert_eq!(groups(270, |_| "a", "a0", &hosts(&[("a", 6)])), []);
    assert_eq!(groups(270, |_| "c", "a0", &hosts(&[("a", 49)])), []);
}

/// Guards against calls between regions for each shard, and against hosts asked for too few shards to save anything.
#[test]
fn shards_with_distant_targets_are_gathered_near_them() {
    let hosts = hosts(&[("a", 2), ("b", 2), ("c", 3)]);
    let home = |shard: usize| ["a", "b", "c", "b", "a", "b"][shard % 6];
    let lines = groups(80, home, "a0", &hosts).into_iter().map(|group| format!("{group:?}"));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
    assert_eq!(owner_count(&hosts), 7);
    assert_eq!(owner_count(&PartHosts::new()), 1);
}

/// Guards against a division that gives some hosts all the work, or that moves all groups when one host leaves.
#[test]
fn groups_are_spread_over_hosts_and_stay_when_a_host_leaves() {
    let before = groups(270, |_| "a", "a0", &hosts(&[("a", 49)]));
    let mut owned: BTreeMap<&HostId, usize> = BTreeMap::new();
    for owner in before.iter().flat_map(|group| &group.owners) {
        *owned.entry(owner).or_default() += 1;
    }
    let left = &before[0].owners[0];
    let mut rest = hosts(&[("a", 49)]);
    rest.get_mut("a").expect("it has hosts").remove(left);
    let after = groups(270, |_| "a", "a0", &rest);
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
