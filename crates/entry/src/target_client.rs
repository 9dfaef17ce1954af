//! HTTP client for targets, with a bounded number of connections to each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header::HeaderMap;
use serde_json::value::RawValue;
use vanillapick_model::call::AttemptNumber;
use vanillapick_model::call::ReplyTag;
use vanillapick_model::call::RequestId;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::call::header;
use vanillapick_model::route::RouteKind;
use vanillapick_platform::reply_body::read_reply_body;
use vanillapick_platform::reply_memory::ReplyMemory;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::AttemptSpec;

use crate::entry_host::lock;
use crate::link_rule::LinkRule;
use crate::target_link::CONNECTION_RETURN_DELAY;
use crate::target_link::ClientPurpose;
use crate::target_link::TargetLink;

/// Size limit of a target's reply, above any document that targets hold. A target in trouble may send bytes without end.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Size limit of replies that carry marks or nothing.
const MAX_STATUS_BYTES: usize = 64 << 10;

/// Header that names the failure domain of the calling entry host.
const DOMAIN_HEADER: &str = "vp-domain";

/// Delay before a call is retried that found this host's share of connections in use.
const SHARE_RETRY_DELAY: Duration = Duration::from_millis(2);

/// HTTP status of a call that the target aborted after a cancel request.
const CALL_CANCELLED_STATUS: u16 = 499;

/// Value of the outcome header of a refusal: the target did not run the call.
const NOT_RUN_OUTCOME: &str = "not_run";

/// Values shared by all calls of one request.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// Request id chosen by the caller.
    pub request_id: RequestId,
    /// Attempt number sent for attempt 0. It is random, so that two requests with the same id, on one host or on
    /// different hosts, never share a pair of request id and attempt, and cancelling one does not cancel the other.
    pub attempt_base: AttemptNumber,
    /// Priority class of the route.
    pub class: u8,
    pub body: Bytes,
}

/// HTTP client that holds the connections to all targets.
pub struct TargetClient {
    domain: String,
    rule: LinkRule,
    memory: Arc<ReplyMemory>,
    links: Mutex<HashMap<SocketAddr, Arc<TargetLink>>>,
}

impl TargetClient {
    /// Creates a client for a host in the failure domain `domain`. Replies are kept in `memory`.
    pub fn new(domain: String, rule: LinkRule, memory: Arc<ReplyMemory>) -> Self {
        Self { domain, rule, memory, links: Mutex::new(HashMap::new()) }
    }

    /// Makes one call; `time_left` is the time to its deadline. The sessions bound the number of concurrent calls to a
    /// target by this host's share of its connections.
    pub async fn call(
        &self,
        context: &CallContext,
        attempt: &AttemptSpec,
        address: SocketAddr,
        time_left: Duration,
    ) -> AttemptResult {
        if !self.rule.pass(address).await {
            return AttemptResult::NotSent;
        }
        let link = self.link(address);
        let Some(client) = link.acquire_with_wait().await else {
            // This host's share of connections is in use, which says nothing about the state of the target.
            return AttemptResult::Refused {
                reason: TargetRefusal::Shed,
                marks: None,
                retry_after: Some(SHARE_RETRY_DELAY),
            };
        };
        let result = tokio::time::timeout(
            time_left,
            self.exchange(&client, context, attempt, address, time_left),
        )
        .await;
        tokio::spawn(async move {
            tokio::time::sleep(CONNECTION_RETURN_DELAY).await;
            link.release(client, ClientPurpose::Call);
        });
        result.unwrap_or(AttemptResult::TimedOut)
    }

