//! Implements `pool set NAME`.

use std::path::Path;

use vanillapick_model::pool::PoolRow;
use vanillapick_model::pool::ShardMapRow;
use vanillapick_model::table::TableFinding;
use vanillapick_model::target::TargetEntry;
use vanillapick_model::target::TargetId;
use vanillapick_settings::load_table_file;

use crate::arguments::CommandArguments;
use crate::commands::route_set::missing_option;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::error::finding;
use crate::output::CommandOutput;
use crate::row_edit::RowConflictGuard;
use crate::write::WriteSession;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl pool set NAME [OPTIONS] --platform IP:PORT [--dry-run]

Adds the pool, or changes the given parts of an existing one. A new pool requires --from with a file of tables.

  --from FILE                           read the whole row NAME from a file of tables, then apply the other options
  --slots N                             number of requests that a target runs concurrently
  --connections N                       number of connections that a target accepts
  --connect-cost-ms N                   time to open a connection
  --cold-allowance N                    number of requests that a cold target may run concurrently
  --cold-ramp-ms N                      time from a cold start until all slots are available
  --shard-map ID:SHARDS                 add a shard map, or change its number of shards; repeatable
  --remove-shard-map ID                 remove a shard map; repeatable
  --target ID,IP:PORT,DOMAIN,MAP,SHARD  add or replace a target; repeatable
  --remove-target ID                    remove a target; repeatable
  --leaving ID                          send no new requests to a target; repeatable
  --dry-run                             show the difference by row and write nothing

example:
  vanillapick-ctl pool set stock-1 --target stock-1-s03-r2,127.0.0.1:8123,lima,1,3 --leaving stock-1-s03-r0 \\
    --platform 127.0.0.1:7300
  vanillapick-ctl pool set stock-2 --from tables-2.jsonc --platform 127.0.0.1:7300
";

struct PoolOptions {
    row: Option<PoolRow>,
    slots: Option<u32>,
    connections: Option<u32>,
    connect_cost: Option<std::time::Duration>,
    cold_allowance: Option<u32>,
    cold_ramp: Option<std::time::Duration>,
    shard_maps: Vec<ShardMapRow>,
    removed_shard_maps: Vec<u64>,
    targets: Vec<TargetEntry>,
    removed_targets: Vec<TargetId>,
    leaving_targets: Vec<TargetId>,
}

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let session = WriteSession::new(&mut arguments)?;
    let file: Option<String> = arguments.option("--from", "--from FILE")?;
    let mut options = PoolOptions::parse(&mut arguments)?;
    let name = arguments.positional("NAME")?;
    if let Some(path) = file {
        let tables = load_table_file(Path::new(&path))
            .map_err(|report| CommandError::from_report(report.render(context.color)))?;
        options.row = tables.table.pools.get(&name).cloned();
        if options.row.is_none() {
            let label = format!("the file has no pool {name:?}");
            return Err(CommandError::invalid_input(
                label,
                path,
                "specify a pool that the file contains",
            ));
        }
    }
    arguments.finish()?;

    let mut guard = RowConflictGuard::new("pools", &name);
    session
        .write(context, output, |current| {
            let stored = current.pools.get(&name);
            let Some(start) = options.row.as_ref().or(stored) else {
                return Err(vec![missing_option("pools", &name, "--from")]);
            };
            let row = options.apply_to(start)?;
            guard.check(stored, Some(&row))?;
            let mut edited = current.clone();
            edited.pools.insert(name.clone(), row);
            Ok(edited)
        })
        .await
}

