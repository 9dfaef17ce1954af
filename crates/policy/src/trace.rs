//! Records of single sessions, and their replay.
//!
//! A trace is a text of JSON lines: one [`TraceHead`], then one [`TraceStep`] a line, then the outcome. Replay starts
//! from a host without latency history, in-flight requests or spent budget, so it repeats a session exactly when the
//! session ran alone on a fresh host; of any other it shows what the host would have done without that history.
//!
//! [`SessionTrace::replay`] repeats the recorded events with their attempt numbers. [`SessionTrace::replay_lenient`]
//! gives the recorded results of targets to whatever the session asks for, so it also serves after decisions changed.

pub mod lenient_replay;
mod recorded_results;

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::target::TargetId;

use crate::attempt::AttemptEvent;
use crate::attempt::AttemptOrder;
use crate::attempt::ClaimResult;
use crate::attempt::SessionAction;
use crate::attempt::SessionOutcome;
use crate::host_state::HostProfile;
use crate::host_state::HostState;
use crate::request::SessionRequest;
use crate::session::RequestSession;

/// What a session started from.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TraceHead {
    /// The host.
    pub profile: HostProfile,
    /// The configuration in force.
    pub table: ConfigTable,
    /// Latest marks of the targets.
    pub marks: Vec<(TargetId, TargetMarks)>,
    /// This host's limits of running requests and connections.
    #[serde(default)]
    pub limits: Vec<(TargetId, u32, u32)>,
    /// Seed of the session's randomness.
    pub seed: u64,
    /// Decision time of the start.
    pub at: Duration,
    /// The request.
    pub request: SessionRequest,
    /// Whether the session started as that of a request that may crash targets.
    #[serde(default)]
    pub cautious: bool,
    /// How a lenient replay ends an attempt at a target without a recorded result left.
    #[serde(default)]
    pub unrecorded: UnrecordedEnd,
}

/// How a lenient replay ends an attempt for which the trace has no result.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnrecordedEnd {
    /// An empty reply after the usual latency of the target in the trace.
    #[default]
    UsualReply,
    /// The connection is lost.
    Lost,
}

impl TraceHead {
    /// What a session of `request` starts from when it starts at `at` with randomness from `seed`.
    pub fn capture(host: &HostState, request: SessionRequest, seed: u64, at: Duration) -> Self {
        let view = host.view();
        let mut targets: Vec<_> = view.targets().collect();
        targets.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        let marks = targets.iter().filter_map(|target| {
            let marks = target.marks();
            Some((target.id.clone(), TargetMarks::clone(marks.as_ref()?)))
        });
        let limits = targets
            .iter()
            .map(|target| (target.id.clone(), target.running_limit(), target.connection_limit()));
        Self {
            profile: host.profile.clone(),
            table: ConfigTable::clone(view.table()),
            marks: marks.collect(),
            limits: limits.collect(),
            seed,
            at,
            request,
            cautious: false,
            unrecorded: UnrecordedEnd::default(),
        }
    }

    /// A host in the state that the head describes.
    fn host(&self) -> Arc<HostState> {
        let host = Arc::new(HostState::new(self.profile.clone()));
        host.install(Arc::new(self.table.clone()));
        for (target, marks) in &self.marks {
            host.record_marks(target, marks, Duration::ZERO);
        }
        let view = host.view();
        for (target, running, connections) in &self.limits {
            if let Some(target) = view.target(target) {
                target.set_limits(*running, *connections);
            }
        }
        host
    }

    fn start(
        &self,
        host: &Arc<HostState>,
        rng: &mut ChaCha8Rng,
    ) -> (RequestSession, Vec<SessionAction>) {
        let start = match self.cautious {
            true => RequestSession::start_cautious,
            false => RequestSession::start,
        };
        start(host, self.request.clone(), self.at, rng)
    }
}

/// What happened to a session, in order.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceStep {
    /// The session ordered an attempt. Only a lenient replay reads it.
    Sent(Duration, AttemptOrder),
    /// An attempt ended.
    Event(Duration, AttemptEvent),
    /// The claim of the idempotency key had a result.
    Claim(Duration, ClaimResult),
    /// The session was woken.
    Wake(Duration),
    /// The caller cancelled.
    Cancel(Duration),
    /// The fingerprint of the request was marked as crashing targets.
    CrashMark(Duration),
    /// Another configuration came into force.
    Install(Duration, ConfigTable),
    /// A target said something about itself.
    Marks(Duration, TargetId, TargetMarks),
    /// The caller received this; the stated outcome of the trace.
    Outcome(Duration, SessionOutcome),
}

