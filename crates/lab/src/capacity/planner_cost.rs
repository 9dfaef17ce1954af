//! Processor time to plan and run a search session, and memory per target in the serving view.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use vanillapick_fleet::simulation::domain_name;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_model::call::ReplyTag;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::pool::ShardMapRow;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::target::TargetEntry;
use vanillapick_policy::attempt::AttemptEvent;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::SessionAction;
use vanillapick_policy::host_state::HostProfile;
use vanillapick_policy::host_state::HostState;
use vanillapick_policy::request::SearchRequest;
use vanillapick_policy::search::SearchSession;

use crate::capacity::process_usage::resident_kib;

/// Targets, shards of the searched pool, and replicas of each shard.
const SIZES: [(u32, u32, u32); 7] = [
    (100, 20, 2),
    (100, 50, 2),
    (700, 20, 2),
    (700, 62, 2),
    (2_700, 20, 2),
    (2_700, 62, 2),
    (2_700, 62, 43),
];

const DOMAINS: u32 = 11;
const SEARCHES: u32 = 2_000;

/// Number of hosts over which the memory per target is averaged.
const MEMORY_SAMPLE_HOSTS: u32 = 8;

/// Cost of searches at one number of targets, shards and replicas.
#[derive(Clone, Debug, Serialize)]
pub struct PlannerRow {
    /// Targets in the serving view.
    pub targets: u32,
    /// Shard calls per search.
    pub shards: u32,
    /// Replicas per shard.
    pub replicas: u32,
    /// Median time per shard call to plan and send attempts, in nanoseconds.
    pub send_ns: f64,
    /// Median time per shard call of the whole session, including replies and merge, in nanoseconds.
    pub session_ns: f64,
    /// Resident memory per target and host in bytes.
    pub bytes_per_target: u64,
}

/// Hosts of all sizes, with the memory per target in bytes.
#[derive(Debug)]
pub struct PlannerHosts {
    hosts: Vec<(Vec<Arc<HostState>>, u64)>,
}

impl PlannerHosts {
    /// Builds the hosts. All are kept, because a size that reused the memory of a freed one would seem to need less.
    pub fn build() -> Self {
        let hosts = SIZES.map(|(targets, shards, replicas)| {
            let table = Arc::new(build_table(targets, shards, replicas));
            let before = resident_kib();
            let hosts: Vec<_> = (0..MEMORY_SAMPLE_HOSTS).map(|_| build_host(&table)).collect();
            let memory = resident_kib().saturating_sub(before) * 1024;
            (hosts, memory / u64::from(MEMORY_SAMPLE_HOSTS * targets))
        });
        Self { hosts: hosts.into() }
    }
}

/// Measures all sizes. Blocks for several seconds.
pub fn measure(built: &PlannerHosts) -> Vec<PlannerRow> {
    let sizes = built.hosts.iter().zip(SIZES);
    sizes.map(|((hosts, bytes), size)| measure_size(&hosts[0], *bytes, size)).collect()
}

fn measure_size(
    host: &Arc<HostState>,
    bytes_per_target: u64,
    (targets, shards, replicas): (u32, u32, u32),
) -> PlannerRow {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut sends, mut sessions) = (Vec::new(), Vec::new());
    for index in 0..SEARCHES {
        let (sent, finished) = run_search(host, index, &mut rng);
        sends.push(sent);
        sessions.push(sent + finished);
    }
    PlannerRow {
        targets,
        shards,
        replicas,
        send_ns: median_nanos(sends) / f64::from(shards),
        session_ns: median_nanos(sessions) / f64::from(shards),
        bytes_per_target,
    }
}

/// Returns the median, which ignores the few searches that other processes preempted.
fn median_nanos(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times.get(times.len() / 2).map_or(0.0, |time| time.as_nanos() as f64)
}

