//! Computes and applies this host's share of each target's limits.

use std::sync::Arc;
use std::time::Duration;

use vanillapick_policy::shares::connection_share;

use crate::entry_host::EntryHost;

/// Interval between updates of targets in a cold start, whose limits grow with time.
const COLD_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Runs until the host stops: updates the limits of targets in a cold start.
pub async fn refresh_cold_limits(host: Arc<EntryHost>) {
    loop {
        tokio::time::sleep(COLD_REFRESH_INTERVAL).await;
        let now = host.now();
        for target in host.policy.view().targets() {
            target.refresh(now);
        }
    }
}

/// Divides the limits of all targets among the live hosts. Called after each change of the configuration or of the live
/// hosts.
pub fn apply_limit_shares(host: &EntryHost) {
    if host.settings.baseline {
        return;
    }
    let live = host.peers.live_ids();
    let view = host.policy.view();
    for pool in view.table().pools.values() {
        for entry in &pool.targets {
            let Some(target) = view.target(&entry.id) else { continue };
            let ids = live.iter().map(String::as_str);
            let connections =
                connection_share(&entry.id, pool.contract.connections, ids, &host.me.id);
            // One connection is reserved for cancel requests and probes, so that a cancel request never waits for the
            // call that it cancels.
            let running =
                pool.contract.slots.min(connections.saturating_sub(1)).max(connections.min(1));
            target.set_limits(running, connections);
            target.apply_hosts(live.iter().map(String::as_str), &host.me.id, host.now());
            host.targets.set_limit(entry.address, connections);
        }
    }
}
