//! Requests that crash targets: their fingerprints, and marks that tell other hosts.

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
use crate::store_client::StoreFault;

/// Time after which a mark ends, so that a request is let through again once its fault may be mended.
const MARK_TIME: Duration = Duration::from_secs(60);

/// Fingerprint of a request: callers send a request that has failed again as it was, at any host.
pub(crate) fn request_print(
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

/// Writes the marks of this host until the process ends.
pub(crate) async fn publish_marks(
    host: Arc<RelayHost>,
    store: StoreClient,
    mut prints: UnboundedReceiver<RequestFingerprint>,
) {
    while let Some(print) = prints.recv().await {
        tracing::warn!(
            print = format!("{print:016x}"),
            "requests with this fingerprint are refused: they crash targets"
        );
        if let Err(fault) = publish(&host, &store, print).await {
            tracing::warn!(print = format!("{print:016x}"), %fault, "other hosts are not told of the fingerprint");
        }
    }
}

async fn publish(
    host: &RelayHost,
    store: &StoreClient,
    print: RequestFingerprint,
) -> Result<(), StoreFault> {
    let wire = host.wire.store;
    let lease = store.read((wire.lease)(MARK_TIME), Duration::ZERO, wire.read_lease).await?;
    store.send((wire.mark_crash)(print, lease), Duration::ZERO).await?;
    Ok(())
}
