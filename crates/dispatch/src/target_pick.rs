//! Choice of the target of one attempt.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::pool_state::RouteState;
use crate::target_state::TargetDistance;
use crate::target_state::TargetState;

/// Cost of sending to another region beside its latency: bytes between regions are dear, so a remote target is chosen
/// when it is expected to answer at least this much sooner.
const REMOTE_COST: Duration = Duration::from_millis(15);

/// An attempt without a reply for this many times its expected latency stands for a target that has stopped.
const STALL_FACTOR: f64 = 3.0;

/// Shortest time without a reply after which a target counts as stopped; below it a long request is as likely.
const SHORTEST_STALL: Duration = Duration::from_millis(25);

/// Expected wait at a target that has stopped: about half of a long pause.
const STALL_COST: Duration = Duration::from_millis(80);

/// Cost of a failed attempt: the time until another target has answered.
const FAILURE_COST: Duration = Duration::from_millis(60);

/// Cost of choosing a target that was lost a moment ago.
const AVOIDANCE_COST: Duration = Duration::from_secs(10);

/// A target is slow when it takes this many times the usual latency; the differing speeds of targets stay below it.
const SLOW_FACTOR: f64 = 2.0;

/// A target is full when this host has this many times its slots in flight there.
const FULL_FACTOR: f64 = 1.5;

/// Spread of the random factor that keeps hosts from choosing the same of several equal targets.
const SPREAD: f64 = 0.15;

/// What a pick depends on beside the targets.
#[derive(Clone, Copy, Debug)]
pub struct PickContext<'a> {
    /// State of the route.
    pub route: &'a RouteState,
    /// Requests a second that a cold target may get from this host; `None` if cold targets bear the usual load.
    pub cold_allowance: Option<u32>,
    /// Time of the pick.
    pub now: Duration,
}

/// The target with the least expected cost, without those that `is_excluded` names. `None` if none may be used.
pub fn pick_target<'a>(
    targets: &'a [Arc<TargetState>],
    context: &PickContext<'_>,
    rng: &mut impl Rng,
    is_excluded: impl Fn(&TargetState) -> bool,
) -> Option<&'a Arc<TargetState>> {
    let usable =
        targets.iter().filter(|target| !is_excluded(target) && has_cold_capacity(target, context));
    let costs = usable.map(|target| {
        let spread = 1.0 + rng.random_range(0.0..SPREAD);
        (target, expected_cost(target, context).mul_f64(spread))
    });
    costs.min_by_key(|(_, cost)| *cost).map(|(target, _)| target)
}

/// Expected time until the target answers an attempt that is sent now, without its queue.
pub fn expected_latency(target: &TargetState, context: &PickContext<'_>) -> Duration {
    context.route.typical_latency(target.distance).mul_f64(target.relative_latency(context.now))
}

/// Expected time until the target answers an attempt that is sent now, with a connection to be opened if there is none.
/// That takes another round trip and a slot of the target for a while, about as long as a short call.
pub fn expected_latency_with_connect(target: &TargetState, context: &PickContext<'_>) -> Duration {
    let latency = expected_latency(target, context);
    if target.has_idle_connection() {
        return latency;
    }
    latency + context.route.typical_latency(target.distance)
}

/// Whether the target has attempts in flight and has not replied for too long.
pub fn is_stalled(target: &TargetState, context: &PickContext<'_>) -> bool {
    let expected = expected_latency(target, context);
    target.stalled_for(context.now) > expected.mul_f64(STALL_FACTOR).max(SHORTEST_STALL)
}

/// Expected time until the target answers, behind the attempts that this host has in flight there.
pub fn queued_latency(target: &TargetState, context: &PickContext<'_>) -> Duration {
    let queued = f64::from(target.in_flight()) / f64::from(target.record.slots.max(1));
    expected_latency_with_connect(target, context).mul_f64(1.0 + queued)
}

/// Whether one more attempt of this host would have to wait at the target and miss `limit`.
fn is_queue_late(target: &TargetState, context: &PickContext<'_>, limit: Duration) -> bool {
    target.record.slots <= target.in_flight() && limit < expected_latency(target, context) * 2
}

/// Whether the target is slow and one more attempt of this host would have to wait there and miss `limit`.
pub fn is_overloaded(target: &TargetState, context: &PickContext<'_>, limit: Duration) -> bool {
    SLOW_FACTOR <= target.relative_latency(context.now) && is_queue_late(target, context, limit)
}

/// Whether the target has room for one more attempt of this host that answers within `limit`. In every short pause of a
/// target and on the way to other regions more attempts than slots are in flight, which is no lack of room.
pub fn has_capacity(target: &TargetState, context: &PickContext<'_>, limit: Duration) -> bool {
    f64::from(target.in_flight()) < FULL_FACTOR * f64::from(target.record.slots)
        && !is_queue_late(target, context, limit)
}

fn expected_cost(target: &TargetState, context: &PickContext<'_>) -> Duration {
    let now = context.now;
    let mut cost = queued_latency(target, context);
    cost += FAILURE_COST.mul_f64(target.failure_rate(now));
    if target.distance == TargetDistance::Remote {
        cost += REMOTE_COST;
    }
    if is_stalled(target, context) {
        cost += STALL_COST;
    }
    if target.is_avoided(now) {
        cost += AVOIDANCE_COST;
    }
    cost
}

fn has_cold_capacity(target: &TargetState, context: &PickContext<'_>) -> bool {
    match context.cold_allowance {
        Some(allowed) if target.is_cold(context.now) => {
            target.has_cold_capacity(allowed, context.now)
        }
        _ => true,
    }
}
