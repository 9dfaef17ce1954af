//! Handles one request of a caller: routing, admission, attempts at targets and the response.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::http::request::Parts;
use rand::rngs::SmallRng;
use vanillapick_dispatch::admission::admit;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::attempt::SendCommand;
use vanillapick_dispatch::config_document::RouteContract;
use vanillapick_dispatch::config_document::RoutePools;
use vanillapick_dispatch::crash_guard::CrashDecision;
use vanillapick_dispatch::crash_guard::ReplicaKind;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use vanillapick_dispatch::dispatch_plan::DispatchPlan;
use vanillapick_dispatch::dispatch_plan::FailureCause;
use vanillapick_dispatch::dispatch_plan::PlanVerdict;
use vanillapick_dispatch::dispatch_plan::RefusalCause;
use vanillapick_dispatch::dispatch_plan::RequestTimes;
use vanillapick_dispatch::shard_groups::ShardGroup;
use vanillapick_dispatch::unknown_route::UnknownRoute;
use vanillapick_dispatch::unknown_route::refuse_unknown_route;

use self::group_flow::GatheredParts;
use crate::caller_response::ResponseBody;
use crate::caller_response::forwarded_response;
use crate::caller_response::local_response;
use crate::caller_response::merged_response;
use crate::caller_response::not_run_response;
use crate::caller_response::remove_hop_by_hop_headers;
use crate::crash_exchange::claim_trial;
use crate::crash_state::wall_now;
use crate::parts_client::GroupProgress;
use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;
use crate::relay_host::RunningRequest;
use crate::request_fingerprint::request_fingerprint;
use crate::request_limits::count_limited_shards;
use crate::request_log::CancelGuard;
use crate::request_log::outcome_label;
use crate::target_attempt::AttemptResult;
use crate::target_attempt::ForwardedRequest;
use crate::target_attempt::TargetReply;
use crate::target_attempt::run_attempt;
use crate::wire::CallerRequestHead;

mod forward_flow;
mod group_flow;

pub(crate) use self::forward_flow::ForwardedCall;
pub(crate) use self::forward_flow::serve_forwarded;

/// Time before the latency objective at which a response is sent. Callers measure from before they connect, so this covers two
/// round trips of 6 ms to the farthest caller and the processing of the response.
const LATENCY_OBJECTIVE_MARGIN: Duration = Duration::from_millis(15);

/// Time before the caller's timeout at which a request is given up.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(15);

/// Requests with a shorter timeout are refused without an attempt.
const MIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Time that attempts may continue after the response, so that their connections can be reused. It is long enough to cover
/// a pause of a target.
pub(crate) const UNUSED_ATTEMPT_GRACE: Duration = Duration::from_millis(250);

/// Time that a request must have until the exit of the process, as a multiple of its expected time.
const SHUTDOWN_HEADROOM_FACTOR: f64 = 1.5;

/// Retry-after time if no target is in service.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Retry-after time if all targets are at their limits.
const TARGETS_FULL_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Retry-after time of a request that crashes targets.
const CRASHING_REQUEST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-after time while the host has no configuration: about the rest of its start.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(400);

type RunningAttempts = FuturesUnordered<BoxFuture<'static, AttemptResult>>;

/// Serves one request of a caller. Dropping the future cancels all of its attempts.
pub(crate) async fn serve_request(
    host: Arc<RelayHost>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = host.now();
    let lag = host.read_lag();
    let running = host.start_request();
    let wire = host.wire.caller;
    let (parts, body) = request.into_parts();
    let head = match (wire.read_head)(&parts.headers) {
        Ok(head) => head,
        Err(error) => {
            count_refusal("bad_head");
            tracing::info!(fault = ?error, "request refused: its head cannot be read");
            return local_response(StatusCode::BAD_REQUEST, "the request head cannot be read\n");
        }
    };
    let Some(view) = host.view() else {
        count_refusal("no_config");
        return not_run_response(&wire, NO_CONFIG_RETRY_AFTER, "no configuration yet\n");
    };
    let Some(route) = find_route(&view, &parts) else {
        return refuse_without_route(&host, &view, &head, parts.uri.path());
    };
    if let Err(refusal) = admit(route.priority, lag) {
        count_refusal("overloaded");
        if host.log_limiter.allows(arrived) {
            let delay_ms = millis(lag);
            tracing::info!(
                request_id = request_id_str(&head),
                route = &*route.id,
                delay_ms,
                "request refused: overloaded"
            );
        }
        return not_run_response(&wire, refusal.retry_after, "overloaded\n");
    }
    let limit = view.serving.limits.max_body_bytes;
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            count_refusal("body_too_large");
            return local_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
        }
        Err(error) => {
            count_refusal("body_cut");
            tracing::info!(request_id = request_id_str(&head), %error, "request refused: its body is cut");
            return local_response(StatusCode::BAD_REQUEST, "the body is cut\n");
        }
    };
    let request = ReadRequest { head, parts, body, arrived, lag, origin: RequestOrigin::Caller };
    serve_read(&host, view, route, request, running).await
}

