//! Simulation in virtual time: requests with seeded arrival times, dispatch plans of one host, and targets with slots
//! and a queue.

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

/// Parameters of one simulation.
pub struct LoadModel {
    /// Mean requests per second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub length: Duration,
    /// Mean execution time of a request, by the id of the target and the current time.
    pub work: fn(&str, Duration) -> Duration,
    /// Path of the requests.
    pub path: &'static str,
}

/// Responses by kind, from the view of callers.
#[derive(Debug, Default, PartialEq)]
pub struct LoadResult {
    pub requests: usize,
    pub complete_in_time: usize,
    pub partial_in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub unanswered: usize,
    /// Attempts as a percentage of first attempts.
    pub attempts_percent: usize,
    /// Mean credit of a request in percent: the square of the fraction of shards answered, a tenth of that if late.
    pub credit_percent: usize,
}

/// Requests that a target executes concurrently.
const SLOTS: usize = 2;

/// Requests that a target queues; more are shed.
const QUEUE: usize = 12;

/// Time from arrival to the soft deadline of a request.
const SOFT_DEADLINE: Duration = Duration::from_millis(105);

/// Time from arrival to the deadline of a request.
const DEADLINE: Duration = Duration::from_millis(785);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ModelEvent {
    Arrival,
    AtTarget { request: usize, attempt: usize },
    Done { request: usize, attempt: usize },
    Reply { request: usize, attempt: usize, was_executed: bool },
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
    sequence: u64,
    targets: HashMap<String, ModelTarget>,
    requests: Vec<ModelRequest>,
    rng: SmallRng,
    result: LoadResult,
    credit: f64,
    sent: usize,
}

/// Simulates the load on the targets of `view`.
pub fn simulate_load(view: &Arc<ServingView>, model: &LoadModel, rng: SmallRng) -> LoadResult {
    let mut run = ModelRun {
        model,
        events: BinaryHeap::new(),
        sequence: 0,
        targets: HashMap::new(),
        requests: Vec::new(),
        rng,
        result: LoadResult::default(),
        credit: 0.0,
        sent: 0,
    };
    run.push(Duration::ZERO, ModelEvent::Arrival);
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        run.handle(view, event, now);
    }
    let first_attempts: usize = run.requests.iter().map(|request| request.shards).sum();
    run.result.attempts_percent = run.sent * 100 / first_attempts.max(1);
    run.result.credit_percent = (run.credit * 100.0 / run.result.requests.max(1) as f64) as usize;
    run.result
}

impl ModelRun<'_> {
    fn push(&mut self, at: Duration, event: ModelEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, view: &Arc<ServingView>, event: ModelEvent, now: Duration) {
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
            ModelEvent::Reply { request, attempt, was_executed } => {
                let outcome = if was_executed {
                    AttemptOutcome::Answered
                } else {
                    AttemptOutcome::NotRun(NotRunCause::Shed)
                };
                let plan = &mut self.requests[request].plan;
                plan.target(attempt).record_finished();
                let command = plan.on_outcome(attempt, outcome, now, &mut self.rng);
                self.send(request, command, now);
                self.settle(request, now);
            }
            ModelEvent::Wake { request } => {
                if self.requests[request].is_over {
                    return;
                }
                let commands = self.requests[request].plan.on_wake(now, &mut self.rng);
                self.send(request, commands, now);
                self.settle(request, now);
            }
        }
    }

    fn arrive(&mut self, view: &Arc<ServingView>, now: Duration) {
        let route =
            view.route_table.find("shop.example", self.model.path).expect("the route is there");
        let times = RequestTimes {
            arrived: now,
            soft_deadline: now + SOFT_DEADLINE,
            deadline: now + DEADLINE,
        };
        let mut plan = DispatchPlan::new(route, view, times, &mut self.rng);
        let commands = plan.start(&[], now, &mut self.rng);
        let shards = plan.shard_count();
        self.requests.push(ModelRequest { plan, arrived: now, is_over: false, shards });
        self.result.requests += 1;
        let request = self.requests.len() - 1;
        self.send(request, commands, now);
        self.settle(request, now);
        let pause = Duration::from_secs_f64(self.rng.random_range(0.5..1.5) / self.model.rate);
        if now + pause < self.model.length {
            self.push(now + pause, ModelEvent::Arrival);
        }
    }

    fn send(
        &mut self,
        request: usize,
        commands: impl IntoIterator<Item = SendCommand>,
        now: Duration,
    ) {
        for command in commands {
            self.sent += 1;
            command.target.record_sent(now);
            command.target.set_idle_connections(1);
            let at = now + one_way_latency(command.target.distance);
            self.push(at, ModelEvent::AtTarget { request, attempt: command.attempt });
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

    fn reply(&mut self, request: usize, attempt: usize, was_executed: bool, now: Duration) {
        let distance = self.requests[request].plan.target(attempt).distance;
        self.push(
            now + one_way_latency(distance),
            ModelEvent::Reply { request, attempt, was_executed },
        );
    }

    fn target_id(&self, request: usize, attempt: usize) -> String {
        self.requests[request].plan.target(attempt).record.id.to_string()
    }

    /// Records the result of a request if it has ended; otherwise schedules its next wake.
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
        let is_late = now > state.arrived + SOFT_DEADLINE;
        match verdict {
            PlanVerdict::Answered { missing, .. } => {
                let share = 1.0 - missing as f64 / state.shards as f64;
                self.credit += share * share * if is_late { 0.1 } else { 1.0 };
                match (is_late, missing) {
                    (true, _) => self.result.late += 1,
                    (false, 0) => self.result.complete_in_time += 1,
                    (false, _) => self.result.partial_in_time += 1,
                }
            }
            PlanVerdict::NotRun(_) => self.result.refused += 1,
            _ => self.result.unanswered += 1,
        }
    }
}

/// One-way network latency to a target.
fn one_way_latency(distance: TargetDistance) -> Duration {
    Duration::from_millis(if distance == TargetDistance::Remote { 12 } else { 1 })
}
