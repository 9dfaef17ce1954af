//! Selects the host that serves a request in place of one that is cut off from all targets.

use std::time::Duration;

use rand::Rng;

use crate::target_state::TargetDistance;

/// Requests in flight at a near host that make up for the distance to one of another domain or of another region.
const DISTANCE_COST: [usize; 3] = [0, 4, 8];

/// Requests in flight that make up for one refusal by a host of the same domain that is cut off. Often a whole domain is.
const REFUSAL_COST: usize = 6;

/// Requests in flight that make up for not knowing whether a host reaches targets. It is less than a step of the distance, so
/// that a near domain is tried before requests stay with a distant one, and a refusal there decides for the distant one.
const UNPROVEN_COST: usize = 3;

/// Time that a reply takes from the other host, by distance.
const RETURN_TIME: [Duration; 3] =
    [Duration::from_millis(2), Duration::from_millis(4), Duration::from_millis(15)];

/// Retry-after time if no other host serves the request. The caller's next attempt reaches another host.
pub const NO_HOST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Host that may serve a request for this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardCandidate {
    pub distance: TargetDistance,
    /// Whether the host failed or refused lately.
    pub is_in_backoff: bool,
    /// Requests and groups of this host that are in flight there.
    pub in_flight: usize,
    /// Whether the host has lately served a request of this host, or said that it reaches targets.
    pub is_proven: bool,
    /// Number of hosts of the same domain that have refused this request because they are cut off.
    pub refusals: usize,
}

/// The candidate to ask; `None` if all failed or refused lately.
///
/// A host takes more requests the nearer it is, but callers of one domain must not overload the few hosts that are left in it. If
/// hosts of a domain are cut off, others of that domain are asked later, unless they have shown that they reach targets.
pub fn pick_forward_host(candidates: &[ForwardCandidate], rng: &mut impl Rng) -> Option<usize> {
    let usable = candidates.iter().enumerate().filter(|(_, candidate)| !candidate.is_in_backoff);
    let ranked = usable.map(|(index, candidate)| {
        let cost = candidate.in_flight
            + DISTANCE_COST[candidate.distance as usize]
            + if candidate.is_proven {
                0
            } else {
                UNPROVEN_COST + REFUSAL_COST * candidate.refusals
            };
        (cost, rng.random::<u32>(), index)
    });
    ranked.min().map(|(_, _, index)| index)
}

/// Time to reserve for the way of the reply from a host at this distance.
pub fn forward_return_time(distance: TargetDistance) -> Duration {
    RETURN_TIME[distance as usize]
}
