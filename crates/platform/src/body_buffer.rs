//! Collects the body of a reply in blocks, so that it takes up no more memory than its reservation says.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use crate::reply_memory::ReplyMemory;
use crate::reply_memory::ReplyReservation;

/// Size of a block. A buffer that doubles would be copied and hold up to three times its content meanwhile.
const BLOCK_BYTES: usize = 64 << 10;

/// Size of the first block: larger than most replies of more than one piece.
const FIRST_BLOCK_BYTES: usize = 16 << 10;

/// Body of one reply that is being read.
#[derive(Debug)]
pub struct BodyBuffer {
    /// Only piece so far, which is kept without a copy; empty once there are blocks.
    first: Bytes,
    blocks: Vec<BytesMut>,
    reservation: ReplyReservation,
}

impl BodyBuffer {
    /// Starts an empty body.
    pub fn new(memory: &Arc<ReplyMemory>) -> Self {
        Self { first: Bytes::new(), blocks: Vec::new(), reservation: memory.reserve() }
    }

    /// Appends a piece; returns whether there is memory for it.
    pub fn push(&mut self, piece: Bytes) -> bool {
        if !self.reservation.grow(piece.len()) {
            return false;
        }
        if self.first.is_empty() && self.blocks.is_empty() {
            self.first = piece;
            return true;
        }
        let first = std::mem::take(&mut self.first);
        self.append(&first);
        self.append(&piece);
        true
    }

    /// The complete body. The memory is reserved until its last copy is dropped.
    pub fn finish(self) -> Bytes {
        let Self { first, mut blocks, reservation } = self;
        if blocks.is_empty() {
            return reservation.attach(first);
        }
        if blocks.len() == 1 {
            return reservation.attach(blocks.remove(0).freeze());
        }
        let mut joined = BytesMut::with_capacity(blocks.iter().map(BytesMut::len).sum());
        // Each block is free again before the next one is copied.
        blocks.into_iter().for_each(|block| joined.extend_from_slice(&block));
        reservation.attach(joined.freeze())
    }

    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.blocks.last().map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                let size = if self.blocks.is_empty() { FIRST_BLOCK_BYTES } else { BLOCK_BYTES };
                self.blocks.push(BytesMut::with_capacity(size));
                continue;
            }
            let (part, rest) = data.split_at(room.min(data.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(part);
            }
            data = rest;
        }
    }
}
