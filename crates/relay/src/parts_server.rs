//! Gathers parts of searches for other hosts of the failure domain.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::stream::poll_fn;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::BoxBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::attempt::SendCommand;
use vanillapick_dispatch::config_document::RouteContract;
use vanillapick_dispatch::config_document::RoutePools;
use vanillapick_dispatch::dispatch_plan::DispatchPlan;
use vanillapick_dispatch::dispatch_plan::RequestTimes;
use vanillapick_dispatch::gather::greatest_records;
use vanillapick_model::peer_message;

use crate::crash_wire::EVIDENCE_PATH;
use crate::crash_wire::MAX_EVIDENCE_BYTES;
use crate::crash_wire::decode_evidence;
use crate::forward_server::answer_forward;
use crate::forward_server::answer_reach;
use crate::forward_wire::FORWARD_PATH;
use crate::forward_wire::REACH_PATH;
use crate::parts_confirmation::CONFIRM_PATH;
use crate::parts_confirmation::GroupConfirmation;
use crate::parts_wire::CUT_OFF_HEADER;
use crate::parts_wire::PartsMessage;
use crate::parts_wire::PartsRequest;
use crate::parts_wire::decode_headers;
use crate::relay_host::HostPhase;
use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;
use crate::request_fingerprint::request_fingerprint;
use crate::request_flow::UNUSED_ATTEMPT_GRACE;
use crate::request_limits::count_limited_shards;
use crate::target_attempt::AttemptResult;
use crate::target_attempt::ForwardedRequest;
use crate::target_attempt::run_attempt;

/// Queue length of connections waiting to be accepted: the hosts of a failure domain may all connect at once.
const LISTEN_BACKLOG: u32 = 512;

/// Delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Read buffer of a connection. Requests of callers are mostly small.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Size limit of a request in addition to the largest body of a caller, for its head and the fields of the message.
pub(crate) const EXTRA_REQUEST_BYTES: usize = 64 << 10;

/// Event loop delay above which groups are refused, so that the sender asks another host. It is a fraction of the shortest
/// latency objectives.
const MAX_LOOP_DELAY: Duration = Duration::from_millis(30);

/// Time before the soft deadline of the search at which parts must be on their way.
const SOFT_DEADLINE_MARGIN: Duration = Duration::from_millis(4);

/// Reason of a refusal for the metrics, of which the sender is told.
const CUT_OFF: &str = "cut_off";

/// Messages that wait to be written to a slow receiver.
const MESSAGE_QUEUE: usize = 4;

type PartsBody = BoxBody<Bytes, Infallible>;

/// Accepts connections of other hosts until the process ends, if the settings contain an address for it.
pub(crate) async fn serve_parts(host: Arc<RelayHost>) {
    let Some(address) = host.settings.parts else { return };
    let listener = match listen(address) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%address, %error, "listening for groups of shards failed");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(Arc::clone(&host), stream))),
            Err(error) => {
                tracing::warn!(%error, "accepting a connection of a host failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn serve_connection(host: Arc<RelayHost>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "setting TCP_NODELAY failed");
    }
    let service = service_fn(|request| {
        let host = Arc::clone(&host);
        async move { Ok::<_, Infallible>(answer(host, request).await) }
    });
    let server = hyper::server::conn::http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = server.await {
        tracing::debug!(%error, "connection of a host closed with an error");
    }
}

