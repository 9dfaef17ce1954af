//! Write sessions, which are never hedged and only retried if the previous attempt was provably not executed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::SnapshotPin;

use crate::attempt::AttemptEvent;
use crate::attempt::AttemptPurpose;
use crate::attempt::AttemptResult;
use crate::attempt::AttemptSpec;
use crate::attempt::ClaimResult;
use crate::attempt::ClaimSettlement;
use crate::attempt::SessionAction;
use crate::attempt::SessionOutcome;
use crate::attempt::TargetReply;
use crate::attempt_log::AttemptLog;
use crate::gather::check_tag;
use crate::host_state::HostState;
use crate::pick::PickCriteria;
use crate::pick::PickFailure;
use crate::pick::ProbePolicy;
use crate::pick::pick_replica;
use crate::pin::choose_shard_pin;
use crate::request::WriteRequest;
use crate::request_plan::RequestPlan;
use crate::request_plan::no_replica_refusal;
use crate::request_plan::record_outcome;
use crate::request_plan::require_key;
use crate::shard_progress::AttemptFailure;
use crate::shard_progress::BASELINE_ATTEMPTS;
use crate::shard_progress::BUSY_DELAY;
use crate::shard_progress::MAX_ATTEMPTS;
use crate::shard_progress::PendingSend;
use crate::shard_progress::RETRY_DELAY;
use crate::shard_progress::RetryCost;

/// Retry delay for refusals because the key could not be claimed or the targets refused the write.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of the idempotency key claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimState {
    /// The request has no key, or its claim is settled or was never requested.
    None,
    /// `Claim` was issued, and its result is pending.
    Requested,
    /// This session owns the claim and must settle it exactly once.
    Held,
}

/// State machine for a write request. At most one attempt runs at a time, and no attempt follows one whose outcome is
/// unknown.
#[derive(Debug)]
pub struct WriteSession {
    host: Arc<HostState>,
    request: WriteRequest,
    /// `None` if the request was refused immediately.
    plan: Option<RequestPlan>,
    claim: ClaimState,
    log: AttemptLog,
    pending: Option<PendingSend>,
    /// Pin and shard of the latest attempt.
    pinned_shard: (SnapshotPin, ShardIndex),
    finished: bool,
}

impl WriteSession {
    /// Starts a write. If it has an idempotency key, the first action is `Claim`.
    pub fn start(
        host: &Arc<HostState>,
        request: WriteRequest,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        let mut actions = Vec::new();
        let mut session = Self {
            host: host.clone(),
            request,
            plan: None,
            claim: ClaimState::None,
            log: AttemptLog::default(),
            pending: None,
            pinned_shard: (SnapshotPin { shard_map: 0, snapshot: 0 }, 0),
            finished: false,
        };
        match session.plan(now) {
            Err(refusal) => session.finish_refused(refusal, &mut actions),
            Ok(plan) => {
                session.plan = Some(plan);
                if session.request.idempotency_key.is_some() {
                    session.claim = ClaimState::Requested;
                    actions.push(SessionAction::Claim);
                } else {
                    session.send_first(now, rng, &mut actions);
                }
            }
        }
        (session, actions)
    }

    fn plan(&self, now: Duration) -> Result<RequestPlan, RefusalBody> {
        let request = &self.request;
        let pool = request.pool.as_deref();
        let kind = RouteKind::Write;
        let plan = RequestPlan::new(&self.host, &request.route, kind, pool, request.deadline, now)?;
        require_key(&plan.pool, request.key.as_deref())?;
        choose_shard_pin(&plan.pool, request.key.as_deref(), now).ok_or_else(no_replica_refusal)?;
        Ok(plan)
    }

    /// Handles the result of the claim.
    pub fn on_claim(
        &mut self,
        result: ClaimResult,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        if self.claim != ClaimState::Requested {
            return actions;
        }
        self.claim = ClaimState::None;
        match result {
            ClaimResult::Held => {
                self.claim = ClaimState::Held;
                if self.finished {
                    // The deadline expired or the request was cancelled before anything was sent.
                    self.settle(ClaimSettlement::Released, &mut actions);
                } else {
                    self.send_first(now, rng, &mut actions);
                }
            }
            ClaimResult::AlreadyRan(body) => {
                // The claim does not record the snapshot of the earlier write; 0 means unknown.
                let (pin, shard) = self.pinned_shard;
                let reply = TargetReply { pin, shard, body };
                self.finish(SessionOutcome::Reply(reply), &mut actions);
            }
            ClaimResult::InProgress => {
                self.finish_refused(claim_in_progress_refusal(), &mut actions)
            }
            ClaimResult::Unavailable => {
                let message = "the idempotency key could not be claimed";
                let refusal = RefusalBody::not_run(RefusalCode::ClaimUnavailable, message);
                self.finish_refused(refusal.with_retry_after(RETRY_AFTER), &mut actions);
                // The claim may have succeeded even though its reply was lost. It can be released because no attempt
                // was sent.
                actions.push(SessionAction::Settle(ClaimSettlement::Released));
            }
        }
        actions
    }

