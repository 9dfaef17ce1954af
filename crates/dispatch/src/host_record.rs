//! Registration of a host in the store, which other hosts read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::config_document::DomainId;

/// Time to live of the lease of a registration. It exceeds short outages of the store, so that they do not change the number of
/// hosts.
pub const HOST_LEASE_TTL: Duration = Duration::from_secs(40);

/// Id under which a host registers itself.
pub type HostId = Arc<str>;

/// Contents of the registration of a live host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostRecord {
    /// Failure domain of the host; `None` if an older version of the program wrote the record.
    pub domain: Option<DomainId>,
    /// Address at which the host serves store changes to other hosts of its failure domain; `None` if it serves none.
    pub peer_address: Option<SocketAddr>,
    /// Address at which the host gathers parts of searches for other hosts of its failure domain; `None` if it does not.
    pub parts_address: Option<SocketAddr>,
    /// Whether the host tells orders to move a pool to the same version apart; earlier builds of the program do not.
    pub knows_order_ids: bool,
}
