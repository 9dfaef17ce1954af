//! The budget of extra load: hedges and retries as a share of first attempts.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::micros::micros;

/// One extra attempt in the unit of the account.
const TOKEN: i64 = 1000;

/// Extra attempts that can be saved up: the attempts in flight to one replica when it turns slow, and no more.
pub const BURST_TOKENS: i64 = 20;

/// Extra attempts of a host that has just started: it knows nothing about its targets yet, so its first picks are
/// more often wrong.
pub const INITIAL_TOKENS: i64 = 5;

/// Extra attempts that a forced withdrawal may run into debt; later first attempts pay it off.
pub const MAX_DEBT_TOKENS: i64 = 200;

/// Interval of the floor.
pub const MIN_REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// Budget of one host. Each first attempt pays in `percent` hundredths of an extra attempt, up to [`BURST_TOKENS`].
///
/// Bound: over any time with `n` first attempts and `s` whole seconds, at most
/// `n * percent / 100 + BURST_TOKENS + MAX_DEBT_TOKENS + s` extra attempts are granted, and the `s` part is 0 in a second
/// whose first attempts earn a token by themselves.
#[derive(Debug)]
pub struct RetryBudget {
    /// Thousandths of an extra attempt, from `-MAX_DEBT_TOKENS` to `BURST_TOKENS` tokens.
    account: AtomicI64,
    /// Thousandths of an extra attempt that one first attempt pays in.
    income: i64,
    /// First attempts so far.
    firsts: AtomicU64,
    floor_at_us: AtomicU64,
    floor_firsts: AtomicU64,
}

impl RetryBudget {
    /// Budget of `percent` extra attempts for 100 first attempts; it starts with [`INITIAL_TOKENS`]. With 0 percent it
    /// grants nothing.
    pub fn new(percent: u32) -> Self {
        Self {
            account: AtomicI64::new(if percent == 0 { 0 } else { INITIAL_TOKENS * TOKEN }),
            income: i64::from(percent) * TOKEN / 100,
            firsts: AtomicU64::new(0),
            floor_at_us: AtomicU64::new(0),
            floor_firsts: AtomicU64::new(0),
        }
    }

    /// Pays in for `count` first attempts.
    pub fn record_first_attempts(&self, count: u32) {
        self.firsts.fetch_add(u64::from(count), Relaxed);
        let income = self.income * i64::from(count);
        let paid = |account: i64| Some((account + income).min(BURST_TOKENS * TOKEN));
        let _ = self.account.fetch_update(Relaxed, Relaxed, paid);
    }

    /// Takes one extra attempt; false when the account does not cover it.
    pub fn try_take(&self, now: Duration) -> bool {
        self.withdraw(1, 0) || (self.grant_floor(now) && self.withdraw(1, 0))
    }

    /// Takes `count` extra attempts even into debt; false when the debt limit would be passed. For attempts that
    /// replace calls proven not run, and for the one re-pin of a search.
    pub fn take_with_debt(&self, count: u32) -> bool {
        0 < self.income && self.withdraw(count, -MAX_DEBT_TOKENS * TOKEN)
    }

    /// Gives back an extra attempt that was taken and not sent.
    pub fn refund(&self) {
        self.account.fetch_add(TOKEN, Relaxed);
    }

    /// Whole extra attempts in the account; negative while in debt.
    pub fn tokens(&self) -> i64 {
        self.account.load(Relaxed).div_euclid(TOKEN)
    }

    fn withdraw(&self, count: u32, least: i64) -> bool {
        let cost = i64::from(count) * TOKEN;
        let rest = |account: i64| (least <= account - cost).then_some(account - cost);
        self.account.fetch_update(Relaxed, Relaxed, rest).is_ok()
    }

    /// Pays in one token per interval in which the first attempts earned less than one, so that a quiet host can
    /// still retry.
    fn grant_floor(&self, now: Duration) -> bool {
        if self.income == 0 {
            return false;
        }
        let last = self.floor_at_us.load(Relaxed);
        let now = micros(now);
        if now < last.saturating_add(micros(MIN_REFILL_INTERVAL)) {
            return false;
        }
        if self.floor_at_us.compare_exchange(last, now, Relaxed, Relaxed).is_err() {
            return false;
        }
        let firsts = self.firsts.load(Relaxed);
        let earned = firsts.saturating_sub(self.floor_firsts.swap(firsts, Relaxed));
        if TOKEN <= self.income.saturating_mul(i64::try_from(earned).unwrap_or(i64::MAX)) {
            return false;
        }
        let _ = self.account.fetch_update(Relaxed, Relaxed, |account| {
            (account < TOKEN).then(|| (account + TOKEN).min(TOKEN))
        });
        true
    }
}
