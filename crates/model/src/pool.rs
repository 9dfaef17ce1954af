//! Pool configuration: shard maps, targets and capacity limits.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::contract::TargetContract;
use crate::failure_domain::DomainId;
use crate::failure_domain::DomainState;
use crate::snapshot::ShardIndex;
use crate::snapshot::ShardMapId;
use crate::target::TargetEntry;

/// Unique name of a pool.
pub type PoolId = String;

/// Partitioning of a service's data into shards.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardMapRow {
    /// Incremented with every repartition.
    pub id: ShardMapId,
    /// Number of shards. An unsharded service has 1 shard, and all its targets are replicas of shard 0.
    pub shards: ShardIndex,
}

/// Configuration of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolRow {
    /// Unique in the table.
    pub name: PoolId,
    /// Capacity of each target in the pool.
    pub contract: TargetContract,
    /// Active shard maps with unique ids: one, or two during a repartition.
    pub shard_maps: Vec<ShardMapRow>,
    /// Targets for all shard maps.
    pub targets: Vec<TargetEntry>,
    /// Failure domains that are out or returning. Domains not listed are serving.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub domains: BTreeMap<DomainId, DomainState>,
}

impl PoolRow {
    /// Returns the serving state of `domain` in this pool.
    pub fn domain_state(&self, domain: &str) -> DomainState {
        self.domains.get(domain).copied().unwrap_or_default()
    }
}
