//! What a target says of itself in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::config_document::DomainId;
use crate::config_document::PoolId;

/// Id of one start of a target; some targets keep their id over a restart.
pub type TargetId = Arc<str>;

/// Version of the software of a target.
pub type TargetVersion = Arc<str>;

/// One entry of the registry of targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Id of the target.
    pub id: TargetId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// Address for requests. An address may pass to a target of another pool.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Version of its software.
    pub version: TargetVersion,
    /// Requests that it runs at the same time; at least 1.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How much longer it stays cold, from the time the record was read.
    pub cold_remaining: Duration,
    /// Counts what the target wrote since its start.
    pub sequence: u64,
    /// Unix time of its start in milliseconds; 0 if it is not told.
    pub started_ms: u64,
}

impl TargetRecord {
    /// Whether `self` is older than `other`, a record of the same id. A restart begins a new sequence.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
    }
}
