//! Tests of the memory for the bodies of replies.

use std::sync::Arc;

use bytes::Bytes;
use vanillapick_platform::reply_memory::ReplyMemory;

/// Guards against large replies that keep small ones from being read, and against memory that stays counted.
#[test]
fn large_replies_give_way_and_small_ones_are_always_read() {
    let memory = ReplyMemory::new(4 << 20);
    let mut first = memory.reserve();
    assert!(first.grow(900 << 10));
    let mut second = memory.reserve();
    assert!(second.grow(100 << 10));
    assert!(!second.grow(900 << 10), "the second reply exceeds a quarter of the machine's memory");
    let mut small = memory.reserve();
    assert!(small.grow(400), "a small reply is read while large ones use up the memory");
    let body = first.attach(Bytes::from(vec![0; 900 << 10]));
    let used = memory.used();
    let part = body.slice(..16);
    drop(body);
    assert_eq!(memory.used(), used, "a part of the body is still held");
    drop(part);
    drop(second);
    assert_eq!((memory.used(), Arc::strong_count(&memory)), (0, 2), "only the small one is left");
}
