//! Per-host quotas of limits that apply to all hosts together.

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

/// Requests per second that this host may send to a cold target, where all `hosts` hosts together may send `rate`.
/// `None` if the platform states no rate: such targets are slower while cold but take the usual load.
pub fn cold_request_quota(rate: f64, hosts: usize) -> Option<u32> {
    (rate > 0.0).then(|| (rate / hosts.max(1) as f64) as u32)
}
