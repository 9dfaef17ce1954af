//! Tests that writes are executed at most once, for failures before, during and after sending and for all claim
//! results.

mod common;

use bytes::Bytes;
use vanillapick_model::answer::RunOutcome;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::ClaimResult;

use crate::common::Driver;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::put;
use crate::common::refused;
use crate::common::reply;

/// Runs a write with an idempotency key. Its first attempt ends with `first`, or is answered if `first` is `None`.
fn run(first: Option<AttemptResult>, delay: u64, claim: (u64, ClaimResult)) -> String {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        let result = match &first {
            Some(result) if attempt.number == 0 => result.clone(),
            _ => reply(attempt, id, &[7]),
        };
        vec![(ms(delay), result)]
    });
    driver.claim = (ms(claim.0), claim.1);
    driver.start(ms(0), put("w1", ms(200), Some("k1")));
    driver.run(ms(2000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    driver.text()
}

#[test]
fn ends_of_the_attempt() {
    let cases = [
        ("answered", None, 5),
        ("not sent", Some(AttemptResult::NotSent), 5),
        ("refused", Some(refused(TargetRefusal::Shed)), 5),
        ("lost", Some(AttemptResult::Lost), 5),
        ("malformed", Some(AttemptResult::Malformed), 5),
        ("timed out", Some(AttemptResult::TimedOut), 999),
        ("answered after the deadline", None, 400),
        ("shed after the deadline", Some(refused(TargetRefusal::Shed)), 400),
        ("refused after the deadline", Some(refused(TargetRefusal::Deadline)), 400),
    ];
    let text: Vec<_> = cases
        .into_iter()
        .map(|(name, first, delay)| {
            format!("{name}\n{}", run(first, delay, (3, ClaimResult::Held)))
        })
        .collect();
    insta::assert_snapshot!(text.join("\n"));
}

#[test]
fn results_of_the_claim() {
    let cases = [
        ("ran before", 3, ClaimResult::AlreadyRan(Bytes::from_static(b"7"))),
        ("in progress", 3, ClaimResult::InProgress),
        ("unavailable", 3, ClaimResult::Unavailable),
        ("held after the deadline", 400, ClaimResult::Held),
        ("unavailable after the deadline", 400, ClaimResult::Unavailable),
    ];
    let text: Vec<_> = cases
        .into_iter()
        .map(|(name, delay, claim)| format!("{name}\n{}", run(None, 5, (delay, claim))))
        .collect();
    insta::assert_snapshot!(text.join("\n"));
}

/// A write that is refused by all targets must end as not executed and must be sent at most once to each target.
#[test]
fn refused_everywhere_is_not_run() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let mut called = Vec::new();
    let mut driver = Driver::new(host, 1, |attempt, _, _, _| {
        called.push(attempt.target.clone());
        vec![(ms(2), refused(TargetRefusal::Draining))]
    });
    driver.start(ms(0), put("w1", ms(200), None));
    driver.run(ms(2000));
    let (_, outcome) = &driver.outcomes["w1"];
    let vanillapick_policy::attempt::SessionOutcome::Refused(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    drop(driver);
    called.sort();
    assert_eq!(called, ["stock-1-0a", "stock-1-0b"]);
}
