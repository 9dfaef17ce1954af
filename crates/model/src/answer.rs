//! Answer and refusal bodies returned to callers.

use std::cmp::Ordering;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::call::RequestId;
use crate::route::RouteId;
use crate::snapshot::ShardIndex;
use crate::snapshot::ShardMapId;
use crate::snapshot::SnapshotId;

/// A matching document with its score.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SearchHit {
    /// Id of the document, unique over the shards.
    pub id: String,
    /// Relevance; higher is better. Always finite.
    pub score: f64,
    /// Additional JSON returned by the target, forwarded unmodified.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fields: Option<Box<RawValue>>,
}

impl SearchHit {
    /// Ordering of hits in an answer: descending score, then id.
    pub fn rank_order(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then_with(|| self.id.cmp(&other.id))
    }
}

/// JSON body of a target's reply to a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HitList {
    /// Hits found in one shard.
    pub hits: Vec<SearchHit>,
}

/// Why a shard is missing from an answer.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No usable replica was available.
    NoReplica,
    /// No replica held the requested snapshot.
    SnapshotMissing,
    /// The deadline expired before a usable reply arrived.
    Deadline,
    /// All replicas refused the call.
    Refused,
    /// The connections to the replicas were lost.
    Lost,
    /// All replies were malformed or belonged to other calls.
    BadReply,
    /// Further attempts were blocked because the request crashes targets.
    CrashingRequest,
    /// Abandoned because the shard was much slower than usual and the route prefers latency over coverage.
    GivenUp,
}

/// A shard that is not covered by an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MissingShard {
    pub shard: ShardIndex,
    /// Why the shard is not covered.
    pub reason: MissingReason,
}

/// How much of the data an answer covers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CoverageReport {
    /// Number of shards whose replies are included in the answer.
    pub answered: u32,
    /// Number of shards in the shard map.
    pub total: u32,
    /// `answered / total`.
    pub fraction: f64,
    /// Shards that are not included; `answered + missing.len() == total`.
    pub missing: Vec<MissingShard>,
}

impl CoverageReport {
    /// Creates a report for `total` shards, of which `missing` are not covered.
    pub fn new(total: u32, missing: Vec<MissingShard>) -> Self {
        let answered = total.saturating_sub(u32::try_from(missing.len()).unwrap_or(total));
        let fraction = if total == 0 { 0.0 } else { f64::from(answered) / f64::from(total) };
        Self { answered, total, fraction, missing }
    }

    /// Returns whether every shard is covered.
    pub fn is_full(&self) -> bool {
        self.missing.is_empty()
    }
}

/// JSON body returned to the caller of a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SearchAnswer {
    /// Request id supplied by the caller.
    pub request_id: RequestId,
    /// Route that the request was sent to.
    pub route: RouteId,
    /// Index snapshot used by all merged replies.
    pub snapshot: SnapshotId,
    /// Shard map used by all merged replies.
    pub shard_map: ShardMapId,
    /// Shards that the hits were collected from.
    pub coverage: CoverageReport,
    /// Highest-scoring hits, limited to the merge size of the route.
    pub hits: Vec<SearchHit>,
}

/// Stable machine-readable code of a refusal.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The configuration has no route with this name.
    UnknownRoute,
    /// The route accepts a different kind of request.
    WrongKind,
    /// The body is longer than 64 KiB.
    BodyTooLarge,
    /// The deadline header is missing.
    DeadlineMissing,
    /// The deadline is not a whole number of milliseconds from 1 to 60000.
    DeadlineInvalid,
    /// The deadline cannot be met under the current load.
    DeadlineUnmeetable,
    /// The request id is missing or malformed.
    RequestIdInvalid,
    /// The idempotency key is malformed.
    IdempotencyKeyInvalid,
    /// A header occurs more than once.
    HeaderDuplicated,
    /// The admission queue is full.
    Overloaded,
    /// The deadline expired while the request was queued.
    QueueTimeout,
    /// Coverage is below the minimum required by the route.
    CoverageTooLow,
    /// No usable replica is available.
    NoReplica,
    /// The request crashes targets.
    CrashingRequest,
    /// The idempotency key could not be claimed because the platform's key-value service did not respond.
    ClaimUnavailable,
    /// Another request with the same idempotency key is still running, or its outcome is unknown.
    ClaimInProgress,
    /// The write was sent, but its outcome is unknown.
    OutcomeUnknown,
    /// The request was cancelled by the caller.
    Cancelled,
    /// The host has not received a configuration yet.
    NotReady,
    /// The host is shutting down.
    Stopping,
    /// The deadline expired before an answer was available.
    DeadlineExceeded,
    /// The target's reply was malformed or belonged to another call.
    BadReply,
}

/// Whether a refused request was executed by a target.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request was provably not executed, so sending it again is safe.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

/// JSON body returned to the caller when a request is refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalBody {
    /// Machine-readable cause.
    pub code: RefusalCode,
    /// Human-readable explanation in one sentence.
    pub message: String,
    /// Whether the request was executed.
    pub outcome: RunOutcome,
    /// Delay before the caller should retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl RefusalBody {
    /// Creates a refusal of a request that was not executed.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), outcome: RunOutcome::NotRun, retry_after_ms: None }
    }

    /// Creates a refusal of a request that may have been executed.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), outcome: RunOutcome::Unknown, retry_after_ms: None }
    }

    /// Sets the delay before the caller should retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        self
    }
}
