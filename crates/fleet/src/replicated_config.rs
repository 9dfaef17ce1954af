//! Replication of the configuration: the highest revision wins, changed rows are sent as deltas, and a table with
//! findings is never accepted.

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

/// Number of deltas kept for peers with older revisions; more than one hour of edits at 840 a day.
const MAX_DELTAS: usize = 64;

/// Number of hosts per failure domain that watch the store; one more than needed, so that the loss of one delays no
/// change.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Number of hosts per failure domain that exchange summaries with other domains.
pub const DELEGATES_PER_DOMAIN: usize = 2;

/// Changed rows between two revisions; `None` removes a row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// The only revision that the delta can be applied to.
    pub from: ConfigRevision,
    /// Revision after applying the delta.
    pub to: ConfigRevision,
    /// Ids of new edits, to append.
    pub edits: Vec<EditId>,
    /// Changed routes, by name.
    pub routes: BTreeMap<RouteId, Option<RouteRow>>,
    /// Changed pools, by name.
    pub pools: BTreeMap<PoolId, Option<PoolRow>>,
}

impl ConfigDelta {
    /// Delta that leads from `before` to `after`.
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

    /// Returns `before` with the delta applied.
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

    /// Combines this delta with `next`, which starts at the revision where this one ends.
    fn followed_by(mut self, next: &Self) -> Self {
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

/// Configuration as sent to a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigPayload {
    /// Changed rows since the peer's revision.
    Rows(ConfigDelta),
    /// The whole table, if the deltas since the peer's revision are no longer kept.
    Whole(#[serde(with = "counted_table")] Arc<ConfigTable>),
}

/// Serializes a reference-counted table as the table itself.
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
    /// Revision after applying the payload.
    pub fn revision(&self) -> ConfigRevision {
        match self {
            Self::Rows(delta) => delta.to,
            Self::Whole(table) => table.revision,
        }
    }
}

/// A table that failed its checks on this host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedConfig {
    /// Revision of the refused table.
    pub revision: ConfigRevision,
    /// Results of the failed checks; not empty.
    pub findings: Vec<TableFinding>,
}

/// The active configuration and the latest deltas that led to it. The active revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedConfig {
    table: Option<Arc<ConfigTable>>,
    deltas: VecDeque<Arc<ConfigDelta>>,
    refused: Option<RefusedConfig>,
}

impl ReplicatedConfig {
    /// The active configuration.
    pub fn table(&self) -> Option<&Arc<ConfigTable>> {
        self.table.as_ref()
    }

    /// The active revision; 0 if there is none yet.
    pub fn revision(&self) -> ConfigRevision {
        self.table.as_ref().map_or(0, |table| table.revision)
    }

    /// The latest refused table that is newer than the active one.
    pub fn refused(&self) -> Option<&RefusedConfig> {
        self.refused.as_ref()
    }

    /// Only payloads above this revision are useful: the active revision, or that of a newer refused table.
    pub fn wanted_above(&self) -> ConfigRevision {
        self.refused.as_ref().map_or(0, |refused| refused.revision).max(self.revision())
    }

    /// Activates a whole table if it is newer than the active one and has no findings; returns whether it is now
    /// active.
    pub fn accept(&mut self, table: Arc<ConfigTable>) -> bool {
        if table.revision <= self.wanted_above() {
            return false;
        }
        let delta = self.table.as_ref().map(|before| ConfigDelta::between(before, &table));
        self.install(table, delta)
    }

    /// Applies a payload from a peer; returns whether a newer table is now active. A delta that does not start from the
    /// active revision is ignored; the next digest requests the changes again.
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
        if MAX_DELTAS < self.deltas.len() {
            self.deltas.pop_front();
        }
        self.table = Some(table);
        true
    }

    /// Payload for a peer at revision `from`; `None` if the peer has the active revision or a newer one.
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
                ConfigPayload::Rows(rest.fold(start, |delta, next| delta.followed_by(next)))
            }
            None => ConfigPayload::Whole(Arc::clone(table)),
        })
    }
}

/// The `count` highest-ranked hosts of a domain for `role`, by rendezvous hashing; all hosts with the same members
/// compute the same result.
pub fn role_holders<'a>(
    role: &str,
    domain: &str,
    hosts: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<HostId> {
    let key = format!("{role}/{domain}");
    rendezvous_order(&key, hosts).into_iter().take(count).map(str::to_owned).collect()
}
