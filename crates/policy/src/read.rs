//! The session of a read: one replica, hedged, retried within the budget.

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
use crate::request_plan::check_key;
use crate::request_plan::count_outcome;
use crate::request_plan::first_purpose;
use crate::request_plan::no_replica;
use crate::scatter::ShardScatter;
use crate::scatter_scope::ScatterScope;
use crate::shard_progress::ShardState;

/// Session of one read.
#[derive(Debug)]
pub struct ReadSession {
    host: Arc<HostState>,
    /// None in a session that was refused before the first attempt.
    scatter: Option<ShardScatter>,
    finished: bool,
}

impl ReadSession {
    /// Starts a read; a refusal before the first attempt finishes it at once.
    pub fn start(
        host: &Arc<HostState>,
        request: ReadRequest,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        Self::start_with(host, request, CrashProbe::Unrestricted, now, rng)
    }

    /// Starts a read that may crash targets: nothing is sent again when its target is lost.
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
                scatter.pump(now, rng, &mut actions);
                session.scatter = Some(scatter);
                session.finish_if_settled(now, &mut actions);
            }
            Err(refusal) => session.finish(SessionOutcome::Refused(refusal), &mut actions),
        }
        (session, actions)
    }

    /// Takes the end of an attempt.
    pub fn on_event(
        &mut self,
        event: AttemptEvent,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        let Some(scatter) = &mut self.scatter else { return actions };
        if self.finished {
            scatter.end_late(&event, now);
            return actions;
        }
        scatter.on_event(&event, now, &mut actions);
        scatter.pump(now, rng, &mut actions);
        self.finish_if_settled(now, &mut actions);
        actions
    }

    /// Decision time at which [`Self::on_wake`] is due; none when the caller has been answered.
    pub fn next_wake(&self) -> Option<Duration> {
        let scatter = self.scatter.as_ref().filter(|_| !self.finished)?;
        Some(scatter.next_wake())
    }

    /// Sends what is due and finishes at the deadline; early calls do no harm.
    pub fn on_wake(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        let Some(scatter) = self.scatter.as_mut().filter(|_| !self.finished) else {
            return actions;
        };
        if scatter.answer_by() <= now {
            scatter.give_up_all(now);
        } else {
            scatter.pump(now, rng, &mut actions);
            scatter.hedge_due(now, rng, &mut actions);
        }
        self.finish_if_settled(now, &mut actions);
        actions
    }

    /// Ends the read because the caller cancelled it.
    pub fn on_cancel(&mut self, now: Duration) -> Vec<SessionAction> {
        self.stop(RefusalCode::Cancelled, "the caller cancelled", now)
    }

    /// Ends the read because its fingerprint was marked as crashing targets.
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

    /// Time that the targets took, without a wait for lost ones at the end; what admission learns the latency from.
    /// To be read when the session finishes.
    pub fn service_time(&self, now: Duration) -> Duration {
        self.scatter.as_ref().map(|scatter| scatter.service_time(now)).unwrap_or_default()
    }

    /// Whether the caller has been answered.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether all attempts have ended.
    pub fn is_idle(&self) -> bool {
        self.finished && self.scatter.as_ref().is_none_or(ShardScatter::is_idle)
    }

    fn finish_if_settled(&mut self, now: Duration, actions: &mut Vec<SessionAction>) {
        let Some(scatter) = &mut self.scatter else { return };
        if !scatter.is_settled() {
            return;
        }
        let outcome = outcome_of(scatter);
        scatter.cancel_all(now, actions);
        self.finish(outcome, actions);
    }

    fn finish(&mut self, outcome: SessionOutcome, actions: &mut Vec<SessionAction>) {
        self.finished = true;
        count_outcome(&self.host, &outcome);
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
    check_key(&plan.pool, request.key.as_deref())?;
    let scope = ScatterScope::One(request.key);
    let place = scope.place(&plan.pool, now).ok_or_else(no_replica)?;
    let purpose = first_purpose(host, request.rerun, 1)?;
    let id = (request.request_id, request.fingerprint);
    Ok(ShardScatter::new(host.clone(), plan, id, scope, place, purpose, now))
}

fn outcome_of(scatter: &mut ShardScatter) -> SessionOutcome {
    let pin = scatter.pin();
    let shard = scatter.place.base;
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
