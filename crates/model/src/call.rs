//! Calls from an entry host to a target: headers, marks and refusals.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::host::IncarnationNumber;
use crate::snapshot::ShardIndex;
use crate::snapshot::ShardMapId;
use crate::snapshot::SnapshotId;

/// Id of a request, given by the caller: 1 to 64 of letters, digits, `-` and `_`.
pub type RequestId = String;

/// Number of an attempt within a request, from 0.
pub type AttemptNumber = u32;

/// Names of the headers of caller requests, target calls and target replies.
pub mod header {
    /// Id of the request.
    pub const REQUEST_ID: &str = "vp-request-id";
    /// Number of the attempt within the request.
    pub const ATTEMPT: &str = "vp-attempt";
    /// What is left of the deadline, in milliseconds.
    pub const DEADLINE_MS: &str = "vp-deadline-ms";
    /// Snapshot that is asked for or was used.
    pub const SNAPSHOT: &str = "vp-snapshot";
    /// Shard that is asked for or was used.
    pub const SHARD: &str = "vp-shard";
    /// Shard map that is asked for or was used.
    pub const SHARD_MAP: &str = "vp-shard-map";
    /// Priority class of the route.
    pub const CLASS: &str = "vp-class";
    /// Snapshots that the target holds, newest first, comma separated.
    pub const SNAPSHOTS: &str = "vp-snapshots";
    /// Incarnation of the target's process.
    pub const INCARNATION: &str = "vp-incarnation";
    /// Load as the target reports it, from 0 to 1; may lag or mislead.
    pub const LOAD: &str = "vp-load";
    /// `1` while the target is in a cold start.
    pub const COLD: &str = "vp-cold";
    /// `1` while the target drains.
    pub const DRAINING: &str = "vp-draining";
    /// `not_run` with a refusal that proves the request was not run.
    pub const OUTCOME: &str = "vp-outcome";
    /// Reason of a refusal.
    pub const REASON: &str = "vp-reason";
    /// Time after which a refused request may be sent again, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "vp-retry-after-ms";
    /// Key that selects the shard of a read.
    pub const KEY: &str = "vp-key";
    /// Key under which a write runs at most once.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
}

/// What a target says about itself with every reply and at its status endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetMarks {
    /// Grows with every start of the target.
    pub incarnation: IncarnationNumber,
    /// Shard map the target serves.
    pub shard_map: ShardMapId,
    /// Shard the target serves.
    pub shard: ShardIndex,
    /// Held snapshots, newest first.
    pub snapshots: Vec<SnapshotId>,
    /// Reported load, from 0 to 1; may lag or mislead.
    pub load: f64,
    /// In a cold start.
    pub cold: bool,
    /// Takes no new work.
    pub draining: bool,
}

/// Which call a reply answers, as the reply itself says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplyTag {
    /// Request id that the target was given.
    pub request_id: RequestId,
    /// Attempt number that the target was given.
    pub attempt: AttemptNumber,
    /// Shard the reply covers.
    pub shard: ShardIndex,
    /// Shard map the reply is cut by.
    pub shard_map: ShardMapId,
    /// Snapshot the reply was computed from.
    pub snapshot: SnapshotId,
}

/// Why a target refused a call without running it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum TargetRefusal {
    /// The target sheds load.
    Shed,
    /// The target is cold and over its allowance.
    Cold,
    /// The target drains.
    Draining,
    /// The target does not hold the snapshot.
    SnapshotMissing,
    /// The target does not serve the shard or the shard map.
    WrongShard,
    /// The deadline had passed on arrival.
    Deadline,
    /// The call was cancelled before it ran.
    Cancelled,
}

impl TargetRefusal {
    /// Reads the value of the `vp-reason` header.
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

/// Longest deadline a caller may ask for.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Longest body of a caller's request, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
