//! Graceful shutdown of a host.

use std::sync::Arc;
use std::time::Duration;

use crate::relay_host::HostPhase;
use crate::relay_host::RelayHost;

/// Time until the balancer has noticed that the host is not ready: two readiness checks a second apart, and their latency.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2500);

/// Minimum time for which connections are still accepted afterwards, so that requests in transit are read.
const CLOSING_TIME: Duration = Duration::from_millis(300);

/// Time before the exit at which connections are no longer accepted, even if requests are still running.
const LISTEN_MARGIN: Duration = Duration::from_millis(300);

/// Time before the platform kills the process at which it exits by itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Maximum margin as a fraction of the grace period, so that a short one is not all margin.
const MAX_MARGIN_FRACTION: f64 = 0.25;

/// Maximum part of the time until the exit in which the host waits for the balancer. The rest is for ending connections.
const MAX_DETECTION_FRACTION: f64 = 0.7;

/// Interval at which the open connections are counted.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Keeps serving until callers use other hosts and all requests are answered, or the grace period is about to end.
pub(crate) async fn shut_down(host: &Arc<RelayHost>) {
    let grace = host.settings.stop_grace;
    let time = grace.saturating_sub(SHUTDOWN_MARGIN.min(grace.mul_f64(MAX_MARGIN_FRACTION)));
    let ends_at = host.now() + time;
    let detection_time = time.saturating_sub(CLOSING_TIME).mul_f64(MAX_DETECTION_FRACTION);
    tracing::info!(running = host.running(), "host is leaving");
    host.set_exit(ends_at);
    host.set_phase(HostPhase::Leaving);
    tokio::time::sleep(detection_time.min(BALANCER_DETECTION_TIME)).await;
    host.set_phase(HostPhase::Closing);
    tokio::time::sleep(CLOSING_TIME.min(ends_at.saturating_sub(host.now()))).await;
    // A balancer without a better host goes on sending callers here.
    while host.running() > 0 && host.now() + LISTEN_MARGIN < ends_at {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // The sleep before the first check lets the accepting task end, and a connection closes once its response is written.
    // So no request can arrive between the last check and the end of the process.
    host.set_phase(HostPhase::Draining);
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        if host.connections() == 0 || ends_at <= host.now() {
            break;
        }
    }
    tracing::info!(running = host.running(), "host has stopped");
}
