//! Decoding of messages between hosts, and of what they keep in the store.

use serde::Deserialize;

/// Maximum nesting of a message, which is far above that of all messages. The decoder recurses for each level, also in fields that
/// it passes over, and bytes of another origin must not use up the stack.
const MAX_DEPTH: usize = 64;

/// Decodes a message in MessagePack. Bytes after it are ignored.
///
/// # Errors
///
/// Returns the message of the decoder if the bytes are no such message, or are nested too deeply.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, rmp_serde::decode::Error> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut decoder)
}
