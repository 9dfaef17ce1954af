//! Admission of requests: priority classes, a bounded queue, and a concurrency limit that follows measured latency.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;

use crate::limit_control::CLASSES;
use crate::limit_control::LimitControl;

/// Share of the limit that each class leaves to the classes before it.
const CLASS_SHARE: f64 = 0.15;

/// Classes from this one on are treated alike.
const LAST_CLASS: u8 = CLASSES as u8 - 1;

/// Weight of a new sample in the mean latency of a class.
const MEAN_WEIGHT: f64 = 0.1;

/// Shortest retry delay of a refusal.
const SHORTEST_DELAY: Duration = Duration::from_millis(50);

/// Longest retry delay of a refusal.
const LONGEST_DELAY: Duration = Duration::from_secs(5);

/// One request that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Unique among the requests of the host.
    pub id: u64,
    /// Priority class of the route; 0 first.
    pub class: u8,
    /// Decision time by which the caller wants the answer.
    pub deadline: Duration,
}

/// What becomes of a request that asks to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It runs now; [`AdmissionControl::finish`] follows.
    Run,
    /// It waits; [`AdmissionControl::next`] names it later.
    Queued,
    /// It is refused without having run.
    Refused(RefusalBody),
}

/// What becomes of a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DequeueDecision {
    /// The request with this id runs now; [`AdmissionControl::finish`] follows.
    Run(u64),
    /// The request with this id is refused without having run.
    Refused(u64, RefusalBody),
}

/// Order of the queue: class, deadline, arrival.
type QueueRank = (u8, Duration, u64);

/// Queue and concurrency limit of one host.
#[derive(Debug)]
pub struct AdmissionControl {
    limit: LimitControl,
    running: u32,
    capacity: usize,
    arrivals: u64,
    queue: BTreeMap<QueueRank, u64>,
    /// Requests that a better one has pushed out of the full queue.
    pushed_out: VecDeque<u64>,
    /// Mean latency by class; zero until the first sample.
    means: [Duration; CLASSES],
}

impl AdmissionControl {
    /// Control with a first limit of `concurrency` running and `queue` waiting requests.
    pub fn new(concurrency: u32, queue: u32) -> Self {
        Self {
            limit: LimitControl::new(concurrency),
            running: 0,
            capacity: queue as usize,
            arrivals: 0,
            queue: BTreeMap::new(),
            pushed_out: VecDeque::new(),
            means: Default::default(),
        }
    }

    /// Requests that may run now.
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides on a request. One that would wait beyond its deadline is refused at once.
    pub fn offer(&mut self, ticket: AdmissionRequest, now: Duration) -> AdmissionDecision {
        let class = ticket.class.min(LAST_CLASS);
        self.arrivals += 1;
        let rank = (class, ticket.deadline, self.arrivals);
        let ahead = self.queue.range(..rank).count();
        if ahead == 0 && self.has_room(class) {
            self.begin();
            return AdmissionDecision::Run;
        }
        let wait = self.expected_wait(class, ahead);
        if ticket.deadline < now + wait + self.means[class as usize] {
            return AdmissionDecision::Refused(refusal(
                RefusalCode::DeadlineUnmeetable,
                "the deadline cannot be met under the present load",
                wait,
            ));
        }
        self.queue.insert(rank, ticket.id);
        if self.queue.len() <= self.capacity {
            return AdmissionDecision::Queued;
        }
        match self.queue.pop_last() {
            Some((last, id)) if last != rank => {
                self.pushed_out.push_back(id);
                AdmissionDecision::Queued
            }
            _ => AdmissionDecision::Refused(self.overloaded(class)),
        }
    }

    /// Ends a running request of `class`; `ok` when it was answered in time. `latency` is the session's service time: a
    /// search that waits for a lost shard until its deadline is no sign of load.
    pub fn finish(&mut self, class: u8, latency: Duration, ok: bool, now: Duration) {
        let class = class.min(LAST_CLASS);
        self.limit.record(class, latency, ok, self.running, now);
        self.running = self.running.saturating_sub(1);
        let mean = &mut self.means[class as usize];
        *mean = if mean.is_zero() {
            latency
        } else {
            mean.mul_f64(1.0 - MEAN_WEIGHT) + latency.mul_f64(MEAN_WEIGHT)
        };
    }

    /// Takes a request out of the queue because its caller has gone; false when it does not wait.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|_, waiting| *waiting != id);
        self.queue.len() < before
    }

    /// The next request whose wait has ended; called until it gives none, after each offer, finish and wake.
    pub fn next(&mut self, now: Duration) -> Option<DequeueDecision> {
        if let Some(id) = self.pushed_out.pop_front() {
            return Some(DequeueDecision::Refused(id, self.overloaded(LAST_CLASS)));
        }
        let expired = self.queue.keys().find(|rank| rank.1 <= now).copied();
        if let Some(rank) = expired {
            let id = self.queue.remove(&rank)?;
            let wait = self.expected_wait(rank.0, self.queue.len());
            let message = "the deadline came while the request was queued";
            let refusal = refusal(RefusalCode::QueueTimeout, message, wait);
            return Some(DequeueDecision::Refused(id, refusal));
        }
        let first = *self.queue.first_key_value()?.0;
        if !self.has_room(first.0) {
            return None;
        }
        let id = self.queue.remove(&first)?;
        self.begin();
        Some(DequeueDecision::Run(id))
    }

    /// Decision time of the first deadline in the queue, at which [`Self::next`] is due.
    pub fn next_wake(&self) -> Option<Duration> {
        self.queue.keys().map(|rank| rank.1).min()
    }

    fn begin(&mut self) {
        self.running += 1;
    }

    /// Requests that may run when one of `class` is the last to start. The rest of the limit is kept for the classes
    /// before it, so that a burst of a low class does not delay them.
    fn allowance(&self, class: u8) -> u32 {
        let limit = self.limit.limit();
        if class == 0 {
            return limit;
        }
        let share = 1.0 - CLASS_SHARE * f64::from(class);
        let allowance = (f64::from(limit) * share).floor() as u32;
        allowance.min(limit.saturating_sub(1)).max(1)
    }

    fn has_room(&self, class: u8) -> bool {
        self.running < self.allowance(class)
    }

    /// Time until a request of `class` with `ahead` others before it in the queue runs.
    fn expected_wait(&self, class: u8, ahead: usize) -> Duration {
        let slowest = self.means.iter().max().copied().unwrap_or_default();
        let turns = (ahead + 1) as f64 / f64::from(self.allowance(class));
        slowest.mul_f64(turns)
    }

    fn overloaded(&self, class: u8) -> RefusalBody {
        let wait = self.expected_wait(class, self.queue.len());
        refusal(RefusalCode::Overloaded, "the queue is full", wait)
    }
}

fn refusal(code: RefusalCode, message: &str, wait: Duration) -> RefusalBody {
    RefusalBody::not_run(code, message).with_retry_after(wait.clamp(SHORTEST_DELAY, LONGEST_DELAY))
}
