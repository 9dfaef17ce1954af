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
    /// Marks that a restored store lacks, with the time until which they apply.
    unconfirmed: HashMap<RequestFingerprint, Duration>,
}

#[derive(Clone, Copy, Debug)]
struct LossCount {
    count: u32,
    last: Duration,
}

impl CrashGuard {
    /// Whether there are neither losses nor marks, so that requests need no fingerprint.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.marked.is_empty() && self.unconfirmed.is_empty()
    }

    /// Whether requests with this fingerprint are refused.
    pub fn is_refused(&self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let losses = self.losses.get(&fingerprint);
        let is_over_limit = losses.is_some_and(|losses| {
            losses.count >= CRASH_LOSS_LIMIT && now < losses.last + LOSS_RETENTION
        });
        let is_unconfirmed = self.unconfirmed.get(&fingerprint).is_some_and(|until| now < *until);
        is_over_limit || is_unconfirmed || self.marked.contains(&fingerprint)
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

    /// Number of losses that count for a fingerprint.
    pub fn loss_count(&self, fingerprint: RequestFingerprint) -> u32 {
        self.losses.get(&fingerprint).map_or(0, |losses| losses.count)
    }

    /// Resets the losses of a fingerprint after an answer, which shows that they had another cause.
    pub fn record_answer(&mut self, fingerprint: RequestFingerprint) {
        self.losses.remove(&fingerprint);
    }

    /// Replaces the marks of all hosts.
    pub fn replace_marked(&mut self, marked: impl Iterator<Item = RequestFingerprint>) {
        self.marked = marked.collect();
    }

    /// Replaces the marks by those of a restored store. Marks that it lacks apply until `until`, so that the hosts which set
    /// them can publish them again.
    pub fn restore_marked(
        &mut self,
        listed: impl Iterator<Item = RequestFingerprint>,
        until: Duration,
    ) {
        let known = std::mem::replace(&mut self.marked, listed.collect());
        let missing = known.difference(&self.marked);
        self.unconfirmed = missing.map(|fingerprint| (*fingerprint, until)).collect();
    }

    /// Applies a mark that any host has set, or its expiry.
    pub fn set_marked(&mut self, fingerprint: RequestFingerprint, is_marked: bool) {
        self.unconfirmed.remove(&fingerprint);
        if is_marked {
            self.marked.insert(fingerprint);
        } else {
            self.marked.remove(&fingerprint);
        }
    }
}
