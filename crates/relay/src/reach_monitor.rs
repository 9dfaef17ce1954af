//! Watches whether this host is cut off from all targets: probes targets by new connections and asks other hosts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Method;
use vanillapick_dispatch::target_reach::LinkState;
use vanillapick_dispatch::target_reach::REACH_TICK;
use vanillapick_dispatch::target_reach::ReachChange;
use vanillapick_dispatch::target_reach::ReachEvidence;
use vanillapick_dispatch::target_reach::ReachMonitor;
use vanillapick_dispatch::target_reach::ReachStep;
use vanillapick_dispatch::target_reach::ReachableView;

use crate::forward_wire::REACH_PATH;
use crate::forward_wire::decode_link_state;
use crate::part_peers::PartPeer;
use crate::part_peers::peer_call;
use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;
use crate::request_flow::millis;

/// Number of targets that a verification probes. A few may be down by themselves.
const PROBED_TARGETS: usize = 3;

/// Number of other hosts that a verification asks. Most of them may be cut off as well.
const ASKED_HOSTS: usize = 4;

/// Time for a new connection to a target: several round trips between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for the answer of another host, which may probe a target first.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Size limit of the answer of another host.
const MAX_ANSWER_BYTES: usize = 1 << 10;

/// Keeps the belief of the host up to date until the process ends.
pub(crate) async fn watch_target_reach(host: Arc<RelayHost>) {
    let mut monitor = ReachMonitor::default();
    loop {
        tokio::time::sleep(REACH_TICK).await;
        let Some(view) = host.view() else { continue };
        let change = match monitor.tick(&host.reach, reachable(&view), host.now()) {
            ReachStep::Wait => None,
            ReachStep::Verify => {
                let evidence = verify(&host, &view).await;
                tracing::info!(
                    reaches_target = evidence.reaches_target,
                    reaching_hosts = evidence.reaching_hosts,
                    asked_hosts = evidence.asked_hosts,
                    "no target replies; links verified"
                );
                monitor.on_verified(&host.reach, evidence, host.now())
            }
            ReachStep::Probe => {
                let reaches_target = probe(&host, &view, 1).await;
                monitor.on_probed(&host.reach, reaches_target, host.now())
            }
        };
        if let Some(change) = change {
            report(change);
            host.notify_reach();
        }
    }
}

fn report(change: ReachChange) {
    let label = match change {
        ReachChange::CutOff(silence) => {
            let silent_ms = millis(silence);
            tracing::warn!(silent_ms, "host is cut off from all targets; forwarding requests");
            "cut_off"
        }
        ReachChange::Restored(time) => {
            tracing::warn!(cut_off_ms = millis(time), "targets are reachable again");
            "restored"
        }
    };
    metrics::counter!("vanillapick_target_reach_changes_total", "change" => label).increment(1);
    metrics::gauge!("vanillapick_cut_off").set(f64::from(u8::from(label == "cut_off")));
}

fn reachable(view: &RelayView) -> ReachableView {
    let pools = view.serving.pools.values().map(|pool| pool.targets.len());
    pools.filter(|targets| 0 < *targets).fold(ReachableView::default(), |view, targets| {
        ReachableView { targets: view.targets + targets, pools: view.pools + 1 }
    })
}

async fn verify(host: &Arc<RelayHost>, view: &RelayView) -> ReachEvidence {
    let peers = view.part_peers.sample(ASKED_HOSTS, &mut host.rng());
    let answers = join_all(peers.iter().map(|peer| ask(host, peer)));
    let (reaches_target, answers) = tokio::join!(probe(host, view, PROBED_TARGETS), answers);
    let reaching = answers.iter().filter(|answer| **answer == Some(LinkState::Reaching));
    ReachEvidence { reaches_target, reaching_hosts: reaching.count(), asked_hosts: peers.len() }
}

/// Opens connections to some targets at once; returns whether any of them accepted.
async fn probe(host: &Arc<RelayHost>, view: &RelayView, count: usize) -> bool {
    let targets = view.connections.sample(count, &mut host.rng());
    let probes = targets.iter().map(|target| target.probe(PROBE_TIMEOUT, || host.now()));
    let accepted = join_all(probes).await;
    if accepted.contains(&Some(false)) {
        host.target_unreachable.notify_one();
    }
    accepted.contains(&Some(true))
}

/// State of this host's links to tell another host. A host that has not called a target lately probes some first.
pub(crate) async fn link_state(host: &Arc<RelayHost>) -> LinkState {
    let state = host.reach.link_state(host.now());
    let Some(view) = host.view().filter(|_| state == LinkState::Unknown) else { return state };
    if probe(host, &view, PROBED_TARGETS).await { LinkState::Reaching } else { state }
}

async fn ask(host: &Arc<RelayHost>, peer: &Arc<PartPeer>) -> Option<LinkState> {
    tokio::time::timeout(ASK_TIMEOUT, request_link_state(host, peer)).await.ok()?
}

async fn request_link_state(host: &Arc<RelayHost>, peer: &Arc<PartPeer>) -> Option<LinkState> {
    let mut connection = match peer.take_idle(host.now()).await {
        Some(connection) => connection,
        None => peer.open(host.now()).await.ok()?,
    };
    let call = peer_call(Method::GET, REACH_PATH, Bytes::new());
    let mut body = connection.send(call).await.ok()?.into_body();
    connection.allow(MAX_ANSWER_BYTES);
    let mut answer = Vec::new();
    while let Some(data) = connection.next_data(&mut body).await.ok()? {
        answer.extend_from_slice(&data);
    }
    peer.put_idle(connection, host.now()).await;
    let state = decode_link_state(&answer)?;
    match state {
        LinkState::CutOff => peer.record_cut_off(host.now()),
        LinkState::Reaching => peer.record_reaching(host.now()),
        LinkState::Unknown => {}
    }
    Some(state)
}
