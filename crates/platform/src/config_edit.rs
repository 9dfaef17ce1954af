//! Edits of the configuration by compare-and-swap.
//!
//! The value carries the ids of its latest edits, so that a lost reply to a write is settled by reading the value.
//! Every write of one edit carries the same id, and no write is sent on a value that has it already; so an edit is
//! applied at most once, even when a write that was given up as lost arrives late.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::MAX_RECENT_EDITS;
use vanillapick_model::table::TableFinding;

use crate::client::PlatformClient;
use crate::client::StoreRevision;
use crate::client::StoredValue;
use crate::error::PlatformError;

/// Largest value that the platform stores, in bytes.
pub const LARGEST_VALUE: usize = 1_000_000;

/// How often an edit is tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EditPatience {
    /// Rounds of read, apply and write; at least 1.
    pub tries: u32,
    /// Pause before the next round when the outcome of a write is uncertain.
    pub pause: Duration,
}

impl Default for EditPatience {
    /// Eight rounds: with 840 edits a day, eight other edits within one of these rounds do not occur by chance.
    fn default() -> Self {
        Self { tries: 8, pause: Duration::from_millis(100) }
    }
}

/// Why an edit is not in force.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum EditError {
    /// The closure refused the edit at the current tables, or the result fails its checks; nothing was written.
    #[display("the edit was refused")]
    Refused {
        /// Not empty.
        findings: Vec<TableFinding>,
    },
    /// Other edits were faster in every round; nothing was written.
    #[display("other edits were faster {tries} times in a row")]
    Contended {
        /// Rounds that were tried.
        tries: u32,
    },
    /// The platform could not be asked; nothing was written.
    #[display("nothing was written: {cause}")]
    NotWritten {
        /// Error of the last call.
        cause: PlatformError,
    },
    /// A write may have taken effect and could not be settled.
    #[display("it is not known whether the edit was written: {cause}")]
    OutcomeUnknown {
        /// Error of the uncertain write.
        cause: PlatformError,
    },
}

/// The tables as the store holds them.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfig {
    /// Revision of the store's value; 0 if there is none.
    pub store_revision: StoreRevision,
    /// Empty at revision 0 if the store has none.
    pub table: ConfigTable,
}

/// Reads the tables.
pub async fn read_config(client: &PlatformClient) -> Result<StoredConfig, PlatformError> {
    match client.get(CONFIG_KEY).await? {
        Some(stored) => decode_config(&stored),
        None => Ok(StoredConfig { store_revision: 0, table: ConfigTable::default() }),
    }
}

/// The tables in a value that was read or watched; they are not checked.
pub fn decode_config(stored: &StoredValue) -> Result<StoredConfig, PlatformError> {
    let table = serde_json::from_slice(&stored.value).map_err(|error| {
        let detail = format!("the stored tables cannot be read: {error}");
        PlatformError::Malformed { detail, uncertain: false }
    })?;
    Ok(StoredConfig { store_revision: stored.revision, table })
}

/// Applies an edit to the current tables and writes the result; returns the tables that are then in force.
///
/// `edit_id` is unique to this edit. `apply` receives the current tables in every round, again after another edit
/// was faster, and returns the new ones or a refusal; whether two edits of one row conflict is its decision. The
/// revision and the edit ids of its result are ignored. A result with unchanged rows is not written.
pub async fn edit_config(
    client: &PlatformClient,
    edit_id: &str,
    patience: EditPatience,
    mut apply: impl FnMut(&ConfigTable) -> Result<ConfigTable, Vec<TableFinding>>,
) -> Result<ConfigTable, EditError> {
    let mut uncertain: Option<UncertainWrite> = None;
    for _ in 0..patience.tries {
        if uncertain.is_some() {
            tokio::time::sleep(patience.pause).await;
        }
        let stored = match read_config(client).await {
            Ok(stored) => stored,
            Err(_) if uncertain.is_some() => continue,
            Err(cause) => return Err(EditError::NotWritten { cause }),
        };
        let current = stored.table;
        if has_edit(&current, edit_id) {
            return Ok(current);
        }
        // The value has moved on without this edit, so the uncertain write can no longer succeed.
        uncertain = uncertain.filter(|write| stored.store_revision <= write.expect);

        let edited = match (apply(&current), uncertain.take()) {
            (Ok(edited), write) => {
                uncertain = write;
                edited
            }
            (Err(findings), None) => return Err(EditError::Refused { findings }),
            // The edit was allowed before, and that write may still arrive.
            (Err(_), Some(write)) => return Err(EditError::OutcomeUnknown { cause: write.cause }),
        };
        if edited.routes == current.routes && edited.pools == current.pools {
            return Ok(current);
        }
        let next = next_table(&current, edited, edit_id);
        let value = encode(&next).map_err(|findings| EditError::Refused { findings })?;
        match client.put(CONFIG_KEY, value, stored.store_revision, None).await {
            Ok(_) => return Ok(next),
            Err(PlatformError::Conflict { .. }) => {}
            Err(cause) if cause.may_have_taken_effect() => {
                uncertain = Some(UncertainWrite { expect: stored.store_revision, cause });
            }
            Err(_) if uncertain.is_some() => {}
            Err(cause) => return Err(EditError::NotWritten { cause }),
        }
    }
    let Some(UncertainWrite { cause, .. }) = uncertain else {
        return Err(EditError::Contended { tries: patience.tries });
    };
    match read_config(client).await {
        Ok(stored) if has_edit(&stored.table, edit_id) => Ok(stored.table),
        _ => Err(EditError::OutcomeUnknown { cause }),
    }
}

fn has_edit(table: &ConfigTable, edit_id: &str) -> bool {
    table.edits.iter().any(|id| id == edit_id)
}

/// A write that may have taken effect.
struct UncertainWrite {
    expect: StoreRevision,
    cause: PlatformError,
}

fn next_table(current: &ConfigTable, edited: ConfigTable, edit_id: &str) -> ConfigTable {
    let mut edits = current.edits.clone();
    edits.push(edit_id.to_owned());
    let surplus = edits.len().saturating_sub(MAX_RECENT_EDITS);
    edits.drain(..surplus);
    ConfigTable { revision: current.revision + 1, edits, ..edited }
}

/// The checked value of the store.
fn encode(table: &ConfigTable) -> Result<Vec<u8>, Vec<TableFinding>> {
    let findings = table.check();
    if !findings.is_empty() {
        return Err(findings);
    }
    let value = serde_json::to_vec(table).map_err(|error| vec![whole(error.to_string())])?;
    if LARGEST_VALUE < value.len() {
        return Err(vec![whole(format!("the tables take {} bytes", value.len()))]);
    }
    Ok(value)
}

fn whole(label: String) -> TableFinding {
    let help = format!("remove rows until the tables fit in {LARGEST_VALUE} bytes");
    TableFinding { place: "routes and pools".to_owned(), label, help }
}
