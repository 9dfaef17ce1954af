//! Snapshot tests of complete sessions in virtual time.

mod common;

use vanillapick_model::call::TargetRefusal;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_policy::attempt::AttemptPurpose;
use vanillapick_policy::attempt::AttemptResult;

use crate::common::Driver;
use crate::common::find;
use crate::common::get;
use crate::common::host;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::pool;
use crate::common::profile;
use crate::common::put;
use crate::common::refused;
use crate::common::reply;
use crate::common::table;

/// Without failures, all kinds of sessions send one attempt per shard and return the best hits with full coverage.
#[test]
fn plain_sessions() {
    let host = plain_host(4, AnswerPreference::Latency, 1.0);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        vec![(ms(5 + u64::from(attempt.shard)), reply(attempt, id, &[7]))]
    });
    driver.start(ms(0), find("s1", ms(500)));
    driver.start(ms(100), get("r1", ms(500)));
    driver.start(ms(200), put("w1", ms(500), Some("k1")));
    driver.run(ms(2000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    insta::assert_snapshot!(driver.text());
}

/// If a replica does not reply, the search must send a hedge to another replica instead of waiting.
#[test]
fn silent_replica_is_hedged() {
    let host = plain_host(4, AnswerPreference::Coverage, 1.0);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        if attempt.shard == 2 && attempt.purpose == AttemptPurpose::First {
            return vec![(ms(9999), AttemptResult::TimedOut)];
        }
        vec![(ms(5), reply(attempt, id, &[7]))]
    });
    driver.start(ms(0), find("s1", ms(300)));
    driver.run(ms(2000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    insta::assert_snapshot!(driver.text());
}

/// If a shard does not reply, the search must return a partial answer with a correct coverage report before the
/// deadline.
#[test]
fn deadline_gives_a_partial_answer() {
    let host = plain_host(4, AnswerPreference::Coverage, 0.5);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| {
        if attempt.shard == 2 {
            return vec![(ms(9999), AttemptResult::TimedOut)];
        }
        vec![(ms(5), reply(attempt, id, &[7]))]
    });
    driver.start(ms(0), find("s1", ms(300)));
    driver.run(ms(2000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    insta::assert_snapshot!(driver.text());
}

/// A read must be hedged if its replica does not reply, and pinned to another snapshot if its snapshot disappears.
#[test]
fn read_is_hedged_and_repinned() {
    let table = table(pool("stock", 1, 2), AnswerPreference::Coverage, 1.0);
    let host = host(profile(), table, &[8, 7]);
    let mut driver = Driver::new(host, 1, |attempt, id, _, _| match (id, attempt.number) {
        ("silent", 0) => vec![(ms(9999), AttemptResult::TimedOut)],
        ("vanished", 0 | 1) => vec![(ms(4), refused(TargetRefusal::SnapshotMissing))],
        _ => vec![(ms(5), reply(attempt, id, &[8, 7]))],
    });
    driver.start(ms(0), get("silent", ms(300)));
    driver.start(ms(1000), get("vanished", ms(1300)));
    driver.run(ms(3000));
    assert_eq!(driver.in_flight(), 0, "every started attempt ends exactly once");
    insta::assert_snapshot!(driver.text());
}
