//! A mark that a target sets about itself and that later replies may deny out of order.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::micros::micros;
use crate::target_state::DRAINING_HOLD_TIME;

/// Holds for [`DRAINING_HOLD_TIME`] after it was last set, and until it is denied.
#[derive(Debug, Default)]
pub(crate) struct StickyFlag {
    set: AtomicBool,
    set_at_us: AtomicU64,
}

impl StickyFlag {
    /// Whether the mark holds.
    pub fn is_set(&self) -> bool {
        self.set.load(Relaxed)
    }

    /// Sets the mark.
    pub fn set(&self, now: Duration) {
        self.set_at_us.store(micros(now), Relaxed);
        self.set.store(true, Relaxed);
    }

    /// Takes over the mark of a reply. A restarted process clears the mark at once.
    pub fn record(&self, set: bool, restarted: bool, now: Duration) {
        if set {
            return self.set(now);
        }
        let held_until = self.set_at_us.load(Relaxed).saturating_add(micros(DRAINING_HOLD_TIME));
        if restarted || held_until <= micros(now) {
            self.set.store(false, Relaxed);
        }
    }
}
