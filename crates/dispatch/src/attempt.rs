//! Attempts of a request: the command to send one, its cause and its outcome.

use std::sync::Arc;

use crate::target_state::TargetState;

/// Index of an attempt within its request, starting at 0.
pub type AttemptNumber = usize;

/// Instructs the caller of the plan to send one attempt.
#[derive(Clone, Debug)]
pub struct SendCommand {
    pub attempt: AttemptNumber,
    /// Index of the shard; 0 if the request goes to a single target.
    pub shard: usize,
    pub target: Arc<TargetState>,
    pub cause: SendCause,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendCause {
    /// First attempt for the shard.
    First,
    /// An earlier attempt has not been answered within the hedge delay.
    Hedge,
    /// The target of an earlier attempt did not execute the request.
    NotRun,
    /// All targets shed the request, and the retry delay has passed.
    Shed,
    /// An earlier attempt failed or was lost.
    Failure,
}

impl SendCause {
    /// Value for metric labels and log fields.
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
    /// A complete and valid success response.
    Answered,
    /// The target reported an error; the request counts as executed.
    Failed,
    /// No usable response; the request may have been executed.
    Lost,
    /// The target has not executed the request and will not.
    NotRun(NotRunCause),
}

/// Why a target did not execute a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// The target was at capacity.
    Shed,
    /// The address now belongs to another target.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The reused connection was closed before the request was written.
    Unsent,
    /// The request was over before the attempt could be sent.
    Withdrawn,
}

impl NotRunCause {
    /// Whether the request reached a target, so that its replacement counts against the retry budget.
    pub fn has_reached_target(self) -> bool {
        matches!(self, Self::Shed | Self::Misdirected)
    }

    /// Value for metric labels and log fields.
    pub fn label(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl AttemptOutcome {
    /// Value for metric labels and log fields.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::NotRun(cause) => cause.label(),
        }
    }
}
