//! What a host says of itself in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config_document::DomainId;

/// Id of a host as it registers itself.
pub type HostId = Arc<str>;

/// Entry of a live host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostRecord {
    /// Failure domain of the host; `None` if an older version wrote the entry.
    pub domain: Option<DomainId>,
    /// Address at which other hosts of the failure domain ask for changes of the store; `None` if it serves none.
    pub peer_address: Option<SocketAddr>,
}
