//! Registration of a target in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::config_document::DomainId;
use crate::config_document::PoolId;

/// Id of a target instance; some targets keep their id over a restart.
pub type TargetId = Arc<str>;

/// Software version that a target runs.
pub type TargetVersion = Arc<str>;

/// Contents of the registration of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    pub id: TargetId,
    /// Pool that the target belongs to.
    pub pool: PoolId,
    /// Address for requests, which may later be reused by a target of another pool.
    pub address: SocketAddr,
    pub domain: DomainId,
    pub version: TargetVersion,
    /// Maximum number of concurrent requests; at least 1.
    pub slots: u32,
    /// Whether the target accepts no new requests.
    pub draining: bool,
    /// How much longer the target stays cold, from when the record was read.
    pub cold_remaining: Duration,
    /// Incremented by the target with each record since its start.
    pub sequence: u64,
    /// Unix time of the start in milliseconds; 0 if unknown.
    pub started_ms: u64,
}

impl TargetRecord {
    /// Whether `self` is older than `other`, a record of the same id. The sequence restarts with the target.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
    }
}
