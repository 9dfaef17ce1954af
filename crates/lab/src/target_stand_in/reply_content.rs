//! Content of replies. It depends only on the request, its shard and snapshot, so that every answer can be checked.

use vanillapick_model::answer::HitList;
use vanillapick_model::answer::SearchHit;
use vanillapick_model::hash::request_fingerprint;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::SnapshotPin;

/// Number of hits in the reply of each shard.
pub const HITS_PER_SHARD: u32 = 3;

/// Origin of a hit, decoded from the id of the hit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HitOrigin {
    /// Fingerprint of the request body.
    pub fingerprint: u64,
    /// Snapshot and shard map that the hit was read from.
    pub pin: SnapshotPin,
    /// Shard that the hit was read from.
    pub shard: ShardIndex,
}

impl HitOrigin {
    /// Decodes the id of a hit; `None` if the stand-ins do not send such ids.
    pub fn parse(id: &str) -> Option<Self> {
        let mut parts = id.split('.');
        let fingerprint = u64::from_str_radix(parts.next()?, 16).ok()?;
        let shard_map = parts.next()?.parse().ok()?;
        let snapshot = parts.next()?.parse().ok()?;
        let shard = parts.next()?.parse().ok()?;
        Some(Self { fingerprint, pin: SnapshotPin { shard_map, snapshot }, shard })
    }
}

/// Returns the hash that ties hits and values to the body of their request.
pub fn body_fingerprint(body: &[u8]) -> u64 {
    request_fingerprint("body", body)
}

/// Returns the hits of `shard` at `pin` for a request with `body`.
pub fn shard_hits(pin: SnapshotPin, shard: ShardIndex, body: &[u8]) -> HitList {
    let fingerprint = body_fingerprint(body);
    let hits = (0..HITS_PER_SHARD).map(|index| {
        let id = format!("{fingerprint:016x}.{}.{}.{shard}.{index}", pin.shard_map, pin.snapshot);
        // The score ranges of all shards overlap, so that a merge needs every shard.
        let score = (request_fingerprint("score", id.as_bytes()) % 1_000_000) as f64 / 1e6;
        SearchHit { id, score, fields: None }
    });
    HitList { hits: hits.collect() }
}

/// Returns the text that the reply to a read or write with `body` contains.
pub fn value_token(body: &[u8]) -> String {
    format!("{:016x}-end", body_fingerprint(body))
}
