//! The merge of the parts of a search.

use bytes::Bytes;
use bytes::BytesMut;

/// Length of a record. A shorter remainder of a part is no record.
pub const RECORD_BYTES: usize = 16;

/// The greatest `limit` records of all parts, greatest first, compared byte by byte. Equal records all count.
pub fn greatest_records(parts: &[Bytes], limit: usize) -> Bytes {
    let mut records: Vec<&[u8]> =
        parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
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
