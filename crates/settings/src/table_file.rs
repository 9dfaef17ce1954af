//! Table files that operators export, edit and apply.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::pool::PoolId;
use vanillapick_model::route::RouteId;
use vanillapick_model::table::ConfigTable;

/// Fingerprints of all rows at the revision at which the file was exported. They distinguish rows changed in the file
/// from rows changed in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableBase {
    /// Fingerprints by route name.
    #[serde(default)]
    pub routes: BTreeMap<RouteId, String>,
    /// Fingerprints by pool name.
    #[serde(default)]
    pub pools: BTreeMap<PoolId, String>,
}

/// Both tables, with the fingerprints of the rows that they are based on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableFile {
    /// Its revision is the one at which the file was exported, or 0 for a file written by hand.
    #[serde(flatten)]
    pub table: ConfigTable,
    /// Absent in a file written by hand.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<TableBase>,
}
