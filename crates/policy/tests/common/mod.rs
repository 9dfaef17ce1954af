//! Test driver that runs sessions in virtual time, and helpers to build configurations.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod slots;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::call::ReplyTag;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::contract::RouteContract;
use vanillapick_model::contract::TargetContract;
use vanillapick_model::link::LinkDelay;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::pool::ShardMapRow;
use vanillapick_model::route::RouteKind;
use vanillapick_model::route::RouteRow;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::target::TargetEntry;
use vanillapick_policy::attempt::AttemptEvent;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::AttemptSpec;
use vanillapick_policy::attempt::ClaimResult;
use vanillapick_policy::attempt::SessionAction;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::host_state::HostProfile;
use vanillapick_policy::host_state::HostState;
use vanillapick_policy::request::ReadRequest;
use vanillapick_policy::request::SearchRequest;
use vanillapick_policy::request::SessionRequest;
use vanillapick_policy::request::WriteRequest;
use vanillapick_policy::session::RequestSession;
use vanillapick_policy::trace::TraceStep;

/// Failure domains of the configuration; the host is in the first one.
pub const DOMAINS: [&str; 3] = ["lima", "arequipa", "trujillo"];

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn profile() -> HostProfile {
    let link = |from: &str, to: &str| LinkDelay { from: from.into(), to: to.into(), delay: ms(1) };
    HostProfile {
        host: "entry-1".into(),
        domain: DOMAINS[0].into(),
        links: vec![link("lima", "arequipa"), link("lima", "trujillo")],
        baseline: false,
        extra_load_percent: 5,
        concurrency: 16,
        queue: 32,
        started_ms: 1_000_000,
    }
}

/// Creates a pool with two replicas per shard, distributed across the domains in turn. The target ids end with the
/// shard and `a` or `b`.
pub fn pool(name: &str, shard_map: u64, shards: u32) -> PoolRow {
    let contract = TargetContract {
        slots: 2,
        connections: 25,
        connect_cost: ms(6),
        cold_allowance: 1,
        cold_ramp: ms(10_000),
    };
    let mut row = PoolRow {
        name: name.into(),
        contract,
        shard_maps: Vec::new(),
        targets: Vec::new(),
        domains: BTreeMap::new(),
    };
    add_map(&mut row, shard_map, shards);
    row
}

pub fn add_map(row: &mut PoolRow, shard_map: u64, shards: u32) {
    row.shard_maps.push(ShardMapRow { id: shard_map, shards });
    for shard in 0..shards {
        for (replica, letter) in ["a", "b"].into_iter().enumerate() {
            let port = 10_000 + shard_map * 1000 + u64::from(shard) * 2 + replica as u64;
            row.targets.push(TargetEntry {
                id: format!("{}-{shard_map}-{shard}{letter}", row.name),
                address: format!("127.0.0.1:{port}").parse().expect("an address"),
                domain: DOMAINS[(shard as usize + replica) % DOMAINS.len()].into(),
                shard_map,
                shard,
                leaving: false,
            });
        }
    }
}

/// Creates a configuration with the routes `find` (search), `get` (read) and `put` (write) for the pool `stock`.
pub fn table(stock: PoolRow, preference: AnswerPreference, least_coverage: f64) -> ConfigTable {
    let route = |name: &str, kind| RouteRow {
        name: name.into(),
        kind,
        pool: stock.name.clone(),
        contract: RouteContract {
            class: 0,
            deadline: ms(1000),
            least_coverage,
            preference,
            merge_size: 3,
        },
        version_move: None,
    };
    let routes = [
        route("find", RouteKind::Search),
        route("get", RouteKind::Read),
        route("put", RouteKind::Write),
    ];
    ConfigTable {
        revision: 1,
        edits: Vec::new(),
        routes: routes.into_iter().map(|row| (row.name.clone(), row)).collect(),
        pools: [(stock.name.clone(), stock)].into(),
    }
}

/// Creates a host that knows the marks of all targets; each target has `snapshots`, newest first.
pub fn host(profile: HostProfile, table: ConfigTable, snapshots: &[u64]) -> Arc<HostState> {
    let host = Arc::new(HostState::new(profile));
    let table = Arc::new(table);
    host.install(table.clone());
    for entry in table.pools.values().flat_map(|pool| &pool.targets) {
        host.record_marks(&entry.id, &marks(entry, snapshots), Duration::ZERO);
    }
    host
}

/// Creates a host with one pool of `shards` shards at snapshot 7.
pub fn plain_host(
    shards: u32,
    preference: AnswerPreference,
    least_coverage: f64,
) -> Arc<HostState> {
    host(profile(), table(pool("stock", 1, shards), preference, least_coverage), &[7])
}

pub fn marks(entry: &TargetEntry, snapshots: &[u64]) -> TargetMarks {
    TargetMarks {
        incarnation: 1,
        shard_map: entry.shard_map,
        shard: entry.shard,
        snapshots: snapshots.to_vec(),
        ..TargetMarks::default()
    }
}

