//! Hedging: recent latency of shards and the delay before a second attempt.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::micros::micros;

/// Quantile of the shard's recent latency after which an attempt is hedged. Without stragglers, hedges then amount to
/// 3% of first attempts, which leaves the rest of a 5% budget for stragglers.
pub const HEDGE_QUANTILE: f64 = 0.97;

/// Minimum number of samples from which a quantile is computed.
pub const MIN_SAMPLES: u32 = 20;

/// Maximum age of the samples in a window; its halves are rotated twice in this time.
pub const WINDOW_LENGTH: Duration = Duration::from_secs(10);

/// Samples in the current half of a window at which the halves are rotated early.
const MAX_HALF_SAMPLES: u32 = 1000;

/// Number of samples after which the quantiles are computed again.
const SAMPLES_PER_REFRESH: u32 = 16;

/// Share of a search's shards that may be outstanding without a longer hedge delay. A search with more outstanding
/// shards is slow as a whole, and hedging one of them would not end it sooner.
const MAX_OUTSTANDING_SHARE: f64 = 0.1;

/// Buckets per doubling of latency; a quantile is overestimated by at most 1/8.
const BUCKETS_PER_DOUBLING: usize = 8;

/// Number of doublings of latency, from 64 microseconds to 67 seconds.
const DOUBLINGS: usize = 20;

const BUCKETS: usize = BUCKETS_PER_DOUBLING * DOUBLINGS;

/// Latencies below this one are counted in the first bucket.
const MIN_LATENCY_US: u64 = 64;

/// Recent latencies of one shard: two logarithmic histograms, the older of which is cleared and reused at each
/// rotation.
#[derive(Debug)]
pub struct LatencyWindow {
    halves: [Histogram; 2],
    current: AtomicUsize,
    rotated_at_us: AtomicU64,
    since_refresh: AtomicU32,
    /// 0 while there are too few samples.
    median_us: AtomicU64,
    /// 0 while there are too few samples.
    high_us: AtomicU64,
}

#[derive(Debug)]
struct Histogram {
    counts: Vec<AtomicU32>,
    total: AtomicU32,
}

impl Default for Histogram {
    fn default() -> Self {
        let counts = (0..BUCKETS).map(|_| AtomicU32::new(0)).collect();
        Self { counts, total: AtomicU32::new(0) }
    }
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            halves: [Histogram::default(), Histogram::default()],
            current: AtomicUsize::new(0),
            rotated_at_us: AtomicU64::new(0),
            since_refresh: AtomicU32::new(0),
            median_us: AtomicU64::new(0),
            high_us: AtomicU64::new(0),
        }
    }
}

impl LatencyWindow {
    /// Adds one sample.
    pub fn record(&self, latency: Duration, now: Duration) {
        self.rotate_halves(now);
        let half = &self.halves[self.current.load(Relaxed) % 2];
        half.counts[bucket_index(micros(latency))].fetch_add(1, Relaxed);
        half.total.fetch_add(1, Relaxed);
        if SAMPLES_PER_REFRESH <= self.since_refresh.fetch_add(1, Relaxed) + 1 {
            self.since_refresh.store(0, Relaxed);
            self.refresh();
        }
    }

    /// Median of the recent latencies, or `None` with fewer than [`MIN_SAMPLES`] samples.
    pub fn median(&self) -> Option<Duration> {
        known_latency(self.median_us.load(Relaxed))
    }

    /// Quantile [`HEDGE_QUANTILE`] of the recent latencies, or `None` with fewer than [`MIN_SAMPLES`] samples.
    pub fn high_quantile(&self) -> Option<Duration> {
        known_latency(self.high_us.load(Relaxed))
    }

    fn rotate_halves(&self, now: Duration) {
        let rotated_at = self.rotated_at_us.load(Relaxed);
        let current = self.current.load(Relaxed) % 2;
        let is_due = rotated_at.saturating_add(micros(WINDOW_LENGTH) / 2) <= micros(now);
        if !is_due && self.halves[current].total.load(Relaxed) < MAX_HALF_SAMPLES {
            return;
        }
        let rotated =
            self.rotated_at_us.compare_exchange(rotated_at, micros(now), Relaxed, Relaxed);
        if rotated.is_err() || rotated_at == micros(now) {
            return;
        }
        let next = &self.halves[1 - current];
        for count in &next.counts {
            count.store(0, Relaxed);
        }
        next.total.store(0, Relaxed);
        self.current.store(1 - current, Relaxed);
    }

    fn refresh(&self) {
        let total: u32 = self.halves.iter().map(|half| half.total.load(Relaxed)).sum();
        if total < MIN_SAMPLES {
            return;
        }
        self.median_us.store(self.quantile(total, 0.5), Relaxed);
        self.high_us.store(self.quantile(total, HEDGE_QUANTILE), Relaxed);
    }

    fn quantile(&self, total: u32, quantile: f64) -> u64 {
        let rank = (f64::from(total) * quantile).ceil() as u32;
        let mut seen = 0;
        for bucket in 0..BUCKETS {
            seen += self.halves.iter().map(|half| half.counts[bucket].load(Relaxed)).sum::<u32>();
            if rank <= seen {
                return bucket_upper_bound(bucket);
            }
        }
        bucket_upper_bound(BUCKETS - 1)
    }
}

/// Time after the first attempt at a shard at which it is hedged, with `outstanding` of `total` shards unanswered. It
/// grows with the number of outstanding shards, so that hedges are sent for the last few shards of a search.
pub fn hedge_delay(high: Duration, outstanding: usize, total: usize) -> Duration {
    let undelayed = (total as f64 * MAX_OUTSTANDING_SHARE).max(1.0);
    let factor = (outstanding as f64 / undelayed).max(1.0);
    high.mul_f64(factor)
}

fn known_latency(time_us: u64) -> Option<Duration> {
    (time_us != 0).then(|| Duration::from_micros(time_us))
}

fn bucket_index(latency_us: u64) -> usize {
    let latency = latency_us.max(MIN_LATENCY_US);
    let doubling = (latency / MIN_LATENCY_US).ilog2() as usize;
    let base = MIN_LATENCY_US << doubling.min(DOUBLINGS);
    let position = ((latency - base.min(latency)) * BUCKETS_PER_DOUBLING as u64 / base) as usize;
    (doubling * BUCKETS_PER_DOUBLING + position.min(BUCKETS_PER_DOUBLING - 1)).min(BUCKETS - 1)
}

fn bucket_upper_bound(bucket: usize) -> u64 {
    let base = MIN_LATENCY_US << (bucket / BUCKETS_PER_DOUBLING);
    base + base * (bucket % BUCKETS_PER_DOUBLING + 1) as u64 / BUCKETS_PER_DOUBLING as u64
}
