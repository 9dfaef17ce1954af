//! A load on targets in virtual time: seeded arrivals, real plans of one host, targets with slots, a queue and pauses.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::attempt::SendCommand;
use vanillapick_dispatch::dispatch_plan::DispatchPlan;
use vanillapick_dispatch::dispatch_plan::PlanVerdict;
use vanillapick_dispatch::dispatch_plan::RequestTimes;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_dispatch::target_state::TargetDistance;

/// Load and targets of one run.
pub struct LoadModel {
    /// Requests a second, evenly spaced with a seeded spread.
    pub rate: f64,
    /// Length of the load.
    pub length: Duration,
    /// Work of a request at a target, by its id and the time.
    pub work: fn(&str, Duration) -> Duration,
    /// Path of the requests.
    pub path: &'static str,
}

/// What callers got.
#[derive(Debug, Default, PartialEq)]
pub struct LoadResult {
    pub asked: usize,
    pub whole_in_aim: usize,
    pub partial_in_aim: usize,
    pub late: usize,
    pub refused: usize,
    pub unanswered: usize,
    /// Attempts for each first attempt, in hundredths.
    pub attempts_percent: usize,
    /// Credit as the share of what is owed, in hundredths: the square of the share of the parts, a tenth if late.
    pub credit_percent: usize,
}

/// Requests that a target runs at a time, and that wait at it.
const SLOTS: usize = 2;
const QUEUE: usize = 12;

/// Latest time at which an answer leaves in time, and at which a request is given up.
const AIM: Duration = Duration::from_millis(105);
const GIVE_UP: Duration = Duration::from_millis(785);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ModelEvent {
    Arrival,
    AtTarget { request: usize, attempt: usize },
    Done { request: usize, attempt: usize },
    Reply { request: usize, attempt: usize, was_run: bool },
    Wake { request: usize },
}

#[derive(Default)]
struct ModelTarget {
    running: usize,
    queue: VecDeque<(usize, usize)>,
}

struct ModelRequest {
    plan: DispatchPlan,
    arrived: Duration,
    is_over: bool,
    shards: usize,
}

struct ModelRun<'a> {
    model: &'a LoadModel,
    events: BinaryHeap<Reverse<(Duration, u64, ModelEvent)>>,
    order: u64,
    targets: HashMap<String, ModelTarget>,
    requests: Vec<ModelRequest>,
    rng: SmallRng,
    result: LoadResult,
    credit: f64,
    sent: usize,
}

/// Plays the load against the targets of `view`.
pub fn play_load(view: &Arc<ServingView>, model: &LoadModel, rng: SmallRng) -> LoadResult {
    let mut run = ModelRun {
        model,
        events: BinaryHeap::new(),
        order: 0,
        targets: HashMap::new(),
        requests: Vec::new(),
        rng,
        result: LoadResult::default(),
        credit: 0.0,
        sent: 0,
    };
    run.push(Duration::ZERO, ModelEvent::Arrival);
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        run.take(view, event, now);
    }
    let firsts: usize = run.requests.iter().map(|request| request.shards).sum();
    run.result.attempts_percent = run.sent * 100 / firsts.max(1);
    run.result.credit_percent = (run.credit * 100.0 / run.result.asked.max(1) as f64) as usize;
    run.result
}

