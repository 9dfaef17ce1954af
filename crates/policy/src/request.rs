//! Validated caller requests.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::call::RequestId;
use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_model::pool::PoolId;
use vanillapick_model::route::RouteId;

/// Validated search request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SearchRequest {
    pub request_id: RequestId,
    pub route: RouteId,
    /// Overrides the pool of the route, for requests sent to the new version of a move.
    #[serde(default)]
    pub pool: Option<PoolId>,
    /// Monotonic time by which the caller expects an answer.
    pub deadline: Duration,
    /// Hash of route and body, used for crash marks.
    #[serde(default)]
    pub fingerprint: RequestFingerprint,
    /// Whether the request failed at the new version of a move and is rerun. Its attempts then count as retries.
    #[serde(default)]
    pub rerun: bool,
}

/// Validated read request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadRequest {
    pub request_id: RequestId,
    pub route: RouteId,
    /// Overrides the pool of the route, for requests sent to the new version of a move.
    #[serde(default)]
    pub pool: Option<PoolId>,
    /// Key that selects the shard; optional for an unsharded pool.
    #[serde(default)]
    pub key: Option<Bytes>,
    /// Monotonic time by which the caller expects an answer.
    pub deadline: Duration,
    /// Hash of route and body, used for crash marks.
    #[serde(default)]
    pub fingerprint: RequestFingerprint,
    /// Whether the request failed at the new version of a move and is rerun. Its attempts then count as retries.
    #[serde(default)]
    pub rerun: bool,
}

/// Validated write request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteRequest {
    pub request_id: RequestId,
    pub route: RouteId,
    /// Overrides the pool of the route, for requests sent to the new version of a move.
    #[serde(default)]
    pub pool: Option<PoolId>,
    /// Key that selects the shard; optional for an unsharded pool.
    #[serde(default)]
    pub key: Option<Bytes>,
    /// Monotonic time by which the caller expects an answer.
    pub deadline: Duration,
    /// Hash of route and body, used for crash marks.
    #[serde(default)]
    pub fingerprint: RequestFingerprint,
    /// Idempotency key; writes with the same key are executed at most once.
    #[serde(default)]
    pub idempotency_key: Option<String>,
}

/// Validated request of any kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionRequest {
    Search(SearchRequest),
    Read(ReadRequest),
    Write(WriteRequest),
}

impl SessionRequest {
    /// Hash of route and body, used for crash marks.
    pub fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Search(request) => request.fingerprint,
            Self::Read(request) => request.fingerprint,
            Self::Write(request) => request.fingerprint,
        }
    }

    /// Returns the id supplied by the caller.
    pub fn request_id(&self) -> &str {
        match self {
            Self::Search(request) => &request.request_id,
            Self::Read(request) => &request.request_id,
            Self::Write(request) => &request.request_id,
        }
    }
}
