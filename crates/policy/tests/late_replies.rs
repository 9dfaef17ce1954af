//! Tests that late, duplicate, reordered or mismatched replies never lead to wrong or mixed answers.

mod common;

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::answer::RunOutcome;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::AttemptSpec;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::counters::DropReason;

use crate::common::Driver;
use crate::common::find;
use crate::common::get;
use crate::common::host;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::pool;
use crate::common::profile;
use crate::common::refused;
use crate::common::reply;
use crate::common::table;

/// Creates a reply with one wrong header, or an invalid body. If it were accepted, its hit would appear in the answer.
fn wrong_reply(attempt: &AttemptSpec, id: &str, field: u32) -> AttemptResult {
    let mut result = reply(attempt, id, &[7]);
    let AttemptResult::Reply { tag, marks, body } = &mut result else { return result };
    marks.draining = field < 5;
    *body = Bytes::from_static(br#"{"hits":[{"id":"wrong","score":99.0}]}"#);
    match field {
        0 => tag.request_id = "other".into(),
        1 => tag.attempt += 1,
        2 => tag.shard += 1,
        3 => tag.shard_map += 1,
        4 => tag.snapshot += 1,
        _ => *body = Bytes::from_static(b"<html>"),
    }
    result
}

/// Each kind of mismatched reply must be dropped and counted with its own reason, and the shard must be answered by its
/// other replica. The marks of such a reply must not be applied to the called target.
#[test]
fn each_wrong_reply_is_dropped_and_counted() {
    let reasons = [
        DropReason::WrongRequest,
        DropReason::WrongAttempt,
        DropReason::WrongShard,
        DropReason::WrongShardMap,
        DropReason::WrongSnapshot,
        DropReason::BadBody,
    ];
    for (field, reason) in (0..).zip(reasons) {
        let host = plain_host(4, AnswerPreference::Coverage, 1.0);
        let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| {
            let is_wrong = attempt.number == 1;
            let result =
                if is_wrong { wrong_reply(attempt, id, field) } else { reply(attempt, id, &[7]) };
            vec![(ms(5), result)]
        });
        driver.start(ms(0), find("s1", ms(500)));
        driver.run(ms(2000));
        assert_eq!(host.counters.dropped_replies(reason), 1, "{reason}");
        assert!(host.view().targets().all(|target| !target.is_draining()), "{reason}");
        let (_, SessionOutcome::Answer(answer)) = &driver.outcomes["s1"] else {
            panic!("{reason}: not answered");
        };
        assert!(answer.coverage.is_full(), "{reason}");
        assert!(answer.hits.iter().all(|hit| hit.id != "wrong"), "{reason}");
    }
}

/// Replies that arrive after the deadline must be counted and must not change the answer.
#[test]
fn replies_after_the_deadline_do_not_count() {
    let host = plain_host(4, AnswerPreference::Coverage, 0.5);
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| {
        let delay = if attempt.shard == 3 { 205 } else { 5 };
        vec![(ms(delay), reply(attempt, id, &[7])), (ms(delay + 1), reply(attempt, id, &[7]))]
    });
    driver.start(ms(0), find("s1", ms(200)));
    driver.run(ms(2000));
    let (latency, SessionOutcome::Answer(answer)) = &driver.outcomes["s1"] else {
        panic!("not answered");
    };
    assert!(*latency <= ms(200));
    assert_eq!(answer.coverage.answered, 3);
    assert!(answer.hits.iter().all(|hit| hit.id != "d3"));
    assert!(
        0 < host.counters.dropped_replies(DropReason::Duplicate),
        "duplicate replies are counted"
    );
    assert_eq!(driver.in_flight(), 0, "a duplicate reply ends its attempt only once");
}

/// Replies at the first pin that arrive after the search was pinned to another snapshot must be dropped, so that two
/// snapshots are never mixed.
#[test]
fn replies_at_the_old_pin_do_not_count() {
    let table = table(pool("stock", 1, 3), AnswerPreference::Coverage, 1.0);
    let host = host(profile(), table, &[8, 7]);
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| {
        if attempt.pin.snapshot == 8 && attempt.shard == 2 {
            return vec![(ms(4), refused(TargetRefusal::SnapshotMissing))];
        }
        let mut result = reply(attempt, id, &[8, 7]);
        if attempt.pin.snapshot == 8
            && let AttemptResult::Reply { body, .. } = &mut result
        {
            *body = Bytes::from_static(br#"{"hits":[{"id":"old","score":99.0}]}"#);
        }
        let delay = if attempt.pin.snapshot == 8 { 10 } else { 30 };
        vec![(ms(delay), result)]
    });
    driver.honors_cancel = false;
    driver.start(ms(0), find("s1", ms(300)));
    driver.run(ms(2000));
    let (_, SessionOutcome::Answer(answer)) = &driver.outcomes["s1"] else {
        panic!("not answered");
    };
    assert_eq!((answer.snapshot, answer.coverage.answered), (7, 3));
    assert!(answer.hits.iter().all(|hit| hit.id != "old"), "{answer:?}");
    assert_eq!(host.counters.dropped_replies(DropReason::OldPin), 2);
}

