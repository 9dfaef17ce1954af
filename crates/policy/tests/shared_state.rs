//! State shared by sessions: limits under concurrent access, latency per kind of call, baseline mode and counters.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::Duration;

use rand::Rng;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::route::RouteKind;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::host_state::HostState;
use vanillapick_policy::session::RequestSession;

use crate::common::Driver;
use crate::common::find;
use crate::common::get;
use crate::common::host;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::pool;
use crate::common::profile;
use crate::common::reply;
use crate::common::table;

/// Threads that start requests concurrently must not exceed the limit of a target.
#[test]
fn limits_hold_under_threads() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let target = host.view().target("stock-1-0a").expect("a target").clone();
    target.set_limits(3, 5);
    let running = AtomicU32::new(0);
    let max_running = AtomicU32::new(0);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..5000 {
                    if !target.try_start(0, Duration::ZERO) {
                        continue;
                    }
                    max_running.fetch_max(running.fetch_add(1, Relaxed) + 1, Relaxed);
                    running.fetch_sub(1, Relaxed);
                    target.end();
                }
            });
        }
    });
    assert!(max_running.load(Relaxed) <= 3);
    assert_eq!(target.in_flight(), 0);
}

/// Multithreaded drivers require that sessions are `Send` and the host state is `Send` and `Sync`.
#[test]
fn sessions_move_between_threads() {
    fn is_send<T: Send>() {}
    fn is_shared<T: Send + Sync>() {}
    is_send::<RequestSession>();
    is_shared::<HostState>();
}

/// The latency of searches must not delay hedges of reads on the same pool.
#[test]
fn kinds_of_calls_have_their_own_latency() {
    let host = plain_host(2, AnswerPreference::Coverage, 1.0);
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, rng| {
        let base = if attempt.kind == RouteKind::Search { 50 } else { 2 };
        vec![(ms(base + rng.random_range(0..3)), reply(attempt, id, &[7]))]
    });
    driver.quiet = true;
    for index in 0..200 {
        let at = ms(index * 20);
        driver.start(at, find(&format!("s{index}"), at + ms(500)));
        driver.start(at, get(&format!("r{index}"), at + ms(500)));
    }
    driver.run(ms(10_000));
    let view = host.view();
    let windows = &view.pool("stock").expect("the pool").windows;
    let high = |kind| windows.get(kind).high_quantile().expect("enough samples");
    assert!(high(RouteKind::Read) <= ms(8), "{:?}", high(RouteKind::Read));
    assert!(ms(50) <= high(RouteKind::Search), "{:?}", high(RouteKind::Search));
}

/// Baseline mode, the reference of all measurements, must not hedge, must retry once and must ignore limits.
#[test]
fn baseline_sends_once_and_retries_once() {
    let mut profile = profile();
    profile.baseline = true;
    let host = host(profile, table(pool("stock", 1, 3), AnswerPreference::Coverage, 0.5), &[7]);
    for target in host.view().targets() {
        target.set_limits(0, 0);
    }
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| match attempt.shard {
        0 => vec![(ms(9999), AttemptResult::TimedOut)],
        1 => vec![(ms(5), AttemptResult::Lost)],
        _ => vec![(ms(5), reply(attempt, id, &[7]))],
    });
    driver.start(ms(0), find("s1", ms(300)));
    driver.run(ms(2000));
    insta::assert_snapshot!(driver.text());
}

/// Each exported pair of metric name and reason must be unique, and one run must lead to the expected counts.
#[test]
fn counters_name_each_reason_once() {
    let host = plain_host(4, AnswerPreference::Coverage, 1.0);
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| match attempt.number {
        1 => vec![(ms(5), AttemptResult::NotSent)],
        _ => vec![(ms(5), reply(attempt, id, &[7]))],
    });
    driver.start(ms(0), find("s1", ms(300)));
    driver.start(ms(0), find("late", ms(0)));
    driver.run(ms(2000));
    assert!(matches!(driver.outcomes["s1"].1, SessionOutcome::Answer(_)));
    let entries = host.counters.entries();
    let count = entries.len();
    let values: BTreeMap<_, _> =
        entries.into_iter().map(|(name, reason, value)| ((name, reason), value)).collect();
    assert_eq!(values.len(), count, "each pair of name and reason must occur once");
    let value = |name, reason: &str| values[&(name, reason.to_owned())];
    assert_eq!(value("vp_attempts_total", ""), 5);
    assert_eq!(value("vp_retries_total", "not_sent"), 1);
    assert_eq!(value("vp_answers_total", "full"), 1);
    assert_eq!(value("vp_refusals_total", "deadline_exceeded"), 1);
}
