//! Bounds the memory that the bodies of replies take up on a host.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;

use bytes::Bytes;

/// Part of each reply that is not counted. It is larger than most replies, so that small ones are still read while a few
/// large ones use up the memory. Connection limits bound the number of replies.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// Part of a machine's memory for the bodies of targets' replies.
const MEMORY_FRACTION: f64 = 0.25;

/// Part of a machine's memory for replies of the store and of other hosts. It is apart from that of targets, so that these cannot
/// keep a host from reading changes.
const CONTROL_MEMORY_FRACTION: f64 = 0.125;

/// Memory for the bodies of all replies.
#[derive(Debug)]
pub struct ReplyMemory {
    limit: usize,
    used: AtomicUsize,
}

/// Memory of one reply, which is free again when it is dropped.
#[derive(Debug)]
pub struct ReplyReservation {
    memory: Arc<ReplyMemory>,
    bytes: usize,
    counted: usize,
}

/// Keeps the reservation alive as long as any copy of the bytes.
struct ReservedBody {
    body: Bytes,
    _reservation: ReplyReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl ReplyMemory {
    /// Memory for the replies of targets: a fixed part of the machine's memory, which is given in bytes.
    pub fn new(machine_bytes: u64) -> Arc<Self> {
        Self::with_limit((machine_bytes as f64 * MEMORY_FRACTION) as usize)
    }

    /// Memory for the replies of the store and of other hosts.
    pub fn for_control(machine_bytes: u64) -> Arc<Self> {
        Self::with_limit((machine_bytes as f64 * CONTROL_MEMORY_FRACTION) as usize)
    }

    /// Memory without a limit, for readers that bound the number of their calls.
    pub fn unlimited() -> Arc<Self> {
        Self::with_limit(usize::MAX)
    }

    fn with_limit(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Bytes that count now.
    pub fn used(&self) -> usize {
        self.used.load(Relaxed)
    }

    /// Starts a reply of which nothing has been read.
    pub fn reserve(self: &Arc<Self>) -> ReplyReservation {
        ReplyReservation { memory: Arc::clone(self), bytes: 0, counted: 0 }
    }
}

impl ReplyReservation {
    /// Adds bytes to the reply; returns whether there is memory for them. The reply that grows gives way, not those that
    /// were read before.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let total = self.bytes + bytes;
        let more = total.saturating_sub(UNCOUNTED_BYTES) - self.counted;
        let memory = &self.memory;
        if more > 0 && memory.limit < memory.used.fetch_add(more, Relaxed).saturating_add(more) {
            memory.used.fetch_sub(more, Relaxed);
            return false;
        }
        self.bytes = total;
        self.counted += more;
        true
    }

    /// Keeps the memory reserved until the last copy of `body` is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        if self.counted == 0 {
            return body;
        }
        Bytes::from_owner(ReservedBody { body, _reservation: self })
    }
}

impl Drop for ReplyReservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.counted, Relaxed);
    }
}
