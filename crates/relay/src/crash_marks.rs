//! Fingerprints of requests that crash targets, and the marks that publish them to other hosts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use tokio::sync::mpsc::UnboundedReceiver;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use xxhash_rust::xxh3::Xxh3;

use crate::relay_host::RelayHost;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;

/// Lifetime of a mark. Afterwards the request is allowed again, because the defect in the target may have been fixed.
const CRASH_MARK_TTL: Duration = Duration::from_secs(60);

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

/// Publishes the crash marks of this host to the store until the process ends.
pub(crate) async fn publish_crash_marks(
    host: Arc<RelayHost>,
    store: StoreClient,
    mut fingerprints: UnboundedReceiver<RequestFingerprint>,
) {
    while let Some(fingerprint) = fingerprints.recv().await {
        tracing::warn!(
            print = format!("{fingerprint:016x}"),
            "requests with this fingerprint are refused: they crash targets"
        );
        if let Err(error) = publish(&host, &store, fingerprint).await {
            tracing::warn!(print = format!("{fingerprint:016x}"), fault = %error, "publishing the crash mark to other hosts failed");
        }
    }
}

async fn publish(
    host: &RelayHost,
    store: &StoreClient,
    fingerprint: RequestFingerprint,
) -> Result<(), StoreError> {
    let wire = host.wire.store;
    let lease = store.read((wire.lease)(CRASH_MARK_TTL), Duration::ZERO, wire.read_lease).await?;
    store.send((wire.mark_crash)(fingerprint, lease), Duration::ZERO).await?;
    Ok(())
}
