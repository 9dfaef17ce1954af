//! Lenient replay must reach the recorded outcome as long as decisions do not differ from the recording.
//!
//! The traces are stored in the `traces` folder of the repository. Set VANILLAPICK_RECORD to record them again.

mod common;

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use vanillapick_model::call::TargetRefusal;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_policy::attempt::AttemptPurpose;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::AttemptSpec;
use vanillapick_policy::attempt::ClaimResult;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::host_state::HostState;
use vanillapick_policy::request::SessionRequest;
use vanillapick_policy::trace::SessionTrace;
use vanillapick_policy::trace::TraceHead;
use vanillapick_policy::trace::TraceStep;
use vanillapick_policy::trace::UnrecordedResult;

use crate::common::Driver;
use crate::common::find;
use crate::common::host;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::pool;
use crate::common::profile;
use crate::common::put;
use crate::common::refused;
use crate::common::reply;
use crate::common::table;

const SEED: u64 = 17;

type AttemptEnds = Vec<(Duration, AttemptResult)>;

fn full_coverage_host() -> Arc<HostState> {
    plain_host(20, AnswerPreference::Coverage, 1.0)
}

/// Successful reply of a target after 5 to 9 ms, depending on the shard.
fn typical_replies(attempt: &AttemptSpec, id: &str) -> AttemptEnds {
    vec![(ms(5 + u64::from(attempt.shard % 5)), reply(attempt, id, &[7]))]
}

fn record(
    host: Arc<HostState>,
    request: SessionRequest,
    claim: (Duration, ClaimResult),
    mut ends: impl FnMut(&AttemptSpec, &str) -> AttemptEnds,
) -> SessionTrace {
    let head = TraceHead::capture(&host, request.clone(), SEED, ms(0));
    let mut driver = Driver::new(host, SEED, |attempt, id, _, _| ends(attempt, id));
    driver.claim = claim;
    driver.start(ms(0), request);
    driver.run(ms(5000));
    SessionTrace { head, steps: driver.steps_taken }
}

fn held() -> (Duration, ClaimResult) {
    (ms(3), ClaimResult::Held)
}

fn straggler() -> SessionTrace {
    record(full_coverage_host(), find("straggler", ms(900)), held(), |attempt, id| {
        if attempt.shard == 3 && attempt.purpose == AttemptPurpose::First {
            return vec![(ms(800), reply(attempt, id, &[7]))];
        }
        typical_replies(attempt, id)
    })
}

fn replica_loss() -> SessionTrace {
    record(full_coverage_host(), find("replica-loss", ms(900)), held(), |attempt, id| {
        if [4, 11].contains(&attempt.shard) && attempt.purpose == AttemptPurpose::First {
            return vec![(ms(4), AttemptResult::Lost)];
        }
        typical_replies(attempt, id)
    })
}

fn snapshot_change() -> SessionTrace {
    let table = table(pool("stock", 1, 20), AnswerPreference::Coverage, 1.0);
    let host = host(profile(), table, &[8, 7]);
    record(host, find("snapshot-change", ms(900)), held(), |attempt, id| {
        if attempt.pin.snapshot == 8 && attempt.shard == 2 {
            return vec![(ms(4), refused(TargetRefusal::SnapshotMissing))];
        }
        vec![(ms(5 + u64::from(attempt.shard % 5)), reply(attempt, id, &[8, 7]))]
    })
}

fn overload() -> SessionTrace {
    let host = plain_host(20, AnswerPreference::Coverage, 0.9);
    record(host, find("overload", ms(400)), held(), |attempt, id| {
        let is_shed = match attempt.shard {
            2 | 9 | 16 => attempt.purpose == AttemptPurpose::First,
            5 => true,
            _ => false,
        };
        if is_shed {
            return vec![(ms(1), refused(TargetRefusal::Shed))];
        }
        typical_replies(attempt, id)
    })
}

/// The request crashes every target, including targets without a recorded result.
fn crashing_request() -> SessionTrace {
    let lost = |attempt: &AttemptSpec, _: &str| -> AttemptEnds {
        vec![(ms(3 + u64::from(attempt.shard % 2)), AttemptResult::Lost)]
    };
    let mut trace = record(full_coverage_host(), find("crashing-request", ms(900)), held(), lost);
    trace.head.unrecorded = UnrecordedResult::Lost;
    trace
}

fn lost_claim_reply() -> SessionTrace {
    let claim = (ms(400), ClaimResult::Unavailable);
    let request = put("lost-claim-reply", ms(900), Some("reorder-17"));
    record(full_coverage_host(), request, claim, typical_replies)
}

fn lost_write() -> SessionTrace {
    let request = put("lost-write", ms(900), Some("reorder-18"));
    record(full_coverage_host(), request, held(), |_, _| vec![(ms(6), AttemptResult::Lost)])
}

fn incidents() -> [SessionTrace; 7] {
    [
        straggler(),
        replica_loss(),
        snapshot_change(),
        overload(),
        crashing_request(),
        lost_claim_reply(),
        lost_write(),
    ]
}

#[test]
fn lenient_replay_comes_to_the_recorded_outcome() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    for trace in incidents() {
        let id = trace.head.request.request_id();
        if std::env::var_os("VANILLAPICK_RECORD").is_some() {
            fs::create_dir_all(&folder).expect("the folder can be made");
            fs::write(folder.join(format!("{id}.jsonl")), trace.to_lines())
                .expect("the file can be written");
        }
        assert!(trace.replay().matches(), "{id}: exact replay differs");
        let recorded = trace.steps.iter().find_map(|step| match step {
            TraceStep::Outcome(at, outcome) => Some((*at, format!("{outcome:?}"))),
            _ => None,
        });
        let replay = trace.replay_lenient();
        let outcome = replay.outcome().map(|(at, outcome)| (at, format!("{outcome:?}")));
        assert_eq!(outcome, recorded, "{id}");
        assert!(replay.is_idle, "{id}");
    }
}

/// A replay must assign results by target and not by attempt number. A host in another failure domain prefers other
/// replicas; the results then belong to the same targets as before, and the search is still answered in full.
#[test]
fn results_stay_with_their_targets_when_choices_change() {
    let recorded: Vec<_> = straggler().replay_lenient().attempts().map(target_of).collect();
    for domain in ["arequipa", "trujillo"] {
        let mut trace = straggler();
        trace.head.profile.domain = domain.into();
        let replay = trace.replay_lenient();
        let attempts: Vec<_> = replay.attempts().map(target_of).collect();
        assert_ne!(attempts[3], recorded[3], "{domain}: the straggler must not be chosen");
        let Some((at, SessionOutcome::Answer(answer))) = replay.outcome() else {
            panic!("{domain}: {:?}", replay.outcome());
        };
        assert!(answer.coverage.is_full(), "{domain}: {answer:?}");
        assert!(at < ms(200), "{domain}: {at:?}");
    }
}

fn target_of((_, attempt): (Duration, &AttemptSpec)) -> String {
    attempt.target.clone()
}
