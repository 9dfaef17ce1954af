//! Status of the local host as a peer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostId;
use vanillapick_model::table::ConfigRevision;

use crate::membership::MemberState;
use crate::peer_state::PeerState;
use crate::replicated_config::RefusedConfig;

/// Peer status of the local host and of the hosts it knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    pub host: HostId,
    pub domain: DomainId,
    /// Active revision; 0 for none.
    pub revision: ConfigRevision,
    /// Newer table that failed its checks on this host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refused: Option<RefusedConfig>,
    /// Whether the host watches the configuration in the store.
    pub watches_store: bool,
    /// Whether the host exchanges summaries with other domains.
    pub is_delegate: bool,
    /// Number of hosts that limits are divided among, including the local host.
    pub live: usize,
    /// Number of rows in the shared state.
    pub rows: usize,
    /// Encoded bytes received from peers.
    pub bytes_in: u64,
    /// Encoded bytes sent to peers.
    pub bytes_out: u64,
    /// All other known hosts: those of the local domain first, each part ascending by id.
    pub members: Vec<MemberStatus>,
}

/// Another host, as seen by the local host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    pub host: HostId,
    pub domain: DomainId,
    pub state: MemberState,
    /// Whether the host has announced its shutdown.
    pub leaving: bool,
    /// Time since the last contact, directly or through peers, in milliseconds. For hosts of other domains it is
    /// updated only while the host list does not contain them.
    pub silent_ms: Option<u64>,
}

impl PeerState {
    /// Current status, as shown to operators.
    pub fn status(&self, now: Duration) -> PeerStatus {
        let members = self.membership.records().map(|record| MemberStatus {
            host: record.entry.id.clone(),
            domain: record.entry.domain.clone(),
            state: record.state,
            leaving: record.entry.leaving,
            silent_ms: record
                .last_contact
                .map(|at| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX)),
        });
        PeerStatus {
            host: self.local_host().id.clone(),
            domain: self.local_host().domain.clone(),
            revision: self.shared.config.revision(),
            refused: self.shared.config.refused().cloned(),
            watches_store: self.watches_store,
            is_delegate: self.is_delegate,
            live: self.membership.live_hosts().len(),
            rows: self.shared.rows().count(),
            bytes_in: self.bytes_in,
            bytes_out: self.bytes_out,
            members: members.collect(),
        }
    }
}
