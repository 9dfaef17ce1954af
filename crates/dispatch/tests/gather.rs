//! Merging of shard replies.

use bytes::Bytes;
use proptest::prop_assert_eq;
use vanillapick_dispatch::gather::greatest_records;

fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

#[test]
fn equal_records_are_kept_and_trailing_bytes_are_ignored() {
    let first = [record(3), record(9), vec![255; 7]].concat();
    let second = [record(9), record(1)].concat();
    let merged = greatest_records(&[Bytes::from(first), Bytes::from(second)], 3);
    assert_eq!(merged, [record(9), record(9), record(3)].concat());
}

#[test]
fn a_limit_of_zero_gives_an_empty_body() {
    assert_eq!(greatest_records(&[Bytes::from(record(1))], 0), Bytes::new());
}

proptest::proptest! {
    #[test]
    fn the_merge_is_the_start_of_the_sorted_records(
        parts in proptest::collection::vec(proptest::collection::vec(0_u8..8, 0..200), 0..8),
        limit in 0_usize..30,
    ) {
        let mut all: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(16)).collect();
        all.sort();
        let expected: Vec<u8> = all.iter().rev().take(limit).flat_map(|record| record.to_vec()).collect();
        let parts: Vec<Bytes> = parts.iter().cloned().map(Bytes::from).collect();
        prop_assert_eq!(greatest_records(&parts, limit), expected);
    }
}
