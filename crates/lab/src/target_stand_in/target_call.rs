//! Handling of one call to a target stand-in, from its arrival to its reply.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use tokio::sync::Notify;
use tokio::time;
use vanillapick_model::call::ReplyTag;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::call::header;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::SnapshotPin;

use crate::http_reply::ConnectionClosed;
use crate::http_reply::StandInReply;
use crate::http_reply::StandInRequest;
use crate::http_reply::header_number;
use crate::http_reply::header_text;
use crate::http_reply::reply;
use crate::target_stand_in::DOMAIN_HEADER;
use crate::target_stand_in::reply_content::shard_hits;
use crate::target_stand_in::reply_content::value_token;
use crate::target_stand_in::target_behaviour::ReplyFault;
use crate::target_stand_in::target_behaviour::WriteCut;
use crate::target_stand_in::target_state::TargetState;
use crate::target_stand_in::target_state::lock;

/// Time for which a call from a domain in `cut_from` stays unanswered before its connection is closed.
const UNANSWERED_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after the deadline at which a late reply is sent.
const LATE_REPLY_DELAY: Duration = Duration::from_millis(50);

struct TargetCall {
    kind: RouteKind,
    tag: ReplyTag,
    class: Option<u64>,
    deadline: time::Instant,
    body: Bytes,
}

/// Removes the cancellation signal of a call when the call ends.
struct CancelGuard<'a> {
    state: &'a TargetState,
    tag: ReplyTag,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let key = (self.tag.request_id.clone(), self.tag.attempt);
        lock(&self.state.cancel_signals).remove(&key);
    }
}

pub(crate) async fn serve_request(
    state: Arc<TargetState>,
    request: StandInRequest,
) -> Result<StandInReply, ConnectionClosed> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionClosed)?.to_bytes();
    let domain = header_text(&parts.headers, DOMAIN_HEADER).unwrap_or_default();
    if state.behaviour().cut_from.contains(domain) {
        time::sleep(UNANSWERED_TIMEOUT).await;
        return Err(ConnectionClosed);
    }
    let delay = state.link_delay(domain);
    let mut path = parts.uri.path().split('/').skip(1);
    let reply = match (path.next().unwrap_or_default(), path.next(), path.next()) {
        ("status", None, None) => {
            time::sleep(delay).await;
            let marks = serde_json::to_vec(&state.marks()).unwrap_or_default();
            with_mark_headers(&state, reply(StatusCode::OK, marks))
        }
        ("cancel", Some(request_id), Some(attempt)) => {
            time::sleep(delay).await;
            let key = (request_id.to_owned(), attempt.parse().unwrap_or_default());
            let cancel = lock(&state.cancel_signals).get(&key).cloned();
            if let Some(cancel) = &cancel {
                cancel.notify_one();
            }
            reply(if cancel.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND }, "")
        }
        (kind, Some(shard), None) => {
            let Some(call) = parse_call(kind, shard, &parts.headers, body) else {
                return Ok(reply(
                    StatusCode::BAD_REQUEST,
                    "unknown kind, or missing or invalid shard or header",
                ));
            };
            serve_call(&state, &call, delay).await?
        }
        _ => reply(StatusCode::NOT_FOUND, ""),
    };
    if !delay.is_zero() {
        time::sleep(delay).await;
    }
    Ok(reply)
}

fn parse_call(kind: &str, shard: &str, headers: &HeaderMap, body: Bytes) -> Option<TargetCall> {
    let kind = match kind {
        "search" => RouteKind::Search,
        "read" => RouteKind::Read,
        "write" => RouteKind::Write,
        _ => return None,
    };
    let tag = ReplyTag {
        request_id: header_text(headers, header::REQUEST_ID)?.to_owned(),
        attempt: header_number(headers, header::ATTEMPT)?.try_into().ok()?,
        shard: shard.parse().ok()?,
        shard_map: header_number(headers, header::SHARD_MAP).unwrap_or_default(),
        snapshot: header_number(headers, header::SNAPSHOT).unwrap_or_default(),
    };
    let deadline = Duration::from_millis(header_number(headers, header::DEADLINE_MS)?);
    let class = header_number(headers, header::CLASS);
    Some(TargetCall { kind, tag, class, deadline: time::Instant::now() + deadline, body })
}

