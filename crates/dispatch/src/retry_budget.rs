//! The budget of attempts beyond the first of each request, for one pool.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Buckets of a window. One more is kept, so that every span of the window's length lies inside the kept ones.
const BUCKETS: usize = 20;

/// Part of the budget that is used. Hosts and targets count a request at slightly different times.
const USED_PART: f64 = 0.9;

/// Limits of the budget over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Extra attempts for each request of the window.
    pub ratio: f64,
    /// Extra attempts of a window that need no request.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Extra attempts of one host to one pool, over a sliding window.
///
/// Invariant: in every window the granted attempts are at most `ratio` of the requests of that window, plus the host's
/// part of the slack.
#[derive(Debug, Default)]
pub struct RetryBudget {
    window: Mutex<BudgetWindow>,
}

#[derive(Debug, Default)]
struct BudgetWindow {
    buckets: [BudgetBucket; BUCKETS + 1],
    /// Number of the newest bucket since the start of the process.
    newest: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct BudgetBucket {
    firsts: u32,
    extras: u32,
}

impl RetryBudget {
    /// Counts one request of the pool.
    pub fn record_request(&self, rule: &RetryBudgetLimits, now: Duration) {
        self.with(rule, now, |window| window.current().firsts += 1);
    }

    /// Takes one extra attempt; false if the budget does not cover it. `hosts` live hosts divide the slack.
    pub fn try_take(&self, rule: &RetryBudgetLimits, hosts: usize, now: Duration) -> bool {
        self.with(rule, now, |window| {
            let oldest = window.newest.wrapping_add(1) as usize % (BUCKETS + 1);
            let all = window.buckets.iter().enumerate();
            let firsts: u32 =
                all.filter(|(index, _)| *index != oldest).map(|(_, bucket)| bucket.firsts).sum();
            let extras: u32 = window.buckets.iter().map(|bucket| bucket.extras).sum();
            let limit = rule.ratio * f64::from(firsts) + rule.slack / hosts.max(1) as f64;
            if f64::from(extras + 1) > limit * USED_PART {
                return false;
            }
            window.current().extras += 1;
            true
        })
    }

    fn with<T>(
        &self,
        rule: &RetryBudgetLimits,
        now: Duration,
        act: impl FnOnce(&mut BudgetWindow) -> T,
    ) -> T {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let length = (rule.window.as_micros() / BUCKETS as u128).max(1);
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

    fn current(&mut self) -> &mut BudgetBucket {
        &mut self.buckets[self.newest as usize % (BUCKETS + 1)]
    }
}