impl PoolOptions {
    fn parse(arguments: &mut CommandArguments) -> Result<Self, CommandError> {
        let map_usage = "--shard-map ID:SHARDS, for example --shard-map 2:20";
        let target_usage = "--target ID,IP:PORT,DOMAIN,MAP,SHARD";
        let maps: Vec<String> = arguments.repeated_option("--shard-map", map_usage)?;
        let targets: Vec<String> = arguments.repeated_option("--target", target_usage)?;
        let wrong = |text: &str, usage: &str| {
            arguments.invalid(format!("{text:?} has an invalid format"), &format!("write {usage}"))
        };
        let shard_maps = maps
            .iter()
            .map(|text| parse_shard_map(text).ok_or_else(|| wrong(text, map_usage)))
            .collect::<Result<_, _>>()?;
        let targets = targets
            .iter()
            .map(|text| parse_target(text).ok_or_else(|| wrong(text, target_usage)))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            row: None,
            shard_maps,
            targets,
            slots: arguments.option("--slots", "--slots N")?,
            connections: arguments.option("--connections", "--connections N")?,
            connect_cost: arguments.millis("--connect-cost-ms", "--connect-cost-ms N")?,
            cold_allowance: arguments.option("--cold-allowance", "--cold-allowance N")?,
            cold_ramp: arguments.millis("--cold-ramp-ms", "--cold-ramp-ms N")?,
            removed_shard_maps: arguments
                .repeated_option("--remove-shard-map", "--remove-shard-map ID")?,
            removed_targets: arguments.repeated_option("--remove-target", "--remove-target ID")?,
            leaving_targets: arguments.repeated_option("--leaving", "--leaving ID")?,
        })
    }

    fn apply_to(&self, start: &PoolRow) -> Result<PoolRow, Vec<TableFinding>> {
        let mut row = start.clone();
        let contract = &mut row.contract;
        contract.slots = self.slots.unwrap_or(contract.slots);
        contract.connections = self.connections.unwrap_or(contract.connections);
        contract.connect_cost = self.connect_cost.unwrap_or(contract.connect_cost);
        contract.cold_allowance = self.cold_allowance.unwrap_or(contract.cold_allowance);
        contract.cold_ramp = self.cold_ramp.unwrap_or(contract.cold_ramp);
        row.shard_maps.retain(|map| !self.removed_shard_maps.contains(&map.id));
        for map in &self.shard_maps {
            replace_or_add(&mut row.shard_maps, map, |known| known.id == map.id);
        }
        let mut findings = Vec::new();
        for id in self.removed_targets.iter().chain(&self.leaving_targets) {
            if !row.targets.iter().any(|target| target.id == *id) {
                let place = format!("pools.{}.targets", row.name);
                let label = format!("no target is named {id:?}");
                findings.push(finding(place, label, "specify a target of the pool"));
            }
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        row.targets.retain(|target| !self.removed_targets.contains(&target.id));
        for target in &self.targets {
            replace_or_add(&mut row.targets, target, |known| known.id == target.id);
        }
        for target in &mut row.targets {
            target.leaving |= self.leaving_targets.contains(&target.id);
        }
        Ok(row)
    }
}

/// Replaces the entry that matches `is_same`, or adds a new one.
fn replace_or_add<T: Clone>(entries: &mut Vec<T>, entry: &T, is_same: impl Fn(&T) -> bool) {
    match entries.iter_mut().find(|known| is_same(known)) {
        Some(known) => *known = entry.clone(),
        None => entries.push(entry.clone()),
    }
}

fn parse_shard_map(text: &str) -> Option<ShardMapRow> {
    let (id, shards) = text.split_once(':')?;
    Some(ShardMapRow { id: id.parse().ok()?, shards: shards.parse().ok()? })
}

fn parse_target(text: &str) -> Option<TargetEntry> {
    let parts: Vec<_> = text.split(',').collect();
    let [id, address, domain, shard_map, shard] = parts.as_slice() else { return None };
    Some(TargetEntry {
        id: (*id).to_owned(),
        address: address.parse().ok()?,
        domain: (*domain).to_owned(),
        shard_map: shard_map.parse().ok()?,
        shard: shard.parse().ok()?,
        leaving: false,
    })
}