/// Creates the correct reply to an attempt. Its only hit has the shard number as its score.
pub fn reply(attempt: &AttemptSpec, request_id: &str, snapshots: &[u64]) -> AttemptResult {
    let body = format!(r#"{{"hits":[{{"id":"d{0}","score":{0}.0}}]}}"#, attempt.shard);
    AttemptResult::Reply {
        tag: ReplyTag {
            request_id: request_id.into(),
            attempt: attempt.number,
            shard: attempt.shard,
            shard_map: attempt.pin.shard_map,
            snapshot: attempt.pin.snapshot,
        },
        marks: TargetMarks {
            incarnation: 1,
            shard_map: attempt.pin.shard_map,
            shard: attempt.shard,
            snapshots: snapshots.to_vec(),
            ..TargetMarks::default()
        },
        body: Bytes::from(body),
    }
}

pub fn refused(reason: TargetRefusal) -> AttemptResult {
    AttemptResult::Refused { reason, marks: None, retry_after: None }
}

pub fn find(id: &str, deadline: Duration) -> SessionRequest {
    SessionRequest::Search(SearchRequest {
        request_id: id.into(),
        route: "find".into(),
        pool: None,
        deadline,
        fingerprint: 1,
        rerun: false,
    })
}

pub fn get(id: &str, deadline: Duration) -> SessionRequest {
    SessionRequest::Read(ReadRequest {
        request_id: id.into(),
        route: "get".into(),
        pool: None,
        key: Some(Bytes::from_static(b"k")),
        deadline,
        fingerprint: 2,
        rerun: false,
    })
}

pub fn put(id: &str, deadline: Duration, key: Option<&str>) -> SessionRequest {
    SessionRequest::Write(WriteRequest {
        request_id: id.into(),
        route: "put".into(),
        pool: None,
        key: Some(Bytes::from_static(b"k")),
        deadline,
        fingerprint: 3,
        idempotency_key: key.map(str::to_owned),
    })
}

enum Step {
    Start(SessionRequest),
    Event(AttemptEvent),
    Claimed(ClaimResult),
    Wake,
}

/// Runs sessions against simulated targets in virtual time.
pub struct Driver<R> {
    pub host: Arc<HostState>,
    pub now: Duration,
    /// Returns the results of an attempt with their delays. The first one is its event; further ones are duplicates.
    respond: R,
    /// Delay and result of each claim.
    pub claim: (Duration, ClaimResult),
    /// Whether requests are treated as suspected of crashing targets.
    pub cautious: bool,
    /// Whether targets honor cancellations; otherwise, they still send their replies.
    pub honors_cancel: bool,
    /// Result of an attempt whose target honored a cancellation.
    pub cancelled_end: AttemptResult,
    /// One line per action, unless `quiet` is set.
    pub log: Vec<String>,
    pub quiet: bool,
    /// Service time by request id.
    pub service_times: BTreeMap<String, Duration>,
    /// Latency and outcome by request id.
    pub outcomes: BTreeMap<String, (Duration, SessionOutcome)>,
    /// Steps of all sessions, used to record the trace of a single session.
    pub steps_taken: Vec<TraceStep>,
    rng: ChaCha8Rng,
    target_rng: ChaCha8Rng,
    steps: BTreeMap<(Duration, u64), (String, Step)>,
    scheduled: u64,
    sessions: BTreeMap<String, (Duration, RequestSession)>,
    wakes: BTreeMap<String, Duration>,
}

impl<R> Driver<R>
where
    R: FnMut(&AttemptSpec, &str, Duration, &mut ChaCha8Rng) -> Vec<(Duration, AttemptResult)>,
{
    pub fn new(host: Arc<HostState>, seed: u64, respond: R) -> Self {
        Self {
            host,
            now: Duration::ZERO,
            respond,
            claim: (ms(3), ClaimResult::Held),
            cautious: false,
            honors_cancel: true,
            cancelled_end: refused(TargetRefusal::Cancelled),
            log: Vec::new(),
            quiet: false,
            service_times: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            steps_taken: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            target_rng: ChaCha8Rng::seed_from_u64(!seed),
            steps: BTreeMap::new(),
            scheduled: 0,
            sessions: BTreeMap::new(),
            wakes: BTreeMap::new(),
        }
    }

    pub fn start(&mut self, at: Duration, request: SessionRequest) {
        let id = request.request_id().to_owned();
        self.schedule(at, id, Step::Start(request));
    }

    fn schedule(&mut self, at: Duration, id: String, step: Step) {
        self.scheduled += 1;
        self.steps.insert((at, self.scheduled), (id, step));
    }

    /// Runs until `until`, or until no steps are left.
    pub fn run(&mut self, until: Duration) {
        while let Some(entry) = self.steps.first_entry() {
            if until < entry.key().0 {
                break;
            }
            let ((at, _), (id, step)) = entry.remove_entry();
            self.now = self.now.max(at);
            let actions = self.step(&id, step);
            for action in actions {
                self.perform(&id, action);
            }
            self.schedule_wake(&id);
        }
    }

    fn step(&mut self, id: &str, step: Step) -> Vec<SessionAction> {
        let now = self.now;
        if let Step::Start(request) = step {
            let start =
                if self.cautious { RequestSession::start_cautious } else { RequestSession::start };
            let (session, actions) = start(&self.host, request, now, &mut self.rng);
            self.sessions.insert(id.to_owned(), (now, session));
            return actions;
        }
        let Some((_, session)) = self.sessions.get_mut(id) else { return Vec::new() };
        let rng = &mut self.rng;
        match step {
            Step::Start(_) => Vec::new(),
            Step::Event(event) => {
                self.steps_taken.push(TraceStep::Event(now, event.clone()));
                session.on_event(event, now, rng)
            }
            Step::Claimed(result) => {
                self.steps_taken.push(TraceStep::Claim(now, result.clone()));
                session.on_claim(result, now, rng)
            }
            Step::Wake => {
                self.steps_taken.push(TraceStep::Wake(now));
                session.on_wake(now, rng)
            }
        }
    }

    fn perform(&mut self, id: &str, action: SessionAction) {
        if !self.quiet {
            self.log.push(format!("{:8.1} {id} {}", millis(self.now), describe(&action)));
        }
        match action {
            SessionAction::Send(attempt) => {
                self.steps_taken.push(TraceStep::Sent(self.now, attempt.clone()));
                let results = (self.respond)(&attempt, id, self.now, &mut self.target_rng);
                for (delay, result) in results {
                    let (at, result) = match attempt.deadline < self.now + delay {
                        true if matches!(result, AttemptResult::TimedOut) => {
                            (attempt.deadline, result)
                        }
                        _ => (self.now + delay, result),
                    };
                    let event = AttemptEvent { number: attempt.number, result };
                    self.schedule(at, id.to_owned(), Step::Event(event));
                }
            }
            SessionAction::Cancel(number) if self.honors_cancel => self.cancel(id, number),
            SessionAction::Cancel(_) => {}
            SessionAction::Claim => {
                let (delay, result) = self.claim.clone();
                self.schedule(self.now + delay, id.to_owned(), Step::Claimed(result));
            }
            SessionAction::Settle(_) => {}
            SessionAction::Finish(outcome) => {
                self.steps_taken.push(TraceStep::Outcome(self.now, outcome.clone()));
                if let Some((_, session)) = self.sessions.get(id) {
                    self.service_times.insert(id.to_owned(), session.service_time(self.now));
                }
                let started = self.sessions.get(id).map_or(self.now, |(started, _)| *started);
                let before = self.outcomes.insert(id.to_owned(), (self.now - started, outcome));
                assert!(before.is_none(), "{id} was answered more than once");
            }
        }
    }

    /// Ends the attempt as cancelled after 1 ms, unless its reply arrives before that.
    fn cancel(&mut self, id: &str, number: u32) {
        let cancelled_at = self.now + ms(1);
        let is_result = |step: &(String, Step)| {
            step.0 == id && matches!(&step.1, Step::Event(event) if event.number == number)
        };
        let late: Vec<_> = self
            .steps
            .range((cancelled_at, 0)..)
            .filter(|(_, step)| is_result(step))
            .map(|(key, _)| *key)
            .collect();
        let Some(first) = late.first() else { return };
        self.steps.remove(first);
        let result = self.cancelled_end.clone();
        self.schedule(cancelled_at, id.to_owned(), Step::Event(AttemptEvent { number, result }));
    }

    fn schedule_wake(&mut self, id: &str) {
        let Some((_, session)) = self.sessions.get(id) else { return };
        let Some(wake) = session.next_wake() else { return };
        let wake = wake.max(self.now);
        let scheduled = self.wakes.get(id).copied();
        if scheduled.is_some_and(|scheduled| self.now < scheduled && scheduled <= wake) {
            return;
        }
        self.wakes.insert(id.to_owned(), wake);
        self.schedule(wake, id.to_owned(), Step::Wake);
    }

    /// Returns the number of requests in flight at all targets.
    pub fn in_flight(&self) -> u32 {
        self.host.view().targets().map(|target| target.in_flight()).sum()
    }

    /// Returns the latency quantile of the requests started at or after `since`.
    pub fn latency(&self, since: Duration, quantile: f64) -> Duration {
        let began = |id: &str| self.sessions.get(id).map(|(started, _)| *started);
        let mut latencies: Vec<_> = self
            .outcomes
            .iter()
            .filter(|(id, _)| began(id).is_some_and(|started| since <= started))
            .map(|(_, (latency, _))| *latency)
            .collect();
        latencies.sort_unstable();
        latencies[((latencies.len() - 1) as f64 * quantile).round() as usize]
    }

    /// Returns the log as a single string for snapshot tests.
    pub fn text(&self) -> String {
        self.log.join("\n")
    }
}

pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn describe(action: &SessionAction) -> String {
    match action {
        SessionAction::Send(attempt) => format!(
            "send {} to {} at {}/{} as {}",
            attempt.number,
            attempt.target,
            attempt.pin.shard_map,
            attempt.pin.snapshot,
            serde_json::to_string(&attempt.purpose).expect("a purpose"),
        ),
        SessionAction::Finish(outcome) => {
            format!("finish {}", serde_json::to_string(outcome).expect("an outcome"))
        }
        other => serde_json::to_string(other).expect("an action"),
    }
}
