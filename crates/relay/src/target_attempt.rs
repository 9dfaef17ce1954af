//! Runs one attempt of a request at one target.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use vanillapick_dispatch::attempt::AttemptNumber;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::attempt::SendCommand;
use vanillapick_dispatch::crash_guard::ReplicaKind;
use vanillapick_dispatch::crash_guard::RequestAnswer;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use vanillapick_dispatch::crash_guard::TargetLoss;
use vanillapick_dispatch::crash_guard::WallTime;
use vanillapick_dispatch::silent_attempts::InstanceState;
use vanillapick_dispatch::silent_attempts::SilentAttempt;
use vanillapick_dispatch::target_state::TargetState;
use vanillapick_dispatch::version_split::VersionSplit;

use crate::crash_state::wall_now;
use crate::kept_connection::ReplyLimits;
use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;
use crate::reply_status::is_final_status;
use crate::request_limits::record_limit;
use crate::request_limits::record_target_notice;
use crate::sent_requests::RequestIdentity;
use crate::target_connections::CallError;
use crate::target_connections::ReadReply;
use crate::wire::TargetCallHead;
use crate::wire::TargetReplyKind;

/// Parts of a request that all of its attempts share.
pub(crate) struct ForwardedRequest {
    pub(crate) host: Arc<RelayHost>,
    pub(crate) view: Arc<RelayView>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers of the caller without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
    /// End of the caller's timeout, as time since the start of the process.
    pub(crate) deadline: Duration,
    /// Size limit of a reply's body.
    pub(crate) max_reply_bytes: usize,
    /// Identifies equal requests on all hosts.
    pub(crate) fingerprint: RequestFingerprint,
    /// Whether the request runs although it is marked, to find out whether it still crashes targets.
    pub(crate) is_trial: AtomicBool,
    /// Whether the caller has its response, so that attempts which still wait for a connection are not sent.
    pub(crate) is_answered: AtomicBool,
}

/// HTTP response of a target with its parsed stamp.
#[derive(Clone, Debug)]
pub(crate) struct TargetReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) stamp: Option<HeaderValue>,
    pub(crate) body: Bytes,
}

/// Result of a finished attempt.
pub(crate) struct AttemptResult {
    pub(crate) attempt: AttemptNumber,
    pub(crate) outcome: AttemptOutcome,
    /// Present if the target returned a success or a failure.
    pub(crate) reply: Option<TargetReply>,
    /// Why there is no usable reply.
    pub(crate) detail: Option<String>,
}

/// Guard that counts an attempt in flight at its target until it is dropped. An attempt that was sent and is dropped without a
/// reply is remembered, in case that its target has crashed.
///
/// Every attempt ends here, so this is where the move of its pool learns of the end, whether or not anyone waits for it.
struct AttemptInFlight {
    request: Arc<ForwardedRequest>,
    target: Arc<TargetState>,
    /// When the attempt began, since the start of the process.
    started: Duration,
    /// When the call was written; `None` before.
    sent: OnceLock<WallTime>,
    is_over: bool,
}

impl AttemptInFlight {
    /// Records the end of the attempt as evidence if its pool is moving; `None` if it was given up without a reply.
    fn record_evidence(&self, outcome: Option<AttemptOutcome>) {
        let pools = &self.request.view.serving.pools;
        let is_moving = pools
            .get(&self.target.record.pool)
            .is_some_and(|pool| pool.version_split != VersionSplit::Single);
        if is_moving {
            let host = &self.request.host;
            let now = host.now();
            let latency = now.saturating_sub(self.started);
            let source = host.evidence_source();
            host.moves.record_attempt(source, &self.target, outcome, latency, now);
        }
    }
}

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        self.target.record_finished();
        let Some(sent) = self.sent.get().filter(|_| !self.is_over) else { return };
        self.record_evidence(None);
        let host = &self.request.host;
        let record = &self.target.record;
        let attempt = SilentAttempt {
            fingerprint: self.request.fingerprint,
            started_ms: record.started_ms,
            loss: TargetLoss::new(record, *sent, wall_now()),
        };
        let state = host.view().map_or(InstanceState::Gone, |view| view.instance_state(record));
        host.crash_state.record_silence(attempt, state, &host.settings.host);
    }
}

/// Sends one attempt and reads the reply. Dropping the future cancels the attempt.
pub(crate) async fn run_attempt(
    request: Arc<ForwardedRequest>,
    command: SendCommand,
) -> AttemptResult {
    let mut in_flight = AttemptInFlight {
        started: request.host.now(),
        target: command.target,
        request,
        sent: OnceLock::new(),
        is_over: false,
    };
    let result = send_attempt(&mut in_flight, command.attempt).await;
    in_flight.record_evidence(Some(result.outcome));
    result
}

