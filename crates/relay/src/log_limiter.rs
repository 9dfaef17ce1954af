//! Lines about requests, with a bound on their number.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Lines a second about requests that did not end as a plain success. Each costs some 20 microseconds, so that logging
/// stays below a hundredth of a core.
const LINES_PER_SECOND: u64 = 40;

/// Bound on the lines about requests.
#[derive(Debug, Default)]
pub struct LogLimiter {
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl LogLimiter {
    /// Whether one more line may be written at `now`. A refused line is counted.
    pub fn allows(&self, now: Duration) -> bool {
        if self.second.swap(now.as_secs(), Relaxed) != now.as_secs() {
            self.lines.store(0, Relaxed);
        }
        let is_admitted = self.lines.fetch_add(1, Relaxed) < LINES_PER_SECOND;
        if !is_admitted {
            self.dropped.fetch_add(1, Relaxed);
        }
        is_admitted
    }

    /// Takes the number of lines that were refused since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Relaxed)
    }
}
