//! Evidence on a move between versions: counters of each host, merged by maximum.
//!
//! Counters only grow, so the larger of two copies of a counter is the newer one, and merging is commutative,
//! associative and idempotent. Counters are kept per time bucket, so that recent requests can be distinguished from old
//! ones without ever decreasing a counter.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::host::IncarnationNumber;

/// Number of newest buckets kept for each host. With 200 buckets per move, they cover about a third of its time.
pub const KEPT_BUCKETS: u64 = 64;

/// Host and incarnation of the process that keeps a counter. A restarted process counts from 0, so its counters must
/// not be merged with those of the previous process.
pub type EvidenceSource = String;

/// Identifies a host process as the source of evidence.
pub fn evidence_source(host: &str, incarnation: IncarnationNumber) -> EvidenceSource {
    format!("{host}/{incarnation}")
}

/// Version that served a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveVersion {
    /// Version of the pool that traffic moves away from.
    Old,
    /// Version of the pool that traffic moves to.
    New,
}

/// Result of a request at one version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionResult {
    /// Served within the old pool's 95th percentile.
    Served,
    /// Served, but slower than the old pool's 95th percentile.
    Slow,
    /// Not served for a reason attributed to the version, that is, neither shed nor cancelled nor refused as `not_run`.
    Failed,
}

impl VersionResult {
    /// Classifies a request that was served after `latency`. `old_latency` is the 95th percentile of the old pool;
    /// while it is unknown, no request counts as slow.
    pub fn from_latency(latency: Duration, old_latency: Option<Duration>) -> Self {
        if old_latency.is_some_and(|old| latency > old) { Self::Slow } else { Self::Served }
    }
}

/// Counters of requests at one version, which only grow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionCounts {
    /// All finished requests.
    pub requests: u64,
    /// Requests with the result [`VersionResult::Failed`].
    pub failures: u64,
    /// Requests with the result [`VersionResult::Slow`].
    pub slow: u64,
}

impl VersionCounts {
    fn record(&mut self, result: VersionResult) {
        self.requests += 1;
        self.failures += u64::from(result == VersionResult::Failed);
        self.slow += u64::from(result == VersionResult::Slow);
    }

    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.failures = self.failures.saturating_add(other.failures);
        self.slow = self.slow.saturating_add(other.slow);
    }

    fn merge(&mut self, other: &Self) {
        self.requests = self.requests.max(other.requests);
        self.failures = self.failures.max(other.failures);
        self.slow = self.slow.max(other.slow);
    }
}

/// Counters of requests at both versions of a move.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PairCounts {
    pub old: VersionCounts,
    pub new: VersionCounts,
}

impl PairCounts {
    /// Adds the counters of another host or bucket.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    fn record(&mut self, version: MoveVersion, result: VersionResult) {
        match version {
            MoveVersion::Old => self.old.record(result),
            MoveVersion::New => self.new.record(result),
        }
    }

    fn merge(&mut self, other: &Self) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }
}

/// Counters of one host process for one move.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEvidence {
    /// Counters since the process first saw the move.
    pub total: PairCounts,
    /// Counters by number of the time bucket, for the newest [`KEPT_BUCKETS`].
    pub recent: BTreeMap<u64, PairCounts>,
}

impl HostEvidence {
    /// Merges another copy by taking the maximum of each counter.
    pub fn merge(&mut self, other: &Self) {
        self.total.merge(&other.total);
        for (bucket, counts) in &other.recent {
            self.recent.entry(*bucket).or_default().merge(counts);
        }
        self.prune();
    }

    fn prune(&mut self) {
        let last = self.recent.last_key_value().map_or(0, |(bucket, _)| *bucket);
        let first = (last + 1).saturating_sub(KEPT_BUCKETS);
        if self.recent.first_key_value().is_some_and(|(bucket, _)| *bucket < first) {
            self.recent = self.recent.split_off(&first);
        }
    }
}

/// Evidence of all hosts on one move of one route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveEvidence {
    /// Counters by the host process that keeps them.
    pub hosts: BTreeMap<EvidenceSource, HostEvidence>,
    /// Reason for taking the move back, set once any host has decided so and never cleared. Without it, the decision
    /// would be reversed when the window that caused it is no longer kept.
    pub taken_back: Option<String>,
}

impl MoveEvidence {
    /// Counts a request of the host process `source` in `bucket`; see [`crate::version_move::bucket_at`].
    pub fn record(
        &mut self,
        source: &str,
        bucket: u64,
        version: MoveVersion,
        result: VersionResult,
    ) {
        if !self.hosts.contains_key(source) {
            self.hosts.insert(source.to_owned(), HostEvidence::default());
        }
        let Some(host) = self.hosts.get_mut(source) else { return };
        host.total.record(version, result);
        host.recent.entry(bucket).or_default().record(version, result);
        host.prune();
    }

    /// Records that the move is taken back. Of several reasons the alphabetically first is kept, so that the result
    /// does not depend on their order.
    pub fn take_back(&mut self, reason: &str) {
        let is_less = self.taken_back.as_deref().is_none_or(|known| reason < known);
        if is_less {
            self.taken_back = Some(reason.to_owned());
        }
    }

    /// Merges the evidence received from another host.
    pub fn merge(&mut self, other: &Self) {
        for (source, evidence) in &other.hosts {
            self.hosts.entry(source.clone()).or_default().merge(evidence);
        }
        if let Some(reason) = &other.taken_back {
            self.take_back(reason);
        }
    }

    /// Sum of the counters of all hosts since the start of the move.
    pub fn total(&self) -> PairCounts {
        let mut sum = PairCounts::default();
        self.hosts.values().for_each(|host| sum.add(&host.total));
        sum
    }

    /// Sums of the counters of all hosts by bucket. Buckets that only hosts with older counters still keep are left
    /// out, so that a window has the same bounds for all hosts.
    pub fn recent(&self) -> BTreeMap<u64, PairCounts> {
        let mut sums: BTreeMap<u64, PairCounts> = BTreeMap::new();
        for (bucket, counts) in self.hosts.values().flat_map(|host| &host.recent) {
            sums.entry(*bucket).or_default().add(counts);
        }
        let last = sums.last_key_value().map_or(0, |(bucket, _)| *bucket);
        sums.split_off(&(last + 1).saturating_sub(KEPT_BUCKETS))
    }
}
