//! One attempt of a request at a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header::HeaderValue;
use vanillapick_dispatch::attempt::AttemptNumber;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::attempt::SendCommand;
use vanillapick_dispatch::target_state::TargetState;

use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;
use crate::target_link::LinkFault;
use crate::wire::CallHead;
use crate::wire::ReplyReading;

/// What all attempts of a request share.
pub(crate) struct ForwardedRequest {
    pub(crate) host: Arc<RelayHost>,
    pub(crate) view: Arc<RelayView>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers of the caller without those that concern one connection only.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
    /// Time until which the caller waits, since the start of the process.
    pub(crate) wait_until: Duration,
}

/// Reply of a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) stamp: Option<HeaderValue>,
    pub(crate) body: Bytes,
}

/// An attempt that is over.
pub(crate) struct AttemptResult {
    pub(crate) attempt: AttemptNumber,
    pub(crate) end: AttemptOutcome,
    /// Present if the target answered or failed.
    pub(crate) reply: Option<TargetReply>,
    /// Why there is no reply that counts.
    pub(crate) detail: Option<String>,
}

/// Counts an attempt at its target until it is dropped.
struct AttemptInFlight(Arc<TargetState>);

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        self.0.record_finished();
    }
}

/// Sends one attempt and reads its reply. Dropping the future cancels the attempt.
pub(crate) async fn run_attempt(
    request: Arc<ForwardedRequest>,
    order: SendCommand,
) -> AttemptResult {
    let attempt = order.attempt;
    let target = order.target;
    let host = &request.host;
    let ended = |end, reply, detail| AttemptResult { attempt, end, reply, detail };
    target.record_sent(host.now());
    let _in_flight = AttemptInFlight(Arc::clone(&target));
    let Some(link) = request.view.links.get(&target) else {
        let detail = Some("the target has no link".to_owned());
        return ended(AttemptOutcome::NotRun(NotRunCause::Unreachable), None, detail);
    };
    let reply = link.call(request.call(&target), || host.now()).await;
    let (parts, body) = match reply {
        Ok(reply) => reply,
        Err(fault) => {
            let end = match fault {
                LinkFault::Unreachable { .. } => AttemptOutcome::NotRun(NotRunCause::Unreachable),
                LinkFault::Lost { .. } => AttemptOutcome::Lost,
            };
            return ended(end, None, Some(fault.to_string()));
        }
    };
    let reading = (host.wire.target.read_head)(parts.status, &parts.headers, &request.request_id);
    let (end, stamp) = match reading {
        ReplyReading::Answer(stamp) => (AttemptOutcome::Answered, Some(stamp)),
        ReplyReading::Failure(stamp) => (AttemptOutcome::Failed, stamp),
        ReplyReading::NotRun(cause) => return ended(AttemptOutcome::NotRun(cause), None, None),
        ReplyReading::Foreign(detail) => {
            // The reply to this request may still come on the connection that has just gone back to the idle ones.
            link.close_idle();
            return ended(AttemptOutcome::Lost, None, Some(detail.to_owned()));
        }
    };
    let reply = TargetReply { status: parts.status, headers: parts.headers, stamp, body };
    ended(end, Some(reply), None)
}

impl ForwardedRequest {
    fn call(&self, target: &TargetState) -> Request<Full<Bytes>> {
        let mut call = Request::new(Full::new(self.body.clone()));
        *call.method_mut() = self.method.clone();
        *call.uri_mut() = self.uri.clone();
        let headers = call.headers_mut();
        *headers = self.headers.clone();
        let left = self.wait_until.saturating_sub(self.host.now());
        let head = CallHead { request_id: &self.request_id, left, target: &target.record.id };
        (self.host.wire.target.write_head)(headers, &head);
        call
    }
}
