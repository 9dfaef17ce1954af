//! Edits of the configuration: rebase onto a newer table, acceptance, and settlement after a lost reply.

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

/// One row that was edited differently on both sides. `None` means that the side has no such row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "table")]
pub enum RowConflict {
    /// A row of the routes table.
    Route {
        /// Key of the row.
        name: RouteId,
        /// The row as the edit leaves it.
        mine: Option<Box<RouteRow>>,
        /// The row as it stands in the current table.
        current: Option<Box<RouteRow>>,
    },
    /// A row of the pools table.
    Pool {
        /// Key of the row.
        name: PoolId,
        /// The row as the edit leaves it.
        mine: Option<Box<PoolRow>>,
        /// The row as it stands in the current table.
        current: Option<Box<PoolRow>>,
    },
}

impl RowConflict {
    /// Place of the row in the table, in the form of [`TableFinding::place`].
    pub fn place(&self) -> String {
        match self {
            Self::Route { name, .. } => format!("routes.{name}"),
            Self::Pool { name, .. } => format!("pools.{name}"),
        }
    }
}

/// Why an edit cannot be rebased.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum RebaseError {
    /// Rows were edited differently on both sides, in the order routes, pools, each by name.
    #[display("{} rows were edited differently in the meantime: {}", conflicts.len(), places(conflicts))]
    Conflicts {
        /// The rows with both versions; not empty.
        conflicts: Vec<RowConflict>,
    },
    /// No row conflicts, but the merged table fails its checks, for example because one side removed a pool that
    /// the other side's new route names.
    #[display("the merged table has {} findings: {}", findings.len(), lines(findings))]
    Findings {
        /// What is wrong with the merged table; not empty.
        findings: Vec<TableFinding>,
    },
}

fn places(conflicts: &[RowConflict]) -> String {
    conflicts.iter().map(RowConflict::place).collect::<Vec<_>>().join(", ")
}

fn lines(findings: &[TableFinding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Rebases an edit: `mine` was made from `base`, and `current` has been accepted since.
///
/// The merged table has the revision and edit ids of `current`; [`apply`] makes it the next revision. A row that both
/// sides changed to the same content is no conflict.
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
    mut note_conflict: impl FnMut(String, Option<Box<Row>>, Option<Box<Row>>),
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
            note_conflict(name.clone(), edited.cloned().map(Box::new), now.cloned().map(Box::new));
            continue;
        }
        match edited {
            Some(row) => merged.insert(name.clone(), row.clone()),
            None => merged.remove(name),
        };
    }
    merged
}

/// The next revision: the rows of `merged`, the revision after `current`, and `edit` as the newest edit id.
pub fn apply(current: &ConfigTable, merged: &ConfigTable, edit: &str) -> ConfigTable {
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

/// Whether the edit took effect, as read back from the store after a lost reply.
///
/// The answer is `false` for an edit older than the last [`MAX_RECENT_EDITS`] edits, so a lost reply has to be settled
/// before that many more edits have been accepted.
pub fn settled(current: &ConfigTable, edit: &str) -> bool {
    current.edits.iter().any(|known| known == edit)
}

/// What the writer of an edit has to do after it has read the current table.
#[derive(Clone, Debug, PartialEq)]
pub enum EditStep {
    /// The edit has been accepted already, by a write whose reply was lost.
    Settled,
    /// Write this table, expecting the current revision.
    Write(ConfigTable),
}

/// One round of the compare-and-swap loop of an edit; called again with a newly read `current` after a conflict or a
/// lost reply.
///
/// Settlement comes before the rebase: a write whose reply was lost may take effect after the first look, and rebasing
/// the edit onto its own result would apply it twice.
pub fn next_step(
    base: &ConfigTable,
    mine: &ConfigTable,
    current: &ConfigTable,
    edit: &str,
) -> Result<EditStep, RebaseError> {
    if settled(current, edit) {
        return Ok(EditStep::Settled);
    }
    let merged = rebase(base, mine, current)?;
    Ok(EditStep::Write(apply(current, &merged, edit)))
}

/// The table with the move `move_id` ended as `progress`; `None` when it has ended before, so that a rollback or a
/// finished move is recorded once even if several hosts try. A finished move may still be rolled back, because the new
/// pool is watched as long as the old one stands.
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
