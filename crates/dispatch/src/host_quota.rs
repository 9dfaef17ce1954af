//! This host's part of limits that hold over all hosts.

/// Part of a target's connections that hosts use together. Connections of hosts that lost power stay open at the target
/// until it notices, and the hosts need as many again when they return.
const USED_PART: f64 = 0.5;

/// Fewest connections of one host to one target.
const FEWEST_CONNECTIONS: u32 = 2;

/// Connections that this host may hold to a target that accepts `connections` from `hosts` hosts.
pub fn connection_quota(connections: u32, hosts: usize) -> usize {
    let part = f64::from(connections) * USED_PART / hosts.max(1) as f64;
    (part as u32).clamp(FEWEST_CONNECTIONS.min(connections.max(1)), connections.max(1)) as usize
}

/// Requests a second that this host may send to a cold target, where all `hosts` hosts may send `rate` together. `None`
/// if the platform names no rate: such targets are slower while cold and bear the usual load.
pub fn cold_request_quota(rate: f64, hosts: usize) -> Option<u32> {
    (rate > 0.0).then(|| (rate / hosts.max(1) as f64) as u32)
}