/// Returns the time to plan and send all attempts, and the time to process all replies.
fn run_search(host: &Arc<HostState>, index: u32, rng: &mut ChaCha8Rng) -> (Duration, Duration) {
    let now = Duration::from_millis(u64::from(index) * 10);
    let request = SearchRequest {
        request_id: format!("r{index}"),
        route: "find".into(),
        pool: None,
        deadline: now + Duration::from_millis(340),
        fingerprint: 0,
        rerun: false,
    };
    let id = request.request_id.clone();
    let start = Instant::now();
    let (mut session, actions) = SearchSession::start(host, request, now, rng);
    let sent = start.elapsed();
    let events: Vec<_> = actions.iter().filter_map(|action| reply_event(action, &id)).collect();
    let replied = Instant::now();
    for event in events {
        session.on_event(event, now + Duration::from_millis(7), rng);
        session.next_wake();
    }
    let finished = replied.elapsed();
    assert!(session.is_idle(), "each search is answered in full");
    (sent, finished)
}

fn reply_event(action: &SessionAction, id: &str) -> Option<AttemptEvent> {
    let SessionAction::Send(attempt) = action else { return None };
    let hits = r#"{"hits":[{"id":"a","score":1.5},{"id":"b","score":0.5},{"id":"c","score":0.1}]}"#;
    let tag = ReplyTag {
        request_id: id.into(),
        attempt: attempt.number,
        shard: attempt.shard,
        shard_map: attempt.pin.shard_map,
        snapshot: attempt.pin.snapshot,
    };
    let body = Bytes::from_static(hits.as_bytes());
    let result = AttemptResult::Reply { tag, marks: marks(attempt.shard), body };
    Some(AttemptEvent { number: attempt.number, result })
}

fn marks(shard: u32) -> TargetMarks {
    TargetMarks {
        incarnation: 1,
        shard_map: 1,
        shard,
        snapshots: vec![8, 7],
        ..TargetMarks::default()
    }
}

/// Builds a host with `table` installed and one report of every target.
fn build_host(table: &Arc<ConfigTable>) -> Arc<HostState> {
    let host = Arc::new(HostState::new(host_profile()));
    host.install(Arc::clone(table));
    for entry in table.pools.values().flat_map(|pool| &pool.targets) {
        host.record_marks(&entry.id, &marks(entry.shard), Duration::ZERO);
    }
    host
}

/// Returns the profile of a host in the first domain.
pub fn host_profile() -> HostProfile {
    HostProfile {
        host: "entry-1".into(),
        domain: domain_name(0),
        links: Vec::new(),
        baseline: false,
        extra_load_percent: 5,
        concurrency: 64,
        queue: 256,
        started_ms: 0,
    }
}

/// Builds a configuration with a pool that is searched and a second pool with the remaining targets.
fn build_table(targets: u32, shards: u32, replicas: u32) -> ConfigTable {
    let searched = targets.min(shards * replicas);
    let mut table = sample_table(DOMAINS, 1);
    let sample_pool = table.pools.pop_first().expect("the sample has a pool").1;
    let mut route = table.routes.pop_first().expect("the sample has a route").1;
    (route.name, route.pool) = ("find".to_owned(), "first".to_owned());
    table.routes.insert("find".to_owned(), route);
    for (name, from, to) in [("first", 0, searched), ("second", searched, targets)] {
        let target = |index: u32| TargetEntry {
            id: format!("target-{index}"),
            address: format!("127.0.0.1:{}", 10_000 + index).parse().expect("an address"),
            domain: domain_name(index / shards % DOMAINS),
            shard_map: 1,
            shard: index % shards,
            leaving: false,
        };
        let pool = PoolRow {
            name: name.to_owned(),
            shard_maps: vec![ShardMapRow { id: 1, shards }],
            targets: (from..to).map(target).collect(),
            domains: BTreeMap::new(),
            ..sample_pool.clone()
        };
        table.pools.insert(name.to_owned(), pool);
    }
    table
}
