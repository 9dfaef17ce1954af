//! Admission control: priority classes, a bounded queue, and a concurrency limit that adapts to measured latency.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;

use crate::limit_control::CLASSES;
use crate::limit_control::LimitControl;

/// Share of the concurrency limit that each class leaves free for the classes of higher priority.
const CLASS_RESERVE: f64 = 0.15;

/// Lowest distinguished priority class; lower classes are treated the same.
const LOWEST_CLASS: u8 = CLASSES as u8 - 1;

/// Weight of a new sample in the moving average of a class's latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;

/// Lower bound of the retry delay sent with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Upper bound of the retry delay sent with a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A request submitted for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Unique among the requests of the host.
    pub id: u64,
    /// Priority class of the route; 0 is the highest.
    pub class: u8,
    /// Decision time by which the caller needs the answer.
    pub deadline: Duration,
}

/// Result of submitting a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request starts now; the caller must report its end with [`AdmissionControl::finish`].
    Run,
    /// The request waits; [`AdmissionControl::next`] returns its decision later.
    Queued,
    /// The request is refused and has not run.
    Refused(RefusalBody),
}

/// Decision on a request that was queued, identified by its id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DequeueDecision {
    /// The request starts now; the caller must report its end with [`AdmissionControl::finish`].
    Run(u64),
    /// The request is refused and has not run.
    Refused(u64, RefusalBody),
}

/// Sort key of the queue: class, deadline, arrival number.
type QueueKey = (u8, Duration, u64);

/// Request queue and concurrency limit of one host.
#[derive(Debug)]
pub struct AdmissionControl {
    limit: LimitControl,
    running: u32,
    queue_capacity: usize,
    arrivals: u64,
    queue: BTreeMap<QueueKey, u64>,
    /// Requests removed from the full queue in place of one with a smaller key, and not yet reported.
    evicted: VecDeque<u64>,
    /// Moving average of latency for each class; zero until the first sample.
    mean_latency: [Duration; CLASSES],
}

impl AdmissionControl {
    /// Creates a control with an initial limit of `concurrency` running and a fixed limit of `queue` waiting requests.
    pub fn new(concurrency: u32, queue: u32) -> Self {
        Self {
            limit: LimitControl::new(concurrency),
            running: 0,
            queue_capacity: queue as usize,
            arrivals: 0,
            queue: BTreeMap::new(),
            evicted: VecDeque::new(),
            mean_latency: Default::default(),
        }
    }

    /// Maximum number of requests that may run at present.
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Number of requests that were started and have not finished.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Starts, queues or refuses a request. A request whose estimated wait and run time exceed its deadline is refused
    /// at once.
    pub fn offer(&mut self, request: AdmissionRequest, now: Duration) -> AdmissionDecision {
        let class = request.class.min(LOWEST_CLASS);
        self.arrivals += 1;
        let key = (class, request.deadline, self.arrivals);
        let queued_ahead = self.queue.range(..key).count();
        if queued_ahead == 0 && self.can_start(class) {
            self.start();
            return AdmissionDecision::Run;
        }
        let wait = self.estimated_wait(class, queued_ahead);
        if request.deadline < now + wait + self.mean_latency[class as usize] {
            return AdmissionDecision::Refused(refusal(
                RefusalCode::DeadlineUnmeetable,
                "the deadline cannot be met under the present load",
                wait,
            ));
        }
        self.queue.insert(key, request.id);
        if self.queue.len() <= self.queue_capacity {
            return AdmissionDecision::Queued;
        }
        match self.queue.pop_last() {
            Some((last, id)) if last != key => {
                self.evicted.push_back(id);
                AdmissionDecision::Queued
            }
            _ => AdmissionDecision::Refused(self.overloaded(class)),
        }
    }

    /// Ends a running request of `class`. `ok` means that it was answered in time. `latency` must be the session's
    /// service time, because a search that waits for a lost shard until its deadline does not indicate load.
    pub fn finish(&mut self, class: u8, latency: Duration, ok: bool, now: Duration) {
        let class = class.min(LOWEST_CLASS);
        self.limit.record(class, latency, ok, self.running, now);
        self.running = self.running.saturating_sub(1);
        let mean = &mut self.mean_latency[class as usize];
        *mean = if mean.is_zero() {
            latency
        } else {
            mean.mul_f64(1.0 - LATENCY_SAMPLE_WEIGHT) + latency.mul_f64(LATENCY_SAMPLE_WEIGHT)
        };
    }

    /// Removes a request from the queue, for example because its caller disconnected. Returns false when it is not
    /// queued.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|_, waiting| *waiting != id);
        self.queue.len() < before
    }

    /// Returns the next queued request that is started or refused. Call it until it returns `None` after each `offer`,
    /// `finish` and wake-up.
    pub fn next(&mut self, now: Duration) -> Option<DequeueDecision> {
        if let Some(id) = self.evicted.pop_front() {
            return Some(DequeueDecision::Refused(id, self.overloaded(LOWEST_CLASS)));
        }
        let expired = self.queue.keys().find(|key| key.1 <= now).copied();
        if let Some(key) = expired {
            let id = self.queue.remove(&key)?;
            let wait = self.estimated_wait(key.0, self.queue.len());
            let message = "the deadline passed while the request was queued";
            let refusal = refusal(RefusalCode::QueueTimeout, message, wait);
            return Some(DequeueDecision::Refused(id, refusal));
        }
        let first = *self.queue.first_key_value()?.0;
        if !self.can_start(first.0) {
            return None;
        }
        let id = self.queue.remove(&first)?;
        self.start();
        Some(DequeueDecision::Run(id))
    }

    /// Earliest deadline in the queue, at which [`Self::next`] must be called.
    pub fn next_wake(&self) -> Option<Duration> {
        self.queue.keys().map(|key| key.1).min()
    }

    fn start(&mut self) {
        self.running += 1;
    }

    /// Number of running requests up to which a request of `class` may start. The rest of the limit is reserved for
    /// classes of higher priority, so that a burst of low-priority requests does not delay them.
    fn running_limit(&self, class: u8) -> u32 {
        let limit = self.limit.limit();
        if class == 0 {
            return limit;
        }
        let share = 1.0 - CLASS_RESERVE * f64::from(class);
        let running_limit = (f64::from(limit) * share).floor() as u32;
        running_limit.min(limit.saturating_sub(1)).max(1)
    }

    fn can_start(&self, class: u8) -> bool {
        self.running < self.running_limit(class)
    }

    /// Estimated time until a request of `class` starts when `queued_ahead` requests precede it in the queue.
    fn estimated_wait(&self, class: u8, queued_ahead: usize) -> Duration {
        let slowest = self.mean_latency.iter().max().copied().unwrap_or_default();
        let rounds = (queued_ahead + 1) as f64 / f64::from(self.running_limit(class));
        slowest.mul_f64(rounds)
    }

    fn overloaded(&self, class: u8) -> RefusalBody {
        let wait = self.estimated_wait(class, self.queue.len());
        refusal(RefusalCode::Overloaded, "the queue is full", wait)
    }
}

fn refusal(code: RefusalCode, message: &str, wait: Duration) -> RefusalBody {
    RefusalBody::not_run(code, message)
        .with_retry_after(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
