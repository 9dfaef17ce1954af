//! The lease under which this host holds its share of limits that apply to all hosts together.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use vanillapick_policy::micros::micros;

/// End of this host's lease by its own clock.
///
/// Invariant: other hosts count this one at least as long as the lease is held, so that the shares of a limit do not add up
/// to more than the limit.
#[derive(Debug, Default)]
pub struct HostLease {
    /// Time since the start of the process in microseconds; 0 before the first registration.
    until_us: AtomicU64,
}

impl HostLease {
    /// Records a lease that was granted or renewed by a call sent at `sent`, and that lasts for `ttl` from its arrival.
    pub fn renew(&self, sent: Duration, ttl: Duration) {
        self.until_us.fetch_max(micros(sent.saturating_add(ttl)), Relaxed);
    }

    /// Whether the lease is held at `now`.
    pub fn is_held(&self, now: Duration) -> bool {
        micros(now) < self.until_us.load(Relaxed)
    }
}