impl ModelRun<'_> {
    fn push(&mut self, at: Duration, event: ModelEvent) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn take(&mut self, view: &Arc<ServingView>, event: ModelEvent, now: Duration) {
        match event {
            ModelEvent::Arrival => self.arrive(view, now),
            ModelEvent::AtTarget { request, attempt } => self.reach_target(request, attempt, now),
            ModelEvent::Done { request, attempt } => {
                let id = self.target_id(request, attempt);
                self.reply(request, attempt, true, now);
                let target = self.targets.entry(id.clone()).or_default();
                target.running -= 1;
                if let Some((request, attempt)) = target.queue.pop_front() {
                    target.running += 1;
                    self.run(&id, request, attempt, now);
                }
            }
            ModelEvent::Reply { request, attempt, was_run } => {
                let end = if was_run {
                    AttemptOutcome::Answered
                } else {
                    AttemptOutcome::NotRun(NotRunCause::Shed)
                };
                let plan = &mut self.requests[request].plan;
                plan.target(attempt).record_finished();
                let order = plan.on_outcome(attempt, end, now, &mut self.rng);
                self.send(request, order, now);
                self.settle(request, now);
            }
            ModelEvent::Wake { request } => {
                if self.requests[request].is_over {
                    return;
                }
                let orders = self.requests[request].plan.on_wake(now, &mut self.rng);
                self.send(request, orders, now);
                self.settle(request, now);
            }
        }
    }

    fn arrive(&mut self, view: &Arc<ServingView>, now: Duration) {
        let route =
            view.route_table.find("shop.example", self.model.path).expect("the route is there");
        let times =
            RequestTimes { arrived: now, soft_deadline: now + AIM, deadline: now + GIVE_UP };
        let mut plan = DispatchPlan::new(route, view, times, &mut self.rng);
        let orders = plan.start(now, &mut self.rng);
        let shards = plan.shard_count();
        self.requests.push(ModelRequest { plan, arrived: now, is_over: false, shards });
        self.result.asked += 1;
        let request = self.requests.len() - 1;
        self.send(request, orders, now);
        self.settle(request, now);
        let pause = Duration::from_secs_f64(self.rng.random_range(0.5..1.5) / self.model.rate);
        if now + pause < self.model.length {
            self.push(now + pause, ModelEvent::Arrival);
        }
    }

    fn send(
        &mut self,
        request: usize,
        orders: impl IntoIterator<Item = SendCommand>,
        now: Duration,
    ) {
        for order in orders {
            self.sent += 1;
            order.target.record_sent(now);
            order.target.set_idle_connections(1);
            let at = now + link(order.target.distance);
            self.push(at, ModelEvent::AtTarget { request, attempt: order.attempt });
        }
    }

    fn reach_target(&mut self, request: usize, attempt: usize, now: Duration) {
        let id = self.target_id(request, attempt);
        let target = self.targets.entry(id.clone()).or_default();
        if target.running < SLOTS {
            target.running += 1;
            self.run(&id, request, attempt, now);
        } else if target.queue.len() < QUEUE {
            target.queue.push_back((request, attempt));
        } else {
            self.reply(request, attempt, false, now);
        }
    }

    fn run(&mut self, id: &str, request: usize, attempt: usize, now: Duration) {
        let spread = self.rng.random_range(0.6..1.4);
        let done = now + (self.model.work)(id, now).mul_f64(spread);
        self.push(done, ModelEvent::Done { request, attempt });
    }

    fn reply(&mut self, request: usize, attempt: usize, was_run: bool, now: Duration) {
        let distance = self.requests[request].plan.target(attempt).distance;
        self.push(now + link(distance), ModelEvent::Reply { request, attempt, was_run });
    }

    fn target_id(&self, request: usize, attempt: usize) -> String {
        self.requests[request].plan.target(attempt).record.id.to_string()
    }

    /// Notes the end of a request, or wakes it later.
    fn settle(&mut self, request: usize, now: Duration) {
        let state = &mut self.requests[request];
        if state.is_over {
            return;
        }
        let Some(verdict) = state.plan.verdict(now) else {
            let wake = state.plan.next_wake(now);
            self.push(wake.max(now), ModelEvent::Wake { request });
            return;
        };
        state.is_over = true;
        state.plan.close();
        let is_late = now > state.arrived + AIM;
        match verdict {
            PlanVerdict::Answered { missing, .. } => {
                let share = 1.0 - missing as f64 / state.shards as f64;
                self.credit += share * share * if is_late { 0.1 } else { 1.0 };
                match (is_late, missing) {
                    (true, _) => self.result.late += 1,
                    (false, 0) => self.result.whole_in_aim += 1,
                    (false, _) => self.result.partial_in_aim += 1,
                }
            }
            PlanVerdict::NotRun(_) => self.result.refused += 1,
            _ => self.result.unanswered += 1,
        }
    }
}

/// Time of one way to a target.
fn link(distance: TargetDistance) -> Duration {
    Duration::from_millis(if distance == TargetDistance::Remote { 12 } else { 1 })
}
