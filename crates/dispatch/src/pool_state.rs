//! What one host keeps of pools and routes over versions of the configuration.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::retry_budget::RetryBudget;
use crate::target_state::TargetDistance;

/// State of one pool.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Attempts beyond the first.
    pub retry_budget: RetryBudget,
    /// Share of requests for the version that the pool moves to, as bits of a float.
    new_version_share: AtomicU64,
}

impl PoolState {
    /// Share of requests, from 0 to 1, for the version that the pool moves to.
    pub fn new_version_share(&self) -> f64 {
        f64::from_bits(self.new_version_share.load(Relaxed))
    }

    /// Sets the share of requests for the version that the pool moves to.
    pub fn set_new_version_share(&self, share: f64) {
        self.new_version_share.store(share.to_bits(), Relaxed);
    }
}

/// Usual latency before the first reply: a short call over each distance.
const FIRST_GUESS: [Duration; 3] =
    [Duration::from_millis(10), Duration::from_millis(12), Duration::from_millis(35)];

/// Largest step of the usual latency for one reply, as a part of its value. With equal steps up and down it settles near
/// the median, which stragglers don't move.
const USUAL_STEP: f64 = 0.05;

/// State of one route.
#[derive(Debug, Default)]
pub struct RouteState {
    /// Usual latency by distance in microseconds; 0 until the first reply.
    usual_us: [AtomicU64; 3],
}

impl RouteState {
    /// Usual latency of an attempt at this distance.
    pub fn typical_latency(&self, distance: TargetDistance) -> Duration {
        match self.usual_us[distance as usize].load(Relaxed) {
            0 => FIRST_GUESS[distance as usize],
            usual => Duration::from_micros(usual),
        }
    }

    /// Notes the latency of an answered attempt.
    pub fn record_latency(&self, distance: TargetDistance, latency: Duration) {
        let sample = latency.as_micros() as f64;
        let usual = &self.usual_us[distance as usize];
        let before = usual.load(Relaxed) as f64;
        let next = if before == 0.0 {
            sample
        } else {
            before + (sample - before).clamp(-USUAL_STEP * before, USUAL_STEP * before)
        };
        usual.store((next as u64).max(1), Relaxed);
    }
}
