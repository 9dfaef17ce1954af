//! Test of the tail latency of searches while one in twenty replicas is ten times slower.

mod common;

use std::time::Duration;

use vanillapick_model::contract::AnswerPreference;

use crate::common::Driver;
use crate::common::find;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::reply;
use crate::common::slots::SlotTargets;

/// Number of searches per run.
const SEARCHES: u64 = 1000;

/// Maximum ratio of the 99th percentiles with and without stragglers.
const MAX_TAIL_RATIO: f64 = 1.5;

/// Returns the 99th percentile of the search latency in milliseconds, and the hedges and retries per first attempt.
fn run(shards: u32, slowed: u32, from: Duration, interval: u64) -> (f64, f64) {
    let host = plain_host(shards, AnswerPreference::Coverage, 1.0);
    let mut targets = SlotTargets::new(2, ms(4), ms(7));
    for shard in 0..slowed {
        targets.slow(&format!("stock-1-{}a", shard * 3), from, 10.0);
    }
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, now, rng| {
        let is_local = attempt.target.ends_with('a') && attempt.shard % 3 == 0;
        let link = if is_local { ms(0) } else { ms(2) };
        vec![(link + targets.call(&attempt.target, now, rng), reply(attempt, id, &[7]))]
    });
    driver.quiet = true;
    for index in 0..SEARCHES {
        let at = ms(index * interval);
        driver.start(at, find(&format!("s{index}"), at + ms(1000)));
    }
    driver.run(ms(600_000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    let extra = host.counters.extra_attempts() as f64 / host.counters.first_attempts() as f64;
    (driver.latency(ms(interval * SEARCHES / 10), 0.99).as_secs_f64() * 1000.0, extra)
}

/// At a low search rate, each attempt at a slow target affects a larger share of the searches, so two rates are tested.
#[test]
fn one_of_twenty_replicas_slowed_tenfold() {
    for (shards, slowed, interval) in [(20, 2, 10), (30, 3, 10), (20, 2, 100)] {
        let (plain, plain_extra) = run(shards, 0, ms(0), interval);
        assert!(plain_extra <= 0.05, "extra load {plain_extra:.3} without stragglers");
        for from in [ms(0), ms(interval * SEARCHES / 2)] {
            let (tail, extra) = run(shards, slowed, from, interval);
            println!("{shards} shards every {interval} ms: {plain:.1} to {tail:.1} ms, {extra:.3}");
            assert!(tail <= plain * MAX_TAIL_RATIO, "{tail:.1} ms against {plain:.1} ms without");
            assert!(extra <= 0.05, "extra load {extra:.3}");
        }
    }
}
