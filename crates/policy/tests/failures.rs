//! Simulations of searches while targets fail, slow down or change their data.

mod common;

use std::time::Duration;

use vanillapick_model::answer::MissingReason;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::budget::BURST_TOKENS;
use vanillapick_policy::budget::MAX_DEBT_TOKENS;

use crate::common::Driver;
use crate::common::add_map;
use crate::common::find;
use crate::common::get;
use crate::common::host;
use crate::common::marks;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::pool;
use crate::common::profile;
use crate::common::refused;
use crate::common::reply;
use crate::common::slots::SlotTargets;
use crate::common::table;

fn coverage_of(outcome: &SessionOutcome) -> f64 {
    match outcome {
        SessionOutcome::Answer(answer) => answer.coverage.fraction,
        SessionOutcome::Reply(_) => 1.0,
        SessionOutcome::Refused(_) => 0.0,
    }
}

/// When all targets become ten times slower, extra attempts must stay within the budget instead of causing a retry
/// storm.
#[test]
fn all_targets_slow() {
    let host = plain_host(20, AnswerPreference::Coverage, 1.0);
    let mut targets = SlotTargets::new(8, ms(4), ms(7));
    for shard in 0..20 {
        targets.slow(&format!("stock-1-{shard}a"), ms(3000), 10.0);
        targets.slow(&format!("stock-1-{shard}b"), ms(3000), 10.0);
    }
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, now, rng| {
        vec![(targets.call(&attempt.target, now, rng), reply(attempt, id, &[7]))]
    });
    driver.quiet = true;
    for index in 0..600 {
        driver.start(ms(index * 10), find(&format!("s{index}"), ms(index * 10 + 1000)));
    }
    driver.run(ms(60_000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    let firsts = host.counters.first_attempts() as f64;
    let extra = host.counters.extra_attempts() as f64;
    assert!(extra <= firsts * 0.05 + BURST_TOKENS as f64, "{extra} extra for {firsts}");
}

/// Coverage must stay complete while a failure domain is unreachable: calls that were not sent go to other replicas,
/// lost targets are probed once per second, and they receive work again once they reply.
#[test]
fn replica_loss() {
    let host = plain_host(12, AnswerPreference::Coverage, 1.0);
    let table = host.view().table().clone();
    let unreachable_targets: Vec<_> = table.pools["stock"]
        .targets
        .iter()
        .filter(|target| target.domain == "arequipa")
        .map(|target| target.id.clone())
        .collect();
    let outage = ms(1000)..ms(4000);
    let mut reached = 0;
    let mut probes = 0;
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, now, _| {
        if !unreachable_targets.contains(&attempt.target) {
            return vec![(ms(5), reply(attempt, id, &[7]))];
        }
        if outage.contains(&now) {
            probes += u32::from(ms(2000) <= now);
            return vec![(ms(1), AttemptResult::NotSent)];
        }
        reached += u32::from(ms(6000) <= now);
        vec![(ms(5), reply(attempt, id, &[7]))]
    });
    driver.quiet = true;
    for index in 0..800 {
        driver.start(ms(index * 10), find(&format!("s{index}"), ms(index * 10 + 300)));
    }
    driver.run(ms(10_000));
    for (id, (_, outcome)) in &driver.outcomes {
        assert!(coverage_of(outcome) == 1.0, "{id}: {outcome:?}");
    }
    drop(driver);
    assert!(probes <= 2 * 8, "{probes} calls to 8 lost targets in 2 s");
    assert!(100 < reached, "recovered targets must be used again: {reached}");
}

/// If all replicas of a shard are lost, the answer must still cover the other shards and report the missing one.
#[test]
fn shard_without_replicas() {
    let host = plain_host(4, AnswerPreference::Latency, 0.5);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        if attempt.shard == 1 {
            return vec![(ms(1), AttemptResult::Lost)];
        }
        vec![(ms(5), reply(attempt, id, &[7]))]
    });
    for index in 0..5 {
        driver.start(ms(index * 20), find(&format!("s{index}"), ms(index * 20 + 300)));
    }
    driver.run(ms(2000));
    for (id, (_, outcome)) in &driver.outcomes {
        let SessionOutcome::Answer(answer) = outcome else { panic!("{id}: {outcome:?}") };
        let missing = &answer.coverage.missing;
        assert_eq!(missing.len(), 1, "{id}");
        assert_eq!(missing[0].shard, 1, "{id}");
    }
}

