//! Latency estimate of one target for one kind of call, from replies and from attempts that were overtaken.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::micros::micros;

/// Time in which the excess of an unsampled estimate over the usual latency halves. A target ten times slower than
/// usual is tried again with a first attempt after about three of these, which must hit fewer than 1 in 100 searches of
/// a host with a few searches a second. Hedges show earlier that a target has recovered.
pub const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(30);

/// Weight of a new sample within [`STEP_FACTOR`] of the estimate.
const SAMPLE_WEIGHT: f64 = 0.2;

/// A sample this many times above or below the estimate replaces it, so that a straggler is avoided, and a target that
/// has recovered is used, after one reply.
const STEP_FACTOR: u64 = 4;

/// Doublings of the age of an overtaken attempt that enter the estimate, at most: one for each time in a row that the
/// target was overtaken. An overtaken attempt is cancelled, so its age is only a lower bound.
const MOST_DOUBLINGS: u32 = 3;

/// Moving average of latency without the time on the link. Concurrent stores may lose a sample, which only delays the
/// estimate by one reply.
#[derive(Debug, Default)]
pub(crate) struct LatencyEstimate {
    /// 0 until the first sample.
    latency_us: AtomicU64,
    sampled_at_us: AtomicU64,
    /// Attempts in a row that a hedge overtook.
    overtaken: AtomicU32,
}

impl LatencyEstimate {
    /// Notes the time of a whole reply.
    pub fn record(&self, sample: Duration, now: Duration) {
        self.overtaken.store(0, Relaxed);
        let sample = micros(sample).max(1);
        let before = self.latency_us.load(Relaxed);
        let next = if before == 0 { sample } else { blend(before, sample) };
        self.latency_us.store(next, Relaxed);
        self.sampled_at_us.store(micros(now), Relaxed);
    }

    /// Notes an attempt that has not ended after `elapsed`; lower than the estimate it says nothing.
    pub fn record_at_least(&self, elapsed: Duration, now: Duration) {
        let elapsed = micros(elapsed);
        if self.latency_us.fetch_max(elapsed, Relaxed) < elapsed {
            self.sampled_at_us.store(micros(now), Relaxed);
        }
    }

    /// Notes an attempt that was overtaken after `elapsed` by a hedge sent later.
    pub fn record_overtaken(&self, elapsed: Duration, now: Duration) {
        let before = self.overtaken.fetch_add(1, Relaxed);
        let bound = micros(elapsed).saturating_mul(1 << before.min(MOST_DOUBLINGS));
        self.latency_us.fetch_max(bound, Relaxed);
        self.sampled_at_us.store(micros(now), Relaxed);
    }

    /// Forgets all samples.
    pub fn reset(&self) {
        self.latency_us.store(0, Relaxed);
        self.overtaken.store(0, Relaxed);
    }

    /// Estimate at `now`; `usual` without samples. While there are no samples, an estimate above `usual` approaches it,
    /// so that a target that was slow is tried again.
    pub fn at(&self, usual: Duration, now: Duration) -> Duration {
        let estimate = self.latency_us.load(Relaxed);
        if estimate == 0 {
            return usual;
        }
        let usual_us = micros(usual);
        if estimate <= usual_us {
            return Duration::from_micros(estimate);
        }
        let age = micros(now).saturating_sub(self.sampled_at_us.load(Relaxed));
        let halvings = age as f64 / micros(ESTIMATE_HALF_LIFE) as f64;
        let excess = (estimate - usual_us) as f64 * (-halvings).exp2();
        Duration::from_micros(usual_us + excess as u64)
    }
}

fn blend(before: u64, sample: u64) -> u64 {
    let is_above = before.saturating_mul(STEP_FACTOR) <= sample;
    let is_below = sample.saturating_mul(STEP_FACTOR) <= before;
    if is_above || is_below {
        return sample;
    }
    let next = before as f64 + (sample as f64 - before as f64) * SAMPLE_WEIGHT;
    (next as u64).max(1)
}