/// A request whose body has been read.
struct ReadRequest {
    head: CallerRequestHead,
    parts: Parts,
    body: Bytes,
    arrived: Duration,
    /// Time for which the request may have waited in its socket before it was read.
    lag: Duration,
    origin: RequestOrigin,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestOrigin {
    /// A caller is connected to this host.
    Caller,
    /// Another host has forwarded the request, so that it is not forwarded again.
    Host {
        /// Whether that host has counted the request for the retry budgets of its pools.
        is_counted: bool,
    },
}

/// Serves a request on `route`, which this host has admitted.
async fn serve_read(
    host: &Arc<RelayHost>,
    view: Arc<RelayView>,
    route: Arc<RouteContract>,
    request: ReadRequest,
    running: RunningRequest,
) -> Response<ResponseBody> {
    let wire = host.wire.caller;
    let ReadRequest { head, parts, body, arrived, lag, .. } = &request;
    let (arrived, lag) = (*arrived, *lag);
    let fingerprint = request_fingerprint(&parts.method, &parts.uri, &parts.headers, body);
    let Some(is_trial) = admit_crashes(host, fingerprint).await else {
        count_refusal("crashing_request");
        if host.log_limiter.allows(arrived) {
            tracing::info!(
                request_id = request_id_str(head),
                route = &*route.id,
                print = format!("{fingerprint:016x}"),
                "request refused: it crashes targets"
            );
        }
        return crashing_request_response(host);
    };
    let timeout = head.timeout.unwrap_or(route.timeout);
    let times = RequestTimes {
        arrived,
        soft_deadline: arrived
            + route
                .latency_objective
                .saturating_sub(LATENCY_OBJECTIVE_MARGIN + host.wake_lateness()),
        deadline: arrived + timeout.min(route.timeout).saturating_sub(TIMEOUT_MARGIN + lag),
    };
    if arrived.saturating_add(timeout).saturating_sub(host.now()) < MIN_TIMEOUT + lag {
        count_refusal("no_time");
        return not_run_response(&wire, Duration::ZERO, "no time is left\n");
    }
    let mut flow = RequestFlow::new(host, view, route, request, times, timeout, fingerprint);
    if is_trial {
        flow.set_trial();
    }
    flow.run(running).await
}

fn refuse_without_route(
    host: &RelayHost,
    view: &RelayView,
    head: &CallerRequestHead,
    path: &str,
) -> Response<ResponseBody> {
    let refusal = refuse_unknown_route(host.is_current());
    let is_absent = refusal == UnknownRoute::Absent;
    count_refusal(if is_absent { "no_route" } else { "maybe_new_route" });
    if host.log_limiter.allows(host.now()) {
        tracing::info!(
            request_id = request_id_str(head),
            version = view.serving.version,
            is_current = is_absent,
            path,
            "request refused: no route"
        );
    }
    match refusal {
        UnknownRoute::Absent => local_response(StatusCode::NOT_FOUND, "no route\n"),
        UnknownRoute::MaybeNew(retry_after) => {
            let text = "the configuration may be old\n";
            not_run_response(&host.wire.caller, retry_after, text)
        }
    }
}

/// Whether a request with this fingerprint runs as a trial after a mark; `None` if it is refused.
async fn admit_crashes(host: &RelayHost, fingerprint: RequestFingerprint) -> Option<bool> {
    let decision = host.crash_state.guard().admit(fingerprint, wall_now());
    match decision {
        CrashDecision::Normal => Some(false),
        CrashDecision::Refuse => None,
        CrashDecision::Trial(mark) => {
            let store = host.crash_state.store()?;
            claim_trial(host, store, mark).await.then_some(true)
        }
    }
}

fn crashing_request_response(host: &RelayHost) -> Response<ResponseBody> {
    let text = "the request crashes targets\n";
    not_run_response(&host.wire.caller, CRASHING_REQUEST_RETRY_AFTER, text)
}

fn find_route(view: &RelayView, parts: &Parts) -> Option<Arc<RouteContract>> {
    let authority = parts.uri.host();
    let name = authority.or_else(|| parts.headers.get(HOST).and_then(|name| name.to_str().ok()))?;
    view.serving.route_table.find(name, parts.uri.path()).cloned()
}

/// State of an admitted request.
struct RequestFlow {
    request: Arc<ForwardedRequest>,
    route: Arc<RouteContract>,
    plan: DispatchPlan,
    times: RequestTimes,
    rng: SmallRng,
    attempts: RunningAttempts,
    /// Groups of shards that other hosts gather, and the next message of each.
    groups: Vec<ShardGroup>,
    gathering: FuturesUnordered<BoxFuture<'static, (usize, GroupProgress)>>,
    gathered: GatheredParts,
    replies: Vec<(usize, TargetReply)>,
    /// One entry for each attempt without an answer, for the log.
    failures: Vec<String>,
    /// Whether an attempt may have reached a target.
    has_reached_target: bool,
    origin: RequestOrigin,
    /// Time for which the request may have waited in its socket before it was read.
    lag: Duration,
}

impl RequestFlow {
    fn new(
        host: &Arc<RelayHost>,
        view: Arc<RelayView>,
        route: Arc<RouteContract>,
        request: ReadRequest,
        times: RequestTimes,
        timeout: Duration,
        fingerprint: RequestFingerprint,
    ) -> Self {
        let ReadRequest { head, parts, body, lag, origin, .. } = request;
        let mut rng = host.rng();
        let mut plan = DispatchPlan::new(&route, &view.serving, times, &mut rng);
        if origin == (RequestOrigin::Host { is_counted: true }) {
            plan.set_counted();
        }
        let mut headers = parts.headers;
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(EXPECT);
        let request = ForwardedRequest {
            host: Arc::clone(host),
            view,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            request_id: head.request_id,
            deadline: times.arrived + timeout.min(route.timeout).saturating_sub(lag),
            max_reply_bytes: route.max_reply_bytes(),
            fingerprint,
            is_trial: AtomicBool::new(false),
            is_answered: AtomicBool::new(false),
        };
        Self {
            request: Arc::new(request),
            route,
            plan,
            times,
            rng,
            attempts: FuturesUnordered::new(),
            groups: Vec::new(),
            gathering: FuturesUnordered::new(),
            gathered: GatheredParts::default(),
            replies: Vec::new(),
            failures: Vec::new(),
            has_reached_target: false,
            origin,
            lag,
        }
    }

