//! Recognizes requests that callers send again, by a hash.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use xxhash_rust::xxh3::Xxh3;

/// Computes the fingerprint of a request. Callers repeat a failed request unchanged, at any host, so equal requests have
/// equal fingerprints on all hosts.
pub(crate) fn request_fingerprint(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &Bytes,
) -> RequestFingerprint {
    let mut hasher = Xxh3::new();
    hasher.update(method.as_str().as_bytes());
    hasher.update(headers.get(HOST).map_or(b"", HeaderValue::as_bytes));
    hasher.update(uri.path_and_query().map_or("", |path| path.as_str()).as_bytes());
    hasher.update(body);
    hasher.digest()
}
