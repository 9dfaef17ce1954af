//! Serves requests in place of other hosts that are cut off from all targets, and tells hosts whether this one reaches targets.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use vanillapick_model::peer_message;

use crate::caller_response::ResponseBody;
use crate::forward_wire::ForwardRefusal;
use crate::forward_wire::ForwardReply;
use crate::forward_wire::ForwardRequest;
use crate::forward_wire::encode_link_state;
use crate::parts_server::EXTRA_REQUEST_BYTES;
use crate::parts_wire::decode_headers;
use crate::parts_wire::encode_headers;
use crate::reach_monitor::link_state;
use crate::relay_host::HostPhase;
use crate::relay_host::RelayHost;
use crate::request_flow::ForwardedCall;
use crate::request_flow::serve_forwarded;

/// Answers with the state of this host's links to targets.
pub(crate) async fn answer_reach(host: &Arc<RelayHost>) -> Bytes {
    Bytes::from_static(encode_link_state(link_state(host).await).as_bytes())
}

/// Serves a forwarded request; the answer is an encoded [`ForwardReply`].
pub(crate) async fn answer_forward(host: &Arc<RelayHost>, request: Request<Incoming>) -> Bytes {
    let reply = match serve(host, request).await {
        Ok(reply) => {
            metrics::counter!("vanillapick_forwards_served_total").increment(1);
            reply
        }
        Err(refusal) => {
            let reason = refusal.label();
            metrics::counter!("vanillapick_forwards_refused_total", "reason" => reason)
                .increment(1);
            ForwardReply::Refused(refusal)
        }
    };
    match rmp_serde::to_vec(&reply) {
        Ok(encoded) => Bytes::from(encoded),
        Err(error) => {
            // The sender takes a reply that it cannot decode for a lost one.
            tracing::error!(%error, "encoding the reply to a forwarded request failed");
            Bytes::new()
        }
    }
}

async fn serve(
    host: &Arc<RelayHost>,
    request: Request<Incoming>,
) -> Result<ForwardReply, ForwardRefusal> {
    if *host.phase().borrow() != HostPhase::Serving {
        return Err(ForwardRefusal::Leaving);
    }
    if host.is_cut_off() {
        return Err(ForwardRefusal::CutOff);
    }
    let lag = host.read_lag();
    let arrived = host.now();
    let view = host.view().ok_or(ForwardRefusal::Configuration)?;
    let limit = view.serving.limits.max_body_bytes.saturating_add(EXTRA_REQUEST_BYTES);
    let body = Limited::new(request.into_body(), limit).collect().await;
    let body = body.map_err(|_| ForwardRefusal::Malformed)?.to_bytes();
    let message: ForwardRequest =
        peer_message::decode(&body).map_err(|_| ForwardRefusal::Malformed)?;
    if view.serving.version < message.version {
        return Err(ForwardRefusal::Configuration);
    }
    let request_id = message.request_id.clone();
    let call = decode_call(message, arrived, lag).ok_or(ForwardRefusal::Malformed)?;
    let response = serve_forwarded(host, view, call).await?;
    Ok(encode_response(request_id, response).await)
}

fn decode_call(
    message: ForwardRequest,
    now: std::time::Duration,
    lag: std::time::Duration,
) -> Option<ForwardedCall> {
    let mut request = Request::new(());
    *request.method_mut() = message.method.parse::<Method>().ok()?;
    *request.uri_mut() = message.uri.parse::<Uri>().ok()?;
    *request.headers_mut() = decode_headers(&message.headers)?;
    // Times are since the start of this process, which may be later than the arrival at the other host.
    let before_start = message.elapsed.saturating_sub(now);
    Some(ForwardedCall {
        parts: request.into_parts().0,
        body: message.body,
        request_id: HeaderValue::from_maybe_shared(message.request_id).ok()?,
        arrived: now.saturating_sub(message.elapsed),
        timeout: message.timeout.saturating_sub(before_start),
        lag,
        is_counted: message.is_counted,
    })
}

async fn encode_response(request_id: Bytes, response: Response<ResponseBody>) -> ForwardReply {
    let (parts, body) = response.into_parts();
    // A body that is held in memory cannot fail.
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    ForwardReply::Response {
        request_id,
        status: parts.status.as_u16(),
        headers: encode_headers(&parts.headers),
        body,
    }
}
