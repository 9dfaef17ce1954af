//! Merges the shard replies of a scatter-gather request.

use bytes::Bytes;
use bytes::BytesMut;

/// Size of a record. Fewer trailing bytes of a reply are ignored.
pub const RECORD_BYTES: usize = 16;

/// Concatenates the greatest `limit` records of all replies in descending byte order, without removing duplicates.
pub fn greatest_records(replies: &[Bytes], limit: usize) -> Bytes {
    let mut records: Vec<&[u8]> =
        replies.iter().flat_map(|reply| reply.chunks_exact(RECORD_BYTES)).collect();
    if limit < records.len() && 0 < limit {
        records.select_nth_unstable_by(limit - 1, |left, right| right.cmp(left));
    }
    records.truncate(limit);
    records.sort_unstable_by(|left, right| right.cmp(left));
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        body.extend_from_slice(record);
    }
    body.freeze()
}