    /// Handles the end of an attempt, even after the caller has been answered.
    pub fn on_event(
        &mut self,
        event: AttemptEvent,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        let counters = &self.host.counters;
        let record = self.log.end(counters, &self.request.request_id, &event, now);
        let Some(record) = record else { return actions };
        let attempt = record.spec.clone();
        let expected_loss = record.expected_loss;
        match event.result {
            AttemptResult::Reply { tag, body, .. } => {
                match check_tag(&attempt, &self.request.request_id, &tag) {
                    Ok(()) => {
                        self.host.crash_table().record_success(self.request.fingerprint, now);
                        self.end_executed(&attempt, body, &mut actions);
                    }
                    Err(reason) => {
                        counters.record_dropped_reply(reason);
                        self.end_unknown(&mut actions);
                    }
                }
            }
            AttemptResult::Refused { reason, .. } => {
                self.end_not_executed(AttemptFailure::refused(reason), now, &mut actions);
            }
            AttemptResult::NotSent => {
                self.end_not_executed(AttemptFailure::not_sent(), now, &mut actions);
            }
            AttemptResult::Lost => {
                // Lost writes are not retried, but the loss still helps to detect requests that crash targets.
                if !expected_loss {
                    self.host.crash_table().record_loss(
                        self.request.fingerprint,
                        &attempt.target,
                        now,
                    );
                }
                self.end_unknown(&mut actions);
            }
            AttemptResult::Malformed | AttemptResult::TimedOut => self.end_unknown(&mut actions),
        }
        self.send_due(now, rng, &mut actions);
        actions
    }

    /// Returns when to call [`Self::on_wake`], or `None` once the caller has been answered.
    pub fn next_wake(&self) -> Option<Duration> {
        let plan = self.plan.as_ref().filter(|_| !self.finished)?;
        let pending = self.pending.map(|pending| pending.not_before);
        Some(plan.answer_by.min(pending.unwrap_or(Duration::MAX)))
    }

    /// Sends a due attempt and finishes at the deadline. Calling it early has no effect.
    pub fn on_wake(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        let Some(plan) = self.plan.as_ref().filter(|_| !self.finished) else { return actions };
        if now < plan.answer_by {
            self.send_due(now, rng, &mut actions);
            return actions;
        }
        if self.log.is_idle() {
            let refusal = RefusalBody::not_run(
                RefusalCode::DeadlineExceeded,
                "the deadline came before the write could be sent",
            );
            self.finish_refused(refusal, &mut actions);
            self.settle(ClaimSettlement::Released, &mut actions);
        } else {
            // The claim is settled when the running attempt ends.
            self.finish_refused(outcome_unknown_refusal(), &mut actions);
        }
        actions
    }

    /// Cancels the write on behalf of the caller.
    pub fn on_cancel(&mut self, now: Duration) -> Vec<SessionAction> {
        self.stop(RefusalCode::Cancelled, "the caller cancelled", now)
    }

    /// Refuses the write because its fingerprint was marked as crashing targets.
    pub fn on_crash_mark(&mut self, now: Duration) -> Vec<SessionAction> {
        self.stop(RefusalCode::CrashingRequest, "the request crashes targets", now)
    }

