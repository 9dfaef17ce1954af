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

/// Publishes the crash marks of this host to the store until the process ends, and again if the store was restored.
pub(crate) async fn publish_crash_marks(
    host: Arc<RelayHost>,
    store: StoreClient,
    mut fingerprints: UnboundedReceiver<RequestFingerprint>,
) {
    let mut store_era = host.store_era();
    let mut marks: Vec<PublishedMark> = Vec::new();
    loop {
        tokio::select! {
            fingerprint = fingerprints.recv() => {
                let Some(fingerprint) = fingerprint else { return };
                tracing::warn!(
                    print = format!("{fingerprint:016x}"),
                    "requests with this fingerprint are refused: they crash targets"
                );
                let until = host.now() + CRASH_MARK_TTL;
                let mark = PublishedMark { fingerprint, until };
                marks.retain(|known| host.now() < known.until);
                marks.push(mark);
                publish(&host, &store, mark).await;
            }
            Ok(()) = store_era.changed() => {
                let now = host.now();
                marks.retain(|mark| now < mark.until);
                for mark in &marks {
                    publish(&host, &store, *mark).await;
                }
            }
        }
    }
}

/// A mark of this host.
#[derive(Clone, Copy)]
struct PublishedMark {
    fingerprint: RequestFingerprint,
    /// End of its lifetime, as time since the start of the process.
    until: Duration,
}

async fn publish(host: &RelayHost, store: &StoreClient, mark: PublishedMark) {
    let fingerprint = mark.fingerprint;
    if let Err(error) = write_mark(host, store, mark).await {
        tracing::warn!(print = format!("{fingerprint:016x}"), fault = %error, "publishing the crash mark to other hosts failed");
    }
}

async fn write_mark(
    host: &RelayHost,
    store: &StoreClient,
    mark: PublishedMark,
) -> Result<(), StoreError> {
    let wire = host.wire.store;
    let PublishedMark { fingerprint, until } = mark;
    let lifetime = until.saturating_sub(host.now());
    let lease = store.read((wire.lease)(lifetime), Duration::ZERO, wire.read_lease).await?;
    store.send((wire.mark_crash)(fingerprint, lease), Duration::ZERO).await?;
    Ok(())
}
