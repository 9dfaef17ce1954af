//! Entry hosts: the machines that run `vanillapick-entry`.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::failure_domain::DomainId;

/// Unique name of an entry host.
pub type HostId = String;

/// Start time of a process in milliseconds since the Unix epoch; increases with every restart.
pub type IncarnationNumber = u64;

/// Entry host as described by the platform's host list and by peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Unique name; never reused for a replacement host.
    pub id: HostId,
    /// Failure domain of the host; constant during an incarnation.
    pub domain: DomainId,
    /// IP address and port for callers and peers.
    pub address: SocketAddr,
    /// Of two entries with the same id, the one with the higher incarnation is current.
    #[serde(default)]
    pub incarnation: IncarnationNumber,
    /// Whether the host is shutting down; never reset during an incarnation.
    #[serde(default)]
    pub leaving: bool,
}
