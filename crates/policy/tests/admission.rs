//! Guards admission: classes, deadlines, the bounded queue and the adaptive limit.

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

fn ticket(id: u64, class: u8, deadline: u64) -> AdmissionRequest {
    AdmissionRequest { id, class, deadline: ms(deadline) }
}

/// Requests that run, by the time of their end, and what became of all requests by class.
struct Load {
    control: AdmissionControl,
    /// Latency without a crowd.
    service: Duration,
    tickets: BTreeMap<u64, (AdmissionRequest, Duration)>,
    ends: BTreeMap<(Duration, u64), Duration>,
    in_time: BTreeMap<u8, u32>,
    refused: BTreeMap<u8, u32>,
}

impl Load {
    fn new(concurrency: u32, queue: u32) -> Self {
        Self {
            control: AdmissionControl::new(concurrency, queue),
            service: ms(20),
            tickets: BTreeMap::new(),
            ends: BTreeMap::new(),
            in_time: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    /// The back ends run `capacity` requests at full speed; more make all of them slower.
    fn begin(&mut self, id: u64, now: Duration, capacity: usize) {
        let crowd = (self.ends.len() + 1) as f64 / capacity as f64;
        let latency = self.service.mul_f64(crowd.max(1.0));
        self.ends.insert((now + latency, id), now);
    }

    fn offer(&mut self, ticket: AdmissionRequest, now: Duration, capacity: usize) {
        self.tickets.insert(ticket.id, (ticket, now));
        match self.control.offer(ticket, now) {
            AdmissionDecision::Run => self.begin(ticket.id, now, capacity),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(refusal) => {
                assert_eq!(refusal.outcome, RunOutcome::NotRun);
                assert!(refusal.retry_after_ms.is_some(), "a refusal names a retry delay");
                *self.refused.entry(ticket.class).or_default() += 1;
            }
        }
        self.turn(now, capacity);
    }

    fn turn(&mut self, now: Duration, capacity: usize) {
        while let Some(turn) = self.control.next(now) {
            match turn {
                DequeueDecision::Run(id) => self.begin(id, now, capacity),
                DequeueDecision::Refused(id, _) => {
                    *self.refused.entry(self.tickets[&id].0.class).or_default() += 1;
                }
            }
        }
    }

    fn end_until(&mut self, now: Duration, capacity: usize) {
        while let Some(entry) = self.ends.first_entry() {
            if now < entry.key().0 {
                return;
            }
            let ((at, id), began) = entry.remove_entry();
            let ticket = self.tickets[&id].0;
            let ok = at <= ticket.deadline;
            self.control.finish(ticket.class, at - began, ok, at);
            *self.in_time.entry(ticket.class).or_default() += u32::from(ok);
            self.turn(at, capacity);
        }
    }
}

/// Guards class 0 under three times the load that the back ends can serve: its requests are answered in time.
#[test]
fn overload_serves_class_0_first() {
    let mut load = Load::new(16, 32);
    let capacity = 10;
    for step in 0..6000_u64 {
        let now = ms(step);
        load.end_until(now, capacity);
        // Ten slots of 20 ms serve 0.5 requests a millisecond; 1.5 are offered, a tenth of them in class 0.
        if step % 10 < 5 {
            for index in 0..3 {
                let class = if step % 10 == 0 && index == 0 { 0 } else { 1 + (index % 2) as u8 };
                load.offer(ticket(step * 3 + index, class, step + 250), now, capacity);
            }
        }
    }
    load.end_until(ms(60_000), capacity);
    let sent = load.tickets.values().filter(|(ticket, _)| ticket.class == 0).count() as u32;
    let in_time = load.in_time[&0];
    assert!(sent * 99 <= in_time * 100, "class 0: {in_time} of {sent} in time");
    let served: u32 = load.in_time.values().sum();
    assert!(2400 <= served, "the back ends are used: {served} of about 3000 in time");
    assert_eq!(load.control.running(), 0);
}

/// Guards class 0 against a burst of a low class that holds the whole limit.
#[test]
fn low_classes_leave_room() {
    let mut control = AdmissionControl::new(10, 100);
    for id in 0..50 {
        control.offer(ticket(id, 2, 1000), ms(0));
    }
    assert!(control.running() <= 7, "{} of 10 run in class 2", control.running());
    assert_eq!(control.offer(ticket(99, 0, 1000), ms(0)), AdmissionDecision::Run);
}

/// Guards the order of the queue, and callers against a wait beyond their deadlines.
#[test]
fn queue_is_ordered_by_class_and_deadline() {
    let mut control = AdmissionControl::new(1, 3);
    assert_eq!(control.offer(ticket(1, 0, 1000), ms(0)), AdmissionDecision::Run);
    for (id, class, deadline) in [(2, 1, 300), (3, 0, 900), (4, 0, 500)] {
        let decision = control.offer(ticket(id, class, deadline), ms(0));
        assert_eq!(decision, AdmissionDecision::Queued);
    }
    // The queue is full: the last in rank makes room for a better one and is refused.
    assert_eq!(control.offer(ticket(5, 0, 700), ms(0)), AdmissionDecision::Queued);
    let Some(DequeueDecision::Refused(2, refusal)) = control.next(ms(0)) else { panic!("kept") };
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    let mut order = Vec::new();
    for now in [10, 20, 30] {
        control.finish(0, ms(10), true, ms(now));
        if let Some(DequeueDecision::Run(id)) = control.next(ms(now)) {
            order.push(id);
        }
    }
    assert_eq!(order, [4, 5, 3]);
    // With one running at 10 ms each, a deadline in 5 ms cannot be met; one in 50 ms can.
    let AdmissionDecision::Refused(refusal) = control.offer(ticket(6, 0, 35), ms(30)) else {
        panic!("queued");
    };
    assert_eq!(refusal.code, RefusalCode::DeadlineUnmeetable);
    assert_eq!(control.offer(ticket(7, 0, 80), ms(30)), AdmissionDecision::Queued);
    assert_eq!(control.next_wake(), Some(ms(80)));
    let Some(DequeueDecision::Refused(7, refusal)) = control.next(ms(80)) else { panic!("kept") };
    assert_eq!(refusal.code, RefusalCode::QueueTimeout);
}

/// Guards against a limit that stays high while the back ends slow down, or low after they have recovered.
#[test]
fn limit_follows_measured_latency() {
    let mut load = Load::new(40, 200);
    let mut id = 0;
    let mut limits = Vec::new();
    for (capacity, until) in [(40, 4000), (8, 8000), (40, 14_000)] {
        let from = limits.len() as u64 * 4000;
        for step in from..until {
            load.end_until(ms(step), capacity);
            while load.control.waiting() < 20 {
                id += 1;
                load.offer(ticket(id, 0, step + 2000), ms(step), capacity);
            }
        }
        limits.push(load.control.limit());
    }
    assert!(limits[1] < limits[0] / 2, "{limits:?}");
    assert!(limits[1] * 3 / 2 < limits[2], "{limits:?}");
}

/// Guards throughput against a limit that stays at its lowest once the targets are three times slower for good.
#[test]
fn limit_recovers_when_targets_are_slower_for_good() {
    let mut load = Load::new(64, 64);
    let mut id = 0;
    for step in 0..10_000 {
        load.end_until(ms(step), 100);
        if step == 2000 {
            load.service = ms(60);
        }
        while load.control.waiting() < 20 {
            id += 1;
            load.offer(ticket(id, 0, step + 2000), ms(step), 100);
        }
    }
    assert!(30 <= load.control.limit(), "{} for 100 slots", load.control.limit());
}
