//! A flag reported by a target that is not cleared by replies that arrive out of order.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::micros::micros;
use crate::target_state::DRAINING_HOLD_TIME;

/// Stays set for at least [`DRAINING_HOLD_TIME`], and then until a reply reports that it is not set.
#[derive(Debug, Default)]
pub(crate) struct StickyFlag {
    set: AtomicBool,
    set_at_us: AtomicU64,
}

impl StickyFlag {
    pub fn is_set(&self) -> bool {
        self.set.load(Relaxed)
    }

    pub fn set(&self, now: Duration) {
        self.set_at_us.store(micros(now), Relaxed);
        self.set.store(true, Relaxed);
    }

    /// Records the flag that a reply reports. It is cleared at once when the process of the target has restarted.
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
