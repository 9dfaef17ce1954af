//! Messages exchanged between a session and its driver: actions, attempt events and the final outcome.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::SearchAnswer;
use vanillapick_model::call::AttemptNumber;
use vanillapick_model::call::ReplyTag;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::SnapshotPin;
use vanillapick_model::target::TargetId;

/// Why an attempt is a retry. Each reason has its own counter.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The target refused the previous call and proved that it did not execute it.
    Refused,
    /// No connection could be opened, so the previous call was not sent.
    NotSent,
    /// The connection was lost after the previous call may have been sent.
    Lost,
    /// The previous reply was malformed or belonged to another call.
    BadReply,
    /// The snapshot was missing, so the request was pinned to another one.
    Repinned,
    /// The new version of a move failed, so the request is rerun at the old version.
    OldVersion,
}

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptPurpose {
    /// First attempt for a shard.
    First,
    /// Additional attempt while the first one is still running.
    Hedge,
    /// Attempt after a previous one ended without a usable reply.
    Retry(RetryReason),
}

/// Call that the driver has to make.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptSpec {
    /// Zero-based, unique within the session.
    pub number: AttemptNumber,
    /// Whether the call is a search, read or write.
    pub kind: RouteKind,
    /// Target to call; part of the serving view that the session was started with.
    pub target: TargetId,
    /// Requested shard.
    pub shard: ShardIndex,
    /// Requested snapshot and shard map.
    pub pin: SnapshotPin,
    /// Monotonic time by which the attempt must have ended.
    pub deadline: Duration,
    /// Whether this is a first attempt, a hedge or a retry.
    pub purpose: AttemptPurpose,
}

/// Completion of an attempt. Each `Send` is followed by exactly one event, even after the session has finished.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptEvent {
    /// Matches [`AttemptSpec::number`].
    pub number: AttemptNumber,
    /// Reply, refusal or failure.
    pub result: AttemptResult,
}

/// How a call to a target ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// Complete reply with all required headers.
    Reply {
        /// Call that the reply claims to answer; checked against the attempt.
        tag: ReplyTag,
        /// Self-reported state of the target.
        marks: TargetMarks,
        /// Unparsed reply body.
        body: Bytes,
    },
    /// The target proved that it did not execute the call.
    Refused {
        /// Cause reported by the target.
        reason: TargetRefusal,
        /// Self-reported state of the target, if the refusal includes it.
        marks: Option<TargetMarks>,
        /// Delay after which the target accepts the call again.
        retry_after: Option<Duration>,
    },
    /// No connection could be opened, so the call was not executed.
    NotSent,
    /// The connection was lost after the call may have been sent.
    Lost,
    /// The reply was truncated, was not valid HTTP, or lacked a required header.
    Malformed,
    /// The deadline of the attempt expired.
    TimedOut,
}

/// Action that the driver has to perform for a session.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionAction {
    /// Call a target.
    Send(AttemptSpec),
    /// Ask the target to cancel an attempt; the attempt's event is still required.
    Cancel(AttemptNumber),
    /// Claim the idempotency key in the platform's key-value service before any attempt is sent; writes only.
    Claim,
    /// Record the outcome of the claimed write; writes only.
    Settle(ClaimSettlement),
    /// Answer the caller; issued exactly once.
    Finish(SessionOutcome),
}

/// Outcome to record for a claimed idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimSettlement {
    /// The write was executed; resent requests receive the same reply.
    Ran(Bytes),
    /// The write was provably not executed; the key can be claimed again.
    Released,
    /// The outcome is unknown; the key stays claimed until its lease expires.
    Unknown,
}

/// Result of claiming an idempotency key in the platform's key-value service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// This session owns the claim.
    Held,
    /// An earlier write with this key was executed; contains its reply.
    AlreadyRan(Bytes),
    /// An earlier write owns the claim, and its outcome is not known yet.
    InProgress,
    /// The service did not respond in time, and the state of the claim could not be read back.
    Unavailable,
}

/// Usable reply to a read or write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetReply {
    /// Snapshot and shard map used to compute the reply.
    pub pin: SnapshotPin,
    /// Shard that sent the reply.
    pub shard: ShardIndex,
    /// Unmodified body from the target.
    pub body: Bytes,
}

/// Final outcome returned to the caller.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionOutcome {
    /// Full or partial answer to a search.
    Answer(SearchAnswer),
    /// Reply to a read or a write.
    Reply(TargetReply),
    /// The request was refused.
    Refused(RefusalBody),
}
