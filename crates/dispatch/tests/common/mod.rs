//! Routes, pools, targets and views for tests.
#![allow(dead_code, reason = "each test file uses some of the items")]

pub mod load_model;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use vanillapick_dispatch::config_document::CallerLimits;
use vanillapick_dispatch::config_document::ConfigDocument;
use vanillapick_dispatch::config_document::PoolContract;
use vanillapick_dispatch::config_document::RepeatRule;
use vanillapick_dispatch::config_document::RouteContract;
use vanillapick_dispatch::config_document::RoutePools;
use vanillapick_dispatch::config_document::ShardedPools;
use vanillapick_dispatch::dispatch_plan::DispatchPlan;
use vanillapick_dispatch::dispatch_plan::RequestTimes;
use vanillapick_dispatch::host_record::HostRecord;
use vanillapick_dispatch::registry::HostLocation;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::registry::StoreRegistry;
use vanillapick_dispatch::retry_budget::RetryBudgetLimits;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_dispatch::target_record::TargetRecord;

pub const BUDGET: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    slack: 52.0,
    window: Duration::from_secs(10),
    slack_from: Duration::ZERO,
};

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

/// Location in domain `a` of region `east`; `b` is in the same region, `c` in region `west`.
pub fn location() -> HostLocation {
    let regions = [("a", "east"), ("b", "east"), ("c", "west")];
    HostLocation {
        host: "h1".into(),
        domain: "a".to_owned(),
        regions: regions.map(|(domain, region)| (domain.to_owned(), region.into())).into(),
    }
}

pub fn record(id: &str, pool: &str, domain: &str) -> TargetRecord {
    TargetRecord {
        id: id.into(),
        pool: pool.into(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        domain: domain.into(),
        version: "v1".into(),
        slots: 2,
        draining: false,
        cold_remaining: Duration::ZERO,
        sequence: 1,
        started_ms: 1000,
    }
}

/// Registration of a host in `domain` that serves changes to peers on this port.
pub fn host_record(domain: &str, port: u16) -> HostRecord {
    HostRecord {
        domain: Some(domain.into()),
        peer_address: Some(([127, 0, 0, 1], port).into()),
        parts_address: None,
        knows_order_ids: true,
    }
}

pub fn route(id: &str, pools: RoutePools, repeat: RepeatRule) -> RouteContract {
    RouteContract {
        id: id.into(),
        host: "shop.example".to_owned(),
        prefix: format!("/{id}/"),
        repeat,
        timeout: ms(800),
        latency_objective: ms(120),
        max_attempts: 2,
        priority: 1,
        pools,
        allowed_regions: Vec::new(),
    }
}

pub fn sharded(shards: usize, min_shard_fraction: f64) -> RoutePools {
    let pools = (0..shards).map(|shard| format!("s{shard}").into()).collect();
    RoutePools::Sharded(ShardedPools { pools, result_limit: 20, min_shard_fraction })
}

pub fn config(version: u64, routes: Vec<RouteContract>, pools: &[&str]) -> ConfigDocument {
    let pools = pools.iter().map(|id| PoolContract {
        id: (*id).into(),
        max_connections: 25,
        cold_requests_per_s: 0.0,
    });
    ConfigDocument {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        pools: pools.collect(),
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout: ms(3000),
            idle_timeout: ms(15_000),
        },
    }
}

/// Registry with one configuration and registered targets.
pub fn registry(config: ConfigDocument, records: &[TargetRecord]) -> StoreRegistry {
    let mut registry = StoreRegistry::new(location(), BUDGET);
    registry.host_lease().renew(Duration::ZERO, Duration::MAX);
    registry.apply(StoreChange::Config(config), Duration::ZERO);
    for record in records {
        registry.apply(StoreChange::Target(record.clone()), Duration::ZERO);
    }
    registry
}

/// View with a search route over `shards` shards, each with a near target `nN` and a remote target `rN`.
pub fn search_view(shards: usize, min_shard_fraction: f64) -> Arc<ServingView> {
    let pools: Vec<String> = (0..shards).map(|shard| format!("s{shard}")).collect();
    let names: Vec<&str> = pools.iter().map(String::as_str).collect();
    let search = route("search", sharded(shards, min_shard_fraction), RepeatRule::Idempotent);
    let records: Vec<TargetRecord> = names
        .iter()
        .enumerate()
        .flat_map(|(shard, pool)| {
            [record(&format!("n{shard}"), pool, "a"), record(&format!("r{shard}"), pool, "c")]
        })
        .collect();
    let mut registry = registry(config(1, vec![search], &names), &records);
    Arc::new(registry.view().expect("a configuration is known"))
}

/// View with a route to pool `p`, which has near targets `n0` and `n1` and a remote target `r0`.
pub fn single_view(repeat: RepeatRule) -> Arc<ServingView> {
    let single = route("page", RoutePools::Single("p".into()), repeat);
    let records = [record("n0", "p", "a"), record("n1", "p", "a"), record("r0", "p", "c")];
    let mut registry = registry(config(1, vec![single], &["p"]), &records);
    Arc::new(registry.view().expect("a configuration is known"))
}

pub fn plan(view: &Arc<ServingView>, path: &str, rng: &mut SmallRng) -> DispatchPlan {
    let route = view.route_table.find("shop.example", path).expect("the route is there");
    let times = RequestTimes { arrived: ms(0), soft_deadline: ms(105), deadline: ms(785) };
    DispatchPlan::new(route, view, times, rng)
}
