//! Dissemination of the configuration: the highest revision wins, rows travel as deltas, and a table with findings is
//! never accepted.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::hash::rendezvous_order;
use vanillapick_model::host::HostId;
use vanillapick_model::pool::PoolId;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::route::RouteId;
use vanillapick_model::route::RouteRow;
use vanillapick_model::table::ConfigRevision;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::EditId;
use vanillapick_model::table::MAX_RECENT_EDITS;
use vanillapick_model::table::TableFinding;

/// Deltas kept for peers that lag; more than the edits of one hour at 840 a day.
const KEPT_DELTAS: usize = 64;

/// Hosts per failure domain that watch the store; one more than needed, so that the loss of one delays no change.
pub const WATCHERS: usize = 2;

/// Hosts per failure domain that exchange sums with other domains.
pub const DELEGATES: usize = 2;

/// Rows that differ between two revisions; `None` removes the row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// Applies to this revision only.
    pub from: ConfigRevision,
    /// Revision after the delta.
    pub to: ConfigRevision,
    /// Edit ids to append.
    pub edits: Vec<EditId>,
    /// Routes that differ.
    pub routes: BTreeMap<RouteId, Option<RouteRow>>,
    /// Pools that differ.
    pub pools: BTreeMap<PoolId, Option<PoolRow>>,
}

impl ConfigDelta {
    /// The rows that differ between `before` and `after`.
    pub fn between(before: &ConfigTable, after: &ConfigTable) -> Self {
        let known = after.edits.iter().rposition(|edit| before.edits.last() == Some(edit));
        let first_new = known.map_or(0, |position| position + 1);
        Self {
            from: before.revision,
            to: after.revision,
            edits: after.edits[first_new..].to_vec(),
            routes: changed_rows(&before.routes, &after.routes),
            pools: changed_rows(&before.pools, &after.pools),
        }
    }

    /// The table after the delta.
    pub fn apply_to(&self, before: &ConfigTable) -> ConfigTable {
        let mut after = before.clone();
        after.revision = self.to;
        after.edits.extend(self.edits.iter().cloned());
        let surplus = after.edits.len().saturating_sub(MAX_RECENT_EDITS);
        after.edits.drain(..surplus);
        replace_rows(&mut after.routes, &self.routes);
        replace_rows(&mut after.pools, &self.pools);
        after
    }

    /// This delta followed by `next`, which starts where this one ends.
    fn then(mut self, next: &Self) -> Self {
        self.to = next.to;
        self.edits.extend(next.edits.iter().cloned());
        self.routes.extend(next.routes.clone());
        self.pools.extend(next.pools.clone());
        self
    }
}

fn changed_rows<Row: Clone + PartialEq>(
    before: &BTreeMap<String, Row>,
    after: &BTreeMap<String, Row>,
) -> BTreeMap<String, Option<Row>> {
    let removed =
        before.keys().filter(|name| !after.contains_key(*name)).map(|name| (name.clone(), None));
    let changed = after
        .iter()
        .filter(|(name, row)| before.get(*name) != Some(*row))
        .map(|(name, row)| (name.clone(), Some(row.clone())));
    removed.chain(changed).collect()
}

fn replace_rows<Row: Clone>(
    rows: &mut BTreeMap<String, Row>,
    changes: &BTreeMap<String, Option<Row>>,
) {
    for (name, change) in changes {
        match change {
            Some(row) => rows.insert(name.clone(), row.clone()),
            None => rows.remove(name),
        };
    }
}

/// How a configuration travels to a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigPayload {
    /// Rows since the peer's revision.
    Rows(ConfigDelta),
    /// The whole table, when the deltas are not kept any more.
    Whole(#[serde(with = "counted_table")] Arc<ConfigTable>),
}

/// Serialization of a reference-counted table as the table itself.
mod counted_table {
    use std::sync::Arc;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;
    use vanillapick_model::table::ConfigTable;

