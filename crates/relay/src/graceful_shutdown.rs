//! The planned stop of a host.

use std::sync::Arc;
use std::time::Duration;

use crate::relay_host::HostPhase;
use crate::relay_host::RelayHost;

/// Time until the balancer has noticed that the host is not ready: two of its questions, a second apart, and their way.
const BALANCER_LAG: Duration = Duration::from_millis(2500);

/// Time for which connections are accepted after that, so that requests on their way are still read.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// Time before the platform ends the process at which it ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Time between two looks at the open connections.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

/// Serves until callers have gone elsewhere and all requests are answered.
pub(crate) async fn stop(host: &Arc<RelayHost>) {
    let ends_at = host.now() + host.settings.stop_grace().saturating_sub(GRACE_MARGIN);
    tracing::info!(running = host.running(), "host is leaving");
    host.set_phase(HostPhase::Leaving);
    tokio::time::sleep(BALANCER_LAG).await;
    host.set_phase(HostPhase::Closing);
    tokio::time::sleep(CLOSE_TIME).await;
    // No request can come between the last look and the end of the process any more. The first pause lets the task that
    // accepts connections end; a connection ends when its answer has been written.
    host.set_phase(HostPhase::Draining);
    loop {
        tokio::time::sleep(DRAIN_CHECK).await;
        if host.connections() == 0 || ends_at <= host.now() {
            break;
        }
    }
    tracing::info!(running = host.running(), "host has stopped");
}
