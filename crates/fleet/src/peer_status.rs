//! What a host reports about itself as a peer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostId;
use vanillapick_model::table::ConfigRevision;

use crate::membership::MemberState;
use crate::peer_state::PeerState;
use crate::replicated_config::RefusedConfig;

/// State of one host as a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Revision in force; 0 for none.
    pub revision: ConfigRevision,
    /// A newer table that failed its checks here.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refused: Option<RefusedConfig>,
    /// Whether the host watches the store.
    pub watches_store: bool,
    /// Whether the host exchanges sums with other domains.
    pub is_delegate: bool,
    /// Hosts that limits are divided over, the own one included.
    pub live: usize,
    /// Rows of the shared state.
    pub rows: usize,
    /// Encoded bytes received from peers.
    pub bytes_in: u64,
    /// Encoded bytes sent to peers.
    pub bytes_out: u64,
    /// The other hosts, ascending by id.
    pub members: Vec<MemberStatus>,
}

/// Another host as this one sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its state.
    pub state: MemberState,
    /// Whether it leaves.
    pub leaving: bool,
    /// Time since the last word from it, directly or through peers, in milliseconds. Hosts of other domains are heard
    /// only while the list does not vouch for them.
    pub silent_ms: Option<u64>,
}

impl PeerState {
    /// The state as operators read it.
    pub fn status(&self, now: Duration) -> PeerStatus {
        let members = self.membership.records().map(|record| MemberStatus {
            host: record.entry.id.clone(),
            domain: record.entry.domain.clone(),
            state: record.state,
            leaving: record.entry.leaving,
            silent_ms: record.last_contact.map(|word| {
                u64::try_from(now.saturating_sub(word).as_millis()).unwrap_or(u64::MAX)
            }),
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
