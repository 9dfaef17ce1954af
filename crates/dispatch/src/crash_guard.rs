//! Requests that crash the targets that run them, by fingerprint.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

/// Fingerprint of route, path, caller and body.
pub type RequestFingerprint = u64;

/// Targets that one fingerprint may lose, without an answer between, before it is refused. Fewer also come from targets
/// that crash by themselves.
pub const CRASH_LOSS_LIMIT: u32 = 3;

/// Time for which losses of a fingerprint are remembered.
const LOSS_MEMORY: Duration = Duration::from_secs(60);

/// Most fingerprints remembered; the oldest go first.
const MOST_PRINTS: usize = 512;

/// Losses by fingerprint of this host, and fingerprints that any host has marked.
#[derive(Debug, Default)]
pub struct CrashGuard {
    losses: HashMap<RequestFingerprint, PrintLosses>,
    marked: HashSet<RequestFingerprint>,
}

#[derive(Clone, Copy, Debug)]
struct PrintLosses {
    count: u32,
    last: Duration,
}

impl CrashGuard {
    /// Whether anything is remembered, so that requests need a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.marked.is_empty()
    }

    /// Whether requests with this fingerprint are refused.
    pub fn is_refused(&self, print: RequestFingerprint, now: Duration) -> bool {
        let lost = self.losses.get(&print);
        let is_lost = lost
            .is_some_and(|lost| lost.count >= CRASH_LOSS_LIMIT && now < lost.last + LOSS_MEMORY);
        is_lost || self.marked.contains(&print)
    }

    /// Notes a target lost while it ran a request with this fingerprint; true if other hosts should be told.
    pub fn record_loss(&mut self, print: RequestFingerprint, now: Duration) -> bool {
        self.losses.retain(|_, lost| now < lost.last + LOSS_MEMORY);
        if self.losses.len() >= MOST_PRINTS {
            let oldest =
                self.losses.iter().min_by_key(|(_, lost)| lost.last).map(|(print, _)| *print);
            oldest.map(|oldest| self.losses.remove(&oldest));
        }
        let lost = self.losses.entry(print).or_insert(PrintLosses { count: 0, last: now });
        lost.count += 1;
        lost.last = now;
        lost.count == CRASH_LOSS_LIMIT
    }

    /// Notes that a request with this fingerprint was answered, so earlier losses had another cause.
    pub fn record_answer(&mut self, print: RequestFingerprint) {
        self.losses.remove(&print);
    }

    /// Takes in all marks of all hosts.
    pub fn replace_marked(&mut self, marked: impl Iterator<Item = RequestFingerprint>) {
        self.marked = marked.collect();
    }

    /// Takes in what any host has marked, or that its mark has ended.
    pub fn set_marked(&mut self, print: RequestFingerprint, is_marked: bool) {
        if is_marked {
            self.marked.insert(print);
        } else {
            self.marked.remove(&print);
        }
    }
}
