//! Route configuration, which maps requests to pools.

use serde::Deserialize;
use serde::Serialize;

use crate::contract::RouteContract;
use crate::pool::PoolId;

/// Unique name of a route; part of the request path.
pub type RouteId = String;

/// Unique name of a move between versions; never reused.
pub type MoveId = String;

/// Kind of requests that a route accepts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Read-only request to all shards.
    Search,
    /// Read-only request to one replica of the shard selected by a key, or of an unsharded pool.
    Read,
    /// Non-idempotent request to one replica.
    Write,
}

/// Progress of a move between versions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum MoveState {
    /// Traffic is being shifted to the new pool.
    #[default]
    Running,
    /// All traffic goes to the new pool.
    Done,
    /// The move was rolled back; all traffic goes to the old pool.
    TakenBack {
        /// Evidence that triggered the rollback, or the reason given by the operator.
        reason: String,
    },
}

/// Gradual shift of a route's traffic to another pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveRow {
    /// Unique name; never reused.
    pub id: MoveId,
    /// Destination pool; different from the route's pool.
    pub to: PoolId,
    /// Start time, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Time at which all traffic goes to the new pool, in milliseconds since the Unix epoch; after `start_ms`.
    pub finish_by_ms: u64,
    /// Current progress. Never returns to `Running`; `Done` can only change to `TakenBack`.
    #[serde(default)]
    pub progress: MoveState,
}

/// Configuration of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteRow {
    /// Unique in the table.
    pub name: RouteId,
    /// Kind of requests that the route accepts.
    pub kind: RouteKind,
    /// Name of a configured pool.
    pub pool: PoolId,
    /// Service-level settings for callers.
    pub contract: RouteContract,
    /// The running move, or the last completed one.
    #[serde(default, rename = "move", skip_serializing_if = "Option::is_none")]
    pub version_move: Option<MoveRow>,
}