async fn serve_call(
    state: &Arc<TargetState>,
    call: &TargetCall,
    delay: Duration,
) -> Result<StandInReply, ConnectionClosed> {
    let cancel = Arc::new(Notify::new());
    let key = (call.tag.request_id.clone(), call.tag.attempt);
    lock(&state.cancel_signals).insert(key, Arc::clone(&cancel));
    let _guard = CancelGuard { state, tag: call.tag.clone() };
    if !delay.is_zero() {
        time::sleep(delay).await;
    }
    state.update_counts(|counts| counts.arrived += 1);
    let behaviour = state.behaviour();
    if behaviour.draining {
        return Ok(refuse(state, call, TargetRefusal::Draining));
    }
    if call.tag.shard != state.setup.shard || !is_shard_map_served(state, call) {
        return Ok(refuse(state, call, TargetRefusal::WrongShard));
    }
    let is_pinned = call.tag.snapshot != 0;
    if is_pinned && !behaviour.snapshots.contains(&call.tag.snapshot) {
        return Ok(refuse(state, call, TargetRefusal::SnapshotMissing));
    }
    if state.is_cold() && behaviour.cold_slots as usize <= state.limiter.in_flight() {
        state.update_counts(|counts| counts.over_cold_allowance += 1);
    }
    let Some(permit) = state.limiter.acquire(behaviour.queue) else {
        state.update_counts(|counts| counts.over_slots += 1);
        return Ok(refuse(state, call, TargetRefusal::Shed));
    };
    let _permit = tokio::select! {
        biased;
        () = cancel.notified() => return Ok(refuse_cancelled(state, call)),
        () = time::sleep_until(call.deadline) => return Ok(refuse(state, call, TargetRefusal::Deadline)),
        permit = permit => permit.map_err(|_| ConnectionClosed)?,
    };
    run_call(state, call, &cancel).await
}

fn is_shard_map_served(state: &TargetState, call: &TargetCall) -> bool {
    call.tag.shard_map == 0 || call.tag.shard_map == state.setup.shard_map
}

async fn run_call(
    state: &Arc<TargetState>,
    call: &TargetCall,
    cancel: &Notify,
) -> Result<StandInReply, ConnectionClosed> {
    let behaviour = state.behaviour();
    let closes_connection = call.kind == RouteKind::Write
        && behaviour.write_cut != WriteCut::None
        && state.sample(behaviour.write_cut_share);
    if closes_connection && behaviour.write_cut == WriteCut::Before {
        return Err(ConnectionClosed);
    }
    state.update_counts(|counts| counts.runs += 1);
    state.count_cold_run();
    state.setup.ledger.record(&call.tag.request_id, state.setup.shard_map, call.tag.shard);
    if contains_marker(&call.body, behaviour.crash_marker.as_bytes()) {
        state.crash();
        return Err(ConnectionClosed);
    }

    let fault = &behaviour.version_fault;
    let is_faulty = Duration::from_millis(fault.after_ms) <= state.behaviour_age()
        && fault.above_load <= state.load()
        && fault.class.is_none_or(|class| call.class == Some(u64::from(class)));
    let mut service_time = state.service_time();
    if is_faulty && 0.0 < fault.slow_factor {
        service_time = service_time.mul_f64(fault.slow_factor);
    }
    if closes_connection && behaviour.write_cut == WriteCut::During {
        time::sleep(service_time / 2).await;
        return Err(ConnectionClosed);
    }
    tokio::select! {
        biased;
        () = cancel.notified() => {
            state.update_counts(|counts| counts.cancelled += 1);
            let status = StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST);
            return Ok(with_tag_headers(with_mark_headers(state, reply(status, "")), &call.tag));
        }
        () = time::sleep_until(call.deadline) => {
            return Ok(with_tag_headers(
                with_mark_headers(state, reply(StatusCode::GATEWAY_TIMEOUT, "")),
                &call.tag,
            ));
        }
        () = time::sleep(service_time) => {}
    }
    if closes_connection {
        return Err(ConnectionClosed);
    }
    if is_faulty && state.sample(fault.error_share) {
        let failed = reply(StatusCode::INTERNAL_SERVER_ERROR, "");
        return Ok(with_tag_headers(with_mark_headers(state, failed), &call.tag));
    }
    Ok(build_reply(state, call).await)
}

