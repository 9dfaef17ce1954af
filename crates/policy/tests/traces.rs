//! Tests that recorded sessions replay to the same actions, and stored trace files to their recorded outcomes.

mod common;

use std::fs;
use std::path::Path;

use vanillapick_model::call::TargetRefusal;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::request::SessionRequest;
use vanillapick_policy::trace::SessionTrace;
use vanillapick_policy::trace::TraceHead;

use crate::common::Driver;
use crate::common::find;
use crate::common::get;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::put;
use crate::common::refused;
use crate::common::reply;

const SEED: u64 = 11;

/// Records a single session with a timed-out, a lost and a refused attempt.
fn record(request: SessionRequest) -> SessionTrace {
    let host = plain_host(5, AnswerPreference::Coverage, 0.5);
    let head = TraceHead::capture(&host, request.clone(), SEED, ms(0));
    let mut driver =
        Driver::new(host, SEED, |attempt, id, _, _| match (attempt.number, attempt.shard) {
            (0, 0) => vec![(ms(3), AttemptResult::Lost)],
            (_, 2) => vec![(ms(4), refused(TargetRefusal::Draining))],
            (3, 3) => vec![(ms(9999), AttemptResult::TimedOut)],
            _ => vec![(ms(6), reply(attempt, id, &[7]))],
        });
    driver.start(ms(0), request);
    driver.run(ms(2000));
    SessionTrace { head, steps: driver.steps_taken }
}

#[test]
fn recorded_sessions_replay() {
    let requests = [find("s1", ms(200)), get("r1", ms(200)), put("w1", ms(200), Some("key"))];
    for request in requests {
        let trace = record(request);
        let copy = SessionTrace::from_lines(&trace.to_lines()).expect("a complete trace");
        let replay = copy.replay();
        assert!(replay.matches(), "{replay:#?}");
        assert_eq!(replay.actions, trace.replay().actions);
    }
}

/// The files in tests/traces were recorded by `record` and reveal changes of the decision logic. Set VANILLAPICK_RECORD
/// to update them.
#[test]
fn kept_traces_replay_to_their_outcomes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    if std::env::var_os("VANILLAPICK_RECORD").is_some() {
        fs::create_dir_all(&folder).expect("the folder can be made");
        fs::write(folder.join("search.jsonl"), record(find("s1", ms(200))).to_lines())
            .expect("the file can be written");
    }
    let text = fs::read_to_string(folder.join("search.jsonl")).expect("the kept trace");
    let replay = SessionTrace::from_lines(&text).expect("a complete trace").replay();
    assert!(replay.matches(), "{replay:#?}");
    insta::assert_snapshot!(replay.actions.join("\n"));
}

/// Parsing must report all errors of a trace with their line numbers.
#[test]
fn errors_are_reported_together() {
    let errors = SessionTrace::from_lines("{}\n{\"wake\":3}\n").expect_err("not a trace");
    let lines: Vec<_> = errors.iter().map(|error| error.line).collect();
    assert_eq!(lines, [1, 2]);
}