/// Waiting for a lost shard until the deadline must not count as service time, because admission would take it for
/// overload.
#[test]
fn wait_for_a_lost_shard_is_not_service_time() {
    let host = plain_host(4, AnswerPreference::Coverage, 0.5);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        if attempt.shard == 1 {
            return vec![(ms(1), AttemptResult::NotSent)];
        }
        vec![(ms(5), reply(attempt, id, &[7]))]
    });
    for index in 0..3 {
        driver.start(ms(index * 400), find(&format!("s{index}"), ms(index * 400 + 300)));
    }
    driver.run(ms(2000));
    assert_eq!(driver.outcomes["s2"].0, ms(295));
    for id in ["s0", "s1", "s2"] {
        assert_eq!(driver.service_times[id], ms(5), "{id}");
        let (_, SessionOutcome::Answer(answer)) = &driver.outcomes[id] else { panic!("{id}") };
        assert_eq!(answer.coverage.missing[0].reason, MissingReason::Lost, "{id}");
    }
}

/// If all first attempts of a request are lost, the request must be refused as crashing and must not be retried, so
/// that it does not crash the remaining replicas.
#[test]
fn crashing_request_is_not_spread() {
    let host = plain_host(8, AnswerPreference::Coverage, 1.0);
    let mut driver = Driver::new(host.clone(), 1, |_, _, _, _| vec![(ms(3), AttemptResult::Lost)]);
    driver.start(ms(0), find("s1", ms(500)));
    driver.run(ms(2000));
    let (_, SessionOutcome::Refused(refusal)) = &driver.outcomes["s1"] else {
        panic!("answered");
    };
    assert_eq!(refusal.code, RefusalCode::CrashingRequest);
    assert_eq!(host.counters.extra_attempts(), 0, "no shard may lose its second replica");
}

/// A request that may crash targets must be sent to a single shard first, and to the others only once an attempt has
/// answered. After a lost probe, the next one must go to another shard, never to the same shard.
#[test]
fn cautious_search_tries_one_shard_first() {
    for (first, expected) in [("answered", (5, 1.0)), ("lost", (6, 1.0)), ("refused", (6, 1.0))] {
        let host = plain_host(5, AnswerPreference::Coverage, 1.0);
        let mut sent_at_once = 0;
        let mut shards_sent = Vec::new();
        let mut driver = Driver::new(host.clone(), 1, |attempt, id, now, _| {
            sent_at_once += u32::from(now < ms(3));
            shards_sent.push(attempt.shard);
            let result = match (attempt.number, first) {
                (0, "lost") => AttemptResult::Lost,
                (0, "refused") => refused(TargetRefusal::Draining),
                _ => reply(attempt, id, &[7]),
            };
            vec![(ms(3), result)]
        });
        driver.cautious = true;
        driver.start(ms(0), find("s1", ms(300)));
        driver.run(ms(2000));
        let coverage = coverage_of(&driver.outcomes["s1"].1);
        drop(driver);
        let attempts = host.counters.first_attempts() + host.counters.extra_attempts();
        assert_eq!((attempts, coverage), expected, "{first}");
        assert_eq!(sent_at_once, 1, "{first}");
        if first == "lost" {
            assert_ne!(
                shards_sent[0], shards_sent[1],
                "the second replica of a shard must not be probed"
            );
        }
    }
}

