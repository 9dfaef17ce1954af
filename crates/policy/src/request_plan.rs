//! Resolution of a request's route, pool, contract and deadline, shared by all kinds of sessions.

use std::sync::Arc;
use std::time::Duration;

use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::call::header;
use vanillapick_model::contract::RouteContract;
use vanillapick_model::route::RouteKind;

use crate::attempt::AttemptPurpose;
use crate::attempt::RetryReason;
use crate::attempt::SessionOutcome;
use crate::counters::AnswerKind;
use crate::counters::BudgetUse;
use crate::host_state::HostState;
use crate::micros::scaled;
use crate::serving_view::PoolView;

/// Maximum time before the deadline at which the caller is answered, so that the answer arrives in time.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// Maximum fraction of the remaining time reserved as the answer margin; limits [`ANSWER_MARGIN`].
const ANSWER_MARGIN_SHARE: f64 = 0.05;

/// Retry delay for refusals because no replica is usable. Lost targets are probed once in this interval.
pub const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Route and pool of a request, as configured on arrival.
#[derive(Clone, Debug)]
pub(crate) struct RequestPlan {
    pub contract: RouteContract,
    pub pool: Arc<PoolView>,
    /// Latest monotonic time at which the caller is answered.
    pub answer_by: Duration,
}

impl RequestPlan {
    /// Resolves a request to `route`. `pool` overrides the pool of the route during a move.
    pub fn new(
        host: &HostState,
        route: &str,
        kind: RouteKind,
        pool: Option<&str>,
        deadline: Duration,
        now: Duration,
    ) -> Result<Self, RefusalBody> {
        let view = host.view();
        if view.revision() == 0 {
            return Err(RefusalBody::not_run(
                RefusalCode::NotReady,
                "the host has no configuration yet",
            ));
        }
        let row = view.route(route).ok_or_else(|| {
            RefusalBody::not_run(RefusalCode::UnknownRoute, format!("no route is named {route:?}"))
        })?;
        if row.kind != kind {
            return Err(RefusalBody::not_run(
                RefusalCode::WrongKind,
                format!("the route {route:?} takes requests of another kind"),
            ));
        }
        let pool = view.pool(pool.unwrap_or(&row.pool)).ok_or_else(|| {
            RefusalBody::not_run(RefusalCode::NoReplica, "the route's pool is not in the tables")
        })?;
        let deadline = deadline.min(now + row.contract.deadline);
        let left = deadline.saturating_sub(now);
        if left.is_zero() {
            return Err(RefusalBody::not_run(
                RefusalCode::DeadlineExceeded,
                "the deadline has passed",
            ));
        }
        let margin = ANSWER_MARGIN.min(scaled(left, ANSWER_MARGIN_SHARE));
        Ok(Self {
            contract: row.contract.clone(),
            pool: pool.clone(),
            answer_by: deadline - margin,
        })
    }
}

/// Returns the purpose of the first attempts of a request to `shards` shards. A rerun at the old version of a move is
/// charged to the retry budget and refused if the budget is exhausted.
pub(crate) fn first_purpose(
    host: &HostState,
    rerun: bool,
    shards: u32,
) -> Result<AttemptPurpose, RefusalBody> {
    if !rerun {
        return Ok(AttemptPurpose::First);
    }
    if host.profile.baseline || host.budget.take_with_debt(shards) {
        return Ok(AttemptPurpose::Retry(RetryReason::OldVersion));
    }
    host.counters.record_budget_denial(BudgetUse::Retry);
    let message = "the budget of extra load does not cover a second run";
    Err(RefusalBody::unknown(RefusalCode::Overloaded, message))
}

/// Refuses a read or write without a key at a sharded pool, because its shard cannot be determined.
pub(crate) fn require_key(pool: &PoolView, key: Option<&[u8]>) -> Result<(), RefusalBody> {
    let is_sharded = pool.maps.iter().any(|map| 1 < map.shards.len());
    if key.is_some() || !is_sharded {
        return Ok(());
    }
    let message = format!("{} is missing; the pool is sharded and needs a key", header::KEY);
    Err(RefusalBody::not_run(RefusalCode::WrongKind, message))
}

/// Creates a refusal for a request without a usable replica.
pub(crate) fn no_replica_refusal() -> RefusalBody {
    RefusalBody::not_run(RefusalCode::NoReplica, "no replica is usable")
        .with_retry_after(NO_REPLICA_RETRY_AFTER)
}

/// Updates the counters for the outcome returned to the caller.
pub(crate) fn record_outcome(host: &HostState, outcome: &SessionOutcome) {
    match outcome {
        SessionOutcome::Answer(answer) if answer.coverage.is_full() => {
            host.counters.record_answer(AnswerKind::Full);
        }
        SessionOutcome::Answer(_) => host.counters.record_answer(AnswerKind::Partial),
        SessionOutcome::Reply(_) => host.counters.record_answer(AnswerKind::Full),
        SessionOutcome::Refused(refusal) => host.counters.record_refusal(refusal.code),
    }
}
