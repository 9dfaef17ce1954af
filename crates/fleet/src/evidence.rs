//! Evidence on moves between versions: counters that only grow.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::route::MoveId;
use vanillapick_model::route::RouteId;

/// Width of a time bucket in measurements of the exchange, milliseconds of wall time.
pub const MEASUREMENT_BUCKET_MS: u64 = 60_000;

/// Buckets kept per route, move and version; the older ones are dropped by every host alike.
pub const MAX_BUCKETS: usize = 64;

/// Which side of a move a request ran on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveVersion {
    /// The pool that the move leaves.
    Old,
    /// The pool that the move leads to.
    New,
}

/// What a set of counters is about.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EvidenceKey {
    /// Route of the move.
    pub route: RouteId,
    /// The move.
    pub move_id: MoveId,
    /// Side of the move.
    pub version: MoveVersion,
    /// Number of the time bucket; it grows with time, and its width is the move's own. The highest number counts the whole
    /// move, because the newest buckets are kept.
    pub bucket: u64,
}

/// Counted requests of one key; each counter only grows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceCounters {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Requests slower than the old pool's 95th percentile.
    pub slow: u64,
}

impl EvidenceCounters {
    /// Adds counts of other requests.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.slow += other.slow;
    }

    /// Takes the greater of each counter, for two views of the same requests.
    pub fn merge(&mut self, other: Self) {
        self.requests = self.requests.max(other.requests);
        self.failures = self.failures.max(other.failures);
        self.slow = self.slow.max(other.slow);
    }
}

/// Counters by key.
pub type EvidenceTable = BTreeMap<EvidenceKey, EvidenceCounters>;