    /// Has the request run at one target of a kind that it has crashed before.
    fn set_trial(&mut self) {
        self.request.is_trial.store(true, Relaxed);
        let guard = self.request.host.crash_state.guard();
        let kinds: Vec<ReplicaKind> = guard.crashed_kinds(self.request.fingerprint).collect();
        drop(guard);
        let shard = self.plan.find_shard(|pool| kinds.iter().any(|kind| kind.is_of_pool(pool)));
        self.plan.set_trial(shard);
    }

    async fn run(mut self, running: RunningRequest) -> Response<ResponseBody> {
        let host = Arc::clone(&self.request.host);
        let cancel_guard = CancelGuard::new(&host, &self.request.request_id, &self.route);
        if self.outlasts_shutdown() {
            count_refusal("leaving");
            cancel_guard.finish();
            return not_run_response(&host.wire.caller, Duration::ZERO, "the host is leaving\n");
        }
        let mut cut_off = host.cut_off();
        if self.may_forward() && host.is_cut_off() {
            let response = self.forward(false).await;
            cancel_guard.finish();
            return response;
        }
        if !self.request.is_trial.load(Relaxed) {
            self.groups = self.plan.choose_groups(&host.settings.domain, &host.settings.host);
        }
        let commands = self.plan.start(&self.groups, host.now(), &mut self.rng);
        count_limited_shards(self.plan.limited_count());
        self.send(commands);
        self.send_groups();
        let mut last_response = std::pin::pin!(host.wait_for_last_response());
        let verdict = loop {
            let now = host.now();
            if let Some(verdict) = self.plan.verdict(now) {
                break verdict;
            }
            let wake = self.plan.next_wake(now);
            tokio::select! {
                Some(result) = self.attempts.next() => self.on_result(result),
                Some((group, progress)) = self.gathering.next() => self.on_progress(group, progress),
                () = &mut last_response => {
                    // The verdict at the deadline is always final.
                    let verdict = self.plan.verdict(self.times.deadline);
                    break verdict.unwrap_or(PlanVerdict::Unknown(FailureCause::Deadline));
                }
                Ok(()) = cut_off.changed() => {
                    if let Some(verdict) = self.verdict_if_cut_off() {
                        break verdict;
                    }
                }
                () = tokio::time::sleep(wake.saturating_sub(now)) => {
                    host.record_wake_lateness(host.now().saturating_sub(wake));
                    self.plan.set_repeats_held(self.request.is_suspect());
                    let commands = self.plan.on_wake(host.now(), &mut self.rng);
                    self.send(commands);
                }
            }
        };
        let is_unreached = verdict == PlanVerdict::NotRun(RefusalCause::TargetsFull)
            && !self.has_reached_target
            && self.may_forward();
        let response = if is_unreached { self.forward(true).await } else { self.answer(verdict) };
        cancel_guard.finish();
        self.drain_attempts();
        drop(running);
        response
    }

