//! Stored form of an idempotency claim.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// A claim as JSON, for example `{"nonce":"n1","state":"ran","body":"..."}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ClaimRecord {
    /// Random identifier of the claim's holder, unique to one claim.
    pub(crate) nonce: String,
    #[serde(flatten)]
    pub(crate) state: ClaimState,
}

/// Progress of the claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub(crate) enum ClaimState {
    /// The request may be running at a target.
    Running,
    /// The request ran; a repeated request gets the stored response.
    Ran { body: ClaimBody },
    /// The request provably did not run and may be claimed again.
    Released,
    /// The request may have run, and its response is lost.
    Unknown,
}

/// Response body: a string if it is UTF-8, otherwise a list of bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub(crate) enum ClaimBody {
    Text(String),
    Raw(Vec<u8>),
}

impl From<&Bytes> for ClaimBody {
    fn from(body: &Bytes) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Raw(body.to_vec()),
        }
    }
}

impl From<ClaimBody> for Bytes {
    fn from(body: ClaimBody) -> Self {
        match body {
            ClaimBody::Text(text) => text.into(),
            ClaimBody::Raw(raw) => raw.into(),
        }
    }
}
