//! Generates valid tables of any size for tests and measurements.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::contract::RouteContract;
use vanillapick_model::contract::TargetContract;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::pool::ShardMapRow;
use vanillapick_model::route::RouteKind;
use vanillapick_model::route::RouteRow;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::target::TargetEntry;

use crate::simulation::domain_name;

/// Targets per pool of [`sample_table`]; the last pool may have fewer.
const POOL_TARGETS: u32 = 100;

/// Generates a valid table at revision 1. Its `targets` targets are spread over `domains` failure domains and form
/// pools of 50 shards with two replicas each; there is one search route per pool.
pub fn sample_table(domains: u32, targets: u32) -> ConfigTable {
    let mut table = ConfigTable {
        revision: 1,
        edits: vec!["edit-1".to_owned()],
        routes: BTreeMap::new(),
        pools: BTreeMap::new(),
    };
    for first in (0..targets.max(1)).step_by(POOL_TARGETS as usize) {
        let pool = format!("pool-{:02}", first / POOL_TARGETS);
        let route = format!("route-{:02}", first / POOL_TARGETS);
        let members = first..targets.min(first + POOL_TARGETS);
        table.pools.insert(pool.clone(), sample_pool(&pool, domains, members));
        table.routes.insert(route.clone(), sample_route(&route, &pool));
    }
    table
}

fn sample_pool(name: &str, domains: u32, members: Range<u32>) -> PoolRow {
    let shards = POOL_TARGETS / 2;
    PoolRow {
        name: name.to_owned(),
        contract: TargetContract {
            slots: 2,
            connections: 25,
            connect_cost: Duration::from_millis(6),
            cold_allowance: 1,
            cold_ramp: Duration::from_secs(20),
        },
        shard_maps: vec![ShardMapRow { id: 1, shards }],
        targets: members
            .map(|index| TargetEntry {
                id: format!("target-{index:04}"),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
                domain: domain_name(index % domains.max(1)),
                shard_map: 1,
                shard: index % shards,
                leaving: false,
            })
            .collect(),
        domains: BTreeMap::new(),
    }
}

fn sample_route(name: &str, pool: &str) -> RouteRow {
    RouteRow {
        name: name.to_owned(),
        kind: RouteKind::Search,
        pool: pool.to_owned(),
        contract: RouteContract {
            class: 1,
            deadline: Duration::from_millis(500),
            least_coverage: 0.9,
            preference: AnswerPreference::Latency,
            merge_size: 10,
        },
        version_move: None,
    }
}
