//! Implements `route set NAME`.

use std::time::Duration;

use serde::de::DeserializeOwned;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::contract::RouteContract;
use vanillapick_model::pool::PoolId;
use vanillapick_model::route::RouteKind;
use vanillapick_model::route::RouteRow;
use vanillapick_model::table::TableFinding;

use crate::arguments::CommandArguments;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::error::finding;
use crate::output::CommandOutput;
use crate::row_edit::RowConflictGuard;
use crate::write::WriteSession;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl route set NAME [OPTIONS] --platform IP:PORT [--dry-run]

Adds the route, or changes the given fields of an existing one. A new route requires all options except --preference.

  --kind search|read|write       kind of requests that the route accepts
  --pool POOL                    pool that serves the route
  --class N                      priority class; 0 is served first
  --deadline-ms N                maximum deadline, 1 to 60000 ms
  --least-coverage FRACTION      minimum fraction of shards in an answer, 0 to 1
  --preference latency|coverage  goal that takes precedence; latency by default
  --merge-size N                 number of hits in an answer
  --dry-run                      show the difference by row and write nothing

example:
  vanillapick-ctl route set browse --class 3 --deadline-ms 800 --platform 127.0.0.1:7300
";

struct RouteOptions {
    kind: Option<RouteKind>,
    pool: Option<PoolId>,
    class: Option<u8>,
    deadline: Option<Duration>,
    least_coverage: Option<f64>,
    preference: Option<AnswerPreference>,
    merge_size: Option<usize>,
}

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let session = WriteSession::new(&mut arguments)?;
    let options = RouteOptions {
        kind: parse_enum_option(&mut arguments, "--kind", "--kind search|read|write")?,
        pool: arguments.option("--pool", "--pool POOL")?,
        class: arguments.option("--class", "--class N, from 0 to 255")?,
        deadline: arguments.millis("--deadline-ms", "--deadline-ms N")?,
        least_coverage: arguments.option("--least-coverage", "--least-coverage FRACTION")?,
        preference: parse_enum_option(
            &mut arguments,
            "--preference",
            "--preference latency|coverage",
        )?,
        merge_size: arguments.option("--merge-size", "--merge-size N")?,
    };
    let name = arguments.positional("NAME")?;
    arguments.finish()?;

    let mut guard = RowConflictGuard::new("routes", &name);
    session
        .write(context, output, |current| {
            let row = match current.routes.get(&name) {
                Some(row) => options.apply_to(row),
                None => options.create(&name)?,
            };
            guard.check(current.routes.get(&name), Some(&row))?;
            let mut edited = current.clone();
            edited.routes.insert(name.clone(), row);
            Ok(edited)
        })
        .await
}

/// Consumes an optional option whose values are written as in the tables.
fn parse_enum_option<T: DeserializeOwned>(
    arguments: &mut CommandArguments,
    key: &'static str,
    usage: &str,
) -> Result<Option<T>, CommandError> {
    let Some(word) = arguments.option::<String>(key, usage)? else { return Ok(None) };
    let value = serde_json::from_value(word.as_str().into());
    let wrong = |_| {
        arguments
            .invalid(format!("{word:?} is not a valid value of {key}"), &format!("write {usage}"))
    };
    value.map(Some).map_err(wrong)
}

impl RouteOptions {
    fn apply_to(&self, row: &RouteRow) -> RouteRow {
        let contract = &row.contract;
        RouteRow {
            name: row.name.clone(),
            kind: self.kind.unwrap_or(row.kind),
            pool: self.pool.clone().unwrap_or_else(|| row.pool.clone()),
            contract: RouteContract {
                class: self.class.unwrap_or(contract.class),
                deadline: self.deadline.unwrap_or(contract.deadline),
                least_coverage: self.least_coverage.unwrap_or(contract.least_coverage),
                preference: self.preference.unwrap_or(contract.preference),
                merge_size: self.merge_size.unwrap_or(contract.merge_size),
            },
            version_move: row.version_move.clone(),
        }
    }

    fn create(&self, name: &str) -> Result<RouteRow, Vec<TableFinding>> {
        let missing = |option: &str| vec![missing_option("routes", name, option)];
        Ok(RouteRow {
            name: name.to_owned(),
            kind: self.kind.ok_or_else(|| missing("--kind"))?,
            pool: self.pool.clone().ok_or_else(|| missing("--pool"))?,
            contract: RouteContract {
                class: self.class.ok_or_else(|| missing("--class"))?,
                deadline: self.deadline.ok_or_else(|| missing("--deadline-ms"))?,
                least_coverage: self.least_coverage.ok_or_else(|| missing("--least-coverage"))?,
                preference: self.preference.unwrap_or_default(),
                merge_size: self.merge_size.ok_or_else(|| missing("--merge-size"))?,
            },
            version_move: None,
        })
    }
}

pub(crate) fn missing_option(table: &str, name: &str, option: &str) -> TableFinding {
    finding(
        format!("{table}.{name}"),
        format!("the row is new and {option} is missing"),
        format!("specify {option} or the name of an existing row"),
    )
}
