//! One attempt of a request at one target, and how it ended.

use std::sync::Arc;

use crate::target_state::TargetState;

/// Number of an attempt within its request, from 0.
pub type AttemptNumber = usize;

/// Order to send one attempt.
#[derive(Clone, Debug)]
pub struct SendCommand {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Index of the shard; 0 for a request to one target.
    pub shard: usize,
    /// Target of the attempt.
    pub target: Arc<TargetState>,
    /// Why the attempt is made.
    pub cause: SendCause,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendCause {
    /// It is the first of its shard.
    First,
    /// An earlier one is late.
    Hedge,
    /// An earlier one was not run.
    NotRun,
    /// All targets have shed the request, and a pause is over.
    Shed,
    /// An earlier one failed or was lost.
    Failure,
}

impl SendCause {
    /// Label of counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::NotRun => "not_run",
            Self::Shed => "shed",
            Self::Failure => "failure",
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A whole and valid success.
    Answered,
    /// The target reported a failure; the request counts as run.
    Failed,
    /// The outcome is unknown: the request may have run.
    Lost,
    /// The request has not run at the target and will not.
    NotRun(NotRunCause),
}

/// Why a request has not run at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// The target was full.
    Shed,
    /// Another target has the address now.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The kept connection had ended before the request was written.
    Unsent,
}

impl NotRunCause {
    /// Whether the request reached a target, which counts against the budget of extra attempts.
    pub fn has_reached_target(self) -> bool {
        matches!(self, Self::Shed | Self::Misdirected)
    }

    /// Label of counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
        }
    }
}

impl AttemptOutcome {
    /// Label of counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::NotRun(cause) => cause.label(),
        }
    }
}