/// Many lost targets are no proof of a crashing request: once one retry is answered, the other shards must be retried.
#[test]
fn lost_targets_are_retried_after_one_answer() {
    let host = plain_host(8, AnswerPreference::Coverage, 1.0);
    host.budget.record_first_attempts(400);
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| {
        if attempt.number < 4 {
            return vec![(ms(3), AttemptResult::Lost)];
        }
        vec![(ms(5), reply(attempt, id, &[7]))]
    });
    driver.start(ms(0), find("s1", ms(500)));
    driver.run(ms(2000));
    assert_eq!(coverage_of(&driver.outcomes["s1"].1), 1.0);
    assert_eq!(host.counters.extra_attempts(), 4);
}

/// If a snapshot disappears during a search, the search must be pinned to another one, so that the answer is computed
/// from a single snapshot.
#[test]
fn snapshot_change() {
    let table = table(pool("stock", 1, 3), AnswerPreference::Coverage, 1.0);
    let host = host(profile(), table, &[8, 7]);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        if attempt.pin.snapshot == 8 && attempt.shard == 2 {
            return vec![(ms(4), refused(TargetRefusal::SnapshotMissing))];
        }
        vec![(ms(5 + u64::from(attempt.shard)), reply(attempt, id, &[8, 7]))]
    });
    driver.start(ms(0), find("s1", ms(300)));
    driver.run(ms(2000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    insta::assert_snapshot!(driver.text());
}

/// A search must be pinned to another snapshot at most once, even if that snapshot disappears as well.
#[test]
fn second_vanished_snapshot_leaves_a_partial_answer() {
    let table = table(pool("stock", 1, 3), AnswerPreference::Coverage, 0.5);
    let host = host(profile(), table, &[9, 8, 7]);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        if attempt.shard == 2 && 7 < attempt.pin.snapshot {
            return vec![(ms(4), refused(TargetRefusal::SnapshotMissing))];
        }
        vec![(ms(5), reply(attempt, id, &[9, 8, 7]))]
    });
    driver.start(ms(0), find("s1", ms(300)));
    driver.run(ms(2000));
    let (_, SessionOutcome::Answer(answer)) = &driver.outcomes["s1"] else {
        panic!("refused");
    };
    assert_eq!((answer.snapshot, answer.coverage.answered), (8, 2));
    assert_eq!(answer.coverage.missing[0].reason, MissingReason::SnapshotMissing);
}