    /// Asks a target to cancel a call. Failures are ignored, because the call ends at its deadline anyway.
    pub async fn cancel(
        &self,
        context: &CallContext,
        attempt: AttemptNumber,
        address: SocketAddr,
        time_left: Duration,
    ) {
        if !self.rule.pass(address).await {
            return;
        }
        let wire_attempt = context.attempt_base.wrapping_add(attempt);
        let url = format!("http://{address}/cancel/{}/{wire_attempt}", context.request_id);
        let link = self.link(address);
        let Some(client) = link.acquire(ClientPurpose::Control) else { return };
        let request = client.post(url).header(DOMAIN_HEADER, &self.domain).timeout(time_left);
        if let Ok(response) = request.send().await {
            let _ = read_reply_body(response, MAX_STATUS_BYTES, &self.memory).await;
        }
        link.release(client, ClientPurpose::Control);
    }

    /// Reads the marks of a target from its status endpoint.
    pub async fn status(&self, address: SocketAddr, limit: Duration) -> Option<TargetMarks> {
        if !self.rule.pass(address).await {
            return None;
        }
        let link = self.link(address);
        let client = link.acquire(ClientPurpose::Control)?;
        let request = client
            .get(format!("http://{address}/status"))
            .header(DOMAIN_HEADER, &self.domain)
            .timeout(limit);
        let marks = match request.send().await {
            Ok(response) => {
                let body = read_reply_body(response, MAX_STATUS_BYTES, &self.memory).await.ok();
                body.and_then(|body| serde_json::from_slice(&body).ok())
            }
            Err(_) => None,
        };
        link.release(client, ClientPurpose::Control);
        marks
    }

    /// Sets the maximum number of connections to a target, which is this host's share.
    pub fn set_limit(&self, address: SocketAddr, connections: u32) {
        self.link(address).set_limit(connections);
    }

    /// Drops the clients of all targets whose address `keep` rejects, which closes their connections.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut links = lock(&self.links);
        links.retain(|address, _| keep(address));
    }

    fn link(&self, address: SocketAddr) -> Arc<TargetLink> {
        let mut links = lock(&self.links);
        Arc::clone(links.entry(address).or_default())
    }

    async fn exchange(
        &self,
        client: &Client,
        context: &CallContext,
        attempt: &AttemptSpec,
        address: SocketAddr,
        time_left: Duration,
    ) -> AttemptResult {
        let kind = match attempt.kind {
            RouteKind::Search => "search",
            RouteKind::Read => "read",
            RouteKind::Write => "write",
        };
        let request = client
            .post(format!("http://{address}/{kind}/{}", attempt.shard))
            .header(header::REQUEST_ID, &context.request_id)
            .header(header::ATTEMPT, context.attempt_base.wrapping_add(attempt.number))
            .header(header::DEADLINE_MS, time_left.as_millis().max(1).to_string())
            .header(header::SNAPSHOT, attempt.pin.snapshot)
            .header(header::SHARD, attempt.shard)
            .header(header::SHARD_MAP, attempt.pin.shard_map)
            .header(header::CLASS, u32::from(context.class))
            .header(DOMAIN_HEADER, &self.domain)
            .body(context.body.clone());
        match request.send().await {
            Ok(response) => read_response(context, attempt, response, &self.memory).await,
            Err(error) if error.is_connect() => AttemptResult::NotSent,
            Err(_) => AttemptResult::Lost,
        }
    }
}

async fn read_response(
    context: &CallContext,
    attempt: &AttemptSpec,
    response: Response,
    memory: &Arc<ReplyMemory>,
) -> AttemptResult {
    let status = response.status();
    let headers = response.headers().clone();
    let body = match read_reply_body(response, MAX_REPLY_BYTES, memory).await {
        Ok(body) => body,
        // The body was shorter or longer than announced or than the limits, or its encoding is invalid.
        Err(error) => {
            tracing::debug!(%error, "the body of a reply was rejected");
            return AttemptResult::Malformed;
        }
    };
    let marks = read_marks(attempt, &headers);
    if status == StatusCode::SERVICE_UNAVAILABLE
        && text(&headers, header::OUTCOME) == Some(NOT_RUN_OUTCOME)
    {
        let Some(reason) = text(&headers, header::REASON).and_then(TargetRefusal::from_header)
        else {
            return AttemptResult::Malformed;
        };
        if !is_refusal_of_call(context, attempt, &headers) {
            return AttemptResult::Malformed;
        }
        let retry_after = number(&headers, header::RETRY_AFTER_MS).map(Duration::from_millis);
        return AttemptResult::Refused { reason, marks, retry_after };
    }
    if status.as_u16() == CALL_CANCELLED_STATUS || status == StatusCode::GATEWAY_TIMEOUT {
        return AttemptResult::TimedOut;
    }
    if status != StatusCode::OK || !is_valid_body(attempt.kind, &body) {
        return AttemptResult::Malformed;
    }
    match (read_tag(context, &headers), marks) {
        (Some(tag), Some(marks)) => AttemptResult::Reply { tag, marks, body },
        _ => AttemptResult::Malformed,
    }
}

