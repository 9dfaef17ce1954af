//! Size of the stored configuration, and the processor time that a host spends on a change.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_model::hash::rendezvous_order;
use vanillapick_model::table::ConfigTable;
use vanillapick_policy::serving_view::ServingView;
use vanillapick_policy::shares::assign_shard_replicas;
use vanillapick_policy::shares::connection_share;

use crate::capacity::planner_cost::host_profile;

/// Numbers of targets and of entry hosts at each size.
const SIZES: [(u32, u32); 4] = [(100, 6), (700, 124), (1_400, 249), (2_700, 480)];

const DOMAINS: u32 = 11;

/// Number of timed runs; the median is reported.
const REPETITIONS: usize = 5;

/// Connection limit of a replica.
const CONNECTIONS_PER_REPLICA: u32 = 25;

/// Costs at one size of the configuration.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigRow {
    /// Targets in the configuration.
    pub targets: u32,
    /// Entry hosts that share the connection limits.
    pub hosts: u32,
    /// Length of the configuration as JSON, as it is stored.
    pub json_bytes: usize,
    /// Time to parse the JSON, in microseconds.
    pub read_us: f64,
    /// Time to validate the configuration, in microseconds.
    pub check_us: f64,
    /// Time to build a serving view without an earlier one, in microseconds.
    pub build_us: f64,
    /// Time to build a serving view that reuses the states of the previous one, in microseconds.
    pub rebuild_us: f64,
    /// Time to divide all connection limits among the live hosts, in microseconds, with the function that entry
    /// hosts use, `connection_share`.
    pub divide_us: f64,
    /// Time to choose the prober of each target among the hosts of its domain, in microseconds. Hosts do this once a
    /// second.
    pub prober_us: f64,
}

/// Connections of a host at the target size under one rule.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionRow {
    /// Rule that divides the connections.
    pub rule: &'static str,
    /// Hosts that share the connections.
    pub hosts: u32,
    /// Mean share of the shards to which a host has a connection.
    pub shards_reached: f64,
    /// Mean share of the shards to which a host has connections at both replicas.
    pub shards_twice: f64,
    /// Mean connections of a host to 100 shards with two replicas each.
    pub connections: f64,
}

/// Measures all sizes. Blocks for several seconds.
pub fn measure() -> Vec<ConfigRow> {
    SIZES.map(|(targets, hosts)| measure_size(targets, hosts)).into()
}

fn measure_size(targets: u32, hosts: u32) -> ConfigRow {
    let table = sample_table(DOMAINS, targets);
    let json = serde_json::to_vec(&table).unwrap_or_default();
    let ids = host_ids(hosts);
    let domain = host_ids(hosts.div_ceil(DOMAINS));
    let profile = host_profile();
    let shared = Arc::new(table.clone());
    let first = ServingView::build(Arc::clone(&shared), &profile, &ServingView::default());
    let names: Vec<_> =
        table.pools.values().flat_map(|pool| &pool.targets).map(|entry| &entry.id).collect();
    ConfigRow {
        targets,
        hosts,
        json_bytes: json.len(),
        read_us: median_us(|| serde_json::from_slice::<ConfigTable>(&json).ok()),
        check_us: median_us(|| table.check()),
        build_us: median_us(|| {
            ServingView::build(Arc::clone(&shared), &profile, &ServingView::default())
        }),
        rebuild_us: median_us(|| ServingView::build(Arc::clone(&shared), &profile, &first)),
        divide_us: median_us(|| {
            let shares = names.iter().map(|name| {
                connection_share(
                    name,
                    CONNECTIONS_PER_REPLICA,
                    ids.iter().map(String::as_str),
                    &ids[0],
                )
            });
            shares.sum::<u32>()
        }),
        prober_us: median_us(|| {
            let orders = names.iter().map(|name| {
                let order = rendezvous_order(name, domain.iter().map(String::as_str));
                order.first().copied() == Some(domain[0].as_str())
            });
            orders.filter(|probes| *probes).count()
        }),
    }
}

/// Returns the median time of several runs, in microseconds.
fn median_us<T>(run: impl Fn() -> T) -> f64 {
    let mut times: Vec<Duration> = (0..REPETITIONS)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[REPETITIONS / 2].as_secs_f64() * 1e6
}

fn host_ids(count: u32) -> Vec<String> {
    (0..count.max(1)).map(|index| format!("host-{index:03}")).collect()
}

/// Compares the rules that divide the connections of shards with two replicas of 25 connections each.
pub fn connections() -> Vec<ConnectionRow> {
    let shared = |shard: u32, hosts: &[&str], host: &str| {
        let held = ["a", "b"].map(|replica| {
            let target = format!("shard-{shard}-{replica}");
            connection_share(&target, CONNECTIONS_PER_REPLICA, hosts.iter().copied(), host).min(1)
        });
        held.iter().sum()
    };
    let assigned = |shard: u32, hosts: &[&str], host: &str| {
        let key = format!("shard-{shard}");
        let assignment =
            assign_shard_replicas(&key, CONNECTIONS_PER_REPLICA, &["a", "b"], hosts, host);
        u32::from(assignment.replica.is_some()) + u32::from(assignment.hedge_replica.is_some())
    };
    vec![
        connection_row("connection_share, all hosts", 480, shared),
        connection_row("connection_share, one domain", 44, shared),
        connection_row("assign_shard_replicas, one domain", 44, assigned),
    ]
}

fn connection_row(
    rule: &'static str,
    hosts: u32,
    held: impl Fn(u32, &[&str], &str) -> u32,
) -> ConnectionRow {
    let shards = 100;
    let ids = host_ids(hosts);
    let ids: Vec<_> = ids.iter().map(String::as_str).collect();
    // Samples up to 44 hosts, because each of them ranks all the others.
    let sample: Vec<_> = ids.iter().step_by(ids.len().div_ceil(44)).copied().collect();
    let counts: Vec<_> = sample
        .iter()
        .flat_map(|host| (0..shards).map(|shard| held(shard, &ids, host)).collect::<Vec<_>>())
        .collect();
    let share = |least: u32| {
        counts.iter().filter(|count| least <= **count).count() as f64 / counts.len() as f64
    };
    ConnectionRow {
        rule,
        hosts,
        shards_reached: share(1),
        shards_twice: share(2),
        connections: f64::from(counts.iter().sum::<u32>()) / sample.len() as f64,
    }
}
