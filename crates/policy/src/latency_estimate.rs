//! Latency estimate of one target for one kind of call, from replies and from attempts that a hedge overtook.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::micros::micros;

/// Half-life of the difference between an estimate without new samples and the typical latency. A target that was ten
/// times slower than typical gets a first attempt again after about three half-lives. At a few searches per second,
/// this must affect fewer than 1 in 100 searches of a host. Hedges show earlier that a target has recovered.
pub const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(30);

/// Weight of a new sample within [`RESET_FACTOR`] of the estimate.
const SAMPLE_WEIGHT: f64 = 0.2;

/// A sample that differs from the estimate by this factor replaces it, so that one reply is enough to avoid a straggler
/// or to use a target that has recovered.
const RESET_FACTOR: u64 = 4;

/// Maximum number of times that the age of an overtaken attempt is doubled. An overtaken attempt is cancelled, so its
/// age is only a lower bound, and it is doubled once for each consecutive attempt at the target that was overtaken
/// before.
const MAX_DOUBLINGS: u32 = 3;

/// Moving average of latency, excluding network time. Concurrent updates may lose a sample, which only delays the
/// estimate by one reply.
#[derive(Debug, Default)]
pub(crate) struct LatencyEstimate {
    /// 0 until the first sample.
    latency_us: AtomicU64,
    sampled_at_us: AtomicU64,
    /// Number of consecutive attempts that a hedge overtook.
    overtaken: AtomicU32,
}

impl LatencyEstimate {
    /// Adds the latency of a complete reply.
    pub fn record(&self, sample: Duration, now: Duration) {
        self.overtaken.store(0, Relaxed);
        let sample = micros(sample).max(1);
        let before = self.latency_us.load(Relaxed);
        let next = if before == 0 { sample } else { updated_average(before, sample) };
        self.latency_us.store(next, Relaxed);
        self.sampled_at_us.store(micros(now), Relaxed);
    }

    /// Raises the estimate to `elapsed`, the age of an attempt that has not ended. A lower value has no effect.
    pub fn record_at_least(&self, elapsed: Duration, now: Duration) {
        let elapsed = micros(elapsed);
        if self.latency_us.fetch_max(elapsed, Relaxed) < elapsed {
            self.sampled_at_us.store(micros(now), Relaxed);
        }
    }

    /// Raises the estimate after a hedge was answered before this attempt, which was sent `elapsed` ago.
    pub fn record_overtaken(&self, elapsed: Duration, now: Duration) {
        let before = self.overtaken.fetch_add(1, Relaxed);
        let lower_bound = micros(elapsed).saturating_mul(1 << before.min(MAX_DOUBLINGS));
        self.latency_us.fetch_max(lower_bound, Relaxed);
        self.sampled_at_us.store(micros(now), Relaxed);
    }

    /// Discards all samples.
    pub fn reset(&self) {
        self.latency_us.store(0, Relaxed);
        self.overtaken.store(0, Relaxed);
    }

    /// Estimate at `now`, or `typical` without any samples. An estimate above `typical` decays towards it while no
    /// samples are added, so that a target that was slow is used again.
    pub fn at(&self, typical: Duration, now: Duration) -> Duration {
        let estimate = self.latency_us.load(Relaxed);
        if estimate == 0 {
            return typical;
        }
        let typical_us = micros(typical);
        if estimate <= typical_us {
            return Duration::from_micros(estimate);
        }
        let age = micros(now).saturating_sub(self.sampled_at_us.load(Relaxed));
        let halvings = age as f64 / micros(ESTIMATE_HALF_LIFE) as f64;
        let excess = (estimate - typical_us) as f64 * (-halvings).exp2();
        Duration::from_micros(typical_us + excess as u64)
    }
}

fn updated_average(before: u64, sample: u64) -> u64 {
    let is_above = before.saturating_mul(RESET_FACTOR) <= sample;
    let is_below = sample.saturating_mul(RESET_FACTOR) <= before;
    if is_above || is_below {
        return sample;
    }
    let next = before as f64 + (sample as f64 - before as f64) * SAMPLE_WEIGHT;
    (next as u64).max(1)
}
