//! Measures the scheduling delay of the event loop.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::relay_host::RelayHost;

/// Interval between measurements.
const MEASUREMENT_PERIOD: Duration = Duration::from_millis(50);

/// Weight of a new measurement below the mean; a higher measurement replaces the mean at once.
const DECREASE_WEIGHT: f64 = 0.3;

/// Measures how late a timer fires and stores the smoothed delay in the host state, until the process ends.
pub(crate) async fn measure_loop_delay(host: Arc<RelayHost>) {
    let mut mean = Duration::ZERO;
    loop {
        let due = Instant::now() + MEASUREMENT_PERIOD;
        host.set_loop_due(host.now() + MEASUREMENT_PERIOD);
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        mean = if delay > mean {
            delay
        } else {
            mean.mul_f64(1.0 - DECREASE_WEIGHT) + delay.mul_f64(DECREASE_WEIGHT)
        };
        host.set_loop_delay(mean);
        metrics::gauge!("vanillapick_loop_delay_seconds").set(mean.as_secs_f64());
    }
}
