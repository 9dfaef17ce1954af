//! Timing of writes to the store that any host can make.

use std::time::Duration;

use rand::Rng;

/// Longest delay of such a write, for each host.
const DELAY_PER_HOST: Duration = Duration::from_millis(20);

/// Random delay of a write that any of `hosts` hosts can make, so that one or few of them do. The longest delay is within `bounds`.
pub(crate) fn shared_write_delay(
    hosts: usize,
    bounds: (Duration, Duration),
    rng: &mut impl Rng,
) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let (least, most) = bounds;
    DELAY_PER_HOST.saturating_mul(hosts).clamp(least, most).mul_f64(rng.random())
}

/// Waits for this time, for ever if there is none.
pub(crate) async fn sleep_if(wait: Option<Duration>) {
    match wait {
        Some(wait) => tokio::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}
