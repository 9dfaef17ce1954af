//! HTTP client of the platform: key-value store, leases and the host list (section 4.4 of the design page).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use serde_json::Value;
use vanillapick_model::host::HostEntry;

use crate::error::PlatformError;
use crate::transport::PlatformReply;
use crate::transport::StoreTransport;
use crate::transport::percent_encode;

/// Revision of one value in the store. It increases with every write of an era; 0 means that the value does not exist.
///
/// Idempotency claims depend on the platform never reusing a revision of a key after the value was removed. A store that is
/// restored from a copy breaks this: claims that were written after the copy are lost.
pub type StoreRevision = u64;

/// Number of times that the store was restored from a copy; each time it gives out revisions again. 0 if it names none.
pub type StoreEra = u64;

/// Identifier of a lease, assigned by the platform.
pub type LeaseId = String;

/// Response header with the era of the store.
const ERA_HEADER: &str = "kv-era";

/// Response header with the revision of the value.
const REVISION_HEADER: &str = "kv-revision";

/// Value with the revision at which it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// At least 1, because the value exists.
    pub revision: StoreRevision,
    /// Era in which the revision is valid.
    pub era: StoreEra,
    /// At most 1 MB, the limit of the platform.
    pub value: Bytes,
}

/// Result of [`PlatformClient::watch`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The value has a later revision than the requested one.
    Changed(StoredValue),
    /// The wait elapsed without a change.
    Unchanged,
    /// The value does not exist.
    Absent,
    /// The store was restored from a copy since the requested era, so that the requested revision means nothing.
    Restored,
}

/// Client of one platform address; clones share connections and the call counter.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    transport: StoreTransport,
    timeout: Duration,
}

impl PlatformClient {
    /// `timeout` applies to each call; for a watch it starts at the end of the requested wait.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { transport: StoreTransport::new(address, timeout), timeout }
    }

    /// Socket address that all calls go to.
    pub fn address(&self) -> SocketAddr {
        self.transport.address()
    }

    /// Number of calls sent so far; the platform charges for each call.
    pub fn calls(&self) -> u64 {
        self.transport.calls()
    }

    /// Returns `None` if the value does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        let request = self.request(Method::GET, &format!("/kv/{}", percent_encode(key)));
        let reply = self.send(request, self.timeout).await?;
        match reply.status {
            StatusCode::OK => reply.into_stored_value().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(reply.status_error()),
        }
    }

    /// Writes a value if its current revision is `expect` (0: it must not exist) and returns the new revision. The store
    /// removes the value when `lease` expires.
    pub async fn put(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        expect: StoreRevision,
        lease: Option<&str>,
    ) -> Result<StoreRevision, PlatformError> {
        let lease =
            lease.map(|lease| format!("&lease={}", percent_encode(lease))).unwrap_or_default();
        let path = format!("/kv/{}?expect={expect}{lease}", percent_encode(key));
        let request = self.request(Method::PUT, &path).body(value.into());
        let reply = self.send(request, self.timeout).await?;
        if !reply.status.is_success() {
            return Err(reply.status_error());
        }
        reply.revision()
    }

    /// Removes a value if its current revision is `expect`.
    pub async fn delete(&self, key: &str, expect: StoreRevision) -> Result<(), PlatformError> {
        let path = format!("/kv/{}?expect={expect}", percent_encode(key));
        let reply = self.send(self.request(Method::DELETE, &path), self.timeout).await?;
        if reply.status.is_success() { Ok(()) } else { Err(reply.status_error()) }
    }

    /// Waits up to `wait` for a revision of this era greater than `after`; for any value if `after` is 0.
    pub async fn watch(
        &self,
        key: &str,
        era: StoreEra,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchEvent, PlatformError> {
        let (key, wait_ms) = (percent_encode(key), wait.as_millis());
        let path = format!("/watch/{key}?after={after}&era={era}&wait_ms={wait_ms}");
        let reply = self.send(self.request(Method::GET, &path), wait + self.timeout).await?;
        match reply.status {
            StatusCode::OK => reply.into_stored_value().map(WatchEvent::Changed),
            StatusCode::NOT_MODIFIED => Ok(WatchEvent::Unchanged),
            StatusCode::NOT_FOUND => Ok(WatchEvent::Absent),
            StatusCode::GONE => Ok(WatchEvent::Restored),
            _ => Err(reply.status_error()),
        }
    }

    /// Creates a lease that expires `ttl` after its last renewal.
    pub async fn create_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let path = format!("/lease?ttl_ms={}", ttl.as_millis());
        let reply = self.send(self.request(Method::POST, &path), self.timeout).await?;
        if !reply.status.is_success() {
            return Err(reply.status_error());
        }
        reply.lease_id()
    }

    /// Returns `false` if the lease has expired.
    pub async fn renew_lease(&self, lease: &str) -> Result<bool, PlatformError> {
        let path = format!("/lease/{}/renew", percent_encode(lease));
        let reply = self.send(self.request(Method::POST, &path), self.timeout).await?;
        match reply.status {
            StatusCode::NOT_FOUND | StatusCode::GONE => Ok(false),
            status if status.is_success() => Ok(true),
            _ => Err(reply.status_error()),
        }
    }

    /// Reads the platform's list of live and leaving hosts, which lags behind the actual state.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let reply = self.send(self.request(Method::GET, "/hosts"), self.timeout).await?;
        if reply.status != StatusCode::OK {
            return Err(reply.status_error());
        }
        serde_json::from_slice(&reply.body).map_err(|error| malformed(error.to_string(), false))
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.transport.request(method, path)
    }

    async fn send(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<PlatformReply, PlatformError> {
        self.transport.send(request, timeout).await
    }
}

impl PlatformReply {
    fn revision(&self) -> Result<StoreRevision, PlatformError> {
        let text = self.headers.get(REVISION_HEADER).and_then(|value| value.to_str().ok());
        text.and_then(|text| text.parse().ok()).ok_or_else(|| {
            malformed(format!("no number in header {REVISION_HEADER}"), self.status.is_success())
        })
    }

    fn into_stored_value(self) -> Result<StoredValue, PlatformError> {
        let era = self.headers.get(ERA_HEADER).and_then(|value| value.to_str().ok());
        let era = era.and_then(|text| text.parse().ok()).unwrap_or_default();
        Ok(StoredValue { revision: self.revision()?, era, value: self.body })
    }

    /// Accepts the id as JSON (a string, a number or an object with the field `id`) or as plain text.
    fn lease_id(&self) -> Result<LeaseId, PlatformError> {
        let text = String::from_utf8_lossy(&self.body);
        let json = serde_json::from_str::<Value>(&text).unwrap_or_else(|_| text.trim().into());
        match json.get("id").unwrap_or(&json) {
            Value::String(id) if !id.is_empty() => Ok(id.clone()),
            Value::Number(id) => Ok(id.to_string()),
            _ => Err(malformed("the body contains no lease id".to_owned(), true)),
        }
    }

    fn status_error(&self) -> PlatformError {
        match self.status {
            StatusCode::CONFLICT => match self.revision() {
                Ok(current) => PlatformError::Conflict { current },
                Err(error) => error,
            },
            StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unavailable,
            // The platform rejects a call with a client error before it takes effect; other statuses prove nothing.
            status => malformed(format!("unexpected status {status}"), !status.is_client_error()),
        }
    }
}

fn malformed(detail: String, uncertain: bool) -> PlatformError {
    PlatformError::Malformed { detail, uncertain }
}
