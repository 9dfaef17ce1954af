//! Replay that tolerates changed decision logic: targets behave as recorded, while the session makes its own decisions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::call::AttemptNumber;
use vanillapick_model::call::TargetRefusal;

use crate::attempt::AttemptEvent;
use crate::attempt::AttemptResult;
use crate::attempt::AttemptSpec;
use crate::attempt::ClaimResult;
use crate::attempt::SessionAction;
use crate::attempt::SessionOutcome;
use crate::host_state::HostState;
use crate::session::RequestSession;
use crate::trace::SessionTrace;
use crate::trace::TraceStep;
use crate::trace::recorded_results::RecordedResults;

/// Time until a target confirms a cancellation.
const CANCEL_LATENCY: Duration = Duration::from_millis(1);

/// Maximum number of steps in a replay, to detect sessions that never become idle.
const MAX_STEPS: usize = 100_000;

/// Result of a lenient replay.
#[derive(Clone, Debug)]
pub struct LenientReplay {
    /// Monotonic start time.
    pub started: Duration,
    /// Actions of the session with their times, in chronological order.
    pub actions: Vec<(Duration, SessionAction)>,
    /// Completed attempts with their end times and results, ordered by end time.
    pub completed: Vec<(Duration, AttemptSpec, AttemptResult)>,
    /// Whether the session finished with no attempt in flight.
    pub is_idle: bool,
}

impl LenientReplay {
    /// Returns the outcome and when the caller received it.
    pub fn outcome(&self) -> Option<(Duration, &SessionOutcome)> {
        self.actions.iter().find_map(|(at, action)| match action {
            SessionAction::Finish(outcome) => Some((*at, outcome)),
            _ => None,
        })
    }

    /// Returns all attempts with their send times, in chronological order.
    pub fn attempts(&self) -> impl Iterator<Item = (Duration, &AttemptSpec)> {
        self.actions.iter().filter_map(|(at, action)| match action {
            SessionAction::Send(attempt) => Some((*at, attempt)),
            _ => None,
        })
    }
}

enum ReplayStep {
    Recorded(TraceStep),
    Claimed(ClaimResult),
    Completed(AttemptResult),
    Wake,
}

struct LenientDriver {
    host: Arc<HostState>,
    session: RequestSession,
    rng: ChaCha8Rng,
    now: Duration,
    request_id: String,
    results: RecordedResults,
    /// Recorded claim results with their latencies.
    claims: VecDeque<(Duration, ClaimResult)>,
    /// Scheduled steps, ordered by time and then by scheduling order.
    steps: BTreeMap<(Duration, u64), (Option<AttemptNumber>, ReplayStep)>,
    scheduled: u64,
    running: BTreeMap<AttemptNumber, AttemptSpec>,
    replay: LenientReplay,
}

impl SessionTrace {
    /// Replays the session. Each recorded target result is returned to the next attempt at the same target and shard,
    /// with the recorded latency; `TraceHead::unrecorded` determines how additional attempts end. Wake-ups follow the
    /// replayed session, whereas configurations, marks and cancellations occur at their recorded times.
    pub fn replay_lenient(&self) -> LenientReplay {
        let head = &self.head;
        let host = head.host();
        let mut rng = ChaCha8Rng::seed_from_u64(head.seed);
        let (session, actions) = head.start(&host, &mut rng);
        let claims = self.steps.iter().filter_map(|step| match step {
            TraceStep::Claim(at, result) => Some((at.saturating_sub(head.at), result.clone())),
            _ => None,
        });
        let replay = LenientReplay {
            started: head.at,
            actions: Vec::new(),
            completed: Vec::new(),
            is_idle: false,
        };
        let mut driver = LenientDriver {
            host,
            session,
            rng,
            now: head.at,
            request_id: head.request.request_id().to_owned(),
            results: RecordedResults::new(self),
            claims: claims.collect(),
            steps: BTreeMap::new(),
            scheduled: 0,
            running: BTreeMap::new(),
            replay,
        };
        for step in &self.steps {
            if let Some(at) = external_step_time(step) {
                driver.schedule(at, None, ReplayStep::Recorded(step.clone()));
            }
        }
        driver.perform(actions);
        driver.run();
        driver.replay.is_idle = driver.session.is_idle();
        driver.replay
    }
}