async fn answer(host: Arc<RelayHost>, request: Request<Incoming>) -> Response<PartsBody> {
    match request.uri().path() {
        FORWARD_PATH => return whole(answer_forward(&host, request).await),
        REACH_PATH => return whole(answer_reach(&host).await),
        EVIDENCE_PATH => return answer_evidence(&host, request).await,
        CONFIRM_PATH => {
            host.confirmations.confirm(request.headers());
            return whole(Bytes::new());
        }
        _ => {}
    }
    match start(&host, request).await {
        Ok(gathering) => {
            metrics::counter!("vanillapick_groups_gathered_total").increment(1);
            let (messages, mut receiver) = mpsc::channel(MESSAGE_QUEUE);
            tokio::spawn(gathering.run(messages));
            let frames = poll_fn(move |context| {
                receiver.poll_recv(context).map(|data| data.map(|data| Ok(Frame::data(data))))
            });
            Response::new(BodyExt::boxed(http_body_util::StreamBody::new(frames)))
        }
        Err((status, reason)) => {
            metrics::counter!("vanillapick_groups_refused_total", "reason" => reason).increment(1);
            let mut response = whole(Bytes::new());
            *response.status_mut() = status;
            if reason == CUT_OFF {
                let value = HeaderValue::from_static("1");
                response.headers_mut().insert(CUT_OFF_HEADER, value);
            }
            response
        }
    }
}

/// Merges what another host knows of requests that crash targets.
async fn answer_evidence(host: &Arc<RelayHost>, request: Request<Incoming>) -> Response<PartsBody> {
    let body = Limited::new(request.into_body(), MAX_EVIDENCE_BYTES).collect().await;
    let told = body.ok().and_then(|body| decode_evidence(&body.to_bytes()).ok());
    let mut response = whole(Bytes::new());
    match told {
        Some(told) => host.crash_state.merge(told, "peer"),
        None => *response.status_mut() = StatusCode::BAD_REQUEST,
    }
    response
}

fn whole(body: Bytes) -> Response<PartsBody> {
    Response::new(BodyExt::boxed(Full::new(body)))
}

/// Reads a request and prepares its attempts; fails with a status and the reason for the metrics.
async fn start(
    host: &Arc<RelayHost>,
    request: Request<Incoming>,
) -> Result<Gathering, (StatusCode, &'static str)> {
    if *host.phase().borrow() != HostPhase::Serving {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "leaving"));
    }
    if host.is_cut_off() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, CUT_OFF));
    }
    if MAX_LOOP_DELAY < host.read_lag() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "overloaded"));
    }
    let Some(view) = host.view() else {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "no_config"));
    };
    let lag = host.read_lag();
    let confirmation = GroupConfirmation::expect(host, request.headers());
    let limit = view.serving.limits.max_body_bytes.saturating_add(EXTRA_REQUEST_BYTES);
    let body = Limited::new(request.into_body(), limit).collect().await;
    let body = body.map_err(|_| (StatusCode::BAD_REQUEST, "body_cut"))?.to_bytes();
    let request: PartsRequest =
        peer_message::decode(&body).map_err(|_| (StatusCode::BAD_REQUEST, "malformed"))?;
    if request.version != view.serving.version {
        return Err((StatusCode::CONFLICT, "other_version"));
    }
    let gathering = Gathering::new(host, view, request, lag, confirmation);
    gathering.ok_or((StatusCode::BAD_REQUEST, "malformed"))
}

/// Gathering of the parts of one group.
struct Gathering {
    request: Arc<ForwardedRequest>,
    route: Arc<RouteContract>,
    plan: DispatchPlan,
    times: RequestTimes,
    first_message: Duration,
    /// Positions of the shards of the plan in the shard list of the route.
    shards: Vec<usize>,
    rng: SmallRng,
    attempts: FuturesUnordered<BoxFuture<'static, AttemptResult>>,
    /// Parts that are in no message yet: shard within the group, stamp and records.
    gathered: Vec<(usize, HeaderValue, Bytes)>,
    /// Shards within the group that were reported as failed.
    reported_failed: Vec<bool>,
    /// Whether the first message was sent.
    is_first_sent: bool,
    /// Whether the sender of the request has the first message, so that it will not ask another host for the group.
    confirmation: GroupConfirmation,
    /// Second attempts that wait for that.
    held: Vec<SendCommand>,
}

