//! Read sessions, which query one replica with hedging and budgeted retries.

use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use vanillapick_model::answer::MissingReason;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::route::RouteKind;

use crate::attempt::AttemptEvent;
use crate::attempt::SessionAction;
use crate::attempt::SessionOutcome;
use crate::attempt::TargetReply;
use crate::crash_probe::CrashProbe;
use crate::host_state::HostState;
use crate::request::ReadRequest;
use crate::request_plan::RequestPlan;
use crate::request_plan::first_purpose;
use crate::request_plan::no_replica_refusal;
use crate::request_plan::record_outcome;
use crate::request_plan::require_key;
use crate::scatter::ShardScatter;
use crate::scatter_scope::ScatterScope;
use crate::shard_progress::ShardState;

/// State machine for a read request.
#[derive(Debug)]
pub struct ReadSession {
    host: Arc<HostState>,
    /// `None` if the request was refused before the first attempt.
    scatter: Option<ShardScatter>,
    finished: bool,
}

impl ReadSession {
    /// Starts a read. If it is refused before the first attempt, the session finishes immediately.
    pub fn start(
        host: &Arc<HostState>,
        request: ReadRequest,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        Self::start_with(host, request, CrashProbe::Unrestricted, now, rng)
    }

    /// Starts a read that may crash targets. It is not retried if the connection to its target is lost.
    pub fn start_cautious(
        host: &Arc<HostState>,
        request: ReadRequest,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        Self::start_with(host, request, CrashProbe::Probing(0), now, rng)
    }

    fn start_with(
        host: &Arc<HostState>,
        request: ReadRequest,
        crash: CrashProbe,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        let mut actions = Vec::new();
        let mut session = Self { host: host.clone(), scatter: None, finished: false };
        match plan(host, request, now) {
            Ok(mut scatter) => {
                scatter.start_crash_probe(crash);
                scatter.send_due(now, rng, &mut actions);
                session.scatter = Some(scatter);
                session.finish_if_settled(now, &mut actions);
            }
            Err(refusal) => session.finish(SessionOutcome::Refused(refusal), &mut actions),
        }
        (session, actions)
    }

    /// Handles the end of an attempt.
    pub fn on_event(
        &mut self,
        event: AttemptEvent,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        let Some(scatter) = &mut self.scatter else { return actions };
        if self.finished {
            scatter.end_after_finish(&event, now);
            return actions;
        }
        scatter.on_event(&event, now, &mut actions);
        scatter.send_due(now, rng, &mut actions);
        self.finish_if_settled(now, &mut actions);
        actions
    }

    /// Returns when to call [`Self::on_wake`], or `None` once the caller has been answered.
    pub fn next_wake(&self) -> Option<Duration> {
        let scatter = self.scatter.as_ref().filter(|_| !self.finished)?;
        Some(scatter.next_wake())
    }

    /// Sends all due attempts and finishes at the deadline. Calling it early has no effect.
    pub fn on_wake(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        let Some(scatter) = self.scatter.as_mut().filter(|_| !self.finished) else {
            return actions;
        };
        if scatter.answer_by() <= now {
            scatter.give_up_all(now);
        } else {
            scatter.send_due(now, rng, &mut actions);
            scatter.hedge_due(now, rng, &mut actions);
        }
        self.finish_if_settled(now, &mut actions);
        actions
    }

    /// Cancels the read on behalf of the caller.
    pub fn on_cancel(&mut self, now: Duration) -> Vec<SessionAction> {
        self.stop(RefusalCode::Cancelled, "the caller cancelled", now)
    }

    /// Refuses the read because its fingerprint was marked as crashing targets.
    pub fn on_crash_mark(&mut self, now: Duration) -> Vec<SessionAction> {
        self.stop(RefusalCode::CrashingRequest, "the request crashes targets", now)
    }

    fn stop(&mut self, code: RefusalCode, message: &str, now: Duration) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        let mut refusal = RefusalBody::not_run(code, message);
        if let Some(scatter) = &mut self.scatter {
            refusal.outcome = scatter.run_outcome();
            scatter.cancel_all(now, &mut actions);
        }
        self.finish(SessionOutcome::Refused(refusal), &mut actions);
        actions
    }

    /// Returns the time that the targets took, excluding a final wait for lost ones. Admission uses it as a latency
    /// sample, taken when the session finishes.
    pub fn service_time(&self, now: Duration) -> Duration {
        self.scatter.as_ref().map(|scatter| scatter.service_time(now)).unwrap_or_default()
    }

    /// Returns whether the caller has been answered.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether the session has finished and no attempt is running.
    pub fn is_idle(&self) -> bool {
        self.finished && self.scatter.as_ref().is_none_or(ShardScatter::is_idle)
    }

    fn finish_if_settled(&mut self, now: Duration, actions: &mut Vec<SessionAction>) {
        let Some(scatter) = &mut self.scatter else { return };
        if !scatter.is_settled() {
            return;
        }
        let outcome = build_outcome(scatter);
        scatter.cancel_all(now, actions);
        self.finish(outcome, actions);
    }

    fn finish(&mut self, outcome: SessionOutcome, actions: &mut Vec<SessionAction>) {
        self.finished = true;
        record_outcome(&self.host, &outcome);
        actions.push(SessionAction::Finish(outcome));
    }
}

fn plan(
    host: &Arc<HostState>,
    request: ReadRequest,
    now: Duration,
) -> Result<ShardScatter, RefusalBody> {
    let pool = request.pool.as_deref();
    let deadline = request.deadline;
    let plan = RequestPlan::new(host, &request.route, RouteKind::Read, pool, deadline, now)?;
    require_key(&plan.pool, request.key.as_deref())?;
    let scope = ScatterScope::One(request.key);
    let placement = scope.choose_placement(&plan.pool, now).ok_or_else(no_replica_refusal)?;
    let purpose = first_purpose(host, request.rerun, 1)?;
    let id = (request.request_id, request.fingerprint);
    Ok(ShardScatter::new(host.clone(), plan, id, scope, placement, purpose, now))
}

fn build_outcome(scatter: &mut ShardScatter) -> SessionOutcome {
    let pin = scatter.pin();
    let shard = scatter.placement.first_shard;
    if let Some(body) = scatter.take_reply() {
        return SessionOutcome::Reply(TargetReply { pin, shard, body });
    }
    let reason = match scatter.shards()[0].state {
        ShardState::Missing(reason) => reason,
        ShardState::Open | ShardState::Answered => MissingReason::Deadline,
    };
    let code = match reason {
        MissingReason::Deadline | MissingReason::GivenUp => RefusalCode::DeadlineExceeded,
        MissingReason::BadReply => RefusalCode::BadReply,
        MissingReason::CrashingRequest => RefusalCode::CrashingRequest,
        MissingReason::Refused => RefusalCode::Overloaded,
        MissingReason::NoReplica | MissingReason::SnapshotMissing | MissingReason::Lost => {
            RefusalCode::NoReplica
        }
    };
    let message = format!("shard {shard} did not answer: {reason}");
    let outcome = scatter.run_outcome();
    SessionOutcome::Refused(RefusalBody { code, message, outcome, retry_after_ms: None })
}
