//! Connection limits of targets must hold while the membership views of hosts differ by one change.

use std::collections::BTreeMap;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use vanillapick_policy::shares::assign_shard_replicas;
use vanillapick_policy::shares::connection_share;
use vanillapick_policy::shares::running_share;

fn host_names(seed: u32, count: usize) -> Vec<String> {
    (0..count).map(|index| format!("host-{seed}-{index}")).collect()
}

fn as_view(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    /// The sum of all shares must not exceed the limit of the target, and with a sufficient limit every host must get
    /// at least one connection.
    #[test]
    fn connection_shares_stay_within_the_limit(
        seed in any::<u32>(), count in 1_usize..60, limit in 0_u32..200,
    ) {
        let names = host_names(seed, count + 1);
        let (larger, smaller) = (as_view(&names), as_view(&names[..count]));
        let target = format!("target-{seed}");
        let share = |view: &[&str], host| {
            connection_share(&target, limit, view.iter().copied(), host)
        };
        // The sum of the larger share of each host is an upper bound for every combination of views.
        let max_held: u32 =
            names.iter().map(|host| share(&larger, host).max(share(&smaller, host))).sum();
        assert!(max_held <= limit, "{max_held} of {limit}");
        if limit as usize > larger.len() {
            assert!(larger.iter().all(|host| share(&larger, host) >= 1));
        }
    }

    /// A replica must not get more connections than its limit while hosts compute assignments from different views.
    #[test]
    fn assigned_connections_stay_within_the_limit(
        seed in any::<u32>(), limit in 3_u32..26, replicas in 1_usize..4, free in 0_usize..10,
    ) {
        // With almost full replicas, a membership change moves the largest number of hosts.
        let count = (replicas * (limit as usize - 2) + 3).saturating_sub(free).max(2);
        let names = host_names(seed, count + 1);
        let (larger, smaller) = (as_view(&names), as_view(&names[..count]));
        let replicas = &["a", "b", "c"][..replicas];
        let mut max_held: BTreeMap<&str, u32> = BTreeMap::new();
        for host in &larger {
            let assignments = [&larger, &smaller].map(|view| {
                assign_shard_replicas("shard", limit, replicas, view, host)
            });
            for replica in replicas {
                let is_held = assignments.iter().any(|assignment| {
                    assignment.replica == Some(replica) || assignment.hedge_replica == Some(replica)
                });
                *max_held.entry(replica).or_default() += u32::from(is_held);
            }
        }
        assert!(max_held.values().all(|held| *held <= limit), "{max_held:?} over {limit}");
    }
}

/// Shares of six hosts at typical limits, to detect changes of the formula.
#[test]
fn shares_at_the_sizes_in_use() {
    let names = host_names(0, 6);
    let mut lines = Vec::new();
    for limit in [25, 40, 100] {
        let share = |host: &String| connection_share("target", limit, as_view(&names), host);
        let shares: Vec<_> = names.iter().map(share).collect();
        lines.push(format!("limit {limit}: {shares:?}"));
    }
    let running = running_share(2, 6, 3);
    lines.push(format!("2 slots: fair {:.2}, max {}", running.fair, running.max));
    insta::assert_snapshot!(lines.join("\n"));
}

/// With 44 hosts, the size expected in two years, every host must be connected to every shard, and the loss of a
/// replica must not disconnect more hosts than its share.
#[test]
fn assignment_at_44_hosts_covers_every_shard() {
    let names = host_names(1, 44);
    let hosts = as_view(&names);
    let (mut min_held, mut max_held, mut hedge_connections, mut unconnected) = (44, 0, 0, 0);
    for shard in 0..60 {
        let key = format!("pool/1/{shard}");
        let mut loads = BTreeMap::from([("a", 0), ("b", 0)]);
        for host in &hosts {
            let assignment = assign_shard_replicas(&key, 25, &["a", "b"], &hosts, host);
            *loads
                .get_mut(assignment.replica.expect("each host is connected to a replica"))
                .expect("a known replica") += 1;
            hedge_connections += u32::from(assignment.hedge_replica.is_some());
            unconnected +=
                u32::from(assignment.replica == Some("a") && assignment.hedge_replica.is_none());
        }
        min_held = min_held.min(loads["a"].min(loads["b"]));
        max_held = max_held.max(loads["a"].max(loads["b"]));
    }
    assert!(max_held <= 23);
    insta::assert_snapshot!(format!(
        "connections per replica: {min_held} to {max_held} of 25\nhedge connections per shard: {:.2}\n\
         hosts without a connection to a shard whose replica a is dead: {:.1} of 44",
        f64::from(hedge_connections) / 60.0,
        f64::from(unconnected) / 60.0
    ));
}
