//! When to hedge: latency windows of shards and the delay before a second attempt.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::micros::micros;

/// Quantile of the shard's recent latency at which an attempt is hedged. Without stragglers this spends 3% of first
/// attempts, which leaves the rest of a 5% budget for stragglers.
pub const HEDGE_QUANTILE: f64 = 0.97;

/// Fewest samples that give a quantile.
pub const MIN_SAMPLES: u32 = 20;

/// Time after which the older half of a window is dropped.
pub const WINDOW_LENGTH: Duration = Duration::from_secs(10);

/// Samples of one half of a window after which the halves turn over before [`WINDOW_LENGTH`].
const HALF_SAMPLES: u32 = 1000;

/// Samples between two computations of the quantiles.
const REFRESH_SAMPLES: u32 = 16;

/// Share of a search's shards that may be outstanding when the first hedge is sent. A search with more outstanding
/// shards is slow as a whole, and a hedge of one of them would not end it sooner.
const OUTSTANDING_SHARE: f64 = 0.1;

/// Buckets per doubling of the latency; the quantile is at most 1/8 too high.
const STEPS: usize = 8;

/// Doublings from 64 microseconds to 67 seconds.
const DOUBLINGS: usize = 20;

const BUCKETS: usize = STEPS * DOUBLINGS;

const SHORTEST_US: u64 = 64;

/// Recent latency of one shard: a logarithmic histogram in two halves, of which the older is dropped in turn.
#[derive(Debug)]
pub struct LatencyWindow {
    halves: [Histogram; 2],
    current: AtomicUsize,
    turned_at_us: AtomicU64,
    since_refresh: AtomicU32,
    /// 0 while unknown.
    median_us: AtomicU64,
    /// 0 while unknown.
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
            turned_at_us: AtomicU64::new(0),
            since_refresh: AtomicU32::new(0),
            median_us: AtomicU64::new(0),
            high_us: AtomicU64::new(0),
        }
    }
}

impl LatencyWindow {
    /// Notes one latency.
    pub fn record(&self, latency: Duration, now: Duration) {
        self.turn_over(now);
        let half = &self.halves[self.current.load(Relaxed) % 2];
        half.counts[bucket_of(micros(latency))].fetch_add(1, Relaxed);
        half.total.fetch_add(1, Relaxed);
        if REFRESH_SAMPLES <= self.since_refresh.fetch_add(1, Relaxed) + 1 {
            self.since_refresh.store(0, Relaxed);
            self.refresh();
        }
    }

    /// Median of the recent latencies; none while there are too few.
    pub fn median(&self) -> Option<Duration> {
        known(self.median_us.load(Relaxed))
    }

    /// Quantile [`HEDGE_QUANTILE`] of the recent latencies; none while there are too few.
    pub fn high_quantile(&self) -> Option<Duration> {
        known(self.high_us.load(Relaxed))
    }

    fn turn_over(&self, now: Duration) {
        let turned_at = self.turned_at_us.load(Relaxed);
        let current = self.current.load(Relaxed) % 2;
        let old = turned_at.saturating_add(micros(WINDOW_LENGTH) / 2) <= micros(now);
        if !old && self.halves[current].total.load(Relaxed) < HALF_SAMPLES {
            return;
        }
        let turned = self.turned_at_us.compare_exchange(turned_at, micros(now), Relaxed, Relaxed);
        if turned.is_err() || turned_at == micros(now) {
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
                return upper_edge(bucket);
            }
        }
        upper_edge(BUCKETS - 1)
    }
}

/// Time since the first attempt of a shard at which it is hedged, with `outstanding` of `total` shards unanswered.
/// It grows with the number of outstanding shards, so that the last ones are hedged first.
pub fn hedge_delay(high: Duration, outstanding: usize, total: usize) -> Duration {
    let free = (total as f64 * OUTSTANDING_SHARE).max(1.0);
    let stretch = (outstanding as f64 / free).max(1.0);
    high.mul_f64(stretch)
}

fn known(time_us: u64) -> Option<Duration> {
    (time_us != 0).then(|| Duration::from_micros(time_us))
}

fn bucket_of(latency_us: u64) -> usize {
    let latency = latency_us.max(SHORTEST_US);
    let doubling = (latency / SHORTEST_US).ilog2() as usize;
    let base = SHORTEST_US << doubling.min(DOUBLINGS);
    let step = ((latency - base.min(latency)) * STEPS as u64 / base) as usize;
    (doubling * STEPS + step.min(STEPS - 1)).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> u64 {
    let base = SHORTEST_US << (bucket / STEPS);
    base + base * (bucket % STEPS + 1) as u64 / STEPS as u64
}
