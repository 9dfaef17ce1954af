//! Edits of the configuration: rebase onto a newer table, the next revision, and detection of edits that were applied
//! although the reply was lost.

use std::collections::BTreeMap;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::pool::PoolId;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::route::MoveState;
use vanillapick_model::route::RouteId;
use vanillapick_model::route::RouteRow;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::MAX_RECENT_EDITS;
use vanillapick_model::table::TableFinding;

/// A row that both sides edited differently. `None` means that the row does not exist on that side.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "table")]
pub enum RowConflict {
    /// Conflict in the routes table.
    Route {
        /// Key of the row.
        name: RouteId,
        /// The row after the edit.
        mine: Option<Box<RouteRow>>,
        /// The row in the current table.
        current: Option<Box<RouteRow>>,
    },
    /// Conflict in the pools table.
    Pool {
        /// Key of the row.
        name: PoolId,
        /// The row after the edit.
        mine: Option<Box<PoolRow>>,
        /// The row in the current table.
        current: Option<Box<PoolRow>>,
    },
}

impl RowConflict {
    /// Path of the row, in the format of [`TableFinding::place`].
    pub fn place(&self) -> String {
        match self {
            Self::Route { name, .. } => format!("routes.{name}"),
            Self::Pool { name, .. } => format!("pools.{name}"),
        }
    }
}

/// Reason why an edit cannot be rebased.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum RebaseError {
    /// Both sides edited the same rows differently. Routes come before pools, each sorted by name.
    #[display("{} rows were edited differently in the meantime: {}", conflicts.len(), join_places(conflicts))]
    Conflicts {
        /// The conflicting rows with both versions; not empty.
        conflicts: Vec<RowConflict>,
    },
    /// No row conflicts, but the merged table fails its checks, for example because one side removed a pool that a new
    /// route of the other side names.
    #[display("the merged table has {} findings: {}", findings.len(), join_findings(findings))]
    Findings {
        /// Results of the failed checks; not empty.
        findings: Vec<TableFinding>,
    },
}

fn join_places(conflicts: &[RowConflict]) -> String {
    conflicts.iter().map(RowConflict::place).collect::<Vec<_>>().join(", ")
}

