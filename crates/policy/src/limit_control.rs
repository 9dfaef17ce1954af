//! The concurrency limit: it grows while latency stays near its base and falls when latency doubles. Latency is taken
//! relative to the base of its class, so that a change of the mix of classes does not look like a change of latency.

use std::time::Duration;

/// Classes that are told apart; those from the last one on are treated alike.
pub(crate) const CLASSES: usize = 4;

/// Shortest time over which latency is averaged for one step of the limit.
const STEP_TIME: Duration = Duration::from_millis(100);

/// Fewest requests in one step.
const STEP_REQUESTS: u32 = 10;

/// Ratio of the mean latency to its base above which the limit falls.
const TOLERANCE: f64 = 2.0;

/// Share of failed requests above which the limit falls.
const FAILURE_SHARE: f64 = 0.1;

/// Factor of one step down.
const FALL: f64 = 0.85;

/// Share of the limit added by one step up.
const RISE: f64 = 0.05;

/// Share of the limit that must have been used for a step up: an unused limit says nothing about a higher one.
const USED_SHARE: f64 = 0.7;

/// Share by which the base follows a higher mean in one step, so that the limit adapts within about a minute to
/// targets that have become slower for good.
const BASE_DRIFT: f64 = 0.002;

/// The same while the limit is at most twice the lowest: fewer requests have not made latency lower then, so it is the
/// targets that have become slower, and the base follows within a second or two.
const LOW_LIMIT_DRIFT: f64 = 0.05;

/// Lowest limit, unless the first one is lower.
const LEAST_LIMIT: f64 = 4.0;

/// Highest limit as a multiple of the first one.
const MOST_FACTOR: f64 = 4.0;

/// Additive increase and multiplicative decrease on mean latency and failures of one step.
#[derive(Debug)]
pub(crate) struct LimitControl {
    limit: f64,
    least: f64,
    most: f64,
    classes: [ClassStep; CLASSES],
    step_start: Duration,
    requests: u32,
    failures: u32,
    most_running: u32,
}

/// Requests of one class in the present step.
#[derive(Clone, Copy, Debug, Default)]
struct ClassStep {
    /// Mean latency without queueing, in seconds; 0 until the first step with the class.
    base: f64,
    requests: u32,
    latency: Duration,
}

impl ClassStep {
    /// Ends the step; the sum over its requests of the mean latency relative to the base.
    fn end(&mut self, drift: f64) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        let requests = f64::from(self.requests);
        let mean = self.latency.as_secs_f64() / requests;
        if self.base == 0.0 || mean < self.base {
            self.base = mean;
        } else {
            self.base += (mean - self.base) * drift;
        }
        self.requests = 0;
        self.latency = Duration::ZERO;
        requests * mean / self.base.max(f64::MIN_POSITIVE)
    }
}

impl LimitControl {
    pub fn new(first: u32) -> Self {
        let first = f64::from(first.max(1));
        Self {
            limit: first,
            least: LEAST_LIMIT.min(first),
            most: first * MOST_FACTOR,
            classes: Default::default(),
            step_start: Duration::ZERO,
            requests: 0,
            failures: 0,
            most_running: 0,
        }
    }

    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Notes the end of a request of `class`, below [`CLASSES`], while `running` requests ran, itself included.
    pub fn record(&mut self, class: u8, latency: Duration, ok: bool, running: u32, now: Duration) {
        self.requests += 1;
        self.failures += u32::from(!ok);
        let step = &mut self.classes[usize::from(class) % CLASSES];
        step.requests += 1;
        step.latency += latency;
        self.most_running = self.most_running.max(running);
        if self.requests < STEP_REQUESTS || now < self.step_start + STEP_TIME {
            return;
        }
        self.step();
        self.step_start = now;
        self.requests = 0;
        self.failures = 0;
        self.most_running = 0;
    }

    fn step(&mut self) {
        let is_low = self.limit <= self.least * 2.0;
        let drift = if is_low { LOW_LIMIT_DRIFT } else { BASE_DRIFT };
        let slowness = self.classes.iter_mut().map(|class| class.end(drift)).sum::<f64>();
        let slow = TOLERANCE < slowness / f64::from(self.requests);
        let failed = FAILURE_SHARE < f64::from(self.failures) / f64::from(self.requests);
        if failed || slow {
            self.limit = (self.limit * FALL).max(self.least);
        } else if self.limit * USED_SHARE <= f64::from(self.most_running) {
            self.limit = (self.limit + (self.limit * RISE).max(1.0)).min(self.most);
        }
    }
}
