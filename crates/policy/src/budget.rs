//! Token-bucket budget that limits hedges and retries to a share of first attempts.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::micros::micros;

/// Units of the balance in one token; a token pays for one extra attempt.
const MILLITOKENS_PER_TOKEN: i64 = 1000;

/// Maximum balance. It covers the attempts in flight to one replica when that replica becomes slow, and no more.
pub const BURST_TOKENS: i64 = 20;

/// Initial balance of a host. Without knowledge of its targets, a host that has just started chooses bad targets more
/// often.
pub const INITIAL_TOKENS: i64 = 5;

/// Largest debt that [`RetryBudget::take_with_debt`] may leave; later first attempts pay it off.
pub const MAX_DEBT_TOKENS: i64 = 200;

/// Interval in which a host with few first attempts still gets one token.
pub const MIN_REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// Budget of one host. Each first attempt adds `percent` hundredths of a token, up to [`BURST_TOKENS`].
///
/// Over any period with `n` first attempts and `s` whole seconds, the budget grants at most
/// `n * percent / 100 + BURST_TOKENS + MAX_DEBT_TOKENS + s` extra attempts. A second whose first attempts earn a token
/// by themselves does not count towards `s`.
#[derive(Debug)]
pub struct RetryBudget {
    /// Balance in thousandths of a token, from `-MAX_DEBT_TOKENS` to `BURST_TOKENS` tokens.
    balance: AtomicI64,
    /// Thousandths of a token that one first attempt adds.
    earned_per_attempt: i64,
    /// Number of first attempts so far.
    first_attempts: AtomicU64,
    /// Time of the last minimum refill.
    refilled_at_us: AtomicU64,
    /// Value of `first_attempts` at the last minimum refill.
    first_attempts_at_refill: AtomicU64,
}

impl RetryBudget {
    /// Creates a budget of `percent` extra attempts for 100 first attempts, with a balance of [`INITIAL_TOKENS`]. A
    /// budget of 0 percent grants nothing.
    pub fn new(percent: u32) -> Self {
        Self {
            balance: AtomicI64::new(if percent == 0 {
                0
            } else {
                INITIAL_TOKENS * MILLITOKENS_PER_TOKEN
            }),
            earned_per_attempt: i64::from(percent) * MILLITOKENS_PER_TOKEN / 100,
            first_attempts: AtomicU64::new(0),
            refilled_at_us: AtomicU64::new(0),
            first_attempts_at_refill: AtomicU64::new(0),
        }
    }

    /// Adds the earnings of `count` first attempts.
    pub fn record_first_attempts(&self, count: u32) {
        self.first_attempts.fetch_add(u64::from(count), Relaxed);
        let earned = self.earned_per_attempt * i64::from(count);
        let add = |balance: i64| Some((balance + earned).min(BURST_TOKENS * MILLITOKENS_PER_TOKEN));
        let _ = self.balance.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes one token. Returns false when the balance does not cover it.
    pub fn try_take(&self, now: Duration) -> bool {
        self.withdraw(1, 0) || (self.refill_minimum(now) && self.withdraw(1, 0))
    }

    /// Takes `count` tokens and lets the balance become negative. Returns false when the debt would exceed
    /// [`MAX_DEBT_TOKENS`]. Used for attempts that replace calls which were proven not to have run, and for the one
    /// second pin of a search.
    pub fn take_with_debt(&self, count: u32) -> bool {
        0 < self.earned_per_attempt
            && self.withdraw(count, -MAX_DEBT_TOKENS * MILLITOKENS_PER_TOKEN)
    }

    /// Returns a token whose attempt was not sent.
    pub fn refund(&self) {
        self.balance.fetch_add(MILLITOKENS_PER_TOKEN, Relaxed);
    }

    /// Balance in whole tokens, rounded down; negative while in debt.
    pub fn tokens(&self) -> i64 {
        self.balance.load(Relaxed).div_euclid(MILLITOKENS_PER_TOKEN)
    }

    fn withdraw(&self, count: u32, min_balance: i64) -> bool {
        let cost = i64::from(count) * MILLITOKENS_PER_TOKEN;
        let subtract = |balance: i64| (min_balance <= balance - cost).then_some(balance - cost);
        self.balance.fetch_update(Relaxed, Relaxed, subtract).is_ok()
    }

    /// Adds one token per [`MIN_REFILL_INTERVAL`] in which first attempts earned less than one, so that a host with
    /// little traffic can still retry.
    fn refill_minimum(&self, now: Duration) -> bool {
        if self.earned_per_attempt == 0 {
            return false;
        }
        let last = self.refilled_at_us.load(Relaxed);
        let now = micros(now);
        if now < last.saturating_add(micros(MIN_REFILL_INTERVAL)) {
            return false;
        }
        if self.refilled_at_us.compare_exchange(last, now, Relaxed, Relaxed).is_err() {
            return false;
        }
        let total = self.first_attempts.load(Relaxed);
        let recent = total.saturating_sub(self.first_attempts_at_refill.swap(total, Relaxed));
        if MILLITOKENS_PER_TOKEN
            <= self.earned_per_attempt.saturating_mul(i64::try_from(recent).unwrap_or(i64::MAX))
        {
            return false;
        }
        let _ = self.balance.fetch_update(Relaxed, Relaxed, |balance| {
            (balance < MILLITOKENS_PER_TOKEN)
                .then(|| (balance + MILLITOKENS_PER_TOKEN).min(MILLITOKENS_PER_TOKEN))
        });
        true
    }
}
