//! Adaptive concurrency limit: it grows while latency stays close to the base latency and falls when latency doubles.
//! Latency is compared with the base latency of its class, so that a change in the mix of classes is not mistaken for a
//! change in latency.

use std::time::Duration;

/// Number of distinguished priority classes; lower classes are treated as the last one.
pub(crate) const CLASSES: usize = 4;

/// Minimum length of an interval over which latency is averaged before the limit is adjusted.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum number of requests in an interval.
const MIN_REQUESTS: u32 = 10;

/// Ratio of mean latency to base latency above which the limit is decreased.
const MAX_LATENCY_RATIO: f64 = 2.0;

/// Share of failed requests above which the limit is decreased.
const MAX_FAILURE_SHARE: f64 = 0.1;

/// Factor by which the limit is decreased.
const DECREASE_FACTOR: f64 = 0.85;

/// Share of the limit by which it is increased.
const INCREASE_SHARE: f64 = 0.05;

/// Share of the limit that must have been in use before it is increased. If it was not in use, its latency says nothing
/// about a higher limit.
const MIN_USED_SHARE: f64 = 0.7;

/// Share of the difference by which the base latency approaches a higher mean in one interval. With it, the limit
/// adapts within about a minute to targets that have become permanently slower.
const BASE_ADAPTATION: f64 = 0.002;

/// As [`BASE_ADAPTATION`], while the limit is at most twice the lowest. Fewer requests have not reduced latency in that
/// case, so the targets themselves have become slower, and the base latency adapts within a second or two.
const LOW_LIMIT_BASE_ADAPTATION: f64 = 0.05;

/// Lowest limit, unless the initial limit is lower.
const MIN_LIMIT: f64 = 4.0;

/// Highest limit as a multiple of the initial limit.
const MAX_LIMIT_FACTOR: f64 = 4.0;

/// Adjusts the limit after each interval by its mean latency and failures: 5% up, at least 1, or 15% down.
#[derive(Debug)]
pub(crate) struct LimitControl {
    limit: f64,
    min: f64,
    max: f64,
    classes: [ClassInterval; CLASSES],
    interval_start: Duration,
    requests: u32,
    failures: u32,
    max_running: u32,
}

/// Requests of one class in the current interval.
#[derive(Clone, Copy, Debug, Default)]
struct ClassInterval {
    /// Mean latency without queueing; 0 before the first interval with requests of the class.
    base_latency_s: f64,
    requests: u32,
    latency: Duration,
}

impl ClassInterval {
    /// Ends the interval and returns the ratio of mean latency to base latency, multiplied by the number of requests.
    fn end(&mut self, adaptation: f64) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        let requests = f64::from(self.requests);
        let mean = self.latency.as_secs_f64() / requests;
        if self.base_latency_s == 0.0 || mean < self.base_latency_s {
            self.base_latency_s = mean;
        } else {
            self.base_latency_s += (mean - self.base_latency_s) * adaptation;
        }
        self.requests = 0;
        self.latency = Duration::ZERO;
        requests * mean / self.base_latency_s.max(f64::MIN_POSITIVE)
    }
}

impl LimitControl {
    pub fn new(initial: u32) -> Self {
        let initial = f64::from(initial.max(1));
        Self {
            limit: initial,
            min: MIN_LIMIT.min(initial),
            max: initial * MAX_LIMIT_FACTOR,
            classes: Default::default(),
            interval_start: Duration::ZERO,
            requests: 0,
            failures: 0,
            max_running: 0,
        }
    }

    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records the end of a request of `class`, which must be below [`CLASSES`]. `running` includes this request.
    pub fn record(&mut self, class: u8, latency: Duration, ok: bool, running: u32, now: Duration) {
        self.requests += 1;
        self.failures += u32::from(!ok);
        let interval = &mut self.classes[usize::from(class) % CLASSES];
        interval.requests += 1;
        interval.latency += latency;
        self.max_running = self.max_running.max(running);
        if self.requests < MIN_REQUESTS || now < self.interval_start + MIN_INTERVAL {
            return;
        }
        self.adjust();
        self.interval_start = now;
        self.requests = 0;
        self.failures = 0;
        self.max_running = 0;
    }

    fn adjust(&mut self) {
        let is_low = self.limit <= self.min * 2.0;
        let adaptation = if is_low { LOW_LIMIT_BASE_ADAPTATION } else { BASE_ADAPTATION };
        let ratio_sum = self.classes.iter_mut().map(|class| class.end(adaptation)).sum::<f64>();
        let is_slow = MAX_LATENCY_RATIO < ratio_sum / f64::from(self.requests);
        let is_failing = MAX_FAILURE_SHARE < f64::from(self.failures) / f64::from(self.requests);
        if is_failing || is_slow {
            self.limit = (self.limit * DECREASE_FACTOR).max(self.min);
        } else if self.limit * MIN_USED_SHARE <= f64::from(self.max_running) {
            self.limit = (self.limit + (self.limit * INCREASE_SHARE).max(1.0)).min(self.max);
        }
    }
}