async fn send_attempt(in_flight: &mut AttemptInFlight, attempt: AttemptNumber) -> AttemptResult {
    let (request, target) = (Arc::clone(&in_flight.request), Arc::clone(&in_flight.target));
    let started = in_flight.started;
    let host = &request.host;
    let ended = |outcome, reply, detail| AttemptResult { attempt, outcome, reply, detail };
    target.record_sent(started);
    host.reach.record_sent(&target.record);
    let Some(connections) = request.view.connections.get(&target) else {
        let detail = Some("the target is not in the connection table".to_owned());
        return ended(AttemptOutcome::NotRun(NotRunCause::Unreachable), None, detail);
    };
    let limits =
        ReplyLimits { max_bytes: request.max_reply_bytes, memory: Arc::clone(&host.reply_memory) };
    let write = || {
        let call = request.call(&target)?;
        in_flight.sent.get_or_init(wall_now);
        Some(call)
    };
    let identity = RequestIdentity::new(&request.request_id, request.deadline);
    let classify = |parts: &Parts| {
        if !is_final_status(parts.status) {
            return TargetReplyKind::Invalid("reply has no final status");
        }
        (host.wire.target.read_head)(parts.status, &parts.headers, &request.request_id)
    };
    let reply = connections.call(identity, write, classify, &limits, || host.now()).await;
    in_flight.is_over = true;
    let sent = in_flight.sent.get().copied();
    let ReadReply { kind, parts, body } = match reply {
        Ok(reply) => {
            host.reach.record_reply(host.now());
            reply
        }
        Err(error) => {
            let is_broken_off = matches!(error, CallError::Lost { .. });
            if let Some(sent) = sent.filter(|_| is_broken_off) {
                let loss = TargetLoss::new(&target.record, sent, wall_now());
                host.crash_state.record_loss(request.fingerprint, loss, &host.settings.host);
            }
            let outcome = match error {
                CallError::Unreachable { .. } => {
                    host.target_unreachable.notify_one();
                    AttemptOutcome::NotRun(NotRunCause::Unreachable)
                }
                CallError::Lost { .. } | CallError::Malformed { .. } => AttemptOutcome::Lost,
                CallError::Withdrawn => AttemptOutcome::NotRun(NotRunCause::Withdrawn),
            };
            return ended(outcome, None, Some(error.to_string()));
        }
    };
    // A reply of another target, or to another request, says nothing about this target.
    let is_own = !matches!(
        kind,
        TargetReplyKind::Invalid(_) | TargetReplyKind::NotRun(NotRunCause::Misdirected)
    );
    if is_own {
        if let Ok(rate) = (host.wire.target.read_limit)(&parts.headers) {
            record_limit(host, &target, rate, started);
        }
        record_target_notice(host, &target, parts.status, &parts.headers);
    }
    if is_own && !matches!(kind, TargetReplyKind::NotRun(_)) {
        request.record_alive(&target);
    }
    let (outcome, stamp) = match kind {
        TargetReplyKind::Success(stamp) => (AttemptOutcome::Answered, Some(stamp)),
        TargetReplyKind::Failure(stamp) => (AttemptOutcome::Failed, stamp),
        TargetReplyKind::NotRun(cause) => return ended(AttemptOutcome::NotRun(cause), None, None),
        TargetReplyKind::Invalid(detail) => {
            return ended(AttemptOutcome::Lost, None, Some(detail.to_owned()));
        }
    };
    let reply = TargetReply { status: parts.status, headers: parts.headers, stamp, body };
    ended(outcome, Some(reply), None)
}

impl ForwardedRequest {
    /// Whether second attempts must wait for an answer.
    pub(crate) fn is_suspect(&self) -> bool {
        self.host.crash_state.guard().is_suspect(self.fingerprint)
    }

    /// Whether no attempt is sent any more, because the request crashes targets.
    pub(crate) fn is_marked(&self) -> bool {
        self.host.crash_state.guard().is_marked(self.fingerprint)
    }

    /// Records that the target has run the request and is alive.
    fn record_alive(&self, target: &TargetState) {
        let crash_state = &self.host.crash_state;
        let answer = RequestAnswer {
            fingerprint: self.fingerprint,
            kind: ReplicaKind::of(&target.record),
            at: wall_now(),
        };
        let is_trial = self.is_trial.swap(false, Relaxed);
        let is_explanation = {
            let mut guard = crash_state.guard();
            if is_trial {
                guard.end_trial(self.fingerprint, answer.at);
            }
            guard.record_answer(answer, &mut self.host.rng())
        };
        if is_explanation || is_trial {
            crash_state.guard_changed.notify_one();
        }
    }

    /// Builds the call to a target at the moment at which it is sent; `None` if the request is over by then.
    fn call(&self, target: &TargetState) -> Option<Request<Full<Bytes>>> {
        let remaining = self.deadline.saturating_sub(self.host.now());
        if remaining.is_zero() || self.is_answered.load(Relaxed) {
            return None;
        }
        // The mark may have come after the request was admitted, or after this attempt was planned.
        if !self.is_trial.load(Relaxed) && self.is_marked() {
            metrics::counter!("vanillapick_attempts_stopped_total", "reason" => "crashing_request")
                .increment(1);
            return None;
        }
        let mut call = Request::new(Full::new(self.body.clone()));
        *call.method_mut() = self.method.clone();
        *call.uri_mut() = self.uri.clone();
        let headers = call.headers_mut();
        *headers = self.headers.clone();
        let head =
            TargetCallHead { request_id: &self.request_id, remaining, target: &target.record.id };
        (self.host.wire.target.write_head)(headers, &head);
        Some(call)
    }
}