/// Returns the time of a step that was not caused by an action of the session.
fn external_step_time(step: &TraceStep) -> Option<Duration> {
    match step {
        TraceStep::Cancel(at)
        | TraceStep::CrashMark(at)
        | TraceStep::Install(at, _)
        | TraceStep::Marks(at, _, _) => Some(*at),
        TraceStep::Sent(..)
        | TraceStep::Event(..)
        | TraceStep::Claim(..)
        | TraceStep::Wake(_)
        | TraceStep::Outcome(..) => None,
    }
}

impl LenientDriver {
    fn run(&mut self) {
        for _ in 0..MAX_STEPS {
            if self.session.is_idle() {
                return;
            }
            let wake = self.session.next_wake().map(|wake| wake.max(self.now));
            let due = self.steps.first_key_value().map(|((at, _), _)| *at);
            let step = match (due, wake) {
                (Some(due), wake) if wake.is_none_or(|wake| due <= wake) => {
                    let Some((_, step)) = self.steps.pop_first() else { return };
                    self.now = self.now.max(due);
                    step
                }
                (_, Some(wake)) => {
                    self.now = wake;
                    (None, ReplayStep::Wake)
                }
                _ => return,
            };
            let actions = self.handle_step(step);
            self.perform(actions);
        }
    }

    fn handle_step(
        &mut self,
        (number, step): (Option<AttemptNumber>, ReplayStep),
    ) -> Vec<SessionAction> {
        let now = self.now;
        match step {
            ReplayStep::Wake => self.session.on_wake(now, &mut self.rng),
            ReplayStep::Claimed(result) => self.session.on_claim(result, now, &mut self.rng),
            ReplayStep::Completed(result) => {
                let Some(number) = number else { return Vec::new() };
                if let Some(attempt) = self.running.remove(&number) {
                    self.replay.completed.push((now, attempt, result.clone()));
                }
                self.session.on_event(AttemptEvent { number, result }, now, &mut self.rng)
            }
            ReplayStep::Recorded(TraceStep::Cancel(_)) => self.session.on_cancel(now),
            ReplayStep::Recorded(TraceStep::CrashMark(_)) => self.session.on_crash_mark(now),
            ReplayStep::Recorded(TraceStep::Install(_, table)) => {
                self.host.install(Arc::new(table));
                Vec::new()
            }
            ReplayStep::Recorded(TraceStep::Marks(_, target, marks)) => {
                self.host.record_marks(&target, &marks, now);
                self.results.record_marks(target, marks);
                Vec::new()
            }
            ReplayStep::Recorded(_) => Vec::new(),
        }
    }

    fn perform(&mut self, actions: Vec<SessionAction>) {
        for action in actions {
            match &action {
                SessionAction::Send(attempt) => self.send(attempt),
                SessionAction::Cancel(number) => self.cancel(*number),
                SessionAction::Claim => {
                    let unavailable = (Duration::ZERO, ClaimResult::Unavailable);
                    let (latency, result) = self.claims.pop_front().unwrap_or(unavailable);
                    self.schedule(self.now + latency, None, ReplayStep::Claimed(result));
                }
                SessionAction::Settle(_) | SessionAction::Finish(_) => {}
            }
            self.replay.actions.push((self.now, action));
        }
    }

    fn send(&mut self, attempt: &AttemptSpec) {
        let (latency, result) = self.results.take(attempt, &self.request_id);
        let (at, result) = match self.now.saturating_add(latency) {
            late if attempt.deadline < late => (attempt.deadline, AttemptResult::TimedOut),
            at => (at, result),
        };
        self.running.insert(attempt.number, attempt.clone());
        self.schedule(at, Some(attempt.number), ReplayStep::Completed(result));
    }

    /// Ends the attempt as cancelled after [`CANCEL_LATENCY`], unless its reply arrives before that.
    fn cancel(&mut self, number: AttemptNumber) {
        let confirmed_at = self.now + CANCEL_LATENCY;
        let is_completion = |step: &(Option<AttemptNumber>, ReplayStep)| step.0 == Some(number);
        let later = self.steps.range((confirmed_at, 0)..).find(|(_, step)| is_completion(step));
        let Some(key) = later.map(|(key, _)| *key) else { return };
        self.steps.remove(&key);
        let reason = TargetRefusal::Cancelled;
        let result = AttemptResult::Refused { reason, marks: None, retry_after: None };
        self.schedule(confirmed_at, Some(number), ReplayStep::Completed(result));
    }

    fn schedule(&mut self, at: Duration, number: Option<AttemptNumber>, step: ReplayStep) {
        self.scheduled += 1;
        self.steps.insert((at, self.scheduled), (number, step));
    }
}
