//! Requests that other hosts serve for this one, and those that this host serves for others.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use vanillapick_dispatch::admission::admit;
use vanillapick_dispatch::dispatch_plan::FailureCause;
use vanillapick_dispatch::dispatch_plan::PlanVerdict;

use super::ReadRequest;
use super::RequestFlow;
use super::RequestOrigin;
use super::count_refusal;
use super::find_route;
use super::millis;
use super::refuse_without_route;
use super::serve_read;
use crate::caller_response::ResponseBody;
use crate::caller_response::local_response;
use crate::caller_response::not_run_response;
use crate::forward_client::ForwardResult;
use crate::forward_client::forward_request;
use crate::forward_wire::ForwardRefusal;
use crate::forward_wire::ForwardRequest;
use crate::parts_wire::encode_headers;
use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;
use crate::wire::CallerRequestHead;

/// A request that another host has forwarded.
pub(crate) struct ForwardedCall {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
    /// When the request arrived at the other host, since the start of this process.
    pub(crate) arrived: Duration,
    /// Timeout of the caller, from the arrival.
    pub(crate) timeout: Duration,
    /// Time for which the message may have waited in its socket before it was read.
    pub(crate) lag: Duration,
    /// Whether the other host has counted the request for the retry budgets of its pools.
    pub(crate) is_counted: bool,
}

/// Serves a request for another host, unless this one is too busy.
pub(crate) async fn serve_forwarded(
    host: &Arc<RelayHost>,
    view: Arc<RelayView>,
    call: ForwardedCall,
) -> Result<Response<ResponseBody>, ForwardRefusal> {
    let running = host.start_request();
    let ForwardedCall { parts, body, request_id, arrived, timeout, lag, is_counted } = call;
    let head = CallerRequestHead { request_id, timeout: Some(timeout) };
    let Some(route) = find_route(&view, &parts) else {
        return Ok(refuse_without_route(host, &view, &head, parts.uri.path()));
    };
    if let Err(refusal) = admit(route.priority, lag) {
        return Err(ForwardRefusal::Overloaded(refusal.retry_after));
    }
    let origin = RequestOrigin::Host { is_counted };
    let request = ReadRequest { head, parts, body, arrived, lag, origin };
    Ok(serve_read(host, view, route, request, running).await)
}

impl RequestFlow {
    /// Whether another host may serve the request: a request makes one hop at most.
    pub(super) fn may_forward(&self) -> bool {
        self.origin == RequestOrigin::Caller
    }

    /// Ends a request whose attempts have become hopeless, because the host is cut off by now, so that its caller can repeat it
    /// while there is time. Requests that may run only once wait for their reply.
    pub(super) fn verdict_if_cut_off(&self) -> Option<PlanVerdict> {
        let is_hopeless = self.request.host.is_cut_off()
            && self.may_forward()
            && self.plan.is_idempotent()
            && self.plan.answered_count() == 0;
        is_hopeless.then_some(PlanVerdict::Unknown(FailureCause::AttemptsLost))
    }

    /// Has another host serve the request. `is_counted` says whether this host has counted it for the retry budgets.
    pub(super) async fn forward(&mut self, is_counted: bool) -> Response<ResponseBody> {
        let host = &self.request.host;
        let wire = host.wire.caller;
        let now = host.now();
        let waited = now.saturating_sub(self.times.arrived) + self.lag;
        let message = ForwardRequest {
            version: self.request.view.serving.version,
            elapsed: waited,
            timeout: self.request.deadline.saturating_sub(self.times.arrived) + self.lag,
            is_counted,
            method: self.request.method.to_string(),
            uri: self.request.uri.to_string(),
            request_id: Bytes::copy_from_slice(self.request.request_id.as_bytes()),
            headers: encode_headers(&self.request.headers),
            body: self.request.body.clone(),
        };
        let left = self.times.deadline.saturating_sub(now);
        let forwarding = forward_request(host, &self.request.view, &self.route, message, now);
        let limited = async {
            tokio::select! {
                result = tokio::time::timeout(left, forwarding) => result.ok(),
                () = host.wait_for_last_response() => None,
            }
        };
        let (outcome, response) = match limited.await {
            Some(ForwardResult::Answered(response)) => ("forwarded", response),
            Some(ForwardResult::NotRun(retry_after)) => {
                count_refusal("cut_off");
                let text = "no host reaches the targets\n";
                ("cut_off", not_run_response(&wire, retry_after, text))
            }
            Some(ForwardResult::Lost(detail)) => {
                tracing::debug!(detail, "the reply to a forwarded request was lost");
                ("forward_lost", local_response(StatusCode::BAD_GATEWAY, "no usable reply\n"))
            }
            None => {
                let text = "the time is over\n";
                ("forward_deadline", local_response(StatusCode::GATEWAY_TIMEOUT, text))
            }
        };
        self.log_forward(outcome, response.status());
        response
    }

    fn log_forward(&self, outcome: &'static str, status: StatusCode) {
        let now = self.request.host.now();
        metrics::counter!("vanillapick_requests_total", "outcome" => outcome).increment(1);
        let is_plain = status.is_success() && now <= self.times.soft_deadline;
        if is_plain || !self.request.host.log_limiter.allows(now) {
            return;
        }
        tracing::info!(
            request_id = self.request.request_id.to_str().unwrap_or_default(),
            route = &*self.route.id,
            outcome,
            status = status.as_u16(),
            took_ms = millis(now.saturating_sub(self.times.arrived)),
            is_cut_off = self.request.host.is_cut_off(),
            "request forwarded"
        );
    }
}
