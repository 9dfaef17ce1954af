//! Progress of a single shard within a search or read.

use std::time::Duration;

use vanillapick_model::answer::MissingReason;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::target::TargetId;

use crate::attempt::AttemptPurpose;
use crate::attempt::RetryReason;
use crate::counters::BudgetUse;
use crate::host_state::HostState;

/// Maximum number of attempts for a shard, including hedges.
pub(crate) const MAX_ATTEMPTS: u32 = 5;

/// Maximum number of attempts for a shard in the baseline.
pub(crate) const BASELINE_ATTEMPTS: u32 = 2;

/// Delay before retrying a shard whose replicas are all at their limits.
pub(crate) const BUSY_DELAY: Duration = Duration::from_millis(2);

/// Delay before repeating a retry that was denied by the budget, or calling a replica again.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Whether a shard is answered, abandoned or still open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShardState {
    Open,
    Answered,
    Missing(MissingReason),
}

/// Budget cost of a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryCost {
    /// No cost, because the previous call never reached a target or the retry is already paid for.
    Free,
    /// One extra attempt, which may overdraw the budget. Used if the target proved that it did not execute the call and
    /// is not called again.
    Debt,
    /// One extra attempt.
    Token,
}

impl RetryCost {
    /// Charges the cost to the host's budget. If the budget is exhausted, counts the retry as denied and returns false.
    pub fn charge(self, host: &HostState, now: Duration) -> bool {
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

    /// Refunds the cost if nothing was sent.
    pub fn refund(self, host: &HostState) {
        if self != Self::Free {
            host.budget.refund();
        }
    }
}

/// Attempt that is scheduled, but not sent yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingSend {
    pub purpose: AttemptPurpose,
    pub cost: RetryCost,
    /// Earliest time to send; [`Duration::MAX`] while a crash probe at another shard holds the attempt back.
    pub not_before: Duration,
    /// Whether replicas that were already called may be called again.
    pub allow_tried: bool,
}

impl PendingSend {
    /// Creates an attempt that is due at `now`.
    pub fn new(purpose: AttemptPurpose, cost: RetryCost, now: Duration) -> Self {
        Self { purpose, cost, not_before: now, allow_tried: false }
    }
}

/// State of a shard.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    pub state: ShardState,
    /// Number of running, non-cancelled attempts at the current pin.
    pub running: u32,
    /// Number of attempts sent at the current pin.
    pub sent: u32,
    /// Send time of the latest attempt that is not a hedge.
    pub sent_at: Duration,
    pub hedged: bool,
    pub hedge_not_before: Duration,
    pub pending: Option<PendingSend>,
    pub failure: Option<MissingReason>,
    /// Target whose connection was lost, while the crash table has not decided yet whether to retry. `pending` is then
    /// on hold.
    pub lost_target: Option<TargetId>,
}

impl ShardProgress {
    /// Creates a shard whose first attempt is due at `now`.
    pub fn new(purpose: AttemptPurpose, now: Duration) -> Self {
        Self {
            state: ShardState::Open,
            running: 0,
            sent: 0,
            sent_at: now,
            hedged: false,
            hedge_not_before: Duration::ZERO,
            pending: Some(PendingSend::new(purpose, RetryCost::Free, now)),
            failure: None,
            lost_target: None,
        }
    }

    /// Returns whether the shard is neither answered nor abandoned.
    pub fn is_open(&self) -> bool {
        self.state == ShardState::Open
    }
}

/// Consequences of a failed attempt: the reason for the coverage report, and the retry, if useful.
pub(crate) struct AttemptFailure {
    pub missing: MissingReason,
    pub retry: Option<(RetryReason, RetryCost)>,
}

impl AttemptFailure {
    /// Failure because the target refused the call.
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

    /// Failure because the reply was malformed or belonged to another call.
    pub fn bad_reply() -> Self {
        let retry = Some((RetryReason::BadReply, RetryCost::Token));
        Self { missing: MissingReason::BadReply, retry }
    }

    /// Failure because the connection was lost after the call may have been sent.
    pub fn lost() -> Self {
        let retry = Some((RetryReason::Lost, RetryCost::Token));
        Self { missing: MissingReason::Lost, retry }
    }

    /// Failure because the call never reached the target.
    pub fn not_sent() -> Self {
        let retry = Some((RetryReason::NotSent, RetryCost::Free));
        Self { missing: MissingReason::Lost, retry }
    }

    /// Failure because the deadline expired.
    pub fn timed_out() -> Self {
        Self { missing: MissingReason::Deadline, retry: None }
    }
}
