//! How far one shard of a search has come.

use std::time::Duration;

use vanillapick_model::answer::MissingReason;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::target::TargetId;

use crate::attempt::AttemptPurpose;
use crate::attempt::RetryReason;
use crate::counters::BudgetUse;
use crate::host_state::HostState;

/// Longest series of attempts for one shard, hedges included.
pub(crate) const MOST_ATTEMPTS: u32 = 5;

/// Attempts for one shard in the baseline.
pub(crate) const BASELINE_ATTEMPTS: u32 = 2;

/// Time after which a shard whose replicas are at their limits is tried again.
pub(crate) const BUSY_DELAY: Duration = Duration::from_millis(2);

/// Time after which a retry that the budget did not cover, or a replica that has been tried, is tried again.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Whether a shard is settled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShardState {
    Open,
    Answered,
    Missing(MissingReason),
}

/// What a retry costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryCost {
    /// Nothing: the call it replaces never reached a target, or it has been paid.
    Free,
    /// One extra attempt, if need be into debt: the target proved that it did not run the call, and is not asked again.
    Debt,
    /// One extra attempt.
    Token,
}

impl RetryCost {
    /// Takes the cost from the host's budget; false, and counted as denied, when the budget does not cover it.
    pub fn pay(self, host: &HostState, now: Duration) -> bool {
        let paid = match self {
            Self::Free => true,
            Self::Debt => host.budget.take_with_debt(1),
            Self::Token => host.budget.try_take(now),
        };
        if !paid {
            host.counters.record_budget_denial(BudgetUse::Retry);
        }
        paid
    }

    /// Gives the cost back because nothing was sent.
    pub fn give_back(self, host: &HostState) {
        if self != Self::Free {
            host.budget.refund();
        }
    }
}

/// An attempt that waits to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingSend {
    pub purpose: AttemptPurpose,
    pub cost: RetryCost,
    pub not_before: Duration,
    /// Replicas that have been tried may be tried again.
    pub again: bool,
}

impl PendingSend {
    /// An attempt that is due at `now`.
    pub fn new(purpose: AttemptPurpose, cost: RetryCost, now: Duration) -> Self {
        Self { purpose, cost, not_before: now, again: false }
    }
}

/// One shard of a search.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    pub state: ShardState,
    /// Attempts at the present pin that run and are not cancelled.
    pub running: u32,
    /// Attempts sent at the present pin.
    pub sends: u32,
    /// Time of the latest attempt that is not a hedge.
    pub sent_at: Duration,
    pub hedged: bool,
    pub hedge_not_before: Duration,
    pub pending: Option<PendingSend>,
    pub failure: Option<MissingReason>,
    /// Target whose loss is not judged yet; `pending` then waits for the verdict.
    pub lost_at: Option<TargetId>,
}

impl ShardProgress {
    /// A shard whose first attempt is due at `now`.
    pub fn new(purpose: AttemptPurpose, now: Duration) -> Self {
        Self {
            state: ShardState::Open,
            running: 0,
            sends: 0,
            sent_at: now,
            hedged: false,
            hedge_not_before: Duration::ZERO,
            pending: Some(PendingSend::new(purpose, RetryCost::Free, now)),
            failure: None,
            lost_at: None,
        }
    }

    /// Whether the shard has neither a counted reply nor been given up.
    pub fn is_open(&self) -> bool {
        self.state == ShardState::Open
    }
}

/// What a failed attempt means for its shard: the reason in the coverage report, and the retry, if one makes sense.
pub(crate) struct AttemptFailure {
    pub missing: MissingReason,
    pub retry: Option<(RetryReason, RetryCost)>,
}

impl AttemptFailure {
    /// Failure by a refusal of the target.
    pub fn refused(reason: TargetRefusal) -> Self {
        let retried = |cost| Some((RetryReason::Refused, cost));
        let (missing, retry) = match reason {
            TargetRefusal::SnapshotMissing => {
                (MissingReason::SnapshotMissing, retried(RetryCost::Debt))
            }
            TargetRefusal::Cold | TargetRefusal::Draining | TargetRefusal::WrongShard => {
                (MissingReason::Refused, retried(RetryCost::Debt))
            }
            TargetRefusal::Shed => (MissingReason::Refused, retried(RetryCost::Token)),
            TargetRefusal::Deadline => (MissingReason::Deadline, None),
            TargetRefusal::Cancelled => (MissingReason::Refused, retried(RetryCost::Token)),
        };
        Self { missing, retry }
    }

    /// The reply cannot be used.
    pub fn bad_reply() -> Self {
        let retry = Some((RetryReason::BadReply, RetryCost::Token));
        Self { missing: MissingReason::BadReply, retry }
    }

    /// The connection was lost after the call may have been sent.
    pub fn lost() -> Self {
        let retry = Some((RetryReason::Lost, RetryCost::Token));
        Self { missing: MissingReason::Lost, retry }
    }

    /// The call never reached the target.
    pub fn not_sent() -> Self {
        let retry = Some((RetryReason::NotSent, RetryCost::Free));
        Self { missing: MissingReason::Lost, retry }
    }

    /// The deadline came first.
    pub fn timed_out() -> Self {
        Self { missing: MissingReason::Deadline, retry: None }
    }
}
