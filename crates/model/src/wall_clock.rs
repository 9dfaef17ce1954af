//! Time of day in the form in which hosts exchange and store it.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since 1970; 0 for an earlier time.
pub fn unix_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
