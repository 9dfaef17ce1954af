//! Asks targets for their marks, so that hosts know snapshots and cold starts of targets without traffic.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use vanillapick_fleet::peer_state::MARK_PUBLISHER_ROLE;
use vanillapick_fleet::replicated_config::role_holders;
use vanillapick_model::host::HostId;
use vanillapick_policy::target_state::TargetState;

use crate::entry_host::EntryHost;

/// Time between two rounds. With one prober for each target in its failure domain, a host of the size of two years
/// probes 6 targets a second, about 2 KB/s.
const ROUND: Duration = Duration::from_secs(1);

/// Time between two looks whether there is a configuration.
const START_CHECK: Duration = Duration::from_millis(10);

/// Rounds between two probes of a target that has never answered and that this host does not probe for its domain.
const STRANGER_ROUNDS: u64 = 10;

/// Longest time for one answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Probes of one round that run at the same time.
const AT_ONCE: usize = 32;

/// Runs until the host ends. A target that has never been heard of is probed by every host, at first with every round;
/// afterwards only the first host by rendezvous rank in the target's failure domain probes it, and the others hear its
/// marks from there or from replies.
pub async fn probe_targets(host: Arc<EntryHost>) {
    while !host.lifecycle.is_configured() {
        tokio::time::sleep(START_CHECK).await;
    }
    for round in 0.. {
        probe_once(&host, round).await;
        host.lifecycle.set_probed();
        tokio::time::sleep(ROUND).await;
    }
}

async fn probe_once(host: &Arc<EntryHost>, round: u64) {
    let view = host.policy.view();
    let mut probers = HashMap::new();
    let mut probes = JoinSet::new();
    for entry in view.table().pools.values().flat_map(|pool| &pool.targets) {
        let Some(target) = view.target(&entry.id) else { continue };
        let live = probers
            .entry(&entry.domain)
            .or_insert_with(|| host.peers.live_in_domain(&entry.domain));
        let is_stranger = target.marks().is_none() && round.is_multiple_of(STRANGER_ROUNDS);
        // Only hosts of the target's own domain probe it while there are any, which keeps the choice of probers to the
        // targets of one domain.
        let is_foreign = entry.domain != host.me.domain && !live.is_empty();
        if !is_stranger && (is_foreign || !is_prober(host, &entry.id, live)) {
            continue;
        }
        if AT_ONCE <= probes.len() {
            probes.join_next().await;
        }
        probes.spawn(probe(Arc::clone(host), Arc::clone(target)));
    }
    while probes.join_next().await.is_some() {}
}

async fn probe(host: Arc<EntryHost>, target: Arc<TargetState>) {
    let Some(marks) = host.targets.status(target.address, ANSWER_LIMIT).await else { return };
    host.policy.record_marks(&target.id, &marks, host.now());
    host.peers.note_target(&host, &target.id, &marks);
}

/// Whether this host probes the target: the host that publishes its marks without waiting. Without a live host in the
/// target's own domain every host looks after it, as there is no traffic of that domain to learn from.
fn is_prober(host: &EntryHost, target: &str, live: &[HostId]) -> bool {
    let publishers = role_holders(MARK_PUBLISHER_ROLE, target, live.iter().map(String::as_str), 1);
    publishers.first().is_none_or(|first| *first == host.me.id)
}
