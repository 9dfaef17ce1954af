//! Size of the configuration value, and the work of a host when it changes.

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

/// Targets of each size, with the entry hosts that belong to them.
const SIZES: [(u32, u32); 4] = [(100, 6), (700, 124), (1_400, 249), (2_700, 480)];

const DOMAINS: u32 = 11;

/// Repetitions, of which the median counts.
const REPETITIONS: usize = 5;

/// Connections of a replica.
const CONNECTIONS: u32 = 25;

/// Cost of the configuration at one size.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigRow {
    /// Targets in the value.
    pub targets: u32,
    /// Entry hosts over which limits are divided.
    pub hosts: u32,
    /// Bytes of the value as JSON, as the store holds it.
    pub json_bytes: usize,
    /// Time to read the value, in microseconds.
    pub read_us: f64,
    /// Time to check it.
    pub check_us: f64,
    /// Time to build a serving view from nothing.
    pub build_us: f64,
    /// Time to build a serving view that keeps the states of the one before.
    pub rebuild_us: f64,
    /// Time to divide all connection limits over the live hosts, with `connection_share` as entry hosts do.
    pub divide_us: f64,
    /// Time to choose the prober of each target among the hosts of its domain, done once a second.
    pub prober_us: f64,
}

/// Connections that hosts have at the target size.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionRow {
    /// How connections are divided.
    pub rule: &'static str,
    /// Hosts over which they are divided.
    pub hosts: u32,
    /// Mean share of the shards of which a host holds a replica.
    pub shards_reached: f64,
    /// Mean share of the shards of which a host holds two replicas.
    pub shards_twice: f64,
    /// Connections of a host, for 100 shards with two replicas each.
    pub connections: f64,
}

/// Measures all sizes. Blocks for some seconds.
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
                connection_share(name, CONNECTIONS, ids.iter().map(String::as_str), &ids[0])
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

/// Median time of several runs, in microseconds.
fn median_us<T>(run: impl Fn() -> T) -> f64 {
    let mut times: Vec<Duration> = (0..REPETITIONS)
        .map(|_| {
            let began = Instant::now();
            black_box(run());
            began.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[REPETITIONS / 2].as_secs_f64() * 1e6
}

fn host_ids(count: u32) -> Vec<String> {
    (0..count.max(1)).map(|index| format!("host-{index:03}")).collect()
}

/// What hosts hold of shards with two replicas of 25 connections, by each rule.
pub fn connections() -> Vec<ConnectionRow> {
    let share = |shard: u32, hosts: &[&str], host: &str| {
        let held = ["a", "b"].map(|replica| {
            let target = format!("shard-{shard}-{replica}");
            connection_share(&target, CONNECTIONS, hosts.iter().copied(), host).min(1)
        });
        held.iter().sum()
    };
    let deal = |shard: u32, hosts: &[&str], host: &str| {
        let key = format!("shard-{shard}");
        let deal = assign_shard_replicas(&key, CONNECTIONS, &["a", "b"], hosts, host);
        u32::from(deal.replica.is_some()) + u32::from(deal.hedge_replica.is_some())
    };
    vec![
        reached("connection_share, all hosts", 480, share),
        reached("connection_share, one domain", 44, share),
        reached("assign_shard_replicas, one domain", 44, deal),
    ]
}

fn reached(
    rule: &'static str,
    hosts: u32,
    held: impl Fn(u32, &[&str], &str) -> u32,
) -> ConnectionRow {
    let shards = 100;
    let ids = host_ids(hosts);
    let ids: Vec<_> = ids.iter().map(String::as_str).collect();
    // Some hosts stand for all, because every one of them ranks all the others.
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
