//! What sessions and their driver exchange: orders for attempts, their events, and the outcome.

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

/// Why an attempt is retried; one counter each.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The target refused and proved that it did not run the call.
    Refused,
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection was lost after the call may have been sent.
    Lost,
    /// The reply could not be used.
    BadReply,
    /// The snapshot was missing and the search was pinned anew.
    Repinned,
    /// The new version of a move failed and the request runs again at the old one.
    OldVersion,
}

/// What an attempt is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptPurpose {
    /// The first attempt for its shard.
    First,
    /// A second attempt while the first still runs.
    Hedge,
    /// A further attempt after one has ended without a usable reply.
    Retry(RetryReason),
}

/// One call that the driver has to make.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptSpec {
    /// Unique in the session, from 0.
    pub number: AttemptNumber,
    /// Kind of the call.
    pub kind: RouteKind,
    /// The target to call; known to the serving view the session was started with.
    pub target: TargetId,
    /// Shard asked for.
    pub shard: ShardIndex,
    /// Snapshot and shard map asked for.
    pub pin: SnapshotPin,
    /// Decision time by which the attempt must have ended.
    pub deadline: Duration,
    /// What the attempt is for.
    pub purpose: AttemptPurpose,
}

/// How an attempt ended. Each order is followed by exactly one event, also after the session has finished.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptEvent {
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// How it ended.
    pub result: AttemptResult,
}

/// How an attempt ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// A whole reply with all headers.
    Reply {
        /// What the reply says it answers; checked against the order.
        tag: ReplyTag,
        /// What the target says about itself.
        marks: TargetMarks,
        /// Body of the reply.
        body: Bytes,
    },
    /// The target proved that it did not run the call.
    Refused {
        /// Reason of the refusal.
        reason: TargetRefusal,
        /// What the target says about itself, where the refusal carries it.
        marks: Option<TargetMarks>,
        /// Time after which the target takes the call again.
        retry_after: Option<Duration>,
    },
    /// No connection could be opened, so the call was not run.
    NotSent,
    /// The connection ended after the call may have been sent.
    Lost,
    /// The reply was truncated, was not HTTP, or lacked a header.
    Malformed,
    /// The deadline of the attempt came first.
    TimedOut,
}

/// What the driver of a session has to do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionAction {
    /// Make a call.
    Send(AttemptSpec),
    /// Ask the target to cancel an attempt; its event still follows.
    Cancel(AttemptNumber),
    /// Claim the idempotency key in the platform's service before anything is sent; writes only.
    Claim,
    /// Settle the claim; writes only.
    Settle(ClaimSettlement),
    /// Answer the caller; happens exactly once.
    Finish(SessionOutcome),
}

/// How a claim is settled after a write has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimSettlement {
    /// The write ran; a resend receives the same reply.
    Ran(Bytes),
    /// The write is proven not run; the key is free again.
    Released,
    /// The outcome is not known; the key stays claimed until its lease ends.
    Unknown,
}

/// What the platform's service said to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// This session holds the key.
    Held,
    /// An earlier write with the key ran and replied this.
    AlreadyRan(Bytes),
    /// An earlier write holds the key and has no known outcome.
    InProgress,
    /// The service did not answer in time, and reading back did not settle it either.
    Unavailable,
}

/// A usable reply to a read or a write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetReply {
    /// Snapshot and shard map the reply was computed from.
    pub pin: SnapshotPin,
    /// Shard that replied.
    pub shard: ShardIndex,
    /// Body of the reply.
    pub body: Bytes,
}

/// What the caller receives.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionOutcome {
    /// Answer to a search.
    Answer(SearchAnswer),
    /// Reply to a read or a write.
    Reply(TargetReply),
    /// The request was refused.
    Refused(RefusalBody),
}
