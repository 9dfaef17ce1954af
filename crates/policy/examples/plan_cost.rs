//! Measures the CPU time of a search over 62 shards in a view of 2,700 targets, for planning and sending alone and for
//! the whole session with its replies. Run with `cargo run --release -p vanillapick-policy --example plan_cost`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::call::ReplyTag;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::contract::RouteContract;
use vanillapick_model::contract::TargetContract;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::pool::ShardMapRow;
use vanillapick_model::route::RouteKind;
use vanillapick_model::route::RouteRow;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::target::TargetEntry;
use vanillapick_policy::attempt::AttemptEvent;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::AttemptSpec;
use vanillapick_policy::attempt::SessionAction;
use vanillapick_policy::host_state::HostProfile;
use vanillapick_policy::host_state::HostState;
use vanillapick_policy::request::SearchRequest;
use vanillapick_policy::search::SearchSession;

const TARGETS: u32 = 2700;
const SHARDS: u32 = 62;
const DOMAINS: u32 = 11;
const SEARCHES: u32 = 2000;

fn main() {
    println!("view of {TARGETS} targets, search over {SHARDS} shards, {SEARCHES} searches");
    for replicas in [2, 43] {
        let cost = measure_cost(replicas);
        println!(
            "{replicas} replicas a shard: {} ns a shard call to plan and send, {} ns for the whole session",
            cost.send.as_nanos() / u128::from(SEARCHES * SHARDS),
            cost.whole.as_nanos() / u128::from(SEARCHES * SHARDS),
        );
    }
}

/// Total CPU time of all searches.
struct PlanCost {
    /// Planning and sending.
    send: Duration,
    /// The whole session, including `send`.
    whole: Duration,
}

/// Measures searches in a pool with `replicas` replicas per shard. A second pool contains the other targets.
fn measure_cost(replicas: u32) -> PlanCost {
    let host = host(replicas);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut cost = PlanCost { send: Duration::ZERO, whole: Duration::ZERO };
    for search in 0..SEARCHES {
        let now = Duration::from_millis(u64::from(search) * 10);
        let request = SearchRequest {
            request_id: format!("r{search}"),
            route: "find".into(),
            pool: None,
            deadline: now + Duration::from_millis(340),
            fingerprint: 0,
            rerun: false,
        };
        let id = request.request_id.clone();
        let start = Instant::now();
        let (mut session, actions) = SearchSession::start(&host, request, now, &mut rng);
        cost.send += start.elapsed();
        let events: Vec<_> = actions.iter().filter_map(|action| reply(action, &id)).collect();
        let reply_start = Instant::now();
        for event in events {
            session.on_event(event, now + Duration::from_millis(7), &mut rng);
            session.next_wake();
        }
        cost.whole += reply_start.elapsed();
        assert!(session.is_idle(), "every search must be answered in full");
    }
    cost.whole += cost.send;
    cost
}

fn reply(action: &SessionAction, id: &str) -> Option<AttemptEvent> {
    let SessionAction::Send(order) = action else { return None };
    let hits = r#"{"hits":[{"id":"a","score":1.5},{"id":"b","score":0.5},{"id":"c","score":0.1}]}"#;
    let tag = ReplyTag {
        request_id: id.into(),
        attempt: order.number,
        shard: order.shard,
        shard_map: order.pin.shard_map,
        snapshot: order.pin.snapshot,
    };
    let body = Bytes::from_static(hits.as_bytes());
    let result = AttemptResult::Reply { tag, marks: reply_marks(order), body };
    Some(AttemptEvent { number: order.number, result })
}

fn reply_marks(order: &AttemptSpec) -> TargetMarks {
    marks(order.shard)
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

fn host(replicas: u32) -> Arc<HostState> {
    let host = Arc::new(HostState::new(HostProfile {
        host: "entry-1".into(),
        domain: "domain-0".into(),
        links: Vec::new(),
        baseline: false,
        extra_load_percent: 5,
        concurrency: 64,
        queue: 256,
        started_ms: 0,
    }));
    let first = pool("first", 0, replicas * SHARDS);
    let second = pool("second", replicas * SHARDS, TARGETS);
    let route = RouteRow {
        name: "find".into(),
        kind: RouteKind::Search,
        pool: "first".into(),
        contract: RouteContract {
            class: 0,
            deadline: Duration::from_secs(1),
            least_coverage: 1.0,
            preference: AnswerPreference::Coverage,
            merge_size: 10,
        },
        version_move: None,
    };
    let table = Arc::new(ConfigTable {
        revision: 1,
        edits: Vec::new(),
        routes: [("find".to_owned(), route)].into(),
        pools: [first, second].into_iter().map(|pool| (pool.name.clone(), pool)).collect(),
    });
    host.install(table.clone());
    for entry in table.pools.values().flat_map(|pool| &pool.targets) {
        host.record_marks(&entry.id, &marks(entry.shard), Duration::ZERO);
    }
    host
}

fn pool(name: &str, from: u32, to: u32) -> PoolRow {
    let target = |index: u32| TargetEntry {
        id: format!("target-{index}"),
        address: format!("127.0.0.1:{}", 10_000 + index).parse().expect("an address"),
        domain: format!("domain-{}", index / SHARDS % DOMAINS),
        shard_map: 1,
        shard: index % SHARDS,
        leaving: false,
    };
    PoolRow {
        name: name.into(),
        contract: TargetContract {
            slots: 2,
            connections: 25,
            connect_cost: Duration::from_millis(6),
            cold_allowance: 1,
            cold_ramp: Duration::from_secs(10),
        },
        shard_maps: vec![ShardMapRow { id: 1, shards: SHARDS }],
        targets: (from..to).map(target).collect(),
        domains: BTreeMap::new(),
    }
}