/// One session.
#[derive(Clone, Debug)]
pub struct SessionTrace {
    /// What it started from.
    pub head: TraceHead,
    /// What happened to it.
    pub steps: Vec<TraceStep>,
}

/// A trace that cannot be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("line {line}: {label}; {help}")]
pub struct TraceFault {
    /// Line of the trace, from 1.
    pub line: usize,
    /// What is wrong.
    pub label: String,
    /// What to write instead.
    pub help: &'static str,
}

/// What a replay gave.
#[derive(Clone, Debug)]
pub struct TraceReplay {
    /// Actions of the session, one a line: time in microseconds, then the action as JSON.
    pub actions: Vec<String>,
    /// What the caller received, as JSON.
    pub outcome: Option<String>,
    /// What the caller received according to the trace, as JSON.
    pub stated: Option<String>,
}

impl TraceReplay {
    /// Whether the caller received what the trace states.
    pub fn matches(&self) -> bool {
        self.outcome == self.stated
    }
}

impl SessionTrace {
    /// The trace as JSON lines.
    pub fn to_lines(&self) -> String {
        let mut lines = vec![json(&self.head)];
        lines.extend(self.steps.iter().map(json));
        lines.join("\n") + "\n"
    }

    /// Reads JSON lines; all faults are reported together.
    pub fn from_lines(text: &str) -> Result<Self, Vec<TraceFault>> {
        let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let mut faults = Vec::new();
        let head = match lines.next() {
            Some((index, line)) => read(index, line, "write a trace head", &mut faults),
            None => {
                let label = "the trace is empty".to_owned();
                faults.push(TraceFault { line: 1, label, help: "write a trace head" });
                None
            }
        };
        let steps = lines
            .filter_map(|(index, line)| read(index, line, "write a trace step", &mut faults))
            .collect();
        match head {
            Some(head) if faults.is_empty() => Ok(Self { head, steps }),
            _ => Err(faults),
        }
    }

    /// Runs the session again.
    pub fn replay(&self) -> TraceReplay {
        let head = &self.head;
        let host = head.host();
        let mut rng = ChaCha8Rng::seed_from_u64(head.seed);
        let mut replay = TraceReplay { actions: Vec::new(), outcome: None, stated: None };
        let (mut session, actions) = head.start(&host, &mut rng);
        replay.note(head.at, &actions);
        for step in &self.steps {
            let (at, actions) = match step.clone() {
                TraceStep::Sent(at, _) => (at, Vec::new()),
                TraceStep::Event(at, event) => (at, session.on_event(event, at, &mut rng)),
                TraceStep::Claim(at, result) => (at, session.on_claim(result, at, &mut rng)),
                TraceStep::Wake(at) => (at, session.on_wake(at, &mut rng)),
                TraceStep::Cancel(at) => (at, session.on_cancel(at)),
                TraceStep::CrashMark(at) => (at, session.on_crash_mark(at)),
                TraceStep::Install(at, table) => {
                    host.install(Arc::new(table));
                    (at, Vec::new())
                }
                TraceStep::Marks(at, target, marks) => {
                    host.record_marks(&target, &marks, at);
                    (at, Vec::new())
                }
                TraceStep::Outcome(at, outcome) => {
                    replay.stated = Some(json(&outcome));
                    (at, Vec::new())
                }
            };
            replay.note(at, &actions);
        }
        replay
    }
}

impl TraceReplay {
    fn note(&mut self, at: Duration, actions: &[SessionAction]) {
        for action in actions {
            self.actions.push(format!("{} {}", at.as_micros(), json(action)));
            if let SessionAction::Finish(outcome) = action {
                self.outcome = Some(json(outcome));
            }
        }
    }
}

fn read<T: for<'de> Deserialize<'de>>(
    index: usize,
    line: &str,
    help: &'static str,
    faults: &mut Vec<TraceFault>,
) -> Option<T> {
    match serde_json::from_str(line) {
        Ok(value) => Some(value),
        Err(error) => {
            faults.push(TraceFault { line: index + 1, label: error.to_string(), help });
            None
        }
    }
}

/// JSON of a type of this crate. Their maps have text keys and their numbers are finite, so this does not fail.
fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
