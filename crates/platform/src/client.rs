//! The HTTP protocol of section 4.4 of the design page.

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

/// Revision of one value of the store; grows with every write to it. 0 stands for a value that does not exist.
///
/// Holders of a claim rely on the platform not to give a revision of a key again after the value was removed.
pub type StoreRevision = u64;

/// Name of a lease, as the platform gives it.
pub type LeaseId = String;

/// Header that carries the revision of a value.
const REVISION_HEADER: &str = "kv-revision";

/// A value of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// At least 1.
    pub revision: StoreRevision,
    /// Up to 1 MB.
    pub value: Bytes,
}

/// What a watch has seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The value is newer than the revision asked for.
    Changed(StoredValue),
    /// Nothing changed during the wait.
    Unchanged,
    /// The value does not exist.
    Absent,
}

/// Client of one platform address; clones share connections and the count of calls.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    transport: StoreTransport,
    timeout: Duration,
}

impl PlatformClient {
    /// `timeout` bounds each call; that of a watch is counted from the end of its wait.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { transport: StoreTransport::new(address, timeout), timeout }
    }

    /// The platform's address.
    pub fn address(&self) -> SocketAddr {
        self.transport.address()
    }

    /// Number of calls sent so far, because the platform counts each.
    pub fn calls(&self) -> u64 {
        self.transport.calls()
    }

    /// Reads a value; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        let request = self.request(Method::GET, &format!("/kv/{}", percent_encode(key)));
        let reply = self.send(request, self.timeout).await?;
        match reply.status {
            StatusCode::OK => reply.stored().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(reply.refusal()),
        }
    }

    /// Writes a value if it is still at revision `expect` (0: it must not exist) and returns its new revision. With
    /// a lease the value is removed at the lease's end.
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
            return Err(reply.refusal());
        }
        reply.revision()
    }

    /// Removes a value if it is still at revision `expect`.
    pub async fn delete(&self, key: &str, expect: StoreRevision) -> Result<(), PlatformError> {
        let path = format!("/kv/{}?expect={expect}", percent_encode(key));
        let reply = self.send(self.request(Method::DELETE, &path), self.timeout).await?;
        if reply.status.is_success() { Ok(()) } else { Err(reply.refusal()) }
    }

    /// Waits up to `wait` for a revision above `after`.
    pub async fn watch(
        &self,
        key: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchEvent, PlatformError> {
        let path =
            format!("/watch/{}?after={after}&wait_ms={}", percent_encode(key), wait.as_millis());
        let reply = self.send(self.request(Method::GET, &path), wait + self.timeout).await?;
        match reply.status {
            StatusCode::OK => reply.stored().map(WatchEvent::Changed),
            StatusCode::NOT_MODIFIED => Ok(WatchEvent::Unchanged),
            StatusCode::NOT_FOUND => Ok(WatchEvent::Absent),
            _ => Err(reply.refusal()),
        }
    }

    /// Creates a lease that ends `ttl` after its last renewal.
    pub async fn create_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let path = format!("/lease?ttl_ms={}", ttl.as_millis());
        let reply = self.send(self.request(Method::POST, &path), self.timeout).await?;
        if !reply.status.is_success() {
            return Err(reply.refusal());
        }
        reply.lease()
    }

    /// Renews a lease; `false` if it has ended.
    pub async fn renew_lease(&self, lease: &str) -> Result<bool, PlatformError> {
        let path = format!("/lease/{}/renew", percent_encode(lease));
        let reply = self.send(self.request(Method::POST, &path), self.timeout).await?;
        match reply.status {
            StatusCode::NOT_FOUND | StatusCode::GONE => Ok(false),
            status if status.is_success() => Ok(true),
            _ => Err(reply.refusal()),
        }
    }

    /// Reads the list of live and leaving hosts, which lags.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let reply = self.send(self.request(Method::GET, "/hosts"), self.timeout).await?;
        if reply.status != StatusCode::OK {
            return Err(reply.refusal());
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
            malformed(format!("no number in {REVISION_HEADER}"), self.status.is_success())
        })
    }

    fn stored(self) -> Result<StoredValue, PlatformError> {
        Ok(StoredValue { revision: self.revision()?, value: self.body })
    }

    /// The id as JSON (a string, a number or the field `id`) or as plain text.
    fn lease(&self) -> Result<LeaseId, PlatformError> {
        let text = String::from_utf8_lossy(&self.body);
        let json = serde_json::from_str::<Value>(&text).unwrap_or_else(|_| text.trim().into());
        match json.get("id").unwrap_or(&json) {
            Value::String(id) if !id.is_empty() => Ok(id.clone()),
            Value::Number(id) => Ok(id.to_string()),
            _ => Err(malformed("no lease id".to_owned(), true)),
        }
    }

    fn refusal(&self) -> PlatformError {
        match self.status {
            StatusCode::CONFLICT => match self.revision() {
                Ok(current) => PlatformError::Conflict { current },
                Err(error) => error,
            },
            StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unavailable,
            // A client error is found before the call takes effect; any other status proves nothing.
            status => malformed(format!("status {status}"), !status.is_client_error()),
        }
    }
}

fn malformed(detail: String, uncertain: bool) -> PlatformError {
    PlatformError::Malformed { detail, uncertain }
}
