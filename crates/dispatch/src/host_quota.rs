//! Per-host quotas of limits that apply to all hosts together.

use xxhash_rust::xxh3::xxh3_64;

use crate::target_record::TargetId;

/// Fraction of the connection limit of a target that all hosts use together. A target keeps the connections of hosts
/// that lost power until it notices, and the hosts need as many again when they return.
const USED_FRACTION: f64 = 0.5;

/// Minimum number of connections of one host to one target.
const MIN_CONNECTIONS: u32 = 2;

/// Connections that this host may open to a target that accepts `connections` from all `hosts` hosts.
pub fn connection_quota(connections: u32, hosts: usize) -> usize {
    let quota = f64::from(connections) * USED_FRACTION / hosts.max(1) as f64;
    (quota as u32).clamp(MIN_CONNECTIONS.min(connections.max(1)), connections.max(1)) as usize
}

/// Division of the requests per second that all hosts together may send to a cold target.
#[derive(Clone, Copy, Debug)]
pub struct ColdAllowance {
    /// Requests per second of all hosts.
    total: u64,
    hosts: u64,
    /// Position of this host among all hosts; `None` if it is not registered.
    rank: Option<u64>,
}

impl ColdAllowance {
    /// `rate` is in requests per second. `None` if the platform states no rate: such targets are slower while cold but take the
    /// usual load.
    pub fn new(rate: f64, hosts: usize, rank: Option<usize>) -> Option<Self> {
        (rate > 0.0).then_some(Self {
            total: rate as u64,
            hosts: hosts.max(1) as u64,
            rank: rank.map(|rank| rank as u64),
        })
    }

    /// Requests per second that this host may send to a cold target. What cannot be divided equally goes to one request each of
    /// some hosts, which are others for each target.
    pub fn quota(&self, target: &TargetId) -> u32 {
        let (equal, rest) = (self.total / self.hosts, self.total % self.hosts);
        let is_favoured = self.rank.is_some_and(|rank| {
            let offset = xxh3_64(target.as_bytes()) % self.hosts;
            (rank + offset) % self.hosts < rest
        });
        u32::try_from(equal + u64::from(is_favoured)).unwrap_or(u32::MAX)
    }
}
