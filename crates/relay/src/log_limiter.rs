//! Rate limit for log lines about requests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Log lines per second about requests that were not complete successes in time. A line costs about 20 microseconds, so
/// that logging uses less than a hundredth of a core.
const MAX_LINES_PER_SECOND: u64 = 40;

/// Admits a limited number of log lines per second and counts the others.
#[derive(Debug, Default)]
pub struct LogLimiter {
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl LogLimiter {
    /// Whether another line may be written at `now`. A refused line is counted.
    pub fn allows(&self, now: Duration) -> bool {
        if self.second.swap(now.as_secs(), Relaxed) != now.as_secs() {
            self.lines.store(0, Relaxed);
        }
        let is_admitted = self.lines.fetch_add(1, Relaxed) < MAX_LINES_PER_SECOND;
        if !is_admitted {
            self.dropped.fetch_add(1, Relaxed);
        }
        is_admitted
    }

    /// Returns the number of lines refused since the last call and resets it.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Relaxed)
    }
}