impl Gathering {
    /// Prepares the attempts of a request that may have waited in its socket for `lag` before it was read.
    fn new(
        host: &Arc<RelayHost>,
        view: Arc<RelayView>,
        asked: PartsRequest,
        lag: Duration,
        confirmation: GroupConfirmation,
    ) -> Option<Self> {
        let route = Arc::clone(view.serving.route_table.get(&asked.route)?);
        let now = host.now();
        let times = RequestTimes {
            arrived: now,
            soft_deadline: now.saturating_add(asked.soft_left.saturating_sub(SOFT_DEADLINE_MARGIN)),
            deadline: now.saturating_add(asked.left.saturating_sub(lag)),
        };
        let mut rng = host.rng();
        let (shards, prior) = (&asked.shards, asked.prior_attempts);
        let plan = DispatchPlan::for_group(&route, &view.serving, times, shards, prior, &mut rng)?;
        let method = asked.method.parse::<Method>().ok()?;
        let uri = asked.uri.parse::<Uri>().ok()?;
        let headers = decode_headers(&asked.headers)?;
        let fingerprint = request_fingerprint(&method, &uri, &headers, &asked.body);
        let request = ForwardedRequest {
            host: Arc::clone(host),
            view,
            method,
            uri,
            headers,
            body: asked.body,
            request_id: HeaderValue::from_maybe_shared(asked.request_id).ok()?,
            deadline: now.saturating_add(asked.caller_left.saturating_sub(lag)),
            max_reply_bytes: route.max_reply_bytes(),
            fingerprint,
            is_trial: AtomicBool::new(false),
            is_answered: AtomicBool::new(false),
        };
        Some(Self {
            request: Arc::new(request),
            route,
            plan,
            times,
            first_message: now.saturating_add(asked.first_message),
            reported_failed: vec![false; asked.shards.len()],
            shards: asked.shards,
            rng,
            attempts: FuturesUnordered::new(),
            gathered: Vec::new(),
            is_first_sent: false,
            confirmation,
            held: Vec::new(),
        })
    }

    async fn run(mut self, messages: mpsc::Sender<Bytes>) {
        let host = Arc::clone(&self.request.host);
        let commands = self.plan.start(&[], host.now(), &mut self.rng);
        count_limited_shards(self.plan.limited_count());
        self.send(commands);
        let has_receiver = loop {
            let now = host.now();
            if self.plan.open_count() == 0 || self.times.deadline <= now {
                break true;
            }
            let wake = self.next_wake(now);
            tokio::select! {
                biased;
                () = messages.closed() => break false,
                Some(result) = self.attempts.next() => {
                    if !self.on_result(result, &messages).await {
                        break false;
                    }
                }
                () = self.confirmation.receive() => self.send_held(),
                () = tokio::time::sleep(wake.saturating_sub(now)) => {
                    if !self.on_wake(&messages).await {
                        break false;
                    }
                }
            }
        };
        if has_receiver {
            self.send_message(&messages, true).await;
        }
        drop(messages);
        self.drain().await;
    }

    fn send(&mut self, commands: impl IntoIterator<Item = SendCommand>) {
        for command in commands {
            self.request.host.count_attempt(command.cause.label());
            self.attempts.push(Box::pin(run_attempt(Arc::clone(&self.request), command)));
        }
    }

    /// Records the result of an attempt; returns whether the sender of the request still listens.
    async fn on_result(&mut self, result: AttemptResult, messages: &mpsc::Sender<Bytes>) -> bool {
        let now = self.request.host.now();
        let AttemptResult { attempt, outcome, reply, .. } = result;
        self.plan.set_repeats_held(self.request.is_suspect());
        if outcome != AttemptOutcome::Answered {
            metrics::counter!("vanillapick_attempt_failures_total", "end" => outcome.label())
                .increment(1);
        }
        let shard = self.plan.shard(attempt);
        let command = self.plan.on_outcome(attempt, outcome, now, &mut self.rng);
        if self.plan.is_answer(attempt)
            && let Some(reply) = reply
            && let Some(stamp) = reply.stamp
        {
            self.gathered.push((shard, stamp, reply.body));
        }
        // The sender counts on a message before any second attempt.
        let is_due = command.is_some() && !self.is_first_sent;
        let is_late = self.times.soft_deadline <= now && !self.gathered.is_empty();
        if (is_due || is_late) && !self.send_message(messages, false).await {
            return false;
        }
        self.held.extend(command);
        self.send_held();
        true
    }

