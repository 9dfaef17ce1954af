//! Measures the share of searches that arrive while an identical one is in flight at the same host, in a seeded arrival
//! trace. Run with `cargo run --release -p vanillapick-policy --example coalescing`. The results are in
//! docs/notes/003-coalescing.md.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Total rate of searches at all hosts.
const SEARCHES_PER_SECOND: f64 = 100.0;

/// Duration of one arrival trace.
const TRACE_LENGTH: Duration = Duration::from_secs(600);

const SEEDS: u64 = 5;

/// Distribution of searches over items and hosts.
#[derive(Clone, Copy)]
struct SearchLoad {
    hosts: u32,
    items: u32,
    /// Exponent of the Zipf distribution over the items.
    exponent: f64,
    /// Share of searches that are all for one item, in addition to its share of the distribution.
    hot_share: f64,
    latency: Duration,
}

/// Reference load on which the decision about coalescing is based.
const STOCK_CHECK: SearchLoad = SearchLoad {
    hosts: 6,
    items: 1_000,
    exponent: 1.0,
    hot_share: 0.0,
    latency: Duration::from_millis(50),
};

#[derive(Default)]
struct CoalescingCount {
    searches: u64,
    /// Searches that arrived while an identical search was running.
    overlapping: u64,
    /// Searches that could have shared the calls of an identical search in flight.
    joined: u64,
}

fn main() {
    println!("hosts  items  exponent  viral  latency  met %  joined %  joined % by seed");
    let slow = Duration::from_millis(200);
    let loads = [
        STOCK_CHECK,
        SearchLoad { exponent: 0.8, ..STOCK_CHECK },
        SearchLoad { exponent: 1.2, ..STOCK_CHECK },
        SearchLoad { items: 100, ..STOCK_CHECK },
        SearchLoad { items: 10_000, ..STOCK_CHECK },
        SearchLoad { hosts: 1, ..STOCK_CHECK },
        SearchLoad { latency: slow, ..STOCK_CHECK },
        SearchLoad { hot_share: 0.25, ..STOCK_CHECK },
        SearchLoad { hot_share: 0.5, ..STOCK_CHECK },
    ];
    for load in loads {
        print_results(&load);
    }
}

fn print_results(load: &SearchLoad) {
    let counts: Vec<_> = (1..=SEEDS).map(|seed| count_coalescing(load, seed)).collect();
    let searches: u64 = counts.iter().map(|count| count.searches).sum();
    let overlapping: u64 = counts.iter().map(|count| count.overlapping).sum();
    let joined: u64 = counts.iter().map(|count| count.joined).sum();
    let by_seed: Vec<_> = counts
        .iter()
        .map(|count| format!("{:.2}", percent(count.joined, count.searches)))
        .collect();
    println!(
        "{:>5}  {:>5}  {:>8}  {:>5}  {:>4} ms  {:>5.2}  {:>8.2}  {}",
        load.hosts,
        load.items,
        load.exponent,
        load.hot_share,
        load.latency.as_millis(),
        percent(overlapping, searches),
        percent(joined, searches),
        by_seed.join(" "),
    );
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole as f64
}

/// Simulates Poisson arrivals at hosts that the load balancer chooses at random.
fn count_coalescing(load: &SearchLoad, seed: u64) -> CoalescingCount {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let bounds = cumulative_weights(load);
    let total = bounds.last().copied().unwrap_or_default();
    let mut count = CoalescingCount::default();
    // Time of the latest arrival, and of the latest search that made calls of its own, by host and item.
    let mut arrived: HashMap<(u32, usize), Duration> = HashMap::new();
    let mut started: HashMap<(u32, usize), Duration> = HashMap::new();
    let mut now = Duration::ZERO;
    while now < TRACE_LENGTH {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / SEARCHES_PER_SECOND);
        let host = rng.random_range(0..load.hosts);
        let is_hot = rng.random::<f64>() < load.hot_share;
        let position = rng.random::<f64>() * total;
        let item = if is_hot { 0 } else { bounds.partition_point(|bound| *bound <= position) };
        let is_running =
            |since: Option<Duration>| since.is_some_and(|since| now < since + load.latency);
        count.searches += 1;
        count.overlapping += u64::from(is_running(arrived.insert((host, item), now)));
        if is_running(started.get(&(host, item)).copied()) {
            count.joined += 1;
        } else {
            started.insert((host, item), now);
        }
    }
    count
}

fn cumulative_weights(load: &SearchLoad) -> Vec<f64> {
    let weights = (1..=load.items).map(|rank| f64::from(rank).powf(-load.exponent));
    weights
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect()
}
