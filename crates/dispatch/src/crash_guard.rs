//! Detects requests that crash the targets executing them, by fingerprint.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

/// Hash that identifies equal requests, which callers may retry on any host.
pub type RequestFingerprint = u64;

/// Number of targets lost, without an answer in between, at which requests with a fingerprint are refused. It is more
/// than 1 because a request can also lose targets that crash for other reasons.
pub const CRASH_LOSS_LIMIT: u32 = 3;

/// Time for which losses of a fingerprint are counted.
const LOSS_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of fingerprints with losses; the least recent is evicted first.
const MAX_FINGERPRINTS: usize = 512;

/// Losses by fingerprint on this host, and fingerprints marked as crashing by any host.
#[derive(Debug, Default)]
pub struct CrashGuard {
    losses: HashMap<RequestFingerprint, LossCount>,
    marked: HashSet<RequestFingerprint>,
}

#[derive(Clone, Copy, Debug)]
struct LossCount {
    count: u32,
    last: Duration,
}

impl CrashGuard {
    /// Whether there are neither losses nor marks, so that requests need no fingerprint.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.marked.is_empty()
    }

    /// Whether requests with this fingerprint are refused.
    pub fn is_refused(&self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let losses = self.losses.get(&fingerprint);
        let is_over_limit = losses.is_some_and(|losses| {
            losses.count >= CRASH_LOSS_LIMIT && now < losses.last + LOSS_RETENTION
        });
        is_over_limit || self.marked.contains(&fingerprint)
    }

    /// Counts a target lost while it executed a request with this fingerprint. Returns true when the count reaches the
    /// limit, so that the caller can mark the fingerprint for other hosts.
    pub fn record_loss(&mut self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        self.losses.retain(|_, losses| now < losses.last + LOSS_RETENTION);
        if self.losses.len() >= MAX_FINGERPRINTS {
            let oldest = self
                .losses
                .iter()
                .min_by_key(|(_, losses)| losses.last)
                .map(|(fingerprint, _)| *fingerprint);
            oldest.map(|oldest| self.losses.remove(&oldest));
        }
        let losses = self.losses.entry(fingerprint).or_insert(LossCount { count: 0, last: now });
        losses.count += 1;
        losses.last = now;
        losses.count == CRASH_LOSS_LIMIT
    }

    /// Resets the losses of a fingerprint after an answer, which shows that they had another cause.
    pub fn record_answer(&mut self, fingerprint: RequestFingerprint) {
        self.losses.remove(&fingerprint);
    }

    /// Replaces the marks of all hosts.
    pub fn replace_marked(&mut self, marked: impl Iterator<Item = RequestFingerprint>) {
        self.marked = marked.collect();
    }

    /// Applies a mark that any host has set, or its expiry.
    pub fn set_marked(&mut self, fingerprint: RequestFingerprint, is_marked: bool) {
        if is_marked {
            self.marked.insert(fingerprint);
        } else {
            self.marked.remove(&fingerprint);
        }
    }
}
