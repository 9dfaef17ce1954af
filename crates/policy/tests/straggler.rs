//! Guards the tail of searches with one of twenty replicas slowed tenfold.

mod common;

use std::time::Duration;

use vanillapick_model::contract::AnswerPreference;

use crate::common::Driver;
use crate::common::find;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::reply;
use crate::common::slots::SlotTargets;

/// Searches of one run.
const SEARCHES: u64 = 1000;

/// Required ratio of the tails with and without stragglers.
const MOST_RATIO: f64 = 1.5;

/// 99th percentile of a search in milliseconds, and hedges and retries per first attempt.
fn run(shards: u32, slowed: u32, from: Duration, interval: u64) -> (f64, f64) {
    let host = plain_host(shards, AnswerPreference::Coverage, 1.0);
    let mut targets = SlotTargets::new(2, ms(4), ms(7));
    for shard in 0..slowed {
        targets.slow(&format!("stock-1-{}a", shard * 3), from, 10.0);
    }
    let mut driver = Driver::new(host.clone(), 1, |order, id, now, rng| {
        let is_home = order.target.ends_with('a') && order.shard % 3 == 0;
        let link = if is_home { ms(0) } else { ms(2) };
        vec![(link + targets.call(&order.target, now, rng), reply(order, id, &[7]))]
    });
    driver.quiet = true;
    for index in 0..SEARCHES {
        let at = ms(index * interval);
        driver.start(at, find(&format!("s{index}"), at + ms(1000)));
    }
    driver.run(ms(600_000));
    assert_eq!(driver.in_flight(), 0, "every begin has one end");
    let extra = host.counters.extra_attempts() as f64 / host.counters.first_attempts() as f64;
    (driver.latency(ms(interval * SEARCHES / 10), 0.99).as_secs_f64() * 1000.0, extra)
}

/// At few searches a second each trial of a slow target hits a larger share of them, so both rates are run.
#[test]
fn one_of_twenty_replicas_slowed_tenfold() {
    for (shards, slowed, interval) in [(20, 2, 10), (30, 3, 10), (20, 2, 100)] {
        let (plain, plain_extra) = run(shards, 0, ms(0), interval);
        assert!(plain_extra <= 0.05, "extra load {plain_extra:.3} without stragglers");
        for from in [ms(0), ms(interval * SEARCHES / 2)] {
            let (tail, extra) = run(shards, slowed, from, interval);
            println!("{shards} shards every {interval} ms: {plain:.1} to {tail:.1} ms, {extra:.3}");
            assert!(tail <= plain * MOST_RATIO, "{tail:.1} ms against {plain:.1} ms without");
            assert!(extra <= 0.05, "extra load {extra:.3}");
        }
    }
}