    /// Whether the host is shutting down and its targets are not expected to answer the request before the process exits. Another
    /// host has more time.
    fn outlasts_shutdown(&self) -> bool {
        let host = &self.request.host;
        let Some(last_response) = host.last_response() else { return false };
        let now = host.now();
        last_response < now + self.plan.expected_time(now).mul_f64(SHUTDOWN_HEADROOM_FACTOR)
    }

    fn send(&mut self, commands: impl IntoIterator<Item = SendCommand>) {
        for command in commands {
            self.request.host.count_attempt(command.cause.label());
            self.attempts.push(Box::pin(run_attempt(Arc::clone(&self.request), command)));
        }
    }

    fn on_result(&mut self, result: AttemptResult) {
        let now = self.request.host.now();
        let AttemptResult { attempt, outcome, reply, detail } = result;
        self.plan.set_repeats_held(self.request.is_suspect());
        self.has_reached_target |= outcome != AttemptOutcome::NotRun(NotRunCause::Unreachable);
        if outcome != AttemptOutcome::Answered {
            metrics::counter!("vanillapick_attempt_failures_total", "end" => outcome.label())
                .increment(1);
            let target = self.plan.target(attempt);
            let detail = detail.unwrap_or_default();
            self.failures.push(format!("{}: {} {detail}", target.record.id, outcome.label()));
        }
        if let Some(reply) = reply {
            self.replies.push((attempt, reply));
        }
        let command = self.plan.on_outcome(attempt, outcome, now, &mut self.rng);
        self.send(command);
    }

