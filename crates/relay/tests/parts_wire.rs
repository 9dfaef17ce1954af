//! Tests of the messages between hosts that gather parts of searches.

use bytes::Bytes;
use vanillapick_relay::parts_wire::MessageReader;
use vanillapick_relay::parts_wire::PartsMessage;

fn message(shard: usize, is_last: bool) -> PartsMessage {
    PartsMessage {
        request_id: Bytes::from_static(b"a1"),
        parts: vec![(shard, Bytes::from_static(b"stamp"))],
        records: Bytes::from_static(b"0123456789abcdef"),
        failed: vec![7],
        has_lost_target: false,
        is_last,
    }
}

/// Guards against a message that counts although its end has not arrived.
#[test]
fn messages_are_read_at_any_division_of_their_bytes() {
    let (first, second) = (message(1, false), message(2, true));
    let mut bytes = first.encode().expect("it is small").to_vec();
    bytes.extend_from_slice(&second.encode().expect("it is small"));
    for step in 1..bytes.len() {
        let mut reader = MessageReader::default();
        let mut seen = Vec::new();
        for chunk in bytes.chunks(step) {
            reader.push(chunk);
            while let Some(message) = reader.next_message().expect("the bytes are valid") {
                seen.push(message);
            }
        }
        assert_eq!(seen, [message(1, false), message(2, true)], "in steps of {step} bytes");
    }
}

/// Guards against a length that makes the reader buffer bytes without end.
#[test]
fn bytes_that_cannot_be_a_message_are_rejected() {
    let mut reader = MessageReader::default();
    reader.push(b"HTTP/1.1 200 OK");
    assert!(reader.next_message().is_err());
    let mut reader = MessageReader::default();
    reader.push(&[0, 0, 0, 3, 1, 2, 3]);
    assert!(reader.next_message().is_err());
}