/// If a repartition takes effect during a search and the old targets stop serving, the answer must still be computed
/// from a single shard map.
#[test]
fn repartition_mid_search() {
    let old = table(pool("stock", 1, 3), AnswerPreference::Coverage, 1.0);
    let host = host(profile(), old.clone(), &[7]);
    let mut new = old;
    new.revision = 2;
    add_map(new.pools.get_mut("stock").expect("the pool"), 2, 4);
    let entries = new.pools["stock"].targets.clone();
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| {
        if attempt.pin.shard_map == 1 && attempt.shard == 1 {
            return vec![(ms(4), refused(TargetRefusal::SnapshotMissing))];
        }
        vec![(ms(5), reply(attempt, id, &[7]))]
    });
    driver.start(ms(0), find("s1", ms(300)));
    driver.run(ms(1));
    host.install(std::sync::Arc::new(new));
    for entry in entries.iter().filter(|entry| entry.shard_map == 2) {
        host.record_marks(&entry.id, &marks(entry, &[9]), ms(1));
    }
    driver.run(ms(2000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    insta::assert_snapshot!(driver.text());
}

/// Once a failure domain is withdrawn, searches that are already running must not send any more attempts to it.
#[test]
fn withdrawal_reaches_running_searches() {
    let before = table(pool("stock", 1, 3), AnswerPreference::Coverage, 0.0);
    let host = host(profile(), before.clone(), &[7]);
    let mut after = before;
    after.revision = 2;
    let row = after.pools.get_mut("stock").expect("the pool");
    for domain in ["arequipa", "trujillo"] {
        row.domains.insert(domain.into(), vanillapick_model::failure_domain::DomainState::Out);
    }
    let out: Vec<_> =
        row.targets.iter().filter(|t| t.domain != "lima").map(|t| t.id.clone()).collect();
    let mut sent_late = Vec::new();
    let mut driver = Driver::new(host.clone(), 1, |attempt, _, now, _| {
        if Duration::ZERO < now {
            sent_late.push(attempt.target.clone());
        }
        vec![(ms(20), refused(TargetRefusal::Draining))]
    });
    driver.start(ms(0), find("s1", ms(300)));
    driver.run(ms(1));
    host.install(std::sync::Arc::new(after));
    driver.run(ms(2000));
    drop(driver);
    assert!(sent_late.iter().all(|target| !out.contains(target)), "{sent_late:?}");
}

/// A shard that is much slower than usual must be abandoned on routes that prefer latency, but not on routes that
/// prefer coverage.
#[test]
fn preference_decides_between_latency_and_coverage() {
    for (preference, gives_up) in
        [(AnswerPreference::Latency, true), (AnswerPreference::Coverage, false)]
    {
        let host = plain_host(4, preference, 0.5);
        let mut driver = Driver::new(host, 1, |attempt, id, now, _| {
            let is_slow = attempt.shard == 1 && ms(2000) <= now;
            vec![(ms(if is_slow { 200 } else { 5 }), reply(attempt, id, &[7]))]
        });
        for index in 0..100 {
            driver.start(ms(index * 20), find(&format!("s{index}"), ms(index * 20 + 500)));
        }
        driver.start(ms(2000), find("last", ms(2500)));
        driver.run(ms(4000));
        let (latency, SessionOutcome::Answer(answer)) = &driver.outcomes["last"] else {
            panic!("refused");
        };
        assert_eq!(*latency < ms(100), gives_up, "{preference:?}: {latency:?}");
        let reasons: Vec<_> = answer.coverage.missing.iter().map(|m| m.reason).collect();
        let expected: &[_] = if gives_up { &[MissingReason::GivenUp] } else { &[] };
        assert_eq!(reasons, expected, "{preference:?}");
    }
}

/// If all replicas of a shard are at their limits, the session must wait until one of them is free.
#[test]
fn waits_for_a_replica_at_its_limits() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    for target in host.view().targets() {
        target.set_limits(1, 1);
    }
    let mut max_in_flight = 0;
    let probe_host = host.clone();
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        max_in_flight =
            max_in_flight.max(probe_host.view().targets().map(|target| target.in_flight()).sum());
        vec![(ms(10), reply(attempt, id, &[7]))]
    });
    for index in 0..6 {
        driver.start(ms(0), get(&format!("r{index}"), ms(500)));
    }
    driver.run(ms(2000));
    for (id, (latency, outcome)) in &driver.outcomes {
        assert!(coverage_of(outcome) == 1.0 && *latency <= ms(60), "{id} {latency:?} {outcome:?}");
    }
    drop(driver);
    assert_eq!(max_in_flight, 2, "one request per target");
}

/// If all calls are refused by targets that shed load, retries must stay within the budget.
#[test]
fn shedding_targets_are_not_retried_beyond_the_budget() {
    let host = plain_host(10, AnswerPreference::Coverage, 1.0);
    let mut driver =
        Driver::new(host.clone(), 1, |_, _, _, _| vec![(ms(1), refused(TargetRefusal::Shed))]);
    driver.quiet = true;
    for index in 0..200 {
        driver.start(ms(index * 10), find(&format!("s{index}"), ms(index * 10 + 100)));
    }
    driver.run(ms(5000));
    let firsts = host.counters.first_attempts() as f64;
    let bound = firsts * 0.05 + (BURST_TOKENS + MAX_DEBT_TOKENS) as f64 + 3.0;
    assert!(host.counters.extra_attempts() as f64 <= bound);
    assert!(
        (host.counters.extra_attempts() as f64) < firsts * 0.05 + 25.0,
        "retries of shed calls must not overdraw the budget"
    );
}