/// Whether a refusal names this call. One that names no call or a different one, such as a late copy of an earlier refusal, is no
/// evidence that this call has not run.
fn is_refusal_of_call(context: &CallContext, attempt: &AttemptSpec, headers: &HeaderMap) -> bool {
    let wire_attempt = context.attempt_base.wrapping_add(attempt.number);
    text(headers, header::REQUEST_ID) == Some(&context.request_id)
        && number(headers, header::ATTEMPT) == Some(wire_attempt)
}

/// Whether the body is valid for the kind of call. The session parses the hits of a search, but does not validate the
/// text of unknown fields; the reply to a read or a write is passed on to the caller as JSON.
fn is_valid_body(kind: RouteKind, body: &[u8]) -> bool {
    match kind {
        RouteKind::Search => std::str::from_utf8(body).is_ok(),
        RouteKind::Read | RouteKind::Write => serde_json::from_slice::<&RawValue>(body).is_ok(),
    }
}

fn read_tag(context: &CallContext, headers: &HeaderMap) -> Option<ReplyTag> {
    let wire_attempt: AttemptNumber = number(headers, header::ATTEMPT)?;
    Some(ReplyTag {
        request_id: text(headers, header::REQUEST_ID)?.to_owned(),
        attempt: wire_attempt.wrapping_sub(context.attempt_base),
        shard: number(headers, header::SHARD)?,
        shard_map: number(headers, header::SHARD_MAP)?,
        snapshot: number(headers, header::SNAPSHOT)?,
    })
}

/// Reads the marks of the called target. A refusal may omit the shard and shard map; the requested ones are used then.
fn read_marks(attempt: &AttemptSpec, headers: &HeaderMap) -> Option<TargetMarks> {
    let snapshots = text(headers, header::SNAPSHOTS)?;
    let snapshots: Result<Vec<_>, _> = snapshots
        .split(',')
        .filter(|part| !part.is_empty())
        .map(|part| part.trim().parse())
        .collect();
    Some(TargetMarks {
        incarnation: number(headers, header::INCARNATION)?,
        shard_map: number(headers, header::SHARD_MAP).unwrap_or(attempt.pin.shard_map),
        shard: number(headers, header::SHARD).unwrap_or(attempt.shard),
        snapshots: snapshots.ok()?,
        load: load(headers)?,
        cold: flag(headers, header::COLD)?,
        draining: flag(headers, header::DRAINING)?,
    })
}

/// Parses the load mark: 0 without the header, `None` unless the value is a single finite number.
fn load(headers: &HeaderMap) -> Option<f64> {
    if !headers.contains_key(header::LOAD) {
        return Some(0.0);
    }
    number(headers, header::LOAD).filter(|load: &f64| load.is_finite())
}

/// Parses a mark that is `0` or `1`: false without the header, `None` for any other value.
fn flag(headers: &HeaderMap, name: &str) -> Option<bool> {
    if !headers.contains_key(name) {
        return Some(false);
    }
    match text(headers, name)? {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}

/// Value of a header that occurs exactly once; `None` if it is missing or repeated.
fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

fn number<N: FromStr>(headers: &HeaderMap, name: &str) -> Option<N> {
    text(headers, name)?.trim().parse().ok()
}
