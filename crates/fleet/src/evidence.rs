//! Request counters of moves between versions. Each counter only increases.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::route::MoveId;
use vanillapick_model::route::RouteId;

/// Width of a time bucket in measurements of the exchange, in milliseconds of wall time.
pub const MEASUREMENT_BUCKET_MS: u64 = 60_000;

/// Number of buckets kept per route, move and version; every host removes the same older ones.
pub const MAX_BUCKETS: usize = 64;

/// Which pool of a move a request was sent to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveVersion {
    /// The pool that traffic moves away from.
    Old,
    /// The pool that traffic moves to.
    New,
}

/// Identifies a set of counters.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EvidenceKey {
    /// Route on which the move runs.
    pub route: RouteId,
    /// Move whose requests are counted.
    pub move_id: MoveId,
    /// Which of the move's pools the requests were sent to.
    pub version: MoveVersion,
    /// Number of the time bucket, increasing with time; each move has its own bucket width. The highest possible number
    /// holds the totals of the move, since only the newest buckets are kept.
    pub bucket: u64,
}

/// Request counts of one key. Each counter only increases.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceCounters {
    /// Requests that finished.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Requests slower than the 95th percentile of the old pool.
    pub slow: u64,
}

impl EvidenceCounters {
    /// Adds the counts of other requests.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.slow += other.slow;
    }

    /// Keeps the greater value of each counter, to combine two counts of the same requests.
    pub fn merge(&mut self, other: Self) {
        self.requests = self.requests.max(other.requests);
        self.failures = self.failures.max(other.failures);
        self.slow = self.slow.max(other.slow);
    }
}

/// Request counters of one or more moves, sorted by key.
pub type EvidenceTable = BTreeMap<EvidenceKey, EvidenceCounters>;
