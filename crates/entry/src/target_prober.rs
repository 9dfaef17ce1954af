//! Probes targets for their marks, so that hosts know the snapshots and cold starts of targets without traffic.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use vanillapick_fleet::peer_state::MARK_PUBLISHER_ROLE;
use vanillapick_fleet::replicated_config::role_holders;
use vanillapick_model::host::HostId;
use vanillapick_policy::target_state::TargetState;

use crate::entry_host::EntryHost;

/// Interval between probe rounds. With one prober per target in its failure domain, a host probes 6 targets per second
/// at the size expected in two years, which is about 2 KB/s.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the prober checks for the first configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Rounds between probes of a target without known marks if this host is not its prober.
const UNKNOWN_TARGET_PROBE_ROUNDS: u64 = 10;

/// Time limit of a probe, from connecting to the end of the reply.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of concurrent probes.
const MAX_CONCURRENT_PROBES: usize = 32;

/// Runs until the host stops. Every host probes a target without known marks, in the first and every tenth round.
/// Otherwise only the first host by rendezvous rank in the target's failure domain probes it; the others receive its
/// marks from that host or with replies.
pub async fn probe_targets(host: Arc<EntryHost>) {
    while !host.lifecycle.is_configured() {
        tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
    }
    for round in 0.. {
        probe_round(&host, round).await;
        host.lifecycle.set_probed();
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_round(host: &Arc<EntryHost>, round: u64) {
    let view = host.policy.view();
    let mut probers = HashMap::new();
    let mut probes = JoinSet::new();
    for entry in view.table().pools.values().flat_map(|pool| &pool.targets) {
        let Some(target) = view.target(&entry.id) else { continue };
        let live = probers
            .entry(&entry.domain)
            .or_insert_with(|| host.peers.live_in_domain(&entry.domain));
        let is_unknown =
            target.marks().is_none() && round.is_multiple_of(UNKNOWN_TARGET_PROBE_ROUNDS);
        // While the target's failure domain has live hosts, only they probe it. Each host thus selects probers only for
        // the targets of its own domain.
        let is_in_other_served_domain = entry.domain != host.me.domain && !live.is_empty();
        if !is_unknown && (is_in_other_served_domain || !is_prober(host, &entry.id, live)) {
            continue;
        }
        if MAX_CONCURRENT_PROBES <= probes.len() {
            probes.join_next().await;
        }
        probes.spawn(probe(Arc::clone(host), Arc::clone(target)));
    }
    while probes.join_next().await.is_some() {}
}

async fn probe(host: Arc<EntryHost>, target: Arc<TargetState>) {
    let Some(marks) = host.targets.status(target.address, PROBE_TIMEOUT).await else { return };
    host.policy.record_marks(&target.id, &marks, host.now());
    host.peers.record_target_mark(&host, &target.id, &marks);
}

/// Whether this host probes the target, as the first of the hosts that publish its marks. If the target's failure
/// domain has no live host, every host probes it, because there is no traffic from that domain to learn its marks from.
fn is_prober(host: &EntryHost, target: &str, live: &[HostId]) -> bool {
    let publishers = role_holders(MARK_PUBLISHER_ROLE, target, live.iter().map(String::as_str), 1);
    publishers.first().is_none_or(|first| *first == host.me.id)
}