    fn stop(&mut self, code: RefusalCode, message: &str, now: Duration) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        if self.log.is_idle() {
            self.finish_refused(RefusalBody::not_run(code, message), &mut actions);
            self.settle(ClaimSettlement::Released, &mut actions);
            return actions;
        }
        self.log.cancel_all(now, &mut actions);
        self.finish_refused(RefusalBody::unknown(code, message), &mut actions);
        actions
    }

    /// Returns the time that the target took, excluding the claim. Admission uses it as a latency sample, taken when
    /// the session finishes.
    pub fn service_time(&self, now: Duration) -> Duration {
        self.log.service_time(now)
    }

    /// Returns whether the caller has been answered.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether the session has finished, no attempt is running and no claim result is pending.
    pub fn is_idle(&self) -> bool {
        self.finished && self.log.is_idle() && self.claim != ClaimState::Requested
    }

    fn end_executed(
        &mut self,
        attempt: &AttemptSpec,
        body: Bytes,
        actions: &mut Vec<SessionAction>,
    ) {
        if !self.finished {
            let reply = TargetReply { pin: attempt.pin, shard: attempt.shard, body: body.clone() };
            self.finish(SessionOutcome::Reply(reply), actions);
        }
        self.settle(ClaimSettlement::Ran(body), actions);
    }

    fn end_unknown(&mut self, actions: &mut Vec<SessionAction>) {
        if !self.finished {
            self.finish_refused(outcome_unknown_refusal(), actions);
        }
        self.settle(ClaimSettlement::Unknown, actions);
    }

    /// Handles an attempt that was provably not executed. The same holds for all previous attempts.
    fn end_not_executed(
        &mut self,
        failure: AttemptFailure,
        now: Duration,
        actions: &mut Vec<SessionAction>,
    ) {
        if self.finished {
            return self.settle(ClaimSettlement::Released, actions);
        }
        let baseline = self.host.profile.baseline;
        let max_attempts = if baseline { BASELINE_ATTEMPTS } else { MAX_ATTEMPTS };
        match failure.retry {
            Some((reason, cost)) if self.log.next_number() < max_attempts => {
                let cost = if baseline { RetryCost::Free } else { cost };
                let purpose = AttemptPurpose::Retry(reason);
                self.pending = Some(PendingSend::new(purpose, cost, now));
            }
            _ => {
                let refusal =
                    RefusalBody::not_run(RefusalCode::Overloaded, "the targets refused the write");
                self.finish_refused(refusal.with_retry_after(RETRY_AFTER), actions);
                self.settle(ClaimSettlement::Released, actions);
            }
        }
    }

    fn send_first(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<SessionAction>,
    ) {
        self.pending = Some(PendingSend::new(AttemptPurpose::First, RetryCost::Free, now));
        self.send_due(now, rng, actions);
    }

    fn send_due(&mut self, now: Duration, rng: &mut ChaCha8Rng, actions: &mut Vec<SessionAction>) {
        let Some(plan) = self.plan.clone().filter(|_| !self.finished) else { return };
        let Some(pending) = self.pending.filter(|pending| pending.not_before <= now) else {
            return;
        };
        if plan.answer_by <= now {
            return;
        }
        if !pending.cost.charge(&self.host, now) {
            self.pending = Some(PendingSend { not_before: now + RETRY_DELAY, ..pending });
            return;
        }
        match self.send(&plan, pending.purpose, now, rng) {
            Ok(action) => {
                self.pending = None;
                actions.push(action);
            }
            Err(failure) => {
                pending.cost.refund(&self.host);
                if failure == PickFailure::Busy {
                    self.pending = Some(PendingSend { not_before: now + BUSY_DELAY, ..pending });
                    return;
                }
                self.finish_refused(no_replica_refusal(), actions);
                self.settle(ClaimSettlement::Released, actions);
            }
        }
    }

    fn send(
        &mut self,
        plan: &RequestPlan,
        purpose: AttemptPurpose,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Result<SessionAction, PickFailure> {
        let key = self.request.key.as_deref();
        let (pin, shard) = choose_shard_pin(&plan.pool, key, now).ok_or(PickFailure::NoReplica)?;
        let view = plan.pool.shard(pin.shard_map, shard).ok_or(PickFailure::NoReplica)?;
        let tried = self.log.tried(shard, 0);
        let (kind, baseline) = (RouteKind::Write, self.host.profile.baseline);
        let criteria = PickCriteria {
            kind,
            class: plan.contract.class,
            pin,
            tried: &tried,
            probe: ProbePolicy::Last,
            baseline,
        };
        let replica = pick_replica(view, &criteria, now, self.host.wall_time(now), rng)?;
        let attempt = AttemptSpec {
            number: self.log.next_number(),
            kind,
            target: view.replicas[replica].entry.id.clone(),
            shard,
            pin,
            deadline: plan.answer_by,
            purpose,
        };
        self.pinned_shard = (pin, shard);
        Ok(self.log.add(&self.host, attempt, replica, &view.replicas[replica], now))
    }

    fn settle(&mut self, settlement: ClaimSettlement, actions: &mut Vec<SessionAction>) {
        if self.claim == ClaimState::Held {
            self.claim = ClaimState::None;
            actions.push(SessionAction::Settle(settlement));
        }
    }

    fn finish_refused(&mut self, refusal: RefusalBody, actions: &mut Vec<SessionAction>) {
        self.finish(SessionOutcome::Refused(refusal), actions);
    }

    fn finish(&mut self, outcome: SessionOutcome, actions: &mut Vec<SessionAction>) {
        if self.finished {
            return;
        }
        self.finished = true;
        self.pending = None;
        record_outcome(&self.host, &outcome);
        actions.push(SessionAction::Finish(outcome));
    }
}

fn claim_in_progress_refusal() -> RefusalBody {
    let message = "another request with this idempotency key has no known outcome yet";
    RefusalBody::unknown(RefusalCode::ClaimInProgress, message).with_retry_after(RETRY_AFTER)
}

fn outcome_unknown_refusal() -> RefusalBody {
    let message = "the write was sent and its outcome is not known";
    RefusalBody::unknown(RefusalCode::OutcomeUnknown, message)
}
