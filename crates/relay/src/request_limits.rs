//! What targets ask of hosts in their replies: limits on requests, a pause, or no more requests because they leave.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use rand::Rng;
use vanillapick_dispatch::request_limit::LimitChange;
use vanillapick_dispatch::target_state::TargetState;

use crate::relay_host::RelayHost;
use crate::request_flow::millis;

/// Records what a reply of `target` names, to a request sent at `sent`.
pub(crate) fn record_limit(
    host: &RelayHost,
    target: &TargetState,
    rate: Option<f64>,
    sent: Duration,
) {
    let random = || host.rng().random();
    let change = target.request_limit.record_reply(rate, sent, host.now(), random);
    let Some(change) = change else { return };
    let (id, pool) = (&*target.record.id, &*target.record.pool);
    let label = match change {
        LimitChange::Learnt(rate) => {
            tracing::info!(target = id, pool, rate, "target names a request limit");
            "learnt"
        }
        LimitChange::Changed { before, after } => {
            tracing::info!(target = id, pool, before, rate = after, "request limit changed");
            "changed"
        }
        LimitChange::Ended { before } => {
            tracing::info!(target = id, pool, before, "request limit ended");
            "ended"
        }
    };
    metrics::counter!("vanillapick_request_limit_changes_total", "change" => label).increment(1);
    let labels = [("target", id.to_owned()), ("pool", pool.to_owned())];
    metrics::gauge!("vanillapick_target_request_limit", &labels)
        .set(target.request_limit.rate().unwrap_or_default());
}

/// Records whether a reply of `target` says that it is leaving, or wants no requests for some time.
pub(crate) fn record_target_notice(
    host: &RelayHost,
    target: &TargetState,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let now = host.now();
    let wire = &host.wire.target;
    let (id, pool) = (&*target.record.id, &*target.record.pool);
    if (wire.read_leaving)(headers) && target.record_leaving(now) {
        metrics::counter!("vanillapick_targets_leaving_total").increment(1);
        tracing::info!(target = id, pool, "target says that it is leaving");
    }
    if let Some(pause) = (wire.read_pause)(status, headers)
        && target.pause(now + pause, now)
    {
        metrics::counter!("vanillapick_target_pauses_total").increment(1);
        if host.log_limiter.allows(now) {
            let pause_ms = millis(pause);
            tracing::info!(target = id, pool, pause_ms, "target wants no requests for some time");
        }
    }
}

/// Counts shards that were left out of a search at once, because their targets are at the limits that they name.
pub(crate) fn count_limited_shards(count: usize) {
    if count > 0 {
        metrics::counter!("vanillapick_limited_shards_total").increment(count as u64);
    }
}
