//! Edits of the stored configuration by compare-and-swap.
//!
//! The stored value lists the ids of its latest edits, so after a lost reply the client reads the value to learn whether
//! its write took effect. Every write of an edit carries the same id, and no write is sent if the value already lists it.
//! An edit is therefore applied at most once, even if a write that was assumed lost arrives late.

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

/// Size limit of the platform for one value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Attempts of an edit and the delay between them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EditRetryPolicy {
    /// Each attempt reads, applies the edit and writes; at least 1.
    pub max_attempts: u32,
    /// Delay before the next attempt if the outcome of a write is uncertain.
    pub retry_delay: Duration,
}

impl Default for EditRetryPolicy {
    /// Eight attempts: at 840 edits a day, eight conflicting edits in a row do not occur by chance.
    fn default() -> Self {
        Self { max_attempts: 8, retry_delay: Duration::from_millis(100) }
    }
}

/// Reason why an edit is not in force.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum EditError {
    /// The closure refused to edit the current tables, or the edited tables are invalid; nothing was written.
    #[display("the edit was refused")]
    Refused {
        /// Contains at least one finding.
        findings: Vec<TableFinding>,
    },
    /// Every attempt conflicted with another edit; nothing was written.
    #[display("other edits changed the configuration during all {attempts} attempts")]
    Contended {
        /// Number of attempts made.
        attempts: u32,
    },
    /// The platform could not be reached or rejected the call; nothing was written.
    #[display("nothing was written: {cause}")]
    NotWritten {
        /// Error of the last call.
        cause: PlatformError,
    },
    /// A write may have taken effect, and reading the value back did not show whether it did.
    #[display("it is not known whether the edit was written: {cause}")]
    OutcomeUnknown {
        /// Error of the uncertain write.
        cause: PlatformError,
    },
}

/// Configuration tables read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfig {
    /// Revision of the stored value; 0 if it does not exist.
    pub store_revision: StoreRevision,
    /// Empty, with revision 0, if the value does not exist.
    pub table: ConfigTable,
}

/// Reads the tables from the store; they are empty if none are stored.
pub async fn read_config(client: &PlatformClient) -> Result<StoredConfig, PlatformError> {
    match client.get(CONFIG_KEY).await? {
        Some(stored) => decode_config(&stored),
        None => Ok(StoredConfig { store_revision: 0, table: ConfigTable::default() }),
    }
}

/// Decodes the tables from a value that was read or watched, without validating them.
pub fn decode_config(stored: &StoredValue) -> Result<StoredConfig, PlatformError> {
    let table = serde_json::from_slice(&stored.value).map_err(|error| {
        let detail = format!("the stored tables cannot be decoded: {error}");
        PlatformError::Malformed { detail, uncertain: false }
    })?;
    Ok(StoredConfig { store_revision: stored.revision, table })
}

/// Applies an edit to the current tables, writes the result and returns the tables in force.
///
/// `edit_id` must be unique to this edit. `apply` receives the current tables in every attempt, again after a conflicting
/// edit, and returns the new tables or the findings for which it refuses the edit. It decides whether two edits of one row
/// conflict. The revision and the edit ids of its result are ignored. A result with unchanged rows is not written.
pub async fn edit_config(
    client: &PlatformClient,
    edit_id: &str,
    retry_policy: EditRetryPolicy,
    mut apply: impl FnMut(&ConfigTable) -> Result<ConfigTable, Vec<TableFinding>>,
) -> Result<ConfigTable, EditError> {
    let mut uncertain: Option<UncertainWrite> = None;
    for _ in 0..retry_policy.max_attempts {
        if uncertain.is_some() {
            tokio::time::sleep(retry_policy.retry_delay).await;
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
        // A newer value without this edit makes the compare-and-swap of the uncertain write fail.
        uncertain = uncertain.filter(|write| stored.store_revision <= write.expect);

        let edited = match (apply(&current), uncertain.take()) {
            (Ok(edited), write) => {
                uncertain = write;
                edited
            }
            (Err(findings), None) => return Err(EditError::Refused { findings }),
            // An earlier attempt passed `apply`, and its write may still arrive.
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
        return Err(EditError::Contended { attempts: retry_policy.max_attempts });
    };
    match read_config(client).await {
        Ok(stored) if has_edit(&stored.table, edit_id) => Ok(stored.table),
        _ => Err(EditError::OutcomeUnknown { cause }),
    }
}

fn has_edit(table: &ConfigTable, edit_id: &str) -> bool {
    table.edits.iter().any(|id| id == edit_id)
}

/// Write that may have taken effect although it failed.
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

/// Validates the tables and encodes them for the store.
fn encode(table: &ConfigTable) -> Result<Vec<u8>, Vec<TableFinding>> {
    let findings = table.check();
    if !findings.is_empty() {
        return Err(findings);
    }
    let value =
        serde_json::to_vec(table).map_err(|error| vec![table_finding(error.to_string())])?;
    if MAX_VALUE_BYTES < value.len() {
        return Err(vec![table_finding(format!("the tables take {} bytes", value.len()))]);
    }
    Ok(value)
}

fn table_finding(label: String) -> TableFinding {
    let help = format!("remove rows until the tables fit in {MAX_VALUE_BYTES} bytes");
    TableFinding { place: "routes and pools".to_owned(), label, help }
}
