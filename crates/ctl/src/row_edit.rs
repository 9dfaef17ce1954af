//! Edits of single rows, and detection of concurrent edits of the same row.

use std::collections::BTreeMap;

use serde::Serialize;
use vanillapick_model::table::TableFinding;

use crate::difference::field_differences;
use crate::difference::to_json;
use crate::error::finding;

/// Holds the row as the command first read it. Later attempts of the edit compare the current row with it.
pub(crate) struct RowConflictGuard<R> {
    place: String,
    first: Option<Option<R>>,
}

impl<R: Clone + PartialEq + Serialize> RowConflictGuard<R> {
    pub(crate) fn new(table: &str, name: &str) -> Self {
        Self { place: format!("{table}.{name}"), first: None }
    }

    /// Returns a finding if another operator has changed the row since the first call. `own` is the row that this
    /// command writes.
    pub(crate) fn check(
        &mut self,
        current: Option<&R>,
        own: Option<&R>,
    ) -> Result<(), Vec<TableFinding>> {
        let first = self.first.get_or_insert_with(|| current.cloned());
        if first.as_ref() == current || current == own {
            return Ok(());
        }
        Err(vec![row_conflict(&self.place, own, current)])
    }
}

/// Returns the finding for a row changed both by this command and by another operator, with the values that differ.
pub(crate) fn row_conflict<R: Serialize>(
    place: &str,
    own: Option<&R>,
    other: Option<&R>,
) -> TableFinding {
    let versions = match (own, other) {
        (Some(own), Some(other)) => {
            let fields = field_differences(own, other).into_iter();
            let lines = fields
                .map(|(path, own, other)| format!("\n    {path}: yours {own}, theirs {other}"));
            lines.collect::<String>()
        }
        _ => {
            let text =
                |row: Option<&R>| row.map_or("removed".to_owned(), |row| to_json(row).to_string());
            format!("\n    yours: {}\n    theirs: {}", text(own), text(other))
        }
    };
    finding(
        place,
        format!("the row was changed by another operator in the meantime{versions}"),
        "nothing was written; check the row with `vanillapick-ctl show` and repeat the edit",
    )
}

/// Returns the row named `name`, or a finding if it does not exist.
pub(crate) fn require_row<'a, R>(
    table: &str,
    rows: &'a BTreeMap<String, R>,
    name: &str,
) -> Result<&'a R, Vec<TableFinding>> {
    rows.get(name).ok_or_else(|| {
        let names: Vec<_> = rows.keys().map(String::as_str).collect();
        let known = if names.is_empty() { "none".to_owned() } else { names.join(", ") };
        let label = format!("no row is named {name:?}");
        vec![finding(table, label, format!("rows of the table: {known}"))]
    })
}
