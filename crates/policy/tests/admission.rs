//! Admission control: priority classes, deadlines, the bounded queue and the adaptive limit.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillapick_model::answer::RefusalCode;
use vanillapick_model::answer::RunOutcome;
use vanillapick_policy::admission::AdmissionControl;
use vanillapick_policy::admission::AdmissionDecision;
use vanillapick_policy::admission::AdmissionRequest;
use vanillapick_policy::admission::DequeueDecision;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn request(id: u64, class: u8, deadline: u64) -> AdmissionRequest {
    AdmissionRequest { id, class, deadline: ms(deadline) }
}

/// Simulates back ends behind an [`AdmissionControl`] and counts the results by class.
struct LoadModel {
    control: AdmissionControl,
    /// Latency of a request when the back ends are not overloaded.
    service: Duration,
    /// All requests, with the time at which each was offered.
    requests: BTreeMap<u64, (AdmissionRequest, Duration)>,
    /// Start times of running requests, by the time and id of their end.
    running_until: BTreeMap<(Duration, u64), Duration>,
    answered_in_time: BTreeMap<u8, u32>,
    refused: BTreeMap<u8, u32>,
}

impl LoadModel {
    fn new(concurrency: u32, queue: u32) -> Self {
        Self {
            control: AdmissionControl::new(concurrency, queue),
            service: ms(20),
            requests: BTreeMap::new(),
            running_until: BTreeMap::new(),
            answered_in_time: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    /// The back ends run `capacity` requests at full speed. Latency grows in proportion to any further requests.
    fn start(&mut self, id: u64, now: Duration, capacity: usize) {
        let overload = (self.running_until.len() + 1) as f64 / capacity as f64;
        let latency = self.service.mul_f64(overload.max(1.0));
        self.running_until.insert((now + latency, id), now);
    }

    fn offer(&mut self, request: AdmissionRequest, now: Duration, capacity: usize) {
        self.requests.insert(request.id, (request, now));
        match self.control.offer(request, now) {
            AdmissionDecision::Run => self.start(request.id, now, capacity),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(refusal) => {
                assert_eq!(refusal.outcome, RunOutcome::NotRun);
                assert!(refusal.retry_after_ms.is_some(), "a refusal contains a retry delay");
                *self.refused.entry(request.class).or_default() += 1;
            }
        }
        self.process_queue(now, capacity);
    }

    fn process_queue(&mut self, now: Duration, capacity: usize) {
        while let Some(decision) = self.control.next(now) {
            match decision {
                DequeueDecision::Run(id) => self.start(id, now, capacity),
                DequeueDecision::Refused(id, _) => {
                    *self.refused.entry(self.requests[&id].0.class).or_default() += 1;
                }
            }
        }
    }

    fn finish_until(&mut self, now: Duration, capacity: usize) {
        while let Some(entry) = self.running_until.first_entry() {
            if now < entry.key().0 {
                return;
            }
            let ((at, id), started) = entry.remove_entry();
            let request = self.requests[&id].0;
            let ok = at <= request.deadline;
            self.control.finish(request.class, at - started, ok, at);
            *self.answered_in_time.entry(request.class).or_default() += u32::from(ok);
            self.process_queue(at, capacity);
        }
    }
}

/// At three times the load that the back ends can serve, requests of class 0 must still be answered in time.
#[test]
fn overload_serves_class_0_first() {
    let mut model = LoadModel::new(16, 32);
    let capacity = 10;
    for step in 0..6000_u64 {
        let now = ms(step);
        model.finish_until(now, capacity);
        // Ten slots of 20 ms serve 0.5 requests a millisecond; 1.5 are offered, a tenth of them in class 0.
        if step % 10 < 5 {
            for index in 0..3 {
                let class = if step % 10 == 0 && index == 0 { 0 } else { 1 + (index % 2) as u8 };
                model.offer(request(step * 3 + index, class, step + 250), now, capacity);
            }
        }
    }
    model.finish_until(ms(60_000), capacity);
    let sent = model.requests.values().filter(|(request, _)| request.class == 0).count() as u32;
    let answered_in_time = model.answered_in_time[&0];
    assert!(sent * 99 <= answered_in_time * 100, "class 0: {answered_in_time} of {sent} in time");
    let served: u32 = model.answered_in_time.values().sum();
    assert!(2400 <= served, "the back ends must be used: {served} of about 3000 in time");
    assert_eq!(model.control.running(), 0);
}

/// A burst of a low class must not occupy the whole limit, or requests of class 0 would wait for it.
#[test]
fn low_classes_leave_room() {
    let mut control = AdmissionControl::new(10, 100);
    for id in 0..50 {
        control.offer(request(id, 2, 1000), ms(0));
    }
    assert!(control.running() <= 7, "{} of 10 run in class 2", control.running());
    assert_eq!(control.offer(request(99, 0, 1000), ms(0)), AdmissionDecision::Run);
}

/// The queue is ordered by class, then deadline, and no request waits beyond its deadline.
#[test]
fn queue_is_ordered_by_class_and_deadline() {
    let mut control = AdmissionControl::new(1, 3);
    assert_eq!(control.offer(request(1, 0, 1000), ms(0)), AdmissionDecision::Run);
    for (id, class, deadline) in [(2, 1, 300), (3, 0, 900), (4, 0, 500)] {
        let decision = control.offer(request(id, class, deadline), ms(0));
        assert_eq!(decision, AdmissionDecision::Queued);
    }
    // The queue is full: its last request is refused in place of one with a higher priority.
    assert_eq!(control.offer(request(5, 0, 700), ms(0)), AdmissionDecision::Queued);
    let Some(DequeueDecision::Refused(2, refusal)) = control.next(ms(0)) else {
        panic!("still queued")
    };
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    let mut order = Vec::new();
    for now in [10, 20, 30] {
        control.finish(0, ms(10), true, ms(now));
        if let Some(DequeueDecision::Run(id)) = control.next(ms(now)) {
            order.push(id);
        }
    }
    assert_eq!(order, [4, 5, 3]);
    // With one request running at a time for 10 ms each, a deadline in 5 ms cannot be met, but one in 50 ms can.
    let AdmissionDecision::Refused(refusal) = control.offer(request(6, 0, 35), ms(30)) else {
        panic!("not refused");
    };
    assert_eq!(refusal.code, RefusalCode::DeadlineUnmeetable);
    assert_eq!(control.offer(request(7, 0, 80), ms(30)), AdmissionDecision::Queued);
    assert_eq!(control.next_wake(), Some(ms(80)));
    let Some(DequeueDecision::Refused(7, refusal)) = control.next(ms(80)) else {
        panic!("still queued")
    };
    assert_eq!(refusal.code, RefusalCode::QueueTimeout);
}

/// The limit must fall when the back ends become slower, and rise again after they have recovered.
#[test]
fn limit_follows_measured_latency() {
    let mut model = LoadModel::new(40, 200);
    let mut id = 0;
    let mut limits = Vec::new();
    for (capacity, until) in [(40, 4000), (8, 8000), (40, 14_000)] {
        let from = limits.len() as u64 * 4000;
        for step in from..until {
            model.finish_until(ms(step), capacity);
            while model.control.waiting() < 20 {
                id += 1;
                model.offer(request(id, 0, step + 2000), ms(step), capacity);
            }
        }
        limits.push(model.control.limit());
    }
    assert!(limits[1] < limits[0] / 2, "{limits:?}");
    assert!(limits[1] * 3 / 2 < limits[2], "{limits:?}");
}

/// When targets become three times slower permanently, the limit must not remain at its minimum, which would reduce
/// throughput.
#[test]
fn limit_recovers_when_targets_are_slower_for_good() {
    let mut model = LoadModel::new(64, 64);
    let mut id = 0;
    for step in 0..10_000 {
        model.finish_until(ms(step), 100);
        if step == 2000 {
            model.service = ms(60);
        }
        while model.control.waiting() < 20 {
            id += 1;
            model.offer(request(id, 0, step + 2000), ms(step), 100);
        }
    }
    assert!(30 <= model.control.limit(), "{} for 100 slots", model.control.limit());
}
