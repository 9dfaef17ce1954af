//! Messages between hosts about requests that one of them cannot serve itself, because it is cut off from all targets.
//!
//! `POST /forward` with a [`ForwardRequest`] is answered with a [`ForwardReply`], both in MessagePack. `GET /reach` is answered
//! with the state of the host's links to targets as text.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_dispatch::config_document::ConfigVersion;
use vanillapick_dispatch::target_reach::LinkState;

/// Path of the endpoint for requests.
pub(crate) const FORWARD_PATH: &str = "/forward";

/// Path of the endpoint for the state of links.
pub(crate) const REACH_PATH: &str = "/reach";

/// Names of link states on the wire.
const LINK_STATES: [(LinkState, &str); 3] = [
    (LinkState::Reaching, "reaching"),
    (LinkState::Unknown, "unknown"),
    (LinkState::CutOff, "cut_off"),
];

/// A caller's request that the receiver serves in place of the sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardRequest {
    /// Configuration in force at the sender; a receiver with an earlier one refuses.
    pub version: ConfigVersion,
    /// Time since the request arrived at the sender, including the time that the reply will take back to it.
    pub elapsed: Duration,
    /// Timeout of the caller, from the arrival at the sender.
    pub timeout: Duration,
    /// Whether the sender has counted the request for the retry budgets of its pools.
    pub is_counted: bool,
    pub method: String,
    pub uri: String,
    pub request_id: Bytes,
    /// Headers of the caller without hop-by-hop headers.
    pub headers: Vec<(String, Bytes)>,
    pub body: Bytes,
}

/// Answer to a [`ForwardRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub enum ForwardReply {
    /// The response to the caller.
    Response {
        /// Id of the request, as a check that the response belongs to it.
        request_id: Bytes,
        status: u16,
        headers: Vec<(String, Bytes)>,
        body: Bytes,
    },
    /// The request has not run here and will not. Another host may serve it.
    Refused(ForwardRefusal),
}

/// Why a host does not serve a forwarded request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ForwardRefusal {
    /// The host is cut off from all targets itself.
    CutOff,
    /// The host shuts down.
    Leaving,
    /// The host has no configuration, or an earlier one than the sender.
    Configuration,
    /// The host has more to do than it can; it expects to have capacity after this time.
    Overloaded(Duration),
    /// The message cannot be read.
    Malformed,
}

impl ForwardRefusal {
    /// Label of metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::CutOff => "cut_off",
            Self::Leaving => "leaving",
            Self::Configuration => "configuration",
            Self::Overloaded(_) => "overloaded",
            Self::Malformed => "malformed",
        }
    }
}

/// Name of a link state on the wire.
pub(crate) fn encode_link_state(state: LinkState) -> &'static str {
    LINK_STATES.iter().find(|(known, _)| *known == state).map_or("unknown", |(_, name)| name)
}

/// Decodes the answer of a host; `None` if it is of a later version of the program.
pub(crate) fn decode_link_state(name: &[u8]) -> Option<LinkState> {
    let known = LINK_STATES.iter().find(|(_, known)| known.as_bytes() == name);
    known.map(|(state, _)| *state)
}
