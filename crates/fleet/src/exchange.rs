//! Messages of the push-pull exchange between hosts and their encoding.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Visitor;
use vanillapick_model::host::HostEntry;
use vanillapick_model::peer_message;
use vanillapick_model::table::ConfigRevision;

use crate::origin_row::EvidenceNames;
use crate::origin_row::HeartbeatNumber;
use crate::origin_row::OriginTag;
use crate::origin_row::RowDelta;
use crate::replicated_config::ConfigPayload;
use crate::urgent::UrgentHash;
use crate::urgent::UrgentItem;

/// A message from one host to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Requests the changes that the digest is missing; the reply is [`PeerMessage::ExchangeReply`].
    Exchange {
        /// Summary of the sender's state.
        digest: Digest,
        /// Latest changes of the sender's own row.
        delta: Box<Delta>,
    },
    /// Returns the requested changes to the sender of the exchange.
    ExchangeReply {
        /// Changes that the digest was missing; rows beyond the reply budget follow in later exchanges.
        delta: Box<Delta>,
    },
    /// Urgent items; has no reply.
    Push {
        /// Not empty.
        items: Vec<UrgentItem>,
    },
}

/// Summary of a host's state in a few hundred bytes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Active revision; 0 for none.
    pub revision: ConfigRevision,
    /// Only later revisions are requested; higher than `revision` after a table was refused.
    pub wanted_above: ConfigRevision,
    /// Hashes to compare with the receiver's items.
    pub urgent: UrgentHash,
    /// Heartbeat of each row, ascending by tag.
    #[serde(rename = "beats")]
    pub heartbeats: HeartbeatList,
}

/// Changes that a peer is missing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Active revision of the sender; 0 for none.
    pub revision: ConfigRevision,
    /// Set if the sender has a newer configuration.
    pub config: Option<ConfigPayload>,
    /// Hashes of the sender's urgent items.
    pub urgent: UrgentHash,
    /// Items of the sections with different hashes.
    pub items: Vec<UrgentItem>,
    /// Rows with changes, with the heartbeat after these changes, and rows with only a newer observed heartbeat.
    #[serde(rename = "beats")]
    pub heartbeats: HeartbeatList,
    /// Routes and moves that the counters in `rows` refer to.
    pub names: EvidenceNames,
    /// Changes of rows, ascending by index into `heartbeats`.
    pub rows: Vec<RowDelta>,
}

/// Heartbeats of one row.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct HeartbeatEntry {
    /// Identifies the row.
    pub tag: OriginTag,
    /// The sender has all changes up to this heartbeat, or they follow in the message.
    pub heartbeat: HeartbeatNumber,
    /// How far the highest observed heartbeat of the writer is ahead of `heartbeat`. Each exchange thereby spreads
    /// liveness in both directions, whereas changes go only to the requesting host.
    pub observed_lead: u8,
}

impl HeartbeatEntry {
    /// Entry for a row that is known up to `heartbeat` and whose writer was observed to have reached `observed`.
    pub fn new(tag: OriginTag, heartbeat: HeartbeatNumber, observed: HeartbeatNumber) -> Self {
        let observed_lead = u8::try_from(observed.saturating_sub(heartbeat)).unwrap_or(u8::MAX);
        Self { tag, heartbeat, observed_lead }
    }

    /// Highest observed heartbeat of the writer.
    pub fn observed_heartbeat(&self) -> HeartbeatNumber {
        self.heartbeat.saturating_add(HeartbeatNumber::from(self.observed_lead))
    }
}

/// Heartbeats of rows, ascending by tag; encoded in [`HEARTBEAT_ENTRY_BYTES`] bytes each.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatList(pub Vec<HeartbeatEntry>);

/// Encoded size of an entry: tag and heartbeat as 4 bytes each in big-endian order, and the lead as 1 byte.
const HEARTBEAT_ENTRY_BYTES: usize = 9;

impl HeartbeatList {
    /// Entry of a row; heartbeat and lead are 0 if the row is not in the list.
    pub fn entry(&self, tag: OriginTag) -> HeartbeatEntry {
        let position = self.0.binary_search_by_key(&tag, |entry| entry.tag);
        position.map_or(HeartbeatEntry { tag, ..HeartbeatEntry::default() }, |position| {
            self.0[position]
        })
    }
}

impl Serialize for HeartbeatList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::with_capacity(self.0.len() * HEARTBEAT_ENTRY_BYTES);
        for entry in &self.0 {
            bytes.extend_from_slice(&entry.tag.to_be_bytes());
            bytes.extend_from_slice(&entry.heartbeat.to_be_bytes());
            bytes.push(entry.observed_lead);
        }
        serializer.serialize_bytes(&bytes)
    }
}

impl<'de> Deserialize<'de> for HeartbeatList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(HeartbeatListVisitor)
    }
}

struct HeartbeatListVisitor;

impl Visitor<'_> for HeartbeatListVisitor {
    type Value = HeartbeatList;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "bytes, {HEARTBEAT_ENTRY_BYTES} per row")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<HeartbeatList, E> {
        let (parts, rest) = bytes.as_chunks::<HEARTBEAT_ENTRY_BYTES>();
        if !rest.is_empty() {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        let entries: Vec<_> = parts.iter().map(read_entry).collect();
        if !entries.is_sorted_by(|left, right| left.tag < right.tag) {
            return Err(E::custom("tags are not in ascending order"));
        }
        Ok(HeartbeatList(entries))
    }
}

fn read_entry(bytes: &[u8; HEARTBEAT_ENTRY_BYTES]) -> HeartbeatEntry {
    let [t0, t1, t2, t3, b0, b1, b2, b3, observed_lead] = *bytes;
    let tag = OriginTag::from_be_bytes([t0, t1, t2, t3]);
    HeartbeatEntry {
        tag,
        heartbeat: HeartbeatNumber::from_be_bytes([b0, b1, b2, b3]),
        observed_lead,
    }
}

/// A message of a peer that could not be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq)]
#[display(
    "cannot decode a peer message of {length} bytes: {cause}; both hosts must run the same protocol version"
)]
pub struct DecodeError {
    /// Length of the message in bytes.
    pub length: usize,
    /// Error of the MessagePack decoder.
    #[error(not(source))]
    pub cause: String,
}

/// Encodes the body of a request to a peer or of a reply, starting with the sender.
pub fn encode(sender: &HostEntry, message: &PeerMessage) -> Vec<u8> {
    rmp_serde::to_vec(&(sender, message)).expect("messages hold only types that MessagePack has")
}

/// Decodes a body into its sender and message.
pub fn decode(bytes: &[u8]) -> Result<(HostEntry, PeerMessage), DecodeError> {
    peer_message::decode(bytes)
        .map_err(|error| DecodeError { length: bytes.len(), cause: error.to_string() })
}
