//! Requests to targets that are cold, or that may have started again and be cold without a registration that says so.

mod common;

use std::fmt::Write;

use common::ms;
use common::record;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::target_state::TargetDistance;
use vanillapick_dispatch::target_state::TargetState;

/// Sends as many requests as the target has capacity for, every 10 ms from `from` to `until`; returns when each was sent.
fn send_all(target: &TargetState, allowed: u32, from: u64, until: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for at in (from..until).step_by(10) {
        while !target.is_cold(ms(at)) || target.has_cold_capacity(allowed, ms(at)) {
            target.record_sent(ms(at));
            sent.push(at);
            if !target.is_cold(ms(at)) {
                break;
            }
        }
    }
    sent
}

/// Largest number of sends in one second.
fn busiest_second(sent: &[u64]) -> usize {
    let in_second =
        |first: &u64| sent.iter().filter(|at| (*first..first + 1000).contains(at)).count();
    sent.iter().map(in_second).max().unwrap_or(0)
}

fn target(cold_ms: u64) -> TargetState {
    let mut record = record("t1", "p", "a");
    record.cold_remaining = ms(cold_ms);
    TargetState::new(record, TargetDistance::Domain, None, ms(0))
}

/// Guards against twice the allowance in one second: it was counted by whole seconds of the process.
#[test]
fn a_cold_target_gets_no_more_than_its_allowance_in_any_second() {
    let target = target(5000);
    let mut sent = send_all(&target, 5, 900, 1000);
    sent.extend(send_all(&target, 5, 1000, 4000));
    assert_eq!(busiest_second(&sent), 5);
    assert_eq!(sent.len(), 20);
}

/// Guards against the full load for a target that has started again and is cold before it is registered so.
#[test]
fn a_target_that_refused_a_connection_counts_as_cold_for_some_time() {
    let target = target(0);
    let mut lines = String::new();
    let mut describe = |name: &str, at: u64| {
        writeln!(lines, "{name}: cold {}", target.is_cold(ms(at))).expect("text can be written");
    };
    describe("before", 100);
    target.record_refusal(ms(200));
    describe("after a refusal", 300);
    describe("4 s later", 4300);
    target.record_refusal(ms(4400));
    describe("after another refusal", 6000);
    describe("5 s after the last", 9400);
    target.record_refusal(ms(10_000));
    target.set_cold(ms(0), ms(10_100));
    describe("after a registration of the same start, which may be from before", 10_200);
    insta::assert_snapshot!(lines);
    let sent = send_all(&target, 3, 11_000, 14_000);
    assert_eq!(busiest_second(&sent), 3);
}

/// A refusal that the store tells of holds for all hosts, for the process that it is about. One write serves for several refusals.
#[test]
fn a_refusal_in_the_store_makes_the_target_count_as_cold() {
    let config = common::config(1, Vec::new(), &["p"]);
    let mut registry = common::registry(config, &[record("t1", "p", "a")]);
    let view = registry.view().expect("there is a configuration");
    let target = &view.pools["p"].targets[0];
    let mut lines = String::new();
    let mut describe = |name: &str, at: u64| {
        let (is_cold, is_due) = (target.is_cold(ms(at)), target.has_unshared_refusal(ms(at)));
        writeln!(lines, "{name}: cold {is_cold}, to be written {is_due}")
            .expect("text can be written");
    };
    describe("before", 100);
    registry.apply(StoreChange::TargetRefused("t1".into(), 900), ms(200));
    describe("of an earlier process", 200);
    registry.apply(StoreChange::TargetRefused("t1".into(), 1000), ms(300));
    describe("of this process", 300);
    target.record_refusal(ms(3200));
    describe("a refusal while the item lasts", 3200);
    target.record_refusal(ms(3400));
    describe("a refusal that the item does not cover", 3400);
    target.record_shared_refusal(ms(3450));
    describe("written", 3450);
    describe("5 s after the last", 8400);
    insta::assert_snapshot!(lines);
}
