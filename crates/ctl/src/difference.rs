//! Computes differences between two tables, by row and field.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Value;
use vanillapick_model::table::ConfigTable;

/// Longer values are truncated, since a complete pool row would obscure the surrounding lines.
const MAX_VALUE_CHARS: usize = 160;

/// Returns the lines for all added (`+`), removed (`-`) and changed (`~`, followed by the changed fields) rows.
pub(crate) fn table_difference(before: &ConfigTable, after: &ConfigTable) -> Vec<String> {
    let mut lines = Vec::new();
    row_differences("routes", &before.routes, &after.routes, &mut lines);
    row_differences("pools", &before.pools, &after.pools, &mut lines);
    lines
}

fn row_differences<R: PartialEq + Serialize>(
    table: &str,
    before: &BTreeMap<String, R>,
    after: &BTreeMap<String, R>,
    lines: &mut Vec<String>,
) {
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for name in names {
        match (before.get(name), after.get(name)) {
            (None, Some(row)) => {
                lines.push(format!("+ {table}.{name} {}", truncated_text(&to_json(row))))
            }
            (Some(row), None) => {
                lines.push(format!("- {table}.{name} {}", truncated_text(&to_json(row))))
            }
            (Some(old), Some(new)) if old != new => {
                lines.push(format!("~ {table}.{name}"));
                for (path, old, new) in field_differences(old, new) {
                    lines.push(format!("    {path}: {old} -> {new}"));
                }
            }
            _ => {}
        }
    }
}

/// Returns the path and both values of every field in which two rows differ; `absent` denotes a missing field.
pub(crate) fn field_differences<R: Serialize>(
    left: &R,
    right: &R,
) -> Vec<(String, String, String)> {
    let mut differences = Vec::new();
    collect_differences(
        String::new(),
        Some(&to_json(left)),
        Some(&to_json(right)),
        &mut differences,
    );
    differences
}

fn collect_differences(
    path: String,
    left: Option<&Value>,
    right: Option<&Value>,
    differences: &mut Vec<(String, String, String)>,
) {
    if left == right {
        return;
    }
    let children = match (left, right) {
        (Some(left), Some(right)) => children_by_name(left).zip(children_by_name(right)),
        _ => None,
    };
    let Some((left_children, right_children)) = children else {
        let text = |value: Option<&Value>| value.map_or("absent".to_owned(), truncated_text);
        differences.push((path, text(left), text(right)));
        return;
    };
    let names: BTreeSet<_> = left_children.keys().chain(right_children.keys()).collect();
    for name in names {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        collect_differences(
            path,
            left_children.get(name).copied(),
            right_children.get(name).copied(),
            differences,
        );
    }
}

/// Returns the fields of an object, or the entries of a list by their id. With ids instead of indexes, an added target
/// does not make all following ones differ.
fn children_by_name(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(fields) => {
            Some(fields.iter().map(|(name, value)| (name.clone(), value)).collect())
        }
        Value::Array(entries) => {
            entries.iter().map(|entry| Some((entry_id(entry)?, entry))).collect()
        }
        _ => None,
    }
}

fn entry_id(entry: &Value) -> Option<String> {
    match entry.get("id")? {
        Value::String(id) => Some(id.clone()),
        id => Some(id.to_string()),
    }
}

pub(crate) fn to_json<R: Serialize>(row: &R) -> Value {
    serde_json::to_value(row).expect("rows have only string keys")
}

fn truncated_text(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let head: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{head}…")
}