    fn answer(&mut self, verdict: PlanVerdict) -> Response<ResponseBody> {
        let now = self.request.host.now();
        let wire = self.request.host.wire.caller;
        self.log(&verdict, now);
        match verdict {
            PlanVerdict::Answered { attempts, missing } => {
                let mut replies = Vec::with_capacity(attempts.len());
                for attempt in attempts {
                    replies.extend(self.take_reply(attempt));
                }
                let RoutePools::Sharded(sharded) = &self.route.pools else {
                    let reply = replies.pop().expect("an answered request has a reply");
                    return forwarded_response(reply);
                };
                let mut parts = std::mem::take(&mut self.gathered);
                parts.records.extend(replies.iter().map(|reply| reply.body.clone()));
                parts.stamps.extend(replies.into_iter().filter_map(|reply| reply.stamp));
                merged_response(&wire, &parts.records, &parts.stamps, missing, sharded.result_limit)
            }
            PlanVerdict::TargetFailed(attempt) => {
                let reply = self.take_reply(attempt).expect("a failed attempt has a reply");
                forwarded_response(reply)
            }
            PlanVerdict::NotRun(_) if self.request.is_marked() => {
                count_refusal("crashing_request");
                crashing_request_response(&self.request.host)
            }
            PlanVerdict::NotRun(RefusalCause::NoTarget) => {
                not_run_response(&wire, NO_TARGET_RETRY_AFTER, "no target is in service\n")
            }
            PlanVerdict::NotRun(RefusalCause::TargetsFull) => {
                not_run_response(&wire, TARGETS_FULL_RETRY_AFTER, "all targets are full\n")
            }
            PlanVerdict::NotRun(RefusalCause::TargetsLimited) => {
                let retry_after = self.plan.limit_retry_after(now, &mut self.rng);
                not_run_response(&wire, retry_after, "all targets are at their limits\n")
            }
            PlanVerdict::Unknown(FailureCause::Deadline) => {
                local_response(StatusCode::GATEWAY_TIMEOUT, "the time is over\n")
            }
            PlanVerdict::Unknown(_) => local_response(StatusCode::BAD_GATEWAY, "no usable reply\n"),
        }
    }

    fn take_reply(&mut self, attempt: usize) -> Option<TargetReply> {
        let index = self.replies.iter().position(|(number, _)| *number == attempt)?;
        Some(self.replies.swap_remove(index).1)
    }

    fn log(&self, verdict: &PlanVerdict, now: Duration) {
        let is_in_time = now <= self.times.arrived + self.route.latency_objective;
        let outcome = outcome_label(verdict, is_in_time);
        metrics::counter!("vanillapick_requests_total", "outcome" => outcome).increment(1);
        let seconds = now.saturating_sub(self.times.arrived).as_secs_f64();
        metrics::histogram!("vanillapick_request_seconds", "route" => self.route.id.to_string())
            .record(seconds);
        let is_plain = matches!(verdict, PlanVerdict::Answered { missing: 0, .. }) && is_in_time;
        if is_plain || !self.request.host.log_limiter.allows(now) {
            return;
        }
        let shards = self.plan.shard_count();
        let answered = self.plan.answered_count();
        let took_ms = millis(now.saturating_sub(self.times.arrived));
        tracing::info!(
            request_id = self.request.request_id.to_str().unwrap_or_default(),
            route = &*self.route.id,
            version = self.request.view.serving.version,
            outcome,
            took_ms,
            lag_ms = millis(self.lag),
            shards,
            answered,
            groups = self.groups.len(),
            limited = self.plan.limited_count(),
            sent = self.plan.sent_count(),
            waiting = self.plan.describe_pending_attempts(now),
            trouble = self.failures.join("; "),
            "request ended"
        );
    }

    /// Lets attempts that are no longer needed finish within a grace period, so that their connections can be reused.
    fn drain_attempts(self) {
        let Self { request, mut plan, mut attempts, mut rng, .. } = self;
        if attempts.is_empty() {
            return;
        }
        plan.close();
        request.is_answered.store(true, Relaxed);
        tokio::spawn(async move {
            let host = &request.host;
            let rest = async {
                while let Some(result) = attempts.next().await {
                    plan.on_outcome(result.attempt, result.outcome, host.now(), &mut rng);
                }
            };
            if tokio::time::timeout(UNUSED_ATTEMPT_GRACE, rest).await.is_err() {
                plan.record_unanswered(host.now());
            }
        });
    }
}

fn count_refusal(reason: &'static str) {
    metrics::counter!("vanillapick_refusals_total", "reason" => reason).increment(1);
}

fn request_id_str(head: &CallerRequestHead) -> &str {
    head.request_id.to_str().unwrap_or_default()
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
