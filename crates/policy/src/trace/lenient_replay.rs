//! Replay that holds although decisions change: the targets behave as recorded, the session decides anew.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::call::AttemptNumber;
use vanillapick_model::call::TargetRefusal;

use crate::attempt::AttemptEvent;
use crate::attempt::AttemptOrder;
use crate::attempt::AttemptResult;
use crate::attempt::ClaimResult;
use crate::attempt::SessionAction;
use crate::attempt::SessionOutcome;
use crate::host_state::HostState;
use crate::session::RequestSession;
use crate::trace::SessionTrace;
use crate::trace::TraceStep;
use crate::trace::recorded_results::RecordedResults;

/// Time after which a target has obeyed a cancellation.
const CANCEL_LATENCY: Duration = Duration::from_millis(1);

/// Bound on the steps of one replay, so that a session that never becomes idle is found.
const MOST_STEPS: usize = 100_000;

/// What a lenient replay gave.
#[derive(Clone, Debug)]
pub struct LenientReplay {
    /// Decision time of the start.
    pub started: Duration,
    /// Actions of the session with their times, in order.
    pub actions: Vec<(Duration, SessionAction)>,
    /// Attempts with their ends and the times of these, in the order of the ends.
    pub ends: Vec<(Duration, AttemptOrder, AttemptResult)>,
    /// Whether the session came to its end with nothing in flight.
    pub is_idle: bool,
}

impl LenientReplay {
    /// What the caller received, and when.
    pub fn outcome(&self) -> Option<(Duration, &SessionOutcome)> {
        self.actions.iter().find_map(|(at, action)| match action {
            SessionAction::Finish(outcome) => Some((*at, outcome)),
            _ => None,
        })
    }

    /// Attempts with the times at which they were sent, in order.
    pub fn attempts(&self) -> impl Iterator<Item = (Duration, &AttemptOrder)> {
        self.actions.iter().filter_map(|(at, action)| match action {
            SessionAction::Send(order) => Some((*at, order)),
            _ => None,
        })
    }
}

enum ReplayStep {
    Recorded(TraceStep),
    Claimed(ClaimResult),
    Ended(AttemptResult),
    Wake,
}

struct LenientDriver {
    host: Arc<HostState>,
    session: RequestSession,
    rng: ChaCha8Rng,
    now: Duration,
    request_id: String,
    results: RecordedResults,
    /// Recorded latencies and results of claims.
    claims: VecDeque<(Duration, ClaimResult)>,
    /// What is to come, by time and order of scheduling.
    steps: BTreeMap<(Duration, u64), (Option<AttemptNumber>, ReplayStep)>,
    scheduled: u64,
    running: BTreeMap<AttemptNumber, AttemptOrder>,
    replay: LenientReplay,
}

impl SessionTrace {
    /// Runs the session again. Each recorded result of a target goes to the next attempt at the same target and shard
    /// after the recorded latency; the head states how further attempts end. Wakes follow the session, whereas
    /// configurations, marks and cancellations come at their recorded times.
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
            ends: Vec::new(),
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
            if let Some(at) = outside_time(step) {
                driver.schedule(at, None, ReplayStep::Recorded(step.clone()));
            }
        }
        driver.perform(actions);
        driver.run();
        driver.replay.is_idle = driver.session.is_idle();
        driver.replay
    }
}

/// Time of a step that does not follow from what the session asked for.
fn outside_time(step: &TraceStep) -> Option<Duration> {
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
        for _ in 0..MOST_STEPS {
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
            let actions = self.take(step);
            self.perform(actions);
        }
    }

    fn take(&mut self, (number, step): (Option<AttemptNumber>, ReplayStep)) -> Vec<SessionAction> {
        let now = self.now;
        match step {
            ReplayStep::Wake => self.session.on_wake(now, &mut self.rng),
            ReplayStep::Claimed(result) => self.session.on_claim(result, now, &mut self.rng),
            ReplayStep::Ended(result) => {
                let Some(number) = number else { return Vec::new() };
                if let Some(order) = self.running.remove(&number) {
                    self.replay.ends.push((now, order, result.clone()));
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
                self.results.note_marks(target, marks);
                Vec::new()
            }
            ReplayStep::Recorded(_) => Vec::new(),
        }
    }

    fn perform(&mut self, actions: Vec<SessionAction>) {
        for action in actions {
            match &action {
                SessionAction::Send(order) => self.send(order),
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

    fn send(&mut self, order: &AttemptOrder) {
        let (latency, result) = self.results.take(order, &self.request_id);
        let (at, result) = match self.now.saturating_add(latency) {
            late if order.deadline < late => (order.deadline, AttemptResult::TimedOut),
            at => (at, result),
        };
        self.running.insert(order.number, order.clone());
        self.schedule(at, Some(order.number), ReplayStep::Ended(result));
    }

    /// The target obeys after [`CANCEL_LATENCY`], unless its reply is on its way already.
    fn cancel(&mut self, number: AttemptNumber) {
        let soon = self.now + CANCEL_LATENCY;
        let is_end = |step: &(Option<AttemptNumber>, ReplayStep)| step.0 == Some(number);
        let later = self.steps.range((soon, 0)..).find(|(_, step)| is_end(step));
        let Some(key) = later.map(|(key, _)| *key) else { return };
        self.steps.remove(&key);
        let reason = TargetRefusal::Cancelled;
        let result = AttemptResult::Refused { reason, marks: None, retry_after: None };
        self.schedule(soon, Some(number), ReplayStep::Ended(result));
    }

    fn schedule(&mut self, at: Duration, number: Option<AttemptNumber>, step: ReplayStep) {
        self.scheduled += 1;
        self.steps.insert((at, self.scheduled), (number, step));
    }
}
