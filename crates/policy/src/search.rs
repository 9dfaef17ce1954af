//! Search sessions: scatter-gather over all shards with hedging, retries and at most one change of the snapshot.

use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use vanillapick_model::answer::CoverageReport;
use vanillapick_model::answer::MissingReason;
use vanillapick_model::answer::MissingShard;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::answer::RunOutcome;
use vanillapick_model::answer::SearchAnswer;
use vanillapick_model::route::RouteKind;

use crate::attempt::AttemptEvent;
use crate::attempt::SessionAction;
use crate::attempt::SessionOutcome;
use crate::crash_probe::CrashProbe;
use crate::host_state::HostState;
use crate::request::SearchRequest;
use crate::request_plan::NO_REPLICA_RETRY_AFTER;
use crate::request_plan::RequestPlan;
use crate::request_plan::first_purpose;
use crate::request_plan::no_replica_refusal;
use crate::request_plan::record_outcome;
use crate::scatter::ShardScatter;
use crate::scatter_scope::ScatterScope;
use crate::shard_progress::ShardState;

/// State machine for a search request.
#[derive(Debug)]
pub struct SearchSession {
    host: Arc<HostState>,
    request: SearchRequest,
    /// `None` if the request was refused before the first attempt.
    scatter: Option<ShardScatter>,
    finished: bool,
}

impl SearchSession {
    /// Starts a search. If it is refused before the first attempt, the session finishes immediately.
    pub fn start(
        host: &Arc<HostState>,
        request: SearchRequest,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        Self::start_with(host, request, CrashProbe::Unrestricted, now, rng)
    }

    /// Starts a search that may crash targets. It is sent to a single shard first, and to the others once that shard
    /// has answered. An attempt is not retried if the connection to its target is lost.
    pub fn start_cautious(
        host: &Arc<HostState>,
        request: SearchRequest,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        Self::start_with(host, request, CrashProbe::Probing(0), now, rng)
    }

    fn start_with(
        host: &Arc<HostState>,
        request: SearchRequest,
        crash: CrashProbe,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Self, Vec<SessionAction>) {
        let mut actions = Vec::new();
        let mut session = Self { host: host.clone(), request, scatter: None, finished: false };
        match session.plan(now) {
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

    fn plan(&self, now: Duration) -> Result<ShardScatter, RefusalBody> {
        let request = &self.request;
        let pool = request.pool.as_deref();
        let plan = RequestPlan::new(
            &self.host,
            &request.route,
            RouteKind::Search,
            pool,
            request.deadline,
            now,
        )?;
        let scope = ScatterScope::All;
        let placement = scope.choose_placement(&plan.pool, now).ok_or_else(no_replica_refusal)?;
        let choice = placement.choice;
        if choice.fraction() < plan.contract.least_coverage {
            return Err(RefusalBody::not_run(
                RefusalCode::CoverageTooLow,
                format!("{} of {} shards have a usable replica", choice.covered, choice.total),
            )
            .with_retry_after(NO_REPLICA_RETRY_AFTER));
        }
        let purpose = first_purpose(&self.host, request.rerun, choice.total)?;
        let id = (request.request_id.clone(), request.fingerprint);
        Ok(ShardScatter::new(self.host.clone(), plan, id, scope, placement, purpose, now))
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
            scatter.give_up_due(now);
        }
        self.finish_if_settled(now, &mut actions);
        actions
    }

    /// Cancels the search on behalf of the caller.
    pub fn on_cancel(&mut self, now: Duration) -> Vec<SessionAction> {
        self.stop(RefusalCode::Cancelled, "the caller cancelled", now)
    }

    /// Refuses the search because its fingerprint was marked as crashing targets.
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
        let outcome = build_outcome(scatter, &self.request);
        scatter.cancel_all(now, actions);
        self.finish(outcome, actions);
    }

    fn finish(&mut self, outcome: SessionOutcome, actions: &mut Vec<SessionAction>) {
        self.finished = true;
        record_outcome(&self.host, &outcome);
        actions.push(SessionAction::Finish(outcome));
    }
}

fn build_outcome(scatter: &mut ShardScatter, request: &SearchRequest) -> SessionOutcome {
    let mut missing = Vec::new();
    for (shard, progress) in (0..).zip(scatter.shards()) {
        match progress.state {
            ShardState::Answered => {}
            ShardState::Missing(reason) => missing.push(MissingShard { shard, reason }),
            ShardState::Open => {
                missing.push(MissingShard { shard, reason: MissingReason::Deadline });
            }
        }
    }
    let total = u32::try_from(scatter.shards().len()).unwrap_or(u32::MAX);
    let coverage = CoverageReport::new(total, missing);
    if coverage.answered == 0 || coverage.fraction < scatter.contract().least_coverage {
        return SessionOutcome::Refused(build_refusal(&coverage, scatter.run_outcome()));
    }
    let pin = scatter.pin();
    SessionOutcome::Answer(SearchAnswer {
        request_id: request.request_id.clone(),
        route: request.route.clone(),
        snapshot: pin.snapshot,
        shard_map: pin.shard_map,
        coverage,
        hits: scatter.take_hits(),
    })
}

fn build_refusal(coverage: &CoverageReport, outcome: RunOutcome) -> RefusalBody {
    let all = |reason| coverage.missing.iter().all(|missing| missing.reason == reason);
    let any = |reason| coverage.missing.iter().any(|missing| missing.reason == reason);
    let code = if any(MissingReason::CrashingRequest) {
        RefusalCode::CrashingRequest
    } else if coverage.answered == 0 && all(MissingReason::Deadline) {
        RefusalCode::DeadlineExceeded
    } else if coverage.answered == 0 && all(MissingReason::NoReplica) {
        RefusalCode::NoReplica
    } else {
        RefusalCode::CoverageTooLow
    };
    let message = format!("{} of {} shards answered", coverage.answered, coverage.total);
    let refusal = RefusalBody { code, message, outcome, retry_after_ms: None };
    match code {
        RefusalCode::CoverageTooLow | RefusalCode::NoReplica => {
            refusal.with_retry_after(NO_REPLICA_RETRY_AFTER)
        }
        _ => refusal,
    }
}
