//! Tests of the buffer for the bodies of replies.

use bytes::Bytes;
use vanillapick_platform::body_buffer::BodyBuffer;
use vanillapick_platform::reply_memory::ReplyMemory;

/// Guards against bytes that are lost or mixed up where blocks meet.
#[test]
fn a_body_of_any_pieces_is_whole() {
    let content: Vec<u8> = (0..300_000_u32).map(|number| (number % 251) as u8).collect();
    let memory = ReplyMemory::new(64 << 20);
    for piece in [1, 7, 1000, 16_383, 16_384, 16_385, 65_536, 299_999, 300_000] {
        let mut body = BodyBuffer::new(&memory);
        for data in content.chunks(piece) {
            assert!(body.push(Bytes::copy_from_slice(data)));
        }
        assert!(body.finish() == content, "pieces of {piece} bytes");
    }
    assert_eq!(memory.used(), 0);
}

/// Guards against a body that grows beyond the memory for all.
#[test]
fn a_body_beyond_the_memory_is_refused() {
    let memory = ReplyMemory::new(4 << 20);
    let mut body = BodyBuffer::new(&memory);
    let pushed = (0..100).take_while(|_| body.push(Bytes::from(vec![0; 64 << 10]))).count();
    assert_eq!(pushed, 16, "a quarter of the machine's memory, and what is not counted");
    drop(body);
    assert_eq!(memory.used(), 0);
}
