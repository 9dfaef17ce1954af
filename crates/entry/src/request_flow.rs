//! Processes a request on this host: route checks, admission and session.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_model::hash::request_fingerprint;
use vanillapick_model::pool::PoolId;
use vanillapick_model::route::RouteId;
use vanillapick_model::route::RouteKind;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::request::ReadRequest;
use vanillapick_policy::request::SearchRequest;
use vanillapick_policy::request::SessionRequest;
use vanillapick_policy::request::WriteRequest;

use crate::admission_gate::AdmissionGate;
use crate::call_headers::CallHeaders;
use crate::crash_guard::CrashGuard;
use crate::crash_guard::StartMode;
use crate::entry_host::EntryHost;
use crate::running_calls::RunningCalls;
use crate::session_driver::SessionEnd;
use crate::session_driver::run_session;
use crate::target_client::CallContext;

/// A request of a caller whose headers are valid.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub kind: RouteKind,
    /// Name of the route in the request path.
    pub route: RouteId,
    pub headers: CallHeaders,
    /// At most 64 KiB.
    pub body: Bytes,
}

/// Fraction of the remaining time that the new version of a move may use before the old version is called.
const NEW_VERSION_TIME_FRACTION: f64 = 0.6;

/// Conditions under which a request runs.
#[derive(Clone, Copy, Debug)]
struct RunConditions {
    class: u8,
    /// Decision time at which the request must end.
    deadline: Duration,
    mode: StartMode,
}

impl CallerRequest {
    /// Fingerprint that identifies the request in crash marks.
    fn fingerprint(&self) -> RequestFingerprint {
        request_fingerprint(&self.route, &self.body)
    }
}

/// Runs a request and returns the response for its caller.
pub async fn run_request(host: &Arc<EntryHost>, request: CallerRequest) -> SessionOutcome {
    let started_at = host.now();
    let (guard, cancelled) = RunningCalls::register(&host.running, &request.headers.request_id);
    let outcome = admit_and_run(host, &request, started_at, cancelled).await;
    drop(guard);
    tracing::debug!(
        request_id = request.headers.request_id,
        route = request.route,
        elapsed_us = (host.now() - started_at).as_micros(),
        result = describe_outcome(&outcome),
        "request ended"
    );
    outcome
}

async fn admit_and_run(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    started_at: Duration,
    mut cancelled: watch::Receiver<bool>,
) -> SessionOutcome {
    let (class, max_deadline) = match check_route(host, request) {
        Ok(conditions) => conditions,
        Err(refusal) => return refuse(host, refusal),
    };
    let deadline = started_at + request.headers.deadline.min(max_deadline);
    let permit = match AdmissionGate::enter(host, class, deadline, &mut cancelled).await {
        Ok(permit) => permit,
        Err(refusal) => return refuse(host, refusal),
    };
    let end = match CrashGuard::admit(host, request.fingerprint(), deadline).await {
        Ok(mode) => {
            run_at_version(host, request, RunConditions { class, deadline, mode }, cancelled).await
        }
        Err(refusal) => {
            let outcome = refuse(host, refusal);
            SessionEnd { outcome, service_time: Duration::ZERO }
        }
    };
    host.gate.leave(host, &permit, end.service_time, !is_overload(&end.outcome));
    end.outcome
}

fn check_route(host: &EntryHost, request: &CallerRequest) -> Result<(u8, Duration), RefusalBody> {
    if host.lifecycle.is_closed() {
        return Err(RefusalBody::not_run(RefusalCode::Stopping, "the host is stopping"));
    }
    if !host.lifecycle.is_configured() {
        return Err(RefusalBody::not_run(
            RefusalCode::NotReady,
            "the host has no configuration yet",
        ));
    }
    let view = host.policy.view();
    let Some(row) = view.route(&request.route) else {
        let message = format!("no route is named {:?}", request.route);
        return Err(RefusalBody::not_run(RefusalCode::UnknownRoute, message));
    };
    if row.kind != request.kind {
        let message = format!("the route {:?} takes requests of another kind", request.route);
        return Err(RefusalBody::not_run(RefusalCode::WrongKind, message));
    }
    Ok((row.contract.class, row.contract.deadline))
}

