//! Conversion of durations, which atomics store as whole microseconds.

use std::time::Duration;

/// Converts `time` to whole microseconds, saturating at `u64::MAX`.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Multiplies `time` by `fraction`, which must not be negative. The result is at most 10^9 seconds.
pub(crate) fn scaled(time: Duration, fraction: f64) -> Duration {
    Duration::from_secs_f64((time.as_secs_f64() * fraction).clamp(0.0, 1e9))
}
