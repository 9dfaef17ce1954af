//! Recording and replay of sessions.
//!
//! A trace consists of JSON lines: a [`TraceHead`], one [`TraceStep`] per line, and the outcome. Replay starts with a
//! host that has no latency history, in-flight requests or used budget. It therefore reproduces a session exactly only
//! if the session ran alone on a newly started host; otherwise it shows what the host would have done without that
//! history.
//!
//! [`SessionTrace::replay`] repeats the recorded events with their attempt numbers. [`SessionTrace::replay_lenient`]
//! matches recorded target results to the attempts of the replayed session, so it also works after changes to the
//! decision logic.

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
use crate::attempt::AttemptSpec;
use crate::attempt::ClaimResult;
use crate::attempt::SessionAction;
use crate::attempt::SessionOutcome;
use crate::host_state::HostProfile;
use crate::host_state::HostState;
use crate::request::SessionRequest;
use crate::session::RequestSession;

/// Initial state of a recorded session.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TraceHead {
    /// Settings of the host.
    pub profile: HostProfile,
    /// Active configuration.
    pub table: ConfigTable,
    /// Last known status of each target.
    pub marks: Vec<(TargetId, TargetMarks)>,
    /// This host's limits for each target: running requests and connections.
    #[serde(default)]
    pub limits: Vec<(TargetId, u32, u32)>,
    /// Seed of the session's random number generator.
    pub seed: u64,
    /// Monotonic start time.
    pub at: Duration,
    /// Validated caller request.
    pub request: SessionRequest,
    /// Whether the request was suspected of crashing targets.
    #[serde(default)]
    pub cautious: bool,
    /// How a lenient replay ends attempts for which no recorded result is left.
    #[serde(default)]
    pub unrecorded: UnrecordedResult,
}

/// How a lenient replay ends attempts without a recorded result.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnrecordedResult {
    /// Empty reply after the median recorded latency of the target.
    #[default]
    UsualReply,
    /// Lost connection.
    Lost,
}

impl TraceHead {
    /// Captures the initial state of a session for `request` that starts at `at` with the random seed `seed`.
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
            unrecorded: UnrecordedResult::default(),
        }
    }

    /// Creates a host in the recorded initial state.
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

/// Recorded event of a session, with its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceStep {
    /// The session sent an attempt. Only used by lenient replay.
    Sent(Duration, AttemptSpec),
    /// An attempt has ended.
    Event(Duration, AttemptEvent),
    /// The idempotency key claim completed.
    Claim(Duration, ClaimResult),
    /// The wake-up time of the session was reached.
    Wake(Duration),
    /// The caller cancelled the request.
    Cancel(Duration),
    /// The request was marked as crashing targets.
    CrashMark(Duration),
    /// A new configuration was installed.
    Install(Duration, ConfigTable),
    /// A target reported its status.
    Marks(Duration, TargetId, TargetMarks),
    /// The caller received the final outcome.
    Outcome(Duration, SessionOutcome),
}

/// Recording of a session.
#[derive(Clone, Debug)]
pub struct SessionTrace {
    /// Initial state.
    pub head: TraceHead,
    /// Events in chronological order.
    pub steps: Vec<TraceStep>,
}

/// Error in a line of a trace.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("line {line}: {label}; {help}")]
pub struct TraceError {
    /// One-based line number.
    pub line: usize,
    /// Description of the error.
    pub label: String,
    /// How to fix the error.
    pub help: &'static str,
}

/// Result of an exact replay.
#[derive(Clone, Debug)]
pub struct TraceReplay {
    /// Actions of the session, each formatted as its time in microseconds and its JSON representation.
    pub actions: Vec<String>,
    /// Replayed outcome as JSON.
    pub outcome: Option<String>,
    /// Outcome stored in the trace, as JSON.
    pub recorded_outcome: Option<String>,
}

impl TraceReplay {
    /// Returns whether the replayed outcome equals the recorded one.
    pub fn matches(&self) -> bool {
        self.outcome == self.recorded_outcome
    }
}

impl SessionTrace {
    /// Serializes the trace as JSON lines.
    pub fn to_lines(&self) -> String {
        let mut lines = vec![json(&self.head)];
        lines.extend(self.steps.iter().map(json));
        lines.join("\n") + "\n"
    }

    /// Parses JSON lines and reports all errors together.
    pub fn from_lines(text: &str) -> Result<Self, Vec<TraceError>> {
        let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let mut errors = Vec::new();
        let head = match lines.next() {
            Some((index, line)) => read(index, line, "write a trace head", &mut errors),
            None => {
                let label = "the trace is empty".to_owned();
                errors.push(TraceError { line: 1, label, help: "write a trace head" });
                None
            }
        };
        let steps = lines
            .filter_map(|(index, line)| read(index, line, "write a trace step", &mut errors))
            .collect();
        match head {
            Some(head) if errors.is_empty() => Ok(Self { head, steps }),
            _ => Err(errors),
        }
    }

    /// Replays the recorded events exactly.
    pub fn replay(&self) -> TraceReplay {
        let head = &self.head;
        let host = head.host();
        let mut rng = ChaCha8Rng::seed_from_u64(head.seed);
        let mut replay = TraceReplay { actions: Vec::new(), outcome: None, recorded_outcome: None };
        let (mut session, actions) = head.start(&host, &mut rng);
        replay.record(head.at, &actions);
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
                    replay.recorded_outcome = Some(json(&outcome));
                    (at, Vec::new())
                }
            };
            replay.record(at, &actions);
        }
        replay
    }
}

impl TraceReplay {
    fn record(&mut self, at: Duration, actions: &[SessionAction]) {
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
    errors: &mut Vec<TraceError>,
) -> Option<T> {
    match serde_json::from_str(line) {
        Ok(value) => Some(value),
        Err(error) => {
            errors.push(TraceError { line: index + 1, label: error.to_string(), help });
            None
        }
    }
}

/// Serializes a type of this crate as JSON. This cannot fail, because all maps have string keys and all numbers are
/// finite.
fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