/// Runs the request on the pool that the route's move selects. A search or read that fails on the new version is rerun
/// as a whole on the old one, so that callers see few failures of a faulty version.
async fn run_at_version(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    conditions: RunConditions,
    cancelled: watch::Receiver<bool>,
) -> SessionEnd {
    let Some(choice) = host.moves.choose(&request.route, &request.headers.request_id) else {
        return run_once(host, request, conditions, None, false, cancelled).await;
    };
    let started_at = host.now();
    // Part of the time is reserved for the old version, so that a slow new version does not use all of it.
    let first_conditions = match (choice.pool(), request.kind) {
        (Some(_), RouteKind::Search | RouteKind::Read) => {
            let left = conditions.deadline.saturating_sub(started_at);
            RunConditions {
                deadline: started_at + left.mul_f64(NEW_VERSION_TIME_FRACTION),
                ..conditions
            }
        }
        _ => conditions,
    };
    let end =
        run_once(host, request, first_conditions, choice.pool(), false, cancelled.clone()).await;
    let now = host.now();
    choice.record(&end.outcome, now.saturating_sub(started_at), now);
    let may_rerun =
        request.kind != RouteKind::Write && now < conditions.deadline && !*cancelled.borrow();
    if !choice.is_failure(&end.outcome) || !may_rerun {
        return end;
    }
    // The session charges the second run to the extra-load budget, or refuses it.
    let second = run_once(host, request, conditions, None, true, cancelled).await;
    let is_answered = matches!(end.outcome, SessionOutcome::Answer(_));
    let is_refused = matches!(second.outcome, SessionOutcome::Refused(_));
    // A partial answer from the new version is preferred to a refusal.
    if is_answered && is_refused { end } else { second }
}

async fn run_once(
    host: &Arc<EntryHost>,
    request: &CallerRequest,
    conditions: RunConditions,
    pool: Option<PoolId>,
    rerun: bool,
    cancelled: watch::Receiver<bool>,
) -> SessionEnd {
    let RunConditions { class, deadline, mode } = conditions;
    let headers = &request.headers;
    let request_id = headers.request_id.clone();
    let route = request.route.clone();
    let fingerprint = request.fingerprint();
    let session_request = match request.kind {
        RouteKind::Search => SessionRequest::Search(SearchRequest {
            request_id,
            route,
            pool,
            deadline,
            fingerprint,
            rerun,
        }),
        RouteKind::Read => {
            let key = headers.key.clone();
            SessionRequest::Read(ReadRequest {
                request_id,
                route,
                pool,
                key,
                deadline,
                fingerprint,
                rerun,
            })
        }
        RouteKind::Write => {
            let key = headers.key.clone();
            let idempotency_key = headers.idempotency_key.clone();
            SessionRequest::Write(WriteRequest {
                request_id,
                route,
                pool,
                key,
                deadline,
                fingerprint,
                idempotency_key,
            })
        }
    };
    let context = CallContext {
        request_id: headers.request_id.clone(),
        attempt_base: 0,
        class,
        body: request.body.clone(),
    };
    run_session(host, context, session_request, mode, cancelled).await.unwrap_or_else(|| {
        // The session task ends without an outcome only if the host is killed.
        let refusal = RefusalBody::unknown(RefusalCode::Stopping, "the host is stopping");
        SessionEnd { outcome: SessionOutcome::Refused(refusal), service_time: Duration::ZERO }
    })
}

fn refuse(host: &EntryHost, refusal: RefusalBody) -> SessionOutcome {
    host.policy.counters.record_refusal(refusal.code);
    SessionOutcome::Refused(refusal)
}

/// Whether the outcome signals overload of the targets to the concurrency limit.
fn is_overload(outcome: &SessionOutcome) -> bool {
    let SessionOutcome::Refused(refusal) = outcome else { return false };
    matches!(refusal.code, RefusalCode::DeadlineExceeded | RefusalCode::Overloaded)
}

fn describe_outcome(outcome: &SessionOutcome) -> String {
    match outcome {
        SessionOutcome::Answer(answer) => {
            format!("{} of {} shards", answer.coverage.answered, answer.coverage.total)
        }
        SessionOutcome::Reply(_) => "reply".to_owned(),
        SessionOutcome::Refused(refusal) => refusal.code.to_string(),
    }
}
