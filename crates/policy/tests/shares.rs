//! Guards the limits of targets while hosts disagree on the membership by one change.

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

    /// A target would see more connections than its limit, or a host would be left without one.
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
        // Each host in the worse of its two views bounds every mixture of views.
        let worst: u32 =
            names.iter().map(|host| share(&larger, host).max(share(&smaller, host))).sum();
        assert!(worst <= limit, "{worst} of {limit}");
        if limit as usize > larger.len() {
            assert!(larger.iter().all(|host| share(&larger, host) >= 1));
        }
    }

    /// A replica would see more connections than its limit while hosts deal from different views.
    #[test]
    fn dealt_connections_stay_within_the_limit(
        seed in any::<u32>(), limit in 3_u32..26, replicas in 1_usize..4, free in 0_usize..10,
    ) {
        // Replicas that are almost full make the most hosts move with a change.
        let count = (replicas * (limit as usize - 2) + 3).saturating_sub(free).max(2);
        let names = host_names(seed, count + 1);
        let (larger, smaller) = (as_view(&names), as_view(&names[..count]));
        let replicas = &["a", "b", "c"][..replicas];
        let mut worst: BTreeMap<&str, u32> = BTreeMap::new();
        for host in &larger {
            let held = [&larger, &smaller].map(|view| {
                assign_shard_replicas("shard", limit, replicas, view, host)
            });
            for replica in replicas {
                let holds = held.iter().any(|deal| {
                    deal.replica == Some(replica) || deal.hedge_replica == Some(replica)
                });
                *worst.entry(replica).or_default() += u32::from(holds);
            }
        }
        assert!(worst.values().all(|held| *held <= limit), "{worst:?} over {limit}");
    }
}

/// Six hosts at today's limits; a change of the formula would show here.
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
    lines.push(format!("2 slots: fair {:.2}, most {}", running.fair, running.max));
    insta::assert_snapshot!(lines.join("\n"));
}

/// At the size expected in two years a node would lack a shard, or a replica's death would lose more than its part.
#[test]
fn dealing_at_44_nodes_covers_every_shard() {
    let names = host_names(1, 44);
    let hosts = as_view(&names);
    let (mut least, mut most, mut spares, mut without) = (44, 0, 0, 0);
    for shard in 0..60 {
        let key = format!("pool/1/{shard}");
        let mut loads = BTreeMap::from([("a", 0), ("b", 0)]);
        for host in &hosts {
            let deal = assign_shard_replicas(&key, 25, &["a", "b"], &hosts, host);
            *loads.get_mut(deal.replica.expect("each node holds a replica")).expect("known") += 1;
            spares += u32::from(deal.hedge_replica.is_some());
            without += u32::from(deal.replica == Some("a") && deal.hedge_replica.is_none());
        }
        least = least.min(loads["a"].min(loads["b"]));
        most = most.max(loads["a"].max(loads["b"]));
    }
    assert!(most <= 23);
    insta::assert_snapshot!(format!(
        "connections per replica: {least} to {most} of 25\nspare connections per shard: {:.2}\n\
         nodes without a connection to a shard whose replica a is dead: {:.1} of 44",
        f64::from(spares) / 60.0,
        f64::from(without) / 60.0
    ));
}
