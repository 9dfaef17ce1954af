//! Identifiers of index snapshots, shard maps and shards.

use serde::Deserialize;
use serde::Serialize;

/// Zero-based index of a shard.
pub type ShardIndex = u32;

/// Version number of a shard map; increases with every repartition.
pub type ShardMapId = u64;

/// Version number of an index snapshot; increases with every index build.
pub type SnapshotId = u64;

/// Shard map and snapshot that a request is pinned to, so that all replies are consistent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SnapshotPin {
    /// Shard map that all replies must use.
    pub shard_map: ShardMapId,
    /// Snapshot that all replies must use.
    pub snapshot: SnapshotId,
}