/// If both attempts of a hedged shard are answered, its hits must be merged only once.
#[test]
fn both_replies_of_a_hedged_shard_count_once() {
    let host = plain_host(4, AnswerPreference::Coverage, 1.0);
    let mut driver = Driver::new(host.clone(), 1, |attempt, id, _, _| {
        let delay = match (attempt.shard, attempt.number) {
            (2, 0..4) => 110,
            (3, 0..4) => 130,
            (3, _) => 60,
            _ => 5,
        };
        vec![(ms(delay), reply(attempt, id, &[7]))]
    });
    driver.honors_cancel = false;
    driver.start(ms(0), find("s1", ms(150)));
    driver.run(ms(2000));
    let (_, SessionOutcome::Answer(answer)) = &driver.outcomes["s1"] else {
        panic!("not answered");
    };
    let hits: Vec<_> = answer.hits.iter().map(|hit| hit.id.as_str()).collect();
    assert_eq!(hits, ["d3", "d2", "d1"]);
    assert!(answer.coverage.is_full());
    assert_eq!(host.counters.dropped_replies(DropReason::HedgeLost), 1);
}

fn random_results(
    attempt: &AttemptSpec,
    id: &str,
    rng: &mut ChaCha8Rng,
) -> Vec<(Duration, AttemptResult)> {
    let delay = ms(rng.random_range(1..400));
    let result = match rng.random_range(0..10) {
        0 => wrong_reply(attempt, id, rng.random_range(0..6)),
        1 => AttemptResult::Lost,
        2 => AttemptResult::NotSent,
        3 => AttemptResult::Malformed,
        4 => AttemptResult::TimedOut,
        _ => reply(attempt, id, &[7]),
    };
    let mut results = vec![(delay, result)];
    if rng.random::<bool>() {
        results.push((delay + ms(rng.random_range(1..50)), reply(attempt, id, &[7])));
    }
    results
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// For any replies, each request must be answered once and in time, with exactly the hits of the shards counted in
    /// its coverage, and no attempt may stay in flight.
    #[test]
    fn answers_are_correct_for_any_replies(seed in any::<u64>()) {
        let host = plain_host(6, AnswerPreference::Coverage, 0.3);
        let mut driver = Driver::new(host, seed, |attempt, id, _, rng| random_results(attempt, id, rng));
        driver.honors_cancel = seed % 2 == 0;
        for index in 0..8 {
            let at = ms(index * 30);
            driver.start(at, find(&format!("s{index}"), at + ms(300)));
            driver.start(at, get(&format!("r{index}"), at + ms(300)));
        }
        driver.run(ms(5000));
        assert_eq!(driver.outcomes.len(), 16);
        assert_eq!(driver.in_flight(), 0);
        for (id, (latency, outcome)) in &driver.outcomes {
            assert!(*latency <= ms(300), "{id} took {latency:?}");
            check(id, outcome);
        }
    }
}

fn check(id: &str, outcome: &SessionOutcome) {
    match outcome {
        SessionOutcome::Answer(answer) => {
            let coverage = &answer.coverage;
            assert_eq!(answer.request_id, id);
            assert_eq!(coverage.answered as usize + coverage.missing.len(), 6);
            let is_missing =
                |shard: u32| coverage.missing.iter().any(|missing| missing.shard == shard);
            let best: Vec<_> = (0..6)
                .rev()
                .filter(|shard| !is_missing(*shard))
                .take(3)
                .map(|shard| format!("d{shard}"))
                .collect();
            let hits: Vec<_> = answer.hits.iter().map(|hit| hit.id.clone()).collect();
            assert_eq!(hits, best, "{id}");
        }
        SessionOutcome::Reply(reply) => assert_eq!(reply.pin.snapshot, 7),
        SessionOutcome::Refused(refusal) => {
            assert!(
                refusal.outcome == RunOutcome::Unknown || refusal.code.to_string() == "no_replica"
            );
        }
    }
}
