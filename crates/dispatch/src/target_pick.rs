//! Load balancing: selects the target with the lowest expected cost for an attempt.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::host_quota::ColdAllowance;
use crate::pool_state::RouteState;
use crate::target_state::TargetDistance;
use crate::target_state::TargetState;

/// Penalty of another region in addition to its latency. Traffic between regions is expensive, so a remote target is
/// chosen only if it is expected to answer at least this much sooner.
const REMOTE_PENALTY: Duration = Duration::from_millis(15);

/// A target counts as stalled after this multiple of its expected latency without a reply.
const STALL_FACTOR: f64 = 3.0;

/// Minimum time without a reply that counts as a stall. A shorter one may just as well be caused by a long request.
const MIN_STALL: Duration = Duration::from_millis(25);

/// Expected wait at a stalled target: about half of a long pause.
const STALL_PENALTY: Duration = Duration::from_millis(80);

/// Cost of a failed attempt: the time until another target has answered.
const FAILURE_PENALTY: Duration = Duration::from_millis(60);

/// Penalty of a target that is in backoff or leaving, high enough that it is used only if there is no other.
const BACKOFF_PENALTY: Duration = Duration::from_secs(10);

/// Multiple of the typical latency from which a target counts as slow; the usual differences between targets are
/// smaller.
const SLOW_FACTOR: f64 = 2.0;

/// Multiple of the slots of a target: with that many attempts of this host in flight, the target has no capacity.
const MAX_IN_FLIGHT_FACTOR: f64 = 1.5;

/// Upper bound of the random addition to each cost, which keeps hosts from all choosing the same of several equal
/// targets.
const COST_JITTER: f64 = 0.15;

/// Inputs of a pick other than the targets.
#[derive(Clone, Copy, Debug)]
pub struct PickContext<'a> {
    /// Latency estimates of the route.
    pub route: &'a RouteState,
    /// Limit on requests to cold targets; `None` if they take the usual load.
    pub cold_allowance: Option<ColdAllowance>,
    pub now: Duration,
}

/// The target with the lowest expected cost among those that are not excluded and have cold capacity, if there is any.
pub fn pick_target<'a>(
    targets: &'a [Arc<TargetState>],
    context: &PickContext<'_>,
    rng: &mut impl Rng,
    is_excluded: impl Fn(&TargetState) -> bool,
) -> Option<&'a Arc<TargetState>> {
    let usable =
        targets.iter().filter(|target| !is_excluded(target) && has_cold_capacity(target, context));
    let costs = usable.map(|target| {
        let jitter = 1.0 + rng.random_range(0.0..COST_JITTER);
        (target, expected_cost(target, context).mul_f64(jitter))
    });
    costs.min_by_key(|(_, cost)| *cost).map(|(target, _)| target)
}

/// Expected latency of an attempt over an open connection, without queueing at the target.
pub fn expected_latency(target: &TargetState, context: &PickContext<'_>) -> Duration {
    context.route.typical_latency(target.distance).mul_f64(target.relative_latency(context.now))
}

/// Expected latency of an attempt without queueing, including the time to open a connection if none is idle. Opening
/// one takes a round trip and occupies a slot of the target, together about as long as a short call.
pub fn expected_latency_with_connect(target: &TargetState, context: &PickContext<'_>) -> Duration {
    let latency = expected_latency(target, context);
    if target.has_idle_connection() {
        return latency;
    }
    latency + context.route.typical_latency(target.distance)
}

/// Whether the target has attempts in flight and has sent no reply for longer than a request should take.
pub fn is_stalled(target: &TargetState, context: &PickContext<'_>) -> bool {
    let expected = expected_latency(target, context);
    target.stalled_for(context.now) > expected.mul_f64(STALL_FACTOR).max(MIN_STALL)
}

/// Expected latency of an attempt queued behind this host's attempts in flight at the target.
pub fn queued_latency(target: &TargetState, context: &PickContext<'_>) -> Duration {
    let queued = f64::from(target.in_flight()) / f64::from(target.record.slots.max(1));
    expected_latency_with_connect(target, context).mul_f64(1.0 + queued)
}

/// Whether another attempt of this host would be queued at the target and take longer than `limit`.
fn would_queue_too_long(target: &TargetState, context: &PickContext<'_>, limit: Duration) -> bool {
    target.record.slots <= target.in_flight() && limit < expected_latency(target, context) * 2
}

/// Whether the target is slow and another attempt of this host would be queued there and take longer than `limit`.
pub fn is_overloaded(target: &TargetState, context: &PickContext<'_>, limit: Duration) -> bool {
    SLOW_FACTOR <= target.relative_latency(context.now)
        && would_queue_too_long(target, context, limit)
}

/// Whether the target can answer another attempt of this host within `limit`. Having more attempts in flight than slots
/// does not show a lack of capacity by itself: it also happens in short pauses of a target and over links between
/// regions.
pub fn has_capacity(target: &TargetState, context: &PickContext<'_>, limit: Duration) -> bool {
    f64::from(target.in_flight()) < MAX_IN_FLIGHT_FACTOR * f64::from(target.record.slots)
        && !would_queue_too_long(target, context, limit)
}

fn expected_cost(target: &TargetState, context: &PickContext<'_>) -> Duration {
    let now = context.now;
    let mut cost = queued_latency(target, context);
    cost += FAILURE_PENALTY.mul_f64(target.failure_rate(now));
    if target.distance == TargetDistance::Remote {
        cost += REMOTE_PENALTY;
    }
    if is_stalled(target, context) {
        cost += STALL_PENALTY;
    }
    if target.is_in_backoff(now) || target.is_leaving() {
        cost += BACKOFF_PENALTY;
    }
    cost
}

fn has_cold_capacity(target: &TargetState, context: &PickContext<'_>) -> bool {
    match context.cold_allowance {
        Some(allowance) if target.is_cold(context.now) => {
            target.has_cold_capacity(allowance.quota(&target.record.id), context.now)
        }
        _ => true,
    }
}
