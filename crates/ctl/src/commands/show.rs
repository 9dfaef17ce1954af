//! Implements `show [routes|pools]`.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use vanillapick_model::failure_domain::DomainState;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::route::RouteRow;
use vanillapick_model::table::ConfigTable;
use vanillapick_platform::config_edit::read_config;
use vanillapick_settings::TableFile;

use crate::arguments::CommandArguments;
use crate::columns::align_columns;
use crate::columns::cells;
use crate::commands::edit::row_fingerprints;
use crate::commands::move_status::move_progress_text;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::output::CommandOutput;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl show [routes|pools] --platform IP:PORT [--json]

Shows both tables, or one of them, as stored on the platform. With --json it prints both tables in the format that
`edit` reads, with the revision at which they were read and the fingerprints of their rows at that revision.

example:
  vanillapick-ctl show --json --platform 127.0.0.1:7300 > tables.json
";

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let is_json = arguments.flag("--json");
    let client = arguments.platform()?;
    let table_name = arguments.optional_positional()?;
    let (has_routes, has_pools) = match table_name.as_deref() {
        None => (true, true),
        Some("routes") => (true, false),
        Some("pools") => (false, true),
        Some(other) => {
            return Err(
                arguments.invalid(format!("no table is named {other:?}"), "write routes or pools")
            );
        }
    };
    arguments.finish()?;

    let stored = read_config(&client).await;
    let place = format!("platform {}", client.address());
    let table = stored.map_err(|error| CommandError::from_platform_error(&error, place))?.table;
    if is_json {
        let file = TableFile { base: Some(row_fingerprints(&table)), table };
        let text = serde_json::to_string_pretty(&file).expect("tables have only string keys");
        output.line(&text);
        return Ok(());
    }
    output.line(&format!("revision {}", table.revision));
    if has_routes {
        output.text.push_str(&route_lines(&table, context.now_ms()));
    }
    if has_pools {
        output.text.push_str(&pool_lines(&table, context));
    }
    Ok(())
}

fn route_lines(table: &ConfigTable, now_ms: u64) -> String {
    let mut lines = vec![cells([
        "ROUTE",
        "KIND",
        "POOL",
        "CLASS",
        "DEADLINE",
        "COVERAGE",
        "PREFERENCE",
        "HITS",
        "MOVE",
    ])];
    for RouteRow { name, kind, pool, contract, version_move } in table.routes.values() {
        lines.push(vec![
            name.clone(),
            format!("{kind:?}").to_lowercase(),
            pool.clone(),
            contract.class.to_string(),
            format!("{} ms", contract.deadline.as_millis()),
            contract.least_coverage.to_string(),
            format!("{:?}", contract.preference).to_lowercase(),
            contract.merge_size.to_string(),
            version_move.as_ref().map(|row| move_progress_text(row, now_ms)).unwrap_or_default(),
        ]);
    }
    align_columns(&lines)
}

fn pool_lines(table: &ConfigTable, context: &CommandContext) -> String {
    let header =
        ["POOL", "SLOTS", "CONNECTIONS", "COLD", "SHARDS", "TARGETS", "LEAVING", "DOMAINS"];
    let mut lines = vec![cells(header)];
    for row in table.pools.values() {
        let maps = row.shard_maps.iter().map(|map| format!("{}:{}", map.id, map.shards));
        let contract = &row.contract;
        let cold = format!("{} for {} ms", contract.cold_allowance, contract.cold_ramp.as_millis());
        lines.push(vec![
            row.name.clone(),
            contract.slots.to_string(),
            format!("{} at {} ms", contract.connections, contract.connect_cost.as_millis()),
            cold,
            maps.collect::<Vec<_>>().join(" "),
            row.targets.len().to_string(),
            row.targets.iter().filter(|target| target.leaving).count().to_string(),
            domains_text(row, context),
        ]);
    }
    align_columns(&lines)
}

/// Formats the number of targets per failure domain, with the share of each domain that is not in full service.
fn domains_text(row: &PoolRow, context: &CommandContext) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in row.domains.keys() {
        counts.entry(name).or_default();
    }
    for target in &row.targets {
        *counts.entry(&target.domain).or_default() += 1;
    }
    let now = context.now.max(UNIX_EPOCH);
    let texts = counts.iter().map(|(name, count)| match row.domain_state(name) {
        DomainState::Serving => format!("{name}={count}"),
        DomainState::Out => format!("{name}={count} (out)"),
        state @ DomainState::Returning { .. } => {
            format!("{name}={count} (returning, {:.0}%)", state.share_at(now) * 100.0)
        }
    });
    texts.collect::<Vec<_>>().join(" ")
}
