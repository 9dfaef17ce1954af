//! Errors of calls to the platform, classified by whether the call may have taken effect.

use derive_more::Display;
use derive_more::Error;

use crate::client::StoreRevision;
use crate::reply_body::ReplyBodyError;

/// Why a call to the platform has no usable reply.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// No connection could be opened, so the call had no effect.
    #[display("the platform cannot be reached: {detail}")]
    NotSent {
        /// Message of the network layer.
        detail: String,
    },
    /// The timeout elapsed without a reply; the call may have taken effect.
    #[display("the platform did not reply in time")]
    TimedOut,
    /// The connection closed after the request was sent; the call may have taken effect.
    #[display("the connection to the platform ended before its reply: {detail}")]
    ReplyLost {
        /// Message of the network layer.
        detail: String,
    },
    /// The value does not have the expected revision, so the call had no effect.
    #[display("revision conflict: the value is at revision {current}")]
    Conflict {
        /// Revision of the value in the store; 0 if it does not exist.
        current: StoreRevision,
    },
    /// The service rejected the call with status 503, without effect.
    #[display("the platform is not available")]
    Unavailable,
    /// The reply does not follow the protocol.
    #[display("the platform's reply is malformed: {detail}")]
    Malformed {
        /// Description of the protocol violation.
        detail: String,
        /// Whether the call may still have taken effect.
        uncertain: bool,
    },
}

impl PlatformError {
    /// Whether the failed call may have taken effect; the caller must then read the value back.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::TimedOut | Self::ReplyLost { .. } => true,
            Self::Malformed { uncertain, .. } => *uncertain,
            Self::NotSent { .. } | Self::Conflict { .. } | Self::Unavailable => false,
        }
    }
}

impl From<ReplyBodyError> for PlatformError {
    fn from(error: ReplyBodyError) -> Self {
        match error {
            ReplyBodyError::Http(error) => error.into(),
            ReplyBodyError::TooLarge { .. } | ReplyBodyError::NoMemory => {
                Self::Malformed { detail: error.to_string(), uncertain: true }
            }
        }
    }
}

impl From<reqwest::Error> for PlatformError {
    fn from(error: reqwest::Error) -> Self {
        let detail = root_cause(&error);
        if error.is_builder() || error.is_connect() {
            return Self::NotSent { detail };
        }
        if error.is_timeout() {
            return Self::TimedOut;
        }
        Self::ReplyLost { detail }
    }
}

/// Message of the innermost error; the outer ones only name the layers of the HTTP client.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut current = error;
    while let Some(source) = current.source() {
        current = source;
    }
    current.to_string()
}