    pub(super) fn serialize<S: Serializer>(
        table: &Arc<ConfigTable>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        table.as_ref().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Arc<ConfigTable>, D::Error> {
        ConfigTable::deserialize(deserializer).map(Arc::new)
    }
}

impl ConfigPayload {
    /// Revision that the payload leads to.
    pub fn revision(&self) -> ConfigRevision {
        match self {
            Self::Rows(delta) => delta.to,
            Self::Whole(table) => table.revision,
        }
    }
}

/// A table that this host could not accept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedConfig {
    /// Revision of the table.
    pub revision: ConfigRevision,
    /// What is wrong with it.
    pub findings: Vec<TableFinding>,
}

/// The configuration in force and the deltas that led to it. The revision in force never falls.
#[derive(Clone, Debug, Default)]
pub struct ConfigSpread {
    table: Option<Arc<ConfigTable>>,
    deltas: VecDeque<Arc<ConfigDelta>>,
    refused: Option<RefusedConfig>,
}

impl ConfigSpread {
    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<ConfigTable>> {
        self.table.as_ref()
    }

    /// The revision in force; 0 before the first.
    pub fn revision(&self) -> ConfigRevision {
        self.table.as_ref().map_or(0, |table| table.revision)
    }

    /// The latest table that was refused and is still newer than the one in force.
    pub fn refused(&self) -> Option<&RefusedConfig> {
        self.refused.as_ref()
    }

    /// Revision below which a payload is of no use: the one in force, or a refused one above it.
    pub fn wanted_above(&self) -> ConfigRevision {
        self.refused.as_ref().map_or(0, |refused| refused.revision).max(self.revision())
    }

    /// Accepts a whole table if it is newer than the one in force and has no findings; true when it is now in force.
    pub fn accept(&mut self, table: Arc<ConfigTable>) -> bool {
        if table.revision <= self.wanted_above() {
            return false;
        }
        let delta = self.table.as_ref().map(|before| ConfigDelta::between(before, &table));
        self.install(table, delta)
    }

    /// Accepts what a peer has sent; true when a newer table is now in force. A delta from another revision than the
    /// one in force is ignored, and the next digest asks again.
    pub fn accept_payload(&mut self, payload: &ConfigPayload) -> bool {
        if payload.revision() <= self.wanted_above() {
            return false;
        }
        match payload {
            ConfigPayload::Whole(table) => self.accept(Arc::clone(table)),
            ConfigPayload::Rows(delta) => {
                let Some(before) = self.table.as_ref().filter(|table| table.revision == delta.from)
                else {
                    return false;
                };
                let table = Arc::new(delta.apply_to(before));
                self.install(table, Some(delta.clone()))
            }
        }
    }

    fn install(&mut self, table: Arc<ConfigTable>, delta: Option<ConfigDelta>) -> bool {
        let findings = table.check();
        if !findings.is_empty() {
            self.refused = Some(RefusedConfig { revision: table.revision, findings });
            return false;
        }
        self.refused = None;
        self.deltas.extend(delta.map(Arc::new));
        if KEPT_DELTAS < self.deltas.len() {
            self.deltas.pop_front();
        }
        self.table = Some(table);
        true
    }

    /// What a peer at revision `from` needs; `None` when it has the revision in force or a newer one.
    pub fn payload_since(
        &self,
        from: ConfigRevision,
        wanted_above: ConfigRevision,
    ) -> Option<ConfigPayload> {
        let table = self.table.as_ref().filter(|table| wanted_above < table.revision)?;
        let first = self.deltas.iter().position(|delta| delta.from == from);
        Some(match first {
            Some(first) => {
                let start = (*self.deltas[first]).clone();
                let rest = self.deltas.iter().skip(first + 1);
                ConfigPayload::Rows(rest.fold(start, |delta, next| delta.then(next)))
            }
            None => ConfigPayload::Whole(Arc::clone(table)),
        })
    }
}

/// The first `count` hosts of a domain by rendezvous rank for `role`; every host computes the same from the same
/// members.
pub fn role_holders<'a>(
    role: &str,
    domain: &str,
    hosts: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<HostId> {
    let key = format!("{role}/{domain}");
    rendezvous_order(&key, hosts).into_iter().take(count).map(str::to_owned).collect()
}
