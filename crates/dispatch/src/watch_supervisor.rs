//! Decides when a watch on the store is checked, and what the reply to a check proves.
//!
//! A watch without a reply looks the same whether nothing has changed or the store has lost it. Only a reply to something that was
//! sent later tells the two apart, and only one that is not stale: a stale reply with the known revision says nothing about the
//! time since its own age, which has no bound.

use std::time::Duration;

use crate::store_position::StorePosition;

/// Delay of the first check of a watch that follows a failure, and of the check after one that failed. It doubles with each
/// failure, up to the period of checks: calls that the store refuses are charged for, too.
const MIN_RECOVERY_DELAY: Duration = Duration::from_millis(300);

/// Supervision of one watch, from the time at which it was sent until it returns or is replaced.
#[derive(Clone, Copy, Debug)]
pub struct WatchSupervisor {
    /// Position from which the watch continues.
    known: StorePosition,
    check_period: Duration,
    /// When the next check is due: one period after the last proof.
    next_check: Duration,
    /// Delay after the next check that fails.
    recovery_delay: Duration,
    /// A check has failed since the watch was sent. What silenced the store may have silenced the watch for good.
    is_suspect: bool,
}

/// Consequence of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchStep {
    /// All changes up to `proven_at` are known, and nothing speaks against the watch.
    Keep { proven_at: Duration },
    /// All changes up to `proven_at` are known, but the watch may be dead and has to be sent again.
    Renew { proven_at: Duration },
    /// There are changes that the watch has not delivered. It has to be sent again unless it returns at once.
    Overdue,
    /// The store is in a later era than the known position and has to be listed.
    NewEra,
    /// Nothing is proven: the check has failed, or its reply is from before the known position.
    Unproven,
}

impl WatchSupervisor {
    /// Supervision of a watch that is sent at `now` from the `known` position. All changes up to `proven_at` are known already.
    /// `follows_failure` means that the last call to the store failed, so that this one may not arrive.
    pub fn new(
        known: StorePosition,
        check_period: Duration,
        proven_at: Duration,
        follows_failure: bool,
        now: Duration,
    ) -> Self {
        let recovery_delay = check_period.min(MIN_RECOVERY_DELAY);
        let next_check =
            if follows_failure { now + recovery_delay } else { now.max(proven_at + check_period) };
        Self { known, check_period, next_check, recovery_delay, is_suspect: false }
    }

    /// When the next check is due.
    pub fn next_check(&self) -> Duration {
        self.next_check
    }

    /// Judges a check that was `sent` at that time. `reply` is the position of the store, `None` if the check has failed by `now`.
    ///
    /// The check must not be answered from a stale copy.
    pub fn after_check(
        &mut self,
        sent: Duration,
        reply: Option<StorePosition>,
        now: Duration,
    ) -> WatchStep {
        // The period counts from when the check was sent, because that is the time up to which it proves anything.
        self.next_check = now.max(sent + self.check_period);
        let Some(current) = reply else {
            self.is_suspect = true;
            self.next_check = now.max(sent + self.recovery_delay);
            self.recovery_delay = (self.recovery_delay * 2).min(self.check_period);
            return WatchStep::Unproven;
        };
        if self.known.era < current.era {
            return WatchStep::NewEra;
        }
        if self.known < current {
            return WatchStep::Overdue;
        }
        if current < self.known {
            return WatchStep::Unproven;
        }
        if self.is_suspect {
            return WatchStep::Renew { proven_at: sent };
        }
        WatchStep::Keep { proven_at: sent }
    }
}
