//! Topology of an experiment, as given in its file: failure domains, links, hosts, services and routes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use vanillapick_model::contract::RouteContract;
use vanillapick_model::contract::TargetContract;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::link::LinkDelay;
use vanillapick_model::pool::PoolId;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::pool::ShardMapRow;
use vanillapick_model::route::RouteId;
use vanillapick_model::route::RouteKind;
use vanillapick_model::route::RouteRow;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::ShardMapId;
use vanillapick_model::snapshot::SnapshotId;
use vanillapick_model::table::ConfigTable;

use crate::json_patch::patched;
use crate::target_stand_in::TargetStandIn;
use crate::target_stand_in::target_behaviour::TargetBehaviour;

/// Names of the presets and the contents of their files.
pub const PRESETS: [(&str, &str); 2] = [
    ("pajilla", include_str!("../../../../experiments/presets/pajilla.jsonc")),
    ("calendar", include_str!("../../../../experiments/presets/calendar.jsonc")),
];

/// Returns the contents of a preset file.
pub fn preset_text(name: &str) -> Option<&'static str> {
    PRESETS.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}

/// Everything that is started for an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Failure domains; replicas and entry hosts are distributed over them.
    pub domains: Vec<DomainId>,
    /// Delays between failure domains; a pair that is not listed has no delay.
    #[serde(default)]
    pub links: Vec<LinkDelay>,
    /// Number of entry hosts in each failure domain. Their IDs are `DOMAIN-INDEX`.
    pub hosts_per_domain: u32,
    /// Merge patch for the settings of every entry host.
    #[serde(default)]
    pub host_settings: Value,
    /// Delay until the platform's host list shows a change, in milliseconds.
    #[serde(default = "default_list_lag_ms")]
    pub host_list_lag_ms: u64,
    /// Each service becomes one pool of the same name.
    pub services: BTreeMap<PoolId, ServiceSpec>,
    /// Routes of the initial configuration.
    pub routes: BTreeMap<RouteId, RouteSpec>,
}

fn default_list_lag_ms() -> u64 {
    1_000
}

/// Service whose targets are started as stand-ins.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Targets are started for every shard map, whether it is listed or not.
    pub shard_maps: Vec<ShardMapSpec>,
    /// Number of replicas of each shard; they run in different failure domains if there are enough.
    pub replicas: u32,
    /// Limits of each target. The stand-ins behave accordingly unless `behaviour` overrides it.
    pub contract: TargetContract,
    /// Merge patch for the behaviour of every target.
    #[serde(default)]
    pub behaviour: Value,
}

/// Shard map with the initial state of its targets.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMapSpec {
    /// Unique within the service.
    pub id: ShardMapId,
    /// Number of shards in the map.
    pub shards: ShardIndex,
    /// Whether the initial configuration lists the map and its targets.
    #[serde(default = "default_listed")]
    pub listed: bool,
    /// Snapshots that the targets have at the start; `[1]` if empty.
    #[serde(default)]
    pub snapshots: Vec<SnapshotId>,
}

fn default_listed() -> bool {
    true
}

/// Route of the initial configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Whether requests are searches, reads or writes.
    pub kind: RouteKind,
    /// Name of the service that answers the requests.
    pub pool: PoolId,
    /// Deadline, coverage and other promises to callers.
    pub contract: RouteContract,
}

impl ServiceSpec {
    /// Returns the initial behaviour of the targets of a shard map.
    pub fn target_behaviour(&self, map: &ShardMapSpec) -> serde_json::Result<TargetBehaviour> {
        let contract = &self.contract;
        let base = TargetBehaviour {
            slots: contract.slots,
            connections: contract.connections,
            connect_cost_ms: contract.connect_cost.as_millis() as u64,
            cold_slots: contract.cold_allowance,
            cold_ms: contract.cold_ramp.as_millis() as u64,
            snapshots: if map.snapshots.is_empty() { vec![1] } else { map.snapshots.clone() },
            ..TargetBehaviour::default()
        };
        match &self.behaviour {
            Value::Null => Ok(base),
            patch => patched(&base, patch),
        }
    }
}

impl Topology {
    /// Builds the initial configuration. It lists those of `targets` whose shard map is listed.
    pub fn initial_table(&self, targets: &[TargetStandIn]) -> ConfigTable {
        let mut table = ConfigTable { revision: 1, ..ConfigTable::default() };
        for (name, route) in &self.routes {
            let row = RouteRow {
                name: name.clone(),
                kind: route.kind,
                pool: route.pool.clone(),
                contract: route.contract.clone(),
                version_move: None,
            };
            table.routes.insert(name.clone(), row);
        }
        for (name, service) in &self.services {
            let row = PoolRow {
                name: name.clone(),
                contract: service.contract.clone(),
                shard_maps: Vec::new(),
                targets: Vec::new(),
                domains: BTreeMap::new(),
            };
            table.pools.insert(name.clone(), row);
            for map in service.shard_maps.iter().filter(|map| map.listed) {
                list_shard_map(&mut table, name, map.id, map.shards, targets);
            }
        }
        table
    }
}

/// Adds a shard map and its targets to a pool row; does nothing if the pool does not exist.
pub fn list_shard_map(
    table: &mut ConfigTable,
    pool: &str,
    id: ShardMapId,
    shards: ShardIndex,
    targets: &[TargetStandIn],
) {
    let Some(row) = table.pools.get_mut(pool) else { return };
    row.shard_maps.push(ShardMapRow { id, shards });
    let listed = targets.iter().filter(|target| {
        let setup = target.setup();
        setup.service == pool && setup.shard_map == id
    });
    row.targets.extend(listed.map(TargetStandIn::entry));
}
