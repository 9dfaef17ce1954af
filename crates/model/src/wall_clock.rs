//! Conversion of wall-clock time to the stored and exchanged format.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the milliseconds since the Unix epoch, or 0 for earlier times.
pub fn unix_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
