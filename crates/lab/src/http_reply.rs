//! HTTP helpers shared by the platform and target stand-ins.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

/// HTTP response with a body that is in memory as a whole.
pub type StandInReply = Response<Full<Bytes>>;

/// HTTP request whose body is not yet read.
pub type StandInRequest = hyper::Request<Incoming>;

/// Error that a service returns to make hyper close the connection without a reply.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stand-in closed the connection without a reply")]
pub struct ConnectionClosed;

/// Builds a response that has no headers.
pub fn reply(status: StatusCode, body: impl Into<Bytes>) -> StandInReply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

/// Returns the text of a request header, if it is present and visible ASCII.
pub fn header_text<'a>(request: &'a hyper::HeaderMap, name: &str) -> Option<&'a str> {
    request.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a request header as a number; `None` if it is absent or malformed.
pub fn header_number(request: &hyper::HeaderMap, name: &str) -> Option<u64> {
    header_text(request, name).and_then(|text| text.trim().parse().ok())
}

/// Parses the query parameter `name` as a number; `None` if it is absent or malformed.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    let mut pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
