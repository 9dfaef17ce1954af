//! Messages between a host that serves a search and the hosts that gather the parts of its shards.
//!
//! `POST /parts` with a [`PartsRequest`] is answered by a sequence of [`PartsMessage`] in the body, each after its length
//! as four bytes, most significant first. Both are in MessagePack.

use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_dispatch::config_document::ConfigVersion;
use vanillapick_model::peer_message;

/// Path of the endpoint.
pub(crate) const PARTS_PATH: &str = "/parts";

/// Header of the refusal of a host that is cut off from all targets.
pub(crate) const CUT_OFF_HEADER: HeaderName = HeaderName::from_static("cut-off");

/// Size limit of one message. A message has a stamp for each shard of a group and the records of one response.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Size of the length before a message.
const LENGTH_BYTES: usize = 4;

/// Asks a host to gather the parts of some shards of a search.
#[derive(Debug, Deserialize, Serialize)]
pub struct PartsRequest {
    /// Configuration in force at the sender; the receiver refuses if its own is another.
    pub version: ConfigVersion,
    pub route: String,
    /// Increasing positions in the shard list of the route.
    pub shards: Vec<usize>,
    /// Attempts that an earlier owner may have made for each shard.
    pub prior_attempts: u32,
    /// Time from the first message until an owner of an earlier version sends second attempts. Others wait for the confirmation
    /// (`parts_confirmation`).
    pub confirm_after: Duration,
    /// Time until the first message is due.
    pub first_message: Duration,
    /// Time until the soft deadline of the search.
    pub soft_left: Duration,
    /// Time until the search fails without a response.
    pub left: Duration,
    /// Time until the caller gives up; targets are told what is left of it.
    pub caller_left: Duration,
    pub method: String,
    pub uri: String,
    pub request_id: Bytes,
    /// Headers of the caller without hop-by-hop headers.
    pub headers: Vec<(String, Bytes)>,
    pub body: Bytes,
}

impl PartsRequest {
    /// Encodes the request as it is `elapsed` after its times were set.
    pub(crate) fn encode(&mut self, elapsed: Duration) -> Result<Bytes, String> {
        let times =
            [&mut self.first_message, &mut self.soft_left, &mut self.left, &mut self.caller_left];
        for time in times {
            *time = time.saturating_sub(elapsed);
        }
        rmp_serde::to_vec(self).map(Bytes::from).map_err(|error| error.to_string())
    }
}

/// Parts that a host has gathered since its last message.
#[derive(Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartsMessage {
    /// Request id of the search that the parts belong to.
    pub request_id: Bytes,
    /// Shards that answered, as positions in the shard list of the route, with the stamps of their targets.
    pub parts: Vec<(usize, Bytes)>,
    /// Greatest records of these parts, as many as the route returns.
    pub records: Bytes,
    /// Shards of which no answer is to be expected any more.
    pub failed: Vec<usize>,
    /// Whether a target was lost, which may be due to the request.
    pub has_lost_target: bool,
    /// Whether no message follows.
    pub is_last: bool,
}

/// Splits the bytes of a response body into messages.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: BytesMut,
}

impl MessageReader {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Takes the next complete message; `None` if more bytes are needed. Fails if the bytes cannot be a message.
    pub fn next_message(&mut self) -> Result<Option<PartsMessage>, String> {
        let Some(mut length) = self.buffer.get(..LENGTH_BYTES) else { return Ok(None) };
        let length = usize::try_from(length.get_u32()).unwrap_or(usize::MAX);
        if MAX_MESSAGE_BYTES < length {
            return Err(format!("a message of {length} bytes exceeds {MAX_MESSAGE_BYTES}"));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let message = self.buffer.split_to(length);
        peer_message::decode(&message).map(Some).map_err(|error| error.to_string())
    }
}

impl PartsMessage {
    /// Encodes the message with its length.
    pub fn encode(&self) -> Result<Bytes, String> {
        let message = rmp_serde::to_vec(self).map_err(|error| error.to_string())?;
        let length = u32::try_from(message.len()).map_err(|error| error.to_string())?;
        let mut encoded = BytesMut::with_capacity(LENGTH_BYTES + message.len());
        encoded.put_u32(length);
        encoded.extend_from_slice(&message);
        Ok(encoded.freeze())
    }
}

/// Copies headers into a message.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let entries = headers.iter();
    entries
        .map(|(name, value)| (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Headers of a message; `None` if one is not valid.
pub(crate) fn decode_headers(headers: &[(String, Bytes)]) -> Option<HeaderMap> {
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name: HeaderName = name.parse().ok()?;
        decoded.append(name, HeaderValue::from_maybe_shared(value.clone()).ok()?);
    }
    Some(decoded)
}