    /// Sends the second attempts that were held, if they may be sent by now.
    fn send_held(&mut self) {
        if self.confirmation.is_received() {
            let held = std::mem::take(&mut self.held);
            self.send(held);
        }
    }

    /// Next time to call [`Self::on_wake`].
    fn next_wake(&self, now: Duration) -> Duration {
        if !self.is_first_sent {
            return self.plan.next_wake(now).min(self.first_message);
        }
        if self.confirmation.is_received() {
            return self.plan.next_wake(now);
        }
        // Hedges wait for the confirmation, parts that were gathered do not.
        let is_past = self.times.soft_deadline <= now;
        if is_past { self.times.deadline } else { self.times.soft_deadline }
    }

    /// Sends the message and the hedges that are due; returns whether the sender of the request still listens.
    async fn on_wake(&mut self, messages: &mpsc::Sender<Bytes>) -> bool {
        let now = self.request.host.now();
        let is_soft_deadline = self.times.soft_deadline <= now && !self.gathered.is_empty();
        if (!self.is_first_sent || is_soft_deadline) && !self.send_message(messages, false).await {
            return false;
        }
        self.send_held();
        if self.confirmation.is_received() {
            self.plan.set_repeats_held(self.request.is_suspect());
            let commands = self.plan.on_wake(now, &mut self.rng);
            self.send(commands);
        }
        true
    }

    /// Sends what was gathered since the last message; returns whether the sender of the request still listens.
    async fn send_message(&mut self, messages: &mpsc::Sender<Bytes>, is_last: bool) -> bool {
        self.is_first_sent = true;
        let RoutePools::Sharded(sharded) = &self.route.pools else { return false };
        let gathered = std::mem::take(&mut self.gathered);
        let bodies: Vec<Bytes> = gathered.iter().map(|(_, _, body)| body.clone()).collect();
        let parts = gathered.into_iter().map(|(shard, stamp, _)| {
            (self.shards[shard], Bytes::copy_from_slice(stamp.as_bytes()))
        });
        let parts = parts.collect();
        let failed: Vec<usize> = (0..self.shards.len())
            .filter(|shard| !self.reported_failed[*shard] && self.plan.has_failed(*shard))
            .collect();
        failed.iter().for_each(|shard| self.reported_failed[*shard] = true);
        let message = PartsMessage {
            request_id: Bytes::copy_from_slice(self.request.request_id.as_bytes()),
            parts,
            records: greatest_records(&bodies, sharded.result_limit),
            failed: failed.into_iter().map(|shard| self.shards[shard]).collect(),
            // This host has told the others of its losses itself.
            has_lost_target: false,
            is_last,
        };
        match message.encode() {
            Ok(encoded) => messages.send(encoded).await.is_ok(),
            Err(error) => {
                tracing::error!(error, "encoding gathered parts failed");
                false
            }
        }
    }

    /// Lets attempts that are no longer needed finish within a grace period, so that their connections can be reused.
    async fn drain(mut self) {
        self.plan.close();
        let now = self.request.host.now();
        for command in std::mem::take(&mut self.held) {
            let withdrawn = AttemptOutcome::NotRun(NotRunCause::Withdrawn);
            self.plan.on_outcome(command.attempt, withdrawn, now, &mut self.rng);
        }
        if self.attempts.is_empty() {
            return;
        }
        self.request.is_answered.store(true, Relaxed);
        let host = Arc::clone(&self.request.host);
        let rest = async {
            while let Some(result) = self.attempts.next().await {
                self.plan.on_outcome(result.attempt, result.outcome, host.now(), &mut self.rng);
            }
        };
        if tokio::time::timeout(UNUSED_ATTEMPT_GRACE, rest).await.is_err() {
            self.plan.record_unanswered(host.now());
        }
    }
}
