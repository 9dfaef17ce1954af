//! Target configuration; targets are the back ends that host shard replicas.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::failure_domain::DomainId;
use crate::snapshot::ShardIndex;
use crate::snapshot::ShardMapId;

/// Name of a target, unique across all pools.
pub type TargetId = String;

/// Target of a pool, hosting a replica of one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Unique across all pools.
    pub id: TargetId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Failure domain that the target is placed in.
    pub domain: DomainId,
    /// Shard map that `shard` refers to.
    pub shard_map: ShardMapId,
    /// Less than the number of shards in the shard map.
    pub shard: ShardIndex,
    /// Whether the target is being removed and accepts no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}
