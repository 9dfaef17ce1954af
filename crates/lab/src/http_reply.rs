//! Replies of the stand-ins, and the small parts of HTTP that both share.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

/// Reply of a stand-in.
pub type StandInReply = Response<Full<Bytes>>;

/// Request to a stand-in.
pub type StandInRequest = hyper::Request<Incoming>;

/// Returned in place of a reply to make hyper close the connection without one.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stand-in cuts the connection")]
pub struct ConnectionClosed;

/// A reply with `status` and `body`.
pub fn reply(status: StatusCode, body: impl Into<Bytes>) -> StandInReply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

/// Text of a request header, if it is there and is visible ASCII.
pub fn header_text<'a>(request: &'a hyper::HeaderMap, name: &str) -> Option<&'a str> {
    request.get(name).and_then(|value| value.to_str().ok())
}

/// Number in a request header, if it is there.
pub fn header_number(request: &hyper::HeaderMap, name: &str) -> Option<u64> {
    header_text(request, name).and_then(|text| text.trim().parse().ok())
}

/// Number under `name` in the query of a request, if it is there.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    let mut pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
