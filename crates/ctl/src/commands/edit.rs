//! Implements `edit FILE`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use serde::Serialize;
use vanillapick_model::hash::request_fingerprint;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::TableFinding;
use vanillapick_settings::TableBase;
use vanillapick_settings::TableFile;
use vanillapick_settings::load_table_file;

use crate::arguments::CommandArguments;
use crate::context::CommandContext;
use crate::difference::to_json;
use crate::error::CommandError;
use crate::error::finding;
use crate::output::CommandOutput;
use crate::row_edit::row_conflict;
use crate::write::WriteSession;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl edit FILE --platform IP:PORT [--dry-run]

Replaces both tables with the contents of a file that was printed by `show --json` and then changed. Rows that only
other operators have changed in the meantime are kept; a row that was changed both in the file and by others is refused,
and both versions are shown. A file without fingerprints (written by hand) must name the current revision, unless the
platform has no tables yet.

  --dry-run   show the difference by row and write nothing

example:
  vanillapick-ctl show --json --platform 127.0.0.1:7300 > tables.json
  (change tables.json)
  vanillapick-ctl edit tables.json --platform 127.0.0.1:7300 --dry-run
  vanillapick-ctl edit tables.json --platform 127.0.0.1:7300
";

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let session = WriteSession::new(&mut arguments)?;
    let path = arguments.positional("FILE")?;
    arguments.finish()?;

    let file = load_table_file(Path::new(&path))
        .map_err(|report| CommandError::from_report(report.render(context.color)))?;
    let mut base = file.base.clone();
    session
        .write(context, output, |current| {
            check_revision(&path, &file, current)?;
            // A file without fingerprints must name the current revision, so the rows read first are its base.
            let base = base.get_or_insert_with(|| row_fingerprints(current));
            merge_tables(&file.table, base, current)
        })
        .await
}

/// Computes the fingerprints that identify the contents of all rows.
pub(crate) fn row_fingerprints(table: &ConfigTable) -> TableBase {
    TableBase { routes: fingerprints(&table.routes), pools: fingerprints(&table.pools) }
}

fn fingerprints<R: Serialize>(rows: &BTreeMap<String, R>) -> BTreeMap<String, String> {
    rows.iter().map(|(name, row)| (name.clone(), fingerprint(row))).collect()
}

fn fingerprint<R: Serialize>(row: &R) -> String {
    format!("{:016x}", request_fingerprint("", to_json(row).to_string().as_bytes()))
}

fn check_revision(
    path: &str,
    file: &TableFile,
    current: &ConfigTable,
) -> Result<(), Vec<TableFinding>> {
    let (file_revision, current_revision) = (file.table.revision, current.revision);
    if current_revision < file_revision {
        return Err(vec![finding(
            path,
            format!(
                "the file was read at revision {file_revision}, the platform is at {current_revision}"
            ),
            "check --platform: the file appears to belong to another system",
        )]);
    }
    if file.base.is_none() && file_revision != current_revision {
        return Err(vec![finding(
            path,
            format!(
                "the file names revision {file_revision}, the platform is at {current_revision}"
            ),
            "edit the output of `vanillapick-ctl show --json`, which contains the fingerprints of its rows",
        )]);
    }
    Ok(())
}

/// Applies the rows that the file has changed since its base to the current tables. The error lists the rows that were
/// also changed in the store.
fn merge_tables(
    file: &ConfigTable,
    base: &TableBase,
    current: &ConfigTable,
) -> Result<ConfigTable, Vec<TableFinding>> {
    let mut conflicts = Vec::new();
    let routes = merge_rows("routes", &file.routes, &base.routes, &current.routes, &mut conflicts);
    let pools = merge_rows("pools", &file.pools, &base.pools, &current.pools, &mut conflicts);
    if !conflicts.is_empty() {
        return Err(conflicts);
    }
    Ok(ConfigTable { routes, pools, ..current.clone() })
}

fn merge_rows<R: Clone + PartialEq + Serialize>(
    table: &str,
    file: &BTreeMap<String, R>,
    base: &BTreeMap<String, String>,
    current: &BTreeMap<String, R>,
    conflicts: &mut Vec<TableFinding>,
) -> BTreeMap<String, R> {
    let names: BTreeSet<_> = file.keys().chain(base.keys()).chain(current.keys()).collect();
    let mut merged = BTreeMap::new();
    for name in names {
        let (own, other) = (file.get(name), current.get(name));
        let is_changed = |row: Option<&R>| row.map(fingerprint).as_ref() != base.get(name);
        let row = match (is_changed(own), is_changed(other)) {
            (false, _) => other,
            (true, false) => own,
            (true, true) => {
                if own != other {
                    conflicts.push(row_conflict(&format!("{table}.{name}"), own, other));
                }
                other
            }
        };
        if let Some(row) = row {
            merged.insert(name.clone(), row.clone());
        }
    }
    merged
}
