//! Drives a session: performs its calls, passes it their results, and delivers its outcome to the caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use vanillapick_model::call::AttemptNumber;
use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_policy::attempt::AttemptEvent;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::AttemptSpec;
use vanillapick_policy::attempt::ClaimResult;
use vanillapick_policy::attempt::SessionAction;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::request::SessionRequest;
use vanillapick_policy::request::WriteRequest;
use vanillapick_policy::serving_view::ServingView;
use vanillapick_policy::session::RequestSession;
use vanillapick_policy::trace::TraceStep;

use crate::crash_guard::StartMode;
use crate::entry_host::EntryHost;
use crate::idempotency_claim::IdempotencyClaim;
use crate::running_calls::until_cancelled;
use crate::session_recorder::SessionRecorder;
use crate::target_client::CallContext;

/// Timeout of a cancel request; the call ends at its deadline in any case.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);

/// Result of a session.
#[derive(Debug)]
pub struct SessionEnd {
    /// Response to the caller.
    pub outcome: SessionOutcome,
    /// Time that the targets took; input of the concurrency limit.
    pub service_time: Duration,
}

/// Result of a task that the driver waits for.
enum DriverEvent {
    Attempt(AttemptEvent),
    Claim(ClaimResult),
}

struct SessionDriver {
    host: Arc<EntryHost>,
    context: Arc<CallContext>,
    view: Arc<ServingView>,
    session: RequestSession,
    claim: Option<IdempotencyClaim>,
    rng: ChaCha8Rng,
    running: JoinSet<DriverEvent>,
    addresses: HashMap<AttemptNumber, SocketAddr>,
    finish: Option<oneshot::Sender<SessionEnd>>,
    fingerprint: RequestFingerprint,
    recorder: SessionRecorder,
}

/// Runs a request and returns its outcome. Attempts that are still running then are drained in a background task, so
/// that the in-flight counts stay exact and the connections stay usable.
pub async fn run_session(
    host: &Arc<EntryHost>,
    context: CallContext,
    request: SessionRequest,
    mode: StartMode,
    cancelled: watch::Receiver<bool>,
) -> Option<SessionEnd> {
    let (finish, outcome) = oneshot::channel();
    let mut rng = host.rng();
    let context = CallContext { attempt_base: rng.random(), ..context };
    let claim = match &request {
        SessionRequest::Write(WriteRequest { idempotency_key: Some(key), route, .. }) => {
            Some(IdempotencyClaim::new(route, key, &mut rng))
        }
        _ => None,
    };
    let view = host.policy.view();
    let now = host.now();
    let fingerprint = request.fingerprint();
    // The session has its own generator, so that a replay can start from the same seed.
    let seed = rng.random();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let recorder = SessionRecorder::start(&host.traces, &host.policy, &request, mode, seed, now);
    let (session, actions) = match mode {
        StartMode::AllShards => RequestSession::start(&host.policy, request, now, &mut rng),
        StartMode::Cautious => RequestSession::start_cautious(&host.policy, request, now, &mut rng),
    };
    let mut driver = SessionDriver {
        host: Arc::clone(host),
        context: Arc::new(context),
        view,
        session,
        claim,
        rng,
        running: JoinSet::new(),
        addresses: HashMap::new(),
        finish: Some(finish),
        fingerprint,
        recorder,
    };
    driver.perform(actions, now);
    tokio::spawn(driver.drive(cancelled));
    outcome.await.ok()
}

