//! Budget for the hedges and retries of one pool, over a sliding window.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Buckets of a window. One more is kept, so that every interval of the length of the window lies within the kept ones.
const BUCKETS: usize = 20;

/// Fraction of the budget that is used, because hosts and targets count a request at slightly different times.
const USED_FRACTION: f64 = 0.9;

/// Buckets whose requests may be used for a burst of extra attempts. A process that starts does not know of a burst of the
/// process before it, so what a burst uses in advance must be small compared to a window.
const BURST_BUCKETS: u64 = 2;

/// Limits on hedges and retries over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Extra attempts allowed for each request in the window.
    pub ratio: f64,
    /// Extra attempts allowed in a window regardless of the number of requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Time since the start of the process from which this host has its part of the slack. An earlier process of the host
    /// may have used that part in the same window, so it is one window unless there was no earlier process.
    pub slack_from: Duration,
}

/// Hedges and retries of one host to one pool.
///
/// Invariant: in every window the granted attempts are at most `ratio` times the requests of that window, plus this
/// host's share of the slack. If several processes of the host ran in that window, each has granted at most what its own
/// requests and those of the burst before the window have earned, and only one of them has used the slack.
#[derive(Debug, Default)]
pub struct RetryBudget {
    window: Mutex<BudgetWindow>,
}

/// Use of a budget in the current window and since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Hedges and retries granted in the window.
    pub extras: u32,
    /// Hedges and retries granted since the start of the process.
    pub granted: u64,
    /// Hedges and retries refused since the start of the process.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct BudgetWindow {
    buckets: [BudgetBucket; BUCKETS + 1],
    /// Number of the newest bucket since the start of the process.
    newest: u64,
    /// Extra attempts that requests have earned and that are not used; at most what [`Self::max_earned`] allows.
    earned: f64,
    granted: u64,
    refused: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct BudgetBucket {
    requests: u32,
    extras: u32,
    /// Part of `extras` that was taken from the slack.
    slack: f64,
}

impl RetryBudget {
    /// Counts one request to the pool, which increases the budget.
    pub fn record_request(&self, limits: &RetryBudgetLimits, now: Duration) {
        self.with_window(limits, now, |window| {
            window.current().requests += 1;
            window.earned += limits.ratio * USED_FRACTION;
        });
    }

    /// Takes one hedge or retry from the budget; returns false if it is exhausted. `share` is this host's part of the slack,
    /// from 0 to 1.
    pub fn try_take(&self, limits: &RetryBudgetLimits, share: f64, now: Duration) -> bool {
        self.with_window(limits, now, |window| {
            let slack = if limits.slack_from <= now { limits.slack * share } else { 0.0 };
            let limit = limits.ratio * f64::from(window.requests()) + slack;
            let slack_left = slack * USED_FRACTION - window.slack_used();
            window.earned = window.earned.min(window.max_earned(limits.ratio, slack));
            let from_slack = (1.0 - window.earned).max(0.0);
            if f64::from(window.extras() + 1) > limit * USED_FRACTION || slack_left < from_slack {
                window.refused += 1;
                return false;
            }
            window.earned = (window.earned - 1.0).max(0.0);
            window.current().slack += from_slack;
            window.current().extras += 1;
            window.granted += 1;
            true
        })
    }

    /// Use of the budget up to `now`.
    pub fn usage(&self, limits: &RetryBudgetLimits, now: Duration) -> BudgetUsage {
        self.with_window(limits, now, |window| BudgetUsage {
            requests: window.requests(),
            extras: window.extras(),
            granted: window.granted,
            refused: window.refused,
        })
    }

    fn with_window<T>(
        &self,
        limits: &RetryBudgetLimits,
        now: Duration,
        act: impl FnOnce(&mut BudgetWindow) -> T,
    ) -> T {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let length = (limits.window.as_micros() / BUCKETS as u128).max(1);
        let bucket = u64::try_from(now.as_micros() / length).unwrap_or(u64::MAX);
        window.advance(bucket);
        act(&mut window)
    }
}

impl BudgetWindow {
    fn advance(&mut self, bucket: u64) {
        let steps = bucket.saturating_sub(self.newest).min(BUCKETS as u64 + 1);
        for step in 0..steps {
            let index = (bucket - step) as usize % (BUCKETS + 1);
            self.buckets[index] = BudgetBucket::default();
        }
        self.newest = self.newest.max(bucket);
    }

    /// Requests of the window, without the oldest bucket, part of which is older than the window.
    fn requests(&self) -> u32 {
        let oldest = self.newest.wrapping_add(1) as usize % (BUCKETS + 1);
        let buckets = self.buckets.iter().enumerate();
        buckets.filter(|(index, _)| *index != oldest).map(|(_, bucket)| bucket.requests).sum()
    }

    /// Extra attempts that may be earned in advance: those of the latest requests, or as many as are needed to make one
    /// attempt where requests are rare.
    fn max_earned(&self, ratio: f64, slack: f64) -> f64 {
        let latest = (0..BURST_BUCKETS).filter_map(|age| self.newest.checked_sub(age));
        let latest: u32 =
            latest.map(|bucket| self.buckets[bucket as usize % (BUCKETS + 1)].requests).sum();
        let missing = (1.0 - slack * USED_FRACTION).max(0.0);
        let rare = (ratio * USED_FRACTION * f64::from(self.requests())).min(missing);
        (ratio * USED_FRACTION * f64::from(latest)).max(rare)
    }

    fn slack_used(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.slack).sum()
    }

    fn extras(&self) -> u32 {
        self.buckets.iter().map(|bucket| bucket.extras).sum()
    }

    fn current(&mut self) -> &mut BudgetBucket {
        &mut self.buckets[self.newest as usize % (BUCKETS + 1)]
    }
}
