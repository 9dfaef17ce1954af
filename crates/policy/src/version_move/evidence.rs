//! Evidence on a move between versions: counters of each host, merged by maximum.
//!
//! Counters only grow, so the maximum of two copies of a counter is the newer one, and merging is commutative,
//! associative and idempotent. Counters stand in fixed time buckets, so that recent requests can be told from old ones
//! without ever lowering a counter.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::host::IncarnationNumber;

/// Buckets kept of each host, counted from the newest. At 200 buckets a move they cover a third of it.
pub const KEPT_BUCKETS: u64 = 64;

/// Host and incarnation that counted. A restarted host counts from 0 and must not be merged with its earlier self.
pub type EvidenceSource = String;

/// Source of the evidence of one host process.
pub fn evidence_source(host: &str, incarnation: IncarnationNumber) -> EvidenceSource {
    format!("{host}/{incarnation}")
}

/// Version that served a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveVersion {
    /// The pool that the move leaves.
    Old,
    /// The pool that the move goes to.
    New,
}

/// How a request ended at a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionResult {
    /// Served within the old pool's 95th percentile.
    Served,
    /// Served, but slower than the old pool's 95th percentile.
    Slow,
    /// Not served, for a reason that lies with the version: not shed, cancelled or refused as `not_run`.
    Failed,
}

impl VersionResult {
    /// Result of a request that was served after `latency`, against the old pool's 95th percentile. Until that is known
    /// nothing counts as slow.
    pub fn from_latency(latency: Duration, old_latency: Option<Duration>) -> Self {
        if old_latency.is_some_and(|old| latency > old) { Self::Slow } else { Self::Served }
    }
}

/// Requests at one version; all counters only grow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionCounts {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Requests that were served slowly; none of them failed.
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

/// Requests at both versions.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PairCounts {
    /// Requests at the old version.
    pub old: VersionCounts,
    /// Requests at the new version.
    pub new: VersionCounts,
}

impl PairCounts {
    /// Adds the counts of another host or bucket.
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

/// What one host has counted for one move.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEvidence {
    /// Since the host process first saw the move.
    pub total: PairCounts,
    /// By number of the time bucket; the newest [`KEPT_BUCKETS`].
    pub recent: BTreeMap<u64, PairCounts>,
}

impl HostEvidence {
    /// Takes the maximum of each counter.
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

/// Evidence on one move of one route, of all hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveEvidence {
    /// Counters by the host process that keeps them.
    pub hosts: BTreeMap<EvidenceSource, HostEvidence>,
    /// Set once a host has decided to take the move back; never cleared. Windows move on, so the decision would not
    /// outlast the evidence without it.
    pub taken_back: Option<String>,
}

impl MoveEvidence {
    /// Counts a request of the host process `source` in `bucket`, see [`crate::version_move::bucket_at`].
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

    /// Flags the move as taken back. Of several reasons the least by text stays, whatever the order they come in.
    pub fn take_back(&mut self, reason: &str) {
        let is_less = self.taken_back.as_deref().is_none_or(|known| reason < known);
        if is_less {
            self.taken_back = Some(reason.to_owned());
        }
    }

    /// Merges what another host knows.
    pub fn merge(&mut self, other: &Self) {
        for (source, evidence) in &other.hosts {
            self.hosts.entry(source.clone()).or_default().merge(evidence);
        }
        if let Some(reason) = &other.taken_back {
            self.take_back(reason);
        }
    }

    /// Counts since the start of the move, over all hosts.
    pub fn total(&self) -> PairCounts {
        let mut sum = PairCounts::default();
        self.hosts.values().for_each(|host| sum.add(&host.total));
        sum
    }

    /// Counts by bucket, over all hosts. Buckets that a slower host still keeps but the newest host does not are left
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
