//! Status endpoint, read by `vanillapick-ctl status`.

use serde::Serialize;
use vanillapick_fleet::membership::MemberState;
use vanillapick_fleet::replicated_config::RefusedConfig;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostId;
use vanillapick_model::table::ConfigRevision;

use crate::entry_host::EntryHost;
use crate::move_tracker::MoveSummary;

/// State of a host, as reported to operators.
#[derive(Debug, Serialize)]
pub struct StatusPage {
    host: HostId,
    domain: DomainId,
    revision: ConfigRevision,
    ready: bool,
    leaving: bool,
    /// A newer configuration that failed its checks here.
    rejected: Option<RefusedConfig>,
    /// Whether this host watches the store.
    watches_store: bool,
    requests_running: usize,
    peer: PeerCost,
    peers: Vec<PeerLine>,
    moves: Vec<MoveSummary>,
}

/// Cost of the exchange with peers since the host started.
#[derive(Debug, Serialize)]
struct PeerCost {
    bytes_in: u64,
    bytes_out: u64,
    cpu_us: u64,
}

/// State of another host, as seen by this one.
#[derive(Debug, Serialize)]
struct PeerLine {
    host: HostId,
    /// Time since its last message; `None` if it is known only from the host list.
    age_ms: Option<u64>,
    state: MemberState,
    leaving: bool,
}

/// Collects the current state of the host.
pub fn status_page(host: &EntryHost) -> StatusPage {
    let status = host.peers.status(host.now());
    let peers = status.members.into_iter().map(|member| PeerLine {
        host: member.host,
        age_ms: member.silent_ms,
        state: member.state,
        leaving: member.leaving,
    });
    StatusPage {
        host: status.host,
        domain: status.domain,
        revision: status.revision,
        ready: host.is_ready(),
        leaving: host.lifecycle.is_leaving(),
        rejected: status.refused,
        watches_store: status.watches_store,
        requests_running: host.running.count(),
        peer: PeerCost {
            bytes_in: status.bytes_in,
            bytes_out: status.bytes_out,
            cpu_us: host.peers.cpu_us(),
        },
        peers: peers.collect(),
        moves: host.moves.lines(),
    }
}
