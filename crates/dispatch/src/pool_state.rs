//! State of pools and routes that outlives configuration versions.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::retry_budget::RetryBudget;
use crate::target_state::TargetDistance;

/// Retry budget of one pool and the progress of its move.
#[derive(Debug, Default)]
pub struct PoolState {
    pub retry_budget: RetryBudget,
    /// Fraction of requests that go to the new version, as the bits of an `f64`.
    new_version_share: AtomicU64,
}

impl PoolState {
    /// Fraction of requests, from 0 to 1, that go to the version the pool moves to.
    pub fn new_version_share(&self) -> f64 {
        f64::from_bits(self.new_version_share.load(Relaxed))
    }

    /// Sets the fraction of requests, from 0 to 1, that go to the version the pool moves to.
    pub fn set_new_version_share(&self, share: f64) {
        self.new_version_share.store(share.to_bits(), Relaxed);
    }
}

/// Typical latency by distance until the first reply, as of a short call.
const INITIAL_LATENCY: [Duration; 3] =
    [Duration::from_millis(10), Duration::from_millis(12), Duration::from_millis(35)];

/// Maximum change of the typical latency for one reply, as a fraction of its value. With equal steps up and down, the
/// value converges near the median and ignores stragglers.
const MAX_LATENCY_STEP: f64 = 0.05;

/// Latency estimates of one route.
#[derive(Debug, Default)]
pub struct RouteState {
    /// Typical latency in microseconds by distance; 0 until the first reply.
    typical_us: [AtomicU64; 3],
}

impl RouteState {
    /// Estimated median latency of an attempt at this distance.
    pub fn typical_latency(&self, distance: TargetDistance) -> Duration {
        match self.typical_us[distance as usize].load(Relaxed) {
            0 => INITIAL_LATENCY[distance as usize],
            typical => Duration::from_micros(typical),
        }
    }

    /// Updates the estimate with the latency of an answered attempt.
    pub fn record_latency(&self, distance: TargetDistance, latency: Duration) {
        let sample = latency.as_micros() as f64;
        let typical = &self.typical_us[distance as usize];
        let before = typical.load(Relaxed) as f64;
        let next = if before == 0.0 {
            sample
        } else {
            before + (sample - before).clamp(-MAX_LATENCY_STEP * before, MAX_LATENCY_STEP * before)
        };
        typical.store((next as u64).max(1), Relaxed);
    }
}
