//! Configuration of routes and pools, and its validation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::pool::PoolId;
use crate::pool::PoolRow;
use crate::route::RouteId;
use crate::route::RouteRow;

/// Revision of the configuration; incremented with every accepted edit.
pub type ConfigRevision = u64;

/// Random id of an edit, used to find out whether a write succeeded when its reply was lost.
pub type EditId = String;

/// Key of the configuration in the platform's key-value service.
pub const CONFIG_KEY: &str = "vanillapick/config";

/// Maximum number of edit ids kept in the configuration. Covers more than one hour at 840 edits per day.
pub const MAX_RECENT_EDITS: usize = 64;

/// Complete configuration of routes and pools.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigTable {
    /// 0 only for the empty configuration.
    pub revision: ConfigRevision,
    /// Ids of the most recent edits, newest last; at most [`MAX_RECENT_EDITS`].
    #[serde(default)]
    pub edits: Vec<EditId>,
    /// Routes by name; each key equals the name of its row.
    pub routes: BTreeMap<RouteId, RouteRow>,
    /// Pools by name; each key equals the name of its row.
    pub pools: BTreeMap<PoolId, PoolRow>,
}

/// Validation error, located by a path of keys such as `routes.stock.pool`.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{place}: {label}; {help}")]
pub struct TableFinding {
    /// Dot-separated path of keys and indexes.
    pub place: String,
    /// Description of the error.
    pub label: String,
    /// How to fix the error.
    pub help: String,
}

impl ConfigTable {
    /// Validates the configuration. Returns all errors in row order, or an empty list if it is valid.
    pub fn check(&self) -> Vec<TableFinding> {
        let mut findings = Vec::new();
        for (name, row) in &self.routes {
            self.check_route(name, row, &mut findings);
        }
        let mut target_ids = BTreeSet::new();
        for (name, row) in &self.pools {
            check_pool(name, row, &mut target_ids, &mut findings);
        }
        findings
    }

    fn check_route(&self, name: &str, row: &RouteRow, findings: &mut Vec<TableFinding>) {
        let place = format!("routes.{name}");
        let mut note = |field: &str, label: String, help: &str| {
            findings.push(TableFinding {
                place: format!("{place}.{field}"),
                label,
                help: help.to_owned(),
            });
        };
        if row.name != name {
            note(
                "name",
                format!("the row is named {:?}", row.name),
                "write the same name as the row's key",
            );
        }
        if !self.pools.contains_key(&row.pool) {
            note(
                "pool",
                format!("no pool is named {:?}", row.pool),
                "name a row of the pools table",
            );
        }
        let contract = &row.contract;
        if contract.deadline.is_zero() || crate::call::MAX_DEADLINE < contract.deadline {
            note(
                "contract.deadline_ms",
                "the deadline is out of range".to_owned(),
                "write 1 to 60000",
            );
        }
        if !(0.0..=1.0).contains(&contract.least_coverage) {
            note(
                "contract.least_coverage",
                "not a fraction".to_owned(),
                "write a number from 0 to 1",
            );
        }
        if contract.merge_size == 0 {
            note("contract.merge_size", "no hits would be returned".to_owned(), "write 1 or more");
        }
        let Some(version_move) = &row.version_move else { return };
        match self.pools.get(&version_move.to) {
            None => note(
                "move.to",
                format!("no pool is named {:?}", version_move.to),
                "name a row of the pools table",
            ),
            Some(_)
                if version_move.to == row.pool
                    && version_move.progress == crate::route::MoveState::Running =>
            {
                note(
                    "move.to",
                    "the source and destination pools are the same".to_owned(),
                    "name another pool",
                );
            }
            Some(_) => {}
        }
        if version_move.finish_by_ms <= version_move.start_ms {
            note(
                "move.finish_by_ms",
                "the move ends before it starts".to_owned(),
                "write a time after start_ms",
            );
        }
    }
}

fn check_pool<'a>(
    name: &str,
    row: &'a PoolRow,
    target_ids: &mut BTreeSet<&'a str>,
    findings: &mut Vec<TableFinding>,
) {
    let place = format!("pools.{name}");
    let mut note = |field: &str, label: String, help: &str| {
        findings.push(TableFinding {
            place: format!("{place}.{field}"),
            label,
            help: help.to_owned(),
        });
    };
    if row.name != name {
        note(
            "name",
            format!("the row is named {:?}", row.name),
            "write the same name as the row's key",
        );
    }
    let contract = &row.contract;
    if contract.slots == 0 {
        note("contract.slots", "targets could not run any requests".to_owned(), "write 1 or more");
    }
    if contract.connections == 0 {
        note("contract.connections", "targets could not be reached".to_owned(), "write 1 or more");
    }
    if contract.cold_allowance == 0 || contract.slots < contract.cold_allowance {
        note(
            "contract.cold_allowance",
            "out of range".to_owned(),
            "write 1 up to the number of slots",
        );
    }
    if row.shard_maps.is_empty() {
        note(
            "shard_maps",
            "no shard map".to_owned(),
            "write one with 1 shard for an unsharded service",
        );
    }
    let mut maps = BTreeMap::new();
    for (index, map) in row.shard_maps.iter().enumerate() {
        if map.shards == 0 {
            note(&format!("shard_maps.{index}.shards"), "no shards".to_owned(), "write 1 or more");
        }
        if maps.insert(map.id, map.shards).is_some() {
            note(
                &format!("shard_maps.{index}.id"),
                format!("duplicate id {}", map.id),
                "use each id once",
            );
        }
    }
    for (index, target) in row.targets.iter().enumerate() {
        if !target_ids.insert(&target.id) {
            note(
                &format!("targets.{index}.id"),
                format!("duplicate id {:?}", target.id),
                "use each id once",
            );
        }
        match maps.get(&target.shard_map) {
            None => note(
                &format!("targets.{index}.shard_map"),
                format!("no shard map has id {}", target.shard_map),
                "name one of the pool's shard maps",
            ),
            Some(shards) if *shards <= target.shard => note(
                &format!("targets.{index}.shard"),
                format!("shard {} of {shards}", target.shard),
                "write a number below the number of shards",
            ),
            Some(_) => {}
        }
    }
}