fn contains_marker(body: &[u8], marker: &[u8]) -> bool {
    !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker)
}

async fn build_reply(state: &TargetState, call: &TargetCall) -> StandInReply {
    let behaviour = state.behaviour();
    let mut tag = call.tag.clone();
    tag.shard_map = state.setup.shard_map;
    if tag.snapshot == 0 {
        tag.snapshot = behaviour.snapshots.first().copied().unwrap_or_default();
    }
    let pin = SnapshotPin { shard_map: tag.shard_map, snapshot: tag.snapshot };
    let mut content = match call.kind {
        RouteKind::Search => {
            serde_json::to_vec(&shard_hits(pin, tag.shard, &call.body)).unwrap_or_default()
        }
        RouteKind::Read | RouteKind::Write => {
            format!("{{\"value\":\"{}\"}}", value_token(&call.body)).into_bytes()
        }
    };
    let has_fault =
        behaviour.reply_fault != ReplyFault::None && state.sample(behaviour.reply_fault_share);
    let previous = lock(&state.last_reply).clone();
    match behaviour.reply_fault {
        ReplyFault::Truncated if has_fault => content.truncate(content.len() / 2),
        ReplyFault::NotJson if has_fault => content = b"<html>busy</html>".to_vec(),
        ReplyFault::WrongRequestId if has_fault => tag.request_id.push_str("-other"),
        ReplyFault::WrongSnapshot if has_fault => tag.snapshot += 1,
        ReplyFault::Late if has_fault => time::sleep_until(call.deadline + LATE_REPLY_DELAY).await,
        ReplyFault::Duplicated if has_fault => {
            if let Some((headers, body)) = previous {
                let mut again = Response::new(Full::new(body));
                *again.headers_mut() = headers;
                return again;
            }
        }
        _ => {}
    }
    let content = Bytes::from(content);
    let reply =
        with_tag_headers(with_mark_headers(state, reply(StatusCode::OK, content.clone())), &tag);
    *lock(&state.last_reply) = Some((reply.headers().clone(), content));
    reply
}

fn refuse(state: &TargetState, call: &TargetCall, reason: TargetRefusal) -> StandInReply {
    state.update_counts(|counts| *counts.refused.entry(reason.to_string()).or_default() += 1);
    let mut refusal = with_mark_headers(state, reply(StatusCode::SERVICE_UNAVAILABLE, ""));
    let headers = refusal.headers_mut();
    set_header(headers, header::REQUEST_ID, &call.tag.request_id);
    set_header(headers, header::ATTEMPT, &call.tag.attempt.to_string());
    set_header(headers, header::OUTCOME, "not_run");
    set_header(headers, header::REASON, &reason.to_string());
    refusal
}

fn refuse_cancelled(state: &TargetState, call: &TargetCall) -> StandInReply {
    state.update_counts(|counts| counts.cancelled += 1);
    refuse(state, call, TargetRefusal::Cancelled)
}

fn with_mark_headers(state: &TargetState, mut reply: StandInReply) -> StandInReply {
    let marks = state.marks();
    let snapshots: Vec<_> = marks.snapshots.iter().map(u64::to_string).collect();
    let headers = reply.headers_mut();
    set_header(headers, header::SNAPSHOTS, &snapshots.join(","));
    set_header(headers, header::INCARNATION, &marks.incarnation.to_string());
    set_header(headers, header::LOAD, &format!("{:.3}", marks.load));
    set_header(headers, header::COLD, if marks.cold { "1" } else { "0" });
    set_header(headers, header::DRAINING, if marks.draining { "1" } else { "0" });
    reply
}

fn with_tag_headers(mut reply: StandInReply, tag: &ReplyTag) -> StandInReply {
    let headers = reply.headers_mut();
    set_header(headers, header::REQUEST_ID, &tag.request_id);
    set_header(headers, header::ATTEMPT, &tag.attempt.to_string());
    set_header(headers, header::SNAPSHOT, &tag.snapshot.to_string());
    set_header(headers, header::SHARD, &tag.shard.to_string());
    set_header(headers, header::SHARD_MAP, &tag.shard_map.to_string());
    reply
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