impl SessionDriver {
    async fn drive(mut self, mut cancelled: watch::Receiver<bool>) {
        let mut may_cancel = true;
        let mut marks = self.host.crashes.subscribe();
        while !self.session.is_idle() || !self.running.is_empty() {
            let wake = self.session.next_wake().map(|wake| self.host.instant(wake));
            let timer = async {
                match wake {
                    Some(wake) => tokio::time::sleep_until(wake.into()).await,
                    None => std::future::pending().await,
                }
            };
            let actions = tokio::select! {
                Some(event) = self.running.join_next() => match event {
                    Ok(DriverEvent::Attempt(event)) => self.on_attempt(event),
                    Ok(DriverEvent::Claim(result)) => self.on_claim(result),
                    Err(error) => {
                        tracing::error!(%error, "a task of an attempt or a claim panicked or was aborted");
                        return;
                    }
                },
                () = timer => {
                    let now = self.host.now();
                    self.recorder.record(|| TraceStep::Wake(now));
                    self.session.on_wake(now, &mut self.rng)
                }
                Ok(()) = marks.changed() => {
                    let now = self.host.now();
                    let must_stop = self.host.policy.crash_table().must_stop(self.fingerprint, now);
                    if must_stop { self.on_crash_mark(now) } else { Vec::new() }
                }
                () = until_cancelled(&mut cancelled), if may_cancel => {
                    may_cancel = false;
                    let now = self.host.now();
                    self.recorder.record(|| TraceStep::Cancel(now));
                    self.session.on_cancel(now)
                }
            };
            self.perform(actions, self.host.now());
        }
        self.recorder.finish();
    }

    fn on_crash_mark(&mut self, now: Duration) -> Vec<SessionAction> {
        self.recorder.record(|| TraceStep::CrashMark(now));
        self.session.on_crash_mark(now)
    }

    fn on_attempt(&mut self, event: AttemptEvent) -> Vec<SessionAction> {
        self.addresses.remove(&event.number);
        let now = self.host.now();
        self.recorder.record(|| TraceStep::Event(now, event.clone()));
        let is_lost = event.result == AttemptResult::Lost;
        let actions = self.session.on_event(event, now, &mut self.rng);
        if is_lost {
            self.host.crashes.publish(&self.host);
        }
        actions
    }

    fn on_claim(&mut self, result: ClaimResult) -> Vec<SessionAction> {
        let now = self.host.now();
        self.recorder.record(|| TraceStep::Claim(now, result.clone()));
        self.session.on_claim(result, now, &mut self.rng)
    }

    fn perform(&mut self, actions: Vec<SessionAction>, now: Duration) {
        for action in actions {
            match action {
                SessionAction::Send(attempt) => {
                    self.recorder.record(|| TraceStep::Sent(now, attempt.clone()));
                    self.send(attempt);
                }
                SessionAction::Cancel(number) => self.cancel(number),
                SessionAction::Claim => self.acquire_claim(),
                SessionAction::Settle(settlement) => {
                    if let Some(claim) = &self.claim {
                        claim.settle(&self.host, settlement);
                    }
                }
                SessionAction::Finish(outcome) => {
                    self.recorder.record(|| TraceStep::Outcome(now, outcome.clone()));
                    if let Some(finish) = self.finish.take() {
                        // The receiver is dropped only if the host is stopping.
                        let service_time = self.session.service_time(self.host.now());
                        let _ = finish.send(SessionEnd { outcome, service_time });
                    }
                }
            }
        }
    }

    fn send(&mut self, attempt: AttemptSpec) {
        let number = attempt.number;
        let Some(address) = self
            .view
            .address(&attempt.target)
            .or_else(|| self.host.policy.view().address(&attempt.target))
        else {
            // The target was removed from the tables after the session had selected it; nothing was sent.
            let event = AttemptEvent { number, result: AttemptResult::NotSent };
            self.running.spawn(async move { DriverEvent::Attempt(event) });
            return;
        };
        self.addresses.insert(number, address);
        let host = Arc::clone(&self.host);
        let context = Arc::clone(&self.context);
        self.running.spawn(async move {
            let left = attempt.deadline.saturating_sub(host.now());
            let result = host.targets.call(&context, &attempt, address, left).await;
            DriverEvent::Attempt(AttemptEvent { number, result })
        });
    }

    fn cancel(&self, number: AttemptNumber) {
        let Some(address) = self.addresses.get(&number).copied() else { return };
        let host = Arc::clone(&self.host);
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            host.targets.cancel(&context, number, address, CANCEL_TIMEOUT).await
        });
    }

    fn acquire_claim(&mut self) {
        let Some(claim) = self.claim.clone() else { return };
        let host = Arc::clone(&self.host);
        self.running.spawn(async move { DriverEvent::Claim(claim.acquire(&host).await) });
    }
}
