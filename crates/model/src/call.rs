//! Protocol between entry hosts and targets: headers, reply metadata and refusals.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::host::IncarnationNumber;
use crate::snapshot::ShardIndex;
use crate::snapshot::ShardMapId;
use crate::snapshot::SnapshotId;

/// Request id supplied by the caller: 1 to 64 letters, digits, `-` or `_`.
pub type RequestId = String;

/// Zero-based number of an attempt within a request.
pub type AttemptNumber = u32;

/// Header names used in caller requests, target calls and target replies.
pub mod header {
    /// Request id supplied by the caller.
    pub const REQUEST_ID: &str = "vp-request-id";
    /// Zero-based attempt number within the request.
    pub const ATTEMPT: &str = "vp-attempt";
    /// Remaining time until the deadline, in milliseconds.
    pub const DEADLINE_MS: &str = "vp-deadline-ms";
    /// Snapshot requested by a call or used by a reply.
    pub const SNAPSHOT: &str = "vp-snapshot";
    /// Shard requested by a call or used by a reply.
    pub const SHARD: &str = "vp-shard";
    /// Shard map requested by a call or used by a reply.
    pub const SHARD_MAP: &str = "vp-shard-map";
    /// Priority class of the route.
    pub const CLASS: &str = "vp-class";
    /// Comma-separated snapshots held by the target, newest first.
    pub const SNAPSHOTS: &str = "vp-snapshots";
    /// Incarnation number of the target process.
    pub const INCARNATION: &str = "vp-incarnation";
    /// Load reported by the target, from 0 to 1. May be stale or inaccurate.
    pub const LOAD: &str = "vp-load";
    /// `1` during a cold start of the target.
    pub const COLD: &str = "vp-cold";
    /// `1` while the target is draining.
    pub const DRAINING: &str = "vp-draining";
    /// `not_run` in a refusal if the call was provably not executed.
    pub const OUTCOME: &str = "vp-outcome";
    /// Machine-readable cause of a refusal; see [`TargetRefusal`](super::TargetRefusal).
    pub const REASON: &str = "vp-reason";
    /// Delay before a refused call should be retried, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "vp-retry-after-ms";
    /// Key that selects the shard of a read.
    pub const KEY: &str = "vp-key";
    /// Idempotency key; writes with the same key are executed at most once.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}

/// Self-reported state of a target, sent with every reply and by its status endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetMarks {
    /// Increases with every restart of the target.
    pub incarnation: IncarnationNumber,
    /// Shard map served by the target.
    pub shard_map: ShardMapId,
    /// Shard served by the target.
    pub shard: ShardIndex,
    /// Available snapshots, newest first.
    pub snapshots: Vec<SnapshotId>,
    /// Reported load, from 0 to 1. May be stale or inaccurate.
    pub load: f64,
    /// Whether the target is in a cold start.
    pub cold: bool,
    /// Whether the target accepts no new work.
    pub draining: bool,
}

/// Identifies the call that a reply claims to answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplyTag {
    /// Request id echoed by the target.
    pub request_id: RequestId,
    /// Attempt number echoed by the target.
    pub attempt: AttemptNumber,
    /// Shard covered by the reply.
    pub shard: ShardIndex,
    /// Shard map used by the reply.
    pub shard_map: ShardMapId,
    /// Snapshot used to compute the reply.
    pub snapshot: SnapshotId,
}

/// Why a target refused a call without executing it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum TargetRefusal {
    /// The target is shedding load.
    Shed,
    /// The target is in a cold start and over its cold allowance.
    Cold,
    /// The target accepts no new work because it is draining.
    Draining,
    /// The requested snapshot is not available at the target.
    SnapshotMissing,
    /// The target does not serve the shard or the shard map.
    WrongShard,
    /// The deadline had expired on arrival.
    Deadline,
    /// The call was cancelled before execution.
    Cancelled,
}

impl TargetRefusal {
    /// Parses the value of the `vp-reason` header.
    pub fn from_header(value: &str) -> Option<Self> {
        Some(match value {
            "shed" => Self::Shed,
            "cold" => Self::Cold,
            "draining" => Self::Draining,
            "snapshot_missing" => Self::SnapshotMissing,
            "wrong_shard" => Self::WrongShard,
            "deadline" => Self::Deadline,
            "cancelled" => Self::Cancelled,
            _ => return None,
        })
    }
}

/// Maximum deadline that a caller may request.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Maximum size of a caller's request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
