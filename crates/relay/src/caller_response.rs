//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use vanillapick_dispatch::gather::greatest_records;

use crate::target_attempt::TargetReply;
use crate::wire::CallerWire;

/// Body of an answer.
pub(crate) type ResponseBody = Full<Bytes>;

/// Headers that concern one connection only, beside those that the `Connection` header names.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Answer to a search from the parts of its shards.
pub(crate) fn merged_response(
    wire: &CallerWire,
    replies: &[TargetReply],
    missing: usize,
    limit: usize,
) -> Response<ResponseBody> {
    let parts: Vec<Bytes> = replies.iter().map(|reply| reply.body.clone()).collect();
    let stamps: Vec<HeaderValue> = replies.iter().filter_map(|reply| reply.stamp.clone()).collect();
    let mut response = Response::new(Full::new(greatest_records(&parts, limit)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/octet-stream"));
    (wire.write_parts)(headers, &stamps, missing);
    response
}

/// The reply of a target, unchanged but for headers that concern the connection to it.
pub(crate) fn forwarded_response(reply: TargetReply) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    remove_connection_headers(response.headers_mut());
    response
}

/// Answer of this host itself, without a reply of a target.
pub(crate) fn local_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Says that the request was not run and never will be, and when it may be sent again.
pub(crate) fn not_run_response(
    wire: &CallerWire,
    retry_after: Duration,
    text: &'static str,
) -> Response<ResponseBody> {
    let mut response = local_response(StatusCode::SERVICE_UNAVAILABLE, text);
    (wire.write_retry_after)(response.headers_mut(), retry_after);
    response
}

/// Removes the headers that concern one connection only.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}
