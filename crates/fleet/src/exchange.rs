//! Messages between hosts and their encoding.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Visitor;
use vanillapick_model::host::HostEntry;
use vanillapick_model::table::ConfigRevision;

use crate::origin_row::EvidenceNames;
use crate::origin_row::HeartbeatNumber;
use crate::origin_row::OriginTag;
use crate::origin_row::RowDelta;
use crate::replicated_config::ConfigPayload;
use crate::urgent::UrgentHash;
use crate::urgent::UrgentItem;

/// One message between two hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Asks for what the digest lacks; answered by [`PeerMessage::ExchangeReply`].
    Exchange {
        /// What the sender has.
        digest: Digest,
        /// The sender's own latest changes.
        delta: Box<Delta>,
    },
    /// What the digest lacked.
    ExchangeReply {
        /// Changes; rows beyond the reply budget follow with later exchanges.
        delta: Box<Delta>,
    },
    /// Urgent items; not answered.
    Push {
        /// The items; not empty.
        items: Vec<UrgentItem>,
    },
}

/// What a host has, in a few hundred bytes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Revision in force; 0 for none.
    pub revision: ConfigRevision,
    /// Revisions up to this one are not wanted; above `revision` after a refused table.
    pub wanted_above: ConfigRevision,
    /// Hashes of the urgent items.
    pub urgent: UrgentHash,
    /// Beat of each row, ascending by tag.
    #[serde(rename = "beats")]
    pub heartbeats: HeartbeatList,
}

/// Changes for a peer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Revision in force at the sender; 0 for none.
    pub revision: ConfigRevision,
    /// Configuration, when the sender's is newer.
    pub config: Option<ConfigPayload>,
    /// Hashes of the sender's urgent items.
    pub urgent: UrgentHash,
    /// Items of the sections whose hash differed.
    pub items: Vec<UrgentItem>,
    /// Rows whose heartbeat has risen, with the heartbeat that the changes below observed_lead to, and rows with signs of life.
    #[serde(rename = "beats")]
    pub heartbeats: HeartbeatList,
    /// What the counters below refer to.
    pub names: EvidenceNames,
    /// Rows with changes, ascending by index; all of them are in `heartbeats`.
    pub rows: Vec<RowDelta>,
}

/// Beats of one row.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct HeartbeatEntry {
    /// The row.
    pub tag: OriginTag,
    /// Everything up to this heartbeat is known, or follows in the message.
    pub heartbeat: HeartbeatNumber,
    /// The writer is known to have reached the heartbeat this much higher. Signs of life thereby travel both ways in each
    /// exchange, while changes travel to the host that asks.
    pub observed_lead: u8,
}

impl HeartbeatEntry {
    /// Entry for a row that is known up to `heartbeat` and observed of up to `observed`.
    pub fn new(tag: OriginTag, heartbeat: HeartbeatNumber, observed: HeartbeatNumber) -> Self {
        let observed_lead = u8::try_from(observed.saturating_sub(heartbeat)).unwrap_or(u8::MAX);
        Self { tag, heartbeat, observed_lead }
    }

    /// Highest heartbeat that the writer is known to have reached.
    pub fn observed_heartbeat(&self) -> HeartbeatNumber {
        self.heartbeat.saturating_add(HeartbeatNumber::from(self.observed_lead))
    }
}

/// Beats by row, ascending by tag; [`HEARTBEAT_ENTRY_BYTES`] each on the wire.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatList(pub Vec<HeartbeatEntry>);

/// Bytes of an entry: tag and heartbeat, 4 each with the highest byte first, and the observed_lead.
const HEARTBEAT_ENTRY_BYTES: usize = 9;

impl HeartbeatList {
    /// Entry of a row; all 0 when the row is not in the list.
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
        write!(formatter, "bytes, {HEARTBEAT_ENTRY_BYTES} for each row")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<HeartbeatList, E> {
        let (parts, rest) = bytes.as_chunks::<HEARTBEAT_ENTRY_BYTES>();
        if !rest.is_empty() {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        let entries: Vec<_> = parts.iter().map(read_entry).collect();
        if !entries.is_sorted_by(|left, right| left.tag < right.tag) {
            return Err(E::custom("tags do not ascend"));
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

/// A peer's message could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq)]
#[display("peer message of {length} bytes: {cause}; both hosts have to run the same protocol")]
pub struct DecodeError {
    /// Length of the message.
    pub length: usize,
    /// Where reading stopped.
    #[error(not(source))]
    pub cause: String,
}

/// The body of a request to a peer or of its answer, with the sender in front.
pub fn encode(sender: &HostEntry, message: &PeerMessage) -> Vec<u8> {
    rmp_serde::to_vec(&(sender, message)).expect("messages hold only types that MessagePack has")
}

/// Reads the sender and the message.
pub fn decode(bytes: &[u8]) -> Result<(HostEntry, PeerMessage), DecodeError> {
    rmp_serde::from_slice(bytes)
        .map_err(|error| DecodeError { length: bytes.len(), cause: error.to_string() })
}
