//! The configuration: both tables in one value, and their checks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::pool::PoolId;
use crate::pool::PoolRow;
use crate::route::RouteId;
use crate::route::RouteRow;

/// Revision of the configuration; grows by one with every accepted edit.
pub type ConfigRevision = u64;

/// Random name of one edit, by which a lost reply to its write is settled.
pub type EditId = String;

/// Key of the configuration in the platform's service.
pub const CONFIG_KEY: &str = "vanillapick/config";

/// Number of edit ids kept in the value; more than the edits of one hour at 840 a day.
pub const MAX_RECENT_EDITS: usize = 64;

/// The routes and pools tables with their revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigTable {
    /// 0 only in the empty table.
    pub revision: ConfigRevision,
    /// Ids of the latest edits, newest last; at most [`MAX_RECENT_EDITS`].
    #[serde(default)]
    pub edits: Vec<EditId>,
    /// Rows by route name; the key equals the row's name.
    pub routes: BTreeMap<RouteId, RouteRow>,
    /// Rows by pool name; the key equals the row's name.
    pub pools: BTreeMap<PoolId, PoolRow>,
}

/// One thing wrong with a table, with its place as a path of keys (for example `routes.stock.pool`).
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{place}: {label}; {help}")]
pub struct TableFinding {
    /// Path of keys and indexes, joined by dots.
    pub place: String,
    /// What is wrong.
    pub label: String,
    /// What to write instead.
    pub help: String,
}

impl ConfigTable {
    /// Everything that is wrong with the tables, in the order of the rows; empty when they can be served.
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
                    "the move leads to the pool it starts from".to_owned(),
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
        note("contract.slots", "the target could run nothing".to_owned(), "write 1 or more");
    }
    if contract.connections == 0 {
        note(
            "contract.connections",
            "the target could not be reached".to_owned(),
            "write 1 or more",
        );
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
                format!("id {} stands twice", map.id),
                "use each id once",
            );
        }
    }
    for (index, target) in row.targets.iter().enumerate() {
        if !target_ids.insert(&target.id) {
            note(
                &format!("targets.{index}.id"),
                format!("{:?} stands twice", target.id),
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