/// If half of the targets become permanently slower, a route that prefers latency must not abandon their shards on
/// every request.
#[test]
fn permanently_slow_shards_are_not_abandoned_forever() {
    let host = plain_host(6, AnswerPreference::Latency, 0.5);
    let mut driver = Driver::new(host, 1, |attempt, id, now, _| {
        let is_slow = ms(2000) <= now && 3 <= attempt.shard;
        vec![(ms(if is_slow { 60 } else { 5 }), reply(attempt, id, &[7]))]
    });
    driver.quiet = true;
    for index in 0..1500 {
        driver.start(ms(index * 20), find(&format!("s{index}"), ms(index * 20 + 500)));
    }
    driver.run(ms(60_000));
    let full = |index: u32| coverage_of(&driver.outcomes[&format!("s{index}")].1) == 1.0;
    assert!((1000..1500).all(full), "still abandoned after 10 s");
}

/// Targets must not be considered lost if the driver closes the connections of cancelled attempts.
#[test]
fn cancelled_attempts_do_not_mark_targets_lost() {
    let host = plain_host(3, AnswerPreference::Coverage, 1.0);
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| {
        let is_slow = attempt.shard == 1 && attempt.target.ends_with('a');
        vec![(ms(if is_slow { 900 } else { 5 }), reply(attempt, id, &[7]))]
    });
    driver.cancelled_end = AttemptResult::Lost;
    for index in 0..10 {
        driver.start(ms(index), find(&format!("s{index}"), ms(index + 900)));
    }
    driver.run(ms(5000));
    assert!(host.view().targets().all(|target| !target.is_lost()));
}

/// Deadlines longer than the route's maximum must be shortened.
#[test]
fn route_limits_the_deadline() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let mut latest = ms(0);
    let mut driver = Driver::new(host, 1, |attempt, _, _, _| {
        latest = latest.max(attempt.deadline);
        vec![(ms(50_000), AttemptResult::TimedOut)]
    });
    driver.start(ms(0), find("s1", ms(40_000)));
    driver.run(ms(60_000));
    assert!(driver.outcomes["s1"].0 <= ms(1000));
    drop(driver);
    assert!(latest <= ms(1000));
}

/// Connections lost to targets that were already down must not be attributed to the request: a search that is sent to
/// two such targets is answered by the third, and no crash is recorded.
#[test]
fn losses_at_targets_already_down_are_not_attributed_to_requests() {
    let mut row = pool("stock", 1, 1);
    let mut third = row.targets[0].clone();
    third.id = "stock-1-0c".into();
    third.address.set_port(third.address.port() + 2000);
    row.targets.push(third);
    let table = table(row, AnswerPreference::Coverage, 1.0);
    let host = common::host(profile(), table, &[7]);
    for id in ["stock-1-0a", "stock-1-0b"] {
        host.view().target(id).expect("a target of the table").record_failure(ms(0));
    }
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| {
        if attempt.target == "stock-1-0c" {
            return vec![(ms(5), reply(attempt, id, &[7]))];
        }
        vec![(ms(1), AttemptResult::Lost)]
    });
    for index in 0..10 {
        driver.start(ms(10 + index * 50), find(&format!("s{index}"), ms(400 + index * 50)));
    }
    driver.run(ms(2000));
    for (id, (_, outcome)) in &driver.outcomes {
        assert!((coverage_of(outcome) - 1.0).abs() < f64::EPSILON, "{id}");
    }
    assert!(!host.crash_table().has_recent_crashes(ms(2000)));
}

/// A target that becomes slow must remain available to every host and not only to the owner of its cold start, because
/// a latency increase alone does not prove a cold start.
#[test]
fn slow_target_keeps_a_request_at_each_host() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let entry = host.view().table().pools["stock"].targets[0].clone();
    let target = host.view().target(&entry.id).expect("a target of the table").clone();
    target.apply_hosts(["another"], &host.profile.host, ms(0));
    let warm = common::marks(&entry, &[7]);
    target.record_usable_reply(&warm, ms(5), Some(ms(5)), ms(0));
    for index in 1..10 {
        target.record_usable_reply(&warm, ms(200), Some(ms(5)), ms(index));
    }
    assert!(target.is_cold(), "a latency step");
    assert_eq!(target.limit(), 1);
}
