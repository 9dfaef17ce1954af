//! Lifecycle of this host: starting, ready, stopping.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Lifecycle flags that every request reads without a lock.
#[derive(Debug, Default)]
pub struct HostLifecycle {
    /// Set when the first configuration is installed; never cleared.
    configured: AtomicBool,
    /// Set after the first probe of the targets; never cleared. Before it the snapshots of the targets are unknown, so
    /// no search can be pinned to one.
    probed: AtomicBool,
    /// Set at the start of a planned stop; never cleared. Requests are still served, because the balancer notices the
    /// stop with a delay.
    leaving: AtomicBool,
    /// Set when the balancer's lag has passed; never cleared. New requests are refused.
    closed: AtomicBool,
}

impl HostLifecycle {
    /// Records that a configuration is installed.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Release);
    }

    /// Records that the targets have been probed once.
    pub fn set_probed(&self) {
        self.probed.store(true, Ordering::Release);
    }

    /// Records that a planned stop has begun.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Records that new requests are refused from now on.
    pub fn set_closed(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Whether a configuration is installed.
    pub fn is_configured(&self) -> bool {
        self.configured.load(Ordering::Acquire)
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Whether the host is configured and probed and has not begun a planned stop.
    pub fn is_ready(&self) -> bool {
        self.is_configured() && self.probed.load(Ordering::Acquire) && !self.is_leaving()
    }
}