fn join_findings(findings: &[TableFinding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Rebases an edit by a three-way merge: `mine` was derived from `base`, and `current` has been accepted since.
///
/// The merged table has the revision and edit ids of `current`; [`build_next_revision`] turns it into the next
/// revision. A row that both sides changed to the same content is not a conflict.
pub fn rebase(
    base: &ConfigTable,
    mine: &ConfigTable,
    current: &ConfigTable,
) -> Result<ConfigTable, RebaseError> {
    let mut conflicts = Vec::new();
    let routes = merge_rows(&base.routes, &mine.routes, &current.routes, |name, mine, current| {
        conflicts.push(RowConflict::Route { name, mine, current });
    });
    let pools = merge_rows(&base.pools, &mine.pools, &current.pools, |name, mine, current| {
        conflicts.push(RowConflict::Pool { name, mine, current });
    });
    if !conflicts.is_empty() {
        return Err(RebaseError::Conflicts { conflicts });
    }
    let merged =
        ConfigTable { revision: current.revision, edits: current.edits.clone(), routes, pools };
    let findings = merged.check();
    if !findings.is_empty() {
        return Err(RebaseError::Findings { findings });
    }
    Ok(merged)
}

fn merge_rows<Row: Clone + PartialEq>(
    base: &BTreeMap<String, Row>,
    mine: &BTreeMap<String, Row>,
    current: &BTreeMap<String, Row>,
    mut add_conflict: impl FnMut(String, Option<Box<Row>>, Option<Box<Row>>),
) -> BTreeMap<String, Row> {
    let mut merged = current.clone();
    let mut names: Vec<_> = base.keys().chain(mine.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let (before, edited, now) = (base.get(name), mine.get(name), current.get(name));
        if edited == before || edited == now {
            continue;
        }
        if now != before {
            add_conflict(name.clone(), edited.cloned().map(Box::new), now.cloned().map(Box::new));
            continue;
        }
        match edited {
            Some(row) => merged.insert(name.clone(), row.clone()),
            None => merged.remove(name),
        };
    }
    merged
}

/// Builds the revision after `current` from the rows of `merged`, with `edit` as the newest edit id.
pub fn build_next_revision(current: &ConfigTable, merged: &ConfigTable, edit: &str) -> ConfigTable {
    let mut edits = current.edits.clone();
    edits.push(edit.to_owned());
    let surplus = edits.len().saturating_sub(MAX_RECENT_EDITS);
    edits.drain(..surplus);
    ConfigTable {
        revision: current.revision + 1,
        edits,
        routes: merged.routes.clone(),
        pools: merged.pools.clone(),
    }
}

/// Whether `current`, read from the store after a lost reply, contains the edit.
///
/// Returns `false` for an edit older than the last [`MAX_RECENT_EDITS`] edits, so a lost reply has to be resolved
/// before that many more edits are accepted.
pub fn is_applied(current: &ConfigTable, edit: &str) -> bool {
    current.edits.iter().any(|known| known == edit)
}

/// Next step of the writer of an edit after reading the current table.
#[derive(Clone, Debug, PartialEq)]
pub enum EditStep {
    /// The edit was already accepted, by a write whose reply was lost.
    AlreadyApplied,
    /// Write this table if the store still has the current revision.
    Write(ConfigTable),
}

/// Runs one iteration of the compare-and-swap loop of an edit; called again with a newly read `current` after a
/// conflict or a lost reply.
///
/// The check for an applied edit precedes the rebase: a write whose reply was lost may take effect after the first
/// read, and rebasing the edit onto its own result would apply it twice.
pub fn next_step(
    base: &ConfigTable,
    mine: &ConfigTable,
    current: &ConfigTable,
    edit: &str,
) -> Result<EditStep, RebaseError> {
    if is_applied(current, edit) {
        return Ok(EditStep::AlreadyApplied);
    }
    let merged = rebase(base, mine, current)?;
    Ok(EditStep::Write(build_next_revision(current, &merged, edit)))
}

/// The table to write if the store is behind the `active` one, because it was restored from a copy; `None` if it is not.
///
/// If all edits of the stored table are known, the active one is written again. Otherwise operators have edited the copy, at
/// revisions that were given out before: their table is written with a revision above all of these, because they have seen
/// what it contains.
pub fn republished_table(stored: &ConfigTable, active: &ConfigTable) -> Option<ConfigTable> {
    if stored == active || active.revision < stored.revision {
        return None;
    }
    let mut edits = stored.edits.iter();
    if edits.all(|edit| active.edits.contains(edit)) {
        return Some(active.clone());
    }
    Some(ConfigTable { revision: active.revision + 1, ..stored.clone() })
}

/// Returns the table with the move `move_id` ended as `progress`; `None` if the move has already ended, so that a
/// rollback or a finished move is recorded once even if several hosts try. A finished move can still be rolled back,
/// because the new pool is monitored while the old one exists.
pub fn end_move(table: &ConfigTable, move_id: &str, progress: MoveState) -> Option<ConfigTable> {
    let name = table.routes.iter().find_map(|(name, row)| {
        let version_move = row.version_move.as_ref()?;
        let is_rollback = matches!(progress, MoveState::TakenBack { .. });
        let may_end = match version_move.progress {
            MoveState::Running => true,
            MoveState::Done => is_rollback,
            MoveState::TakenBack { .. } => false,
        };
        (version_move.id == move_id && may_end).then(|| name.clone())
    })?;
    let mut edited = table.clone();
    let version_move = edited.routes.get_mut(&name)?.version_move.as_mut()?;
    version_move.progress = progress;
    Some(edited)
}
