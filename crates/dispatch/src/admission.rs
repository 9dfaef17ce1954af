//! Admission control by event loop delay: requests that the host cannot serve in time are refused immediately.

use std::time::Duration;

/// Event loop delay up to which requests of every priority are admitted.
const BASE_DELAY_LIMIT: Duration = Duration::from_millis(60);

/// Added to the delay limit for each priority level above the lowest, so that less urgent requests are refused first.
const DELAY_LIMIT_STEP: Duration = Duration::from_millis(60);

/// Lowest priority level with a limit of its own; larger numbers are treated like it.
const LOWEST_PRIORITY: u8 = 4;

/// Added to the current event loop delay in `retry_after`.
const RETRY_AFTER_MARGIN: Duration = Duration::from_millis(50);

/// Refusal of a request because the host is overloaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadRefusal {
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Refuses a request of this priority (0 is the most urgent) if the event loop is later than the priority allows.
///
/// The delay shows how late the host handles timers and sockets, and so whether its processors keep up with the load.
pub fn admit(priority: u8, loop_delay: Duration) -> Result<(), LoadRefusal> {
    let steps = u32::from(LOWEST_PRIORITY - priority.min(LOWEST_PRIORITY));
    if loop_delay <= BASE_DELAY_LIMIT + DELAY_LIMIT_STEP * steps {
        return Ok(());
    }
    Err(LoadRefusal { retry_after: loop_delay + RETRY_AFTER_MARGIN })
}
