//! Labels of request outcomes and the log line of cancelled requests.

use std::sync::Arc;

use hyper::header::HeaderValue;
use vanillapick_dispatch::config_document::RouteContract;
use vanillapick_dispatch::dispatch_plan::FailureCause;
use vanillapick_dispatch::dispatch_plan::PlanVerdict;
use vanillapick_dispatch::dispatch_plan::RefusalCause;

use crate::relay_host::RelayHost;

/// Guard that logs and counts the request as cancelled if it is dropped before [`Self::finish`].
pub(crate) struct CancelGuard {
    request: Option<(HeaderValue, Arc<RouteContract>)>,
    host: Arc<RelayHost>,
}

impl CancelGuard {
    /// Starts guarding a request.
    pub(crate) fn new(host: &Arc<RelayHost>, id: &HeaderValue, route: &Arc<RouteContract>) -> Self {
        Self { request: Some((id.clone(), Arc::clone(route))), host: Arc::clone(host) }
    }

    /// Disarms the guard, because the request was answered.
    pub(crate) fn finish(mut self) {
        self.request = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some((request_id, route)) = self.request.take() else { return };
        metrics::counter!("vanillapick_requests_total", "outcome" => "cancelled").increment(1);
        if self.host.log_limiter.allows(self.host.now()) {
            let request_id = request_id.to_str().unwrap_or_default();
            tracing::info!(request_id, route = &*route.id, "request cancelled: the caller left");
        }
    }
}

/// Outcome of a request as a label of metrics and log lines.
pub(crate) fn outcome_label(verdict: &PlanVerdict, is_in_time: bool) -> &'static str {
    match (verdict, is_in_time) {
        (PlanVerdict::Answered { missing: 0, .. }, true) => "whole",
        (PlanVerdict::Answered { missing: 0, .. }, false) => "whole_late",
        (PlanVerdict::Answered { .. }, true) => "partial",
        (PlanVerdict::Answered { .. }, false) => "partial_late",
        (PlanVerdict::TargetFailed(_), _) => "target_failed",
        (PlanVerdict::NotRun(RefusalCause::NoTarget), _) => "no_target",
        (PlanVerdict::NotRun(RefusalCause::TargetsFull), _) => "targets_full",
        (PlanVerdict::NotRun(RefusalCause::TargetsLimited), _) => "targets_limited",
        (PlanVerdict::Unknown(FailureCause::Deadline), _) => "deadline",
        (PlanVerdict::Unknown(FailureCause::AttemptsLost), _) => "attempts_lost",
        (PlanVerdict::Unknown(FailureCause::TooFewShards), _) => "too_few_shards",
    }
}
