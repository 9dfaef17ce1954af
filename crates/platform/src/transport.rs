//! HTTP calls to the platform's store, whatever is spoken over them: time-outs, lost replies and the count of calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use reqwest::header::HeaderMap;

use crate::error::PlatformError;

/// Opening a connection may take this part of the timeout, so that a host that does not answer is known as
/// [`PlatformError::NotSent`] and not as an uncertain outcome.
const CONNECT_DIVISOR: u32 = 2;

/// Interval of keep-alive probes. A watch waits for many seconds, and a connection that has gone silent must be found
/// well before a change is due to be in force.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection has ended.
const KEEP_ALIVE_RETRIES: u32 = 2;

/// Connections to one address; clones share them and the count of calls.
#[derive(Clone, Debug)]
pub struct StoreTransport {
    http: Client,
    address: SocketAddr,
    calls: Arc<AtomicU64>,
}

/// Reply of the store.
#[derive(Clone, Debug)]
pub struct PlatformReply {
    /// Status of the reply.
    pub status: StatusCode,
    /// Headers of the reply.
    pub headers: HeaderMap,
    /// Whole body of the reply.
    pub body: Bytes,
}

impl StoreTransport {
    /// `timeout` bounds the usual call, and so the time in which a connection must open.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        // A retry inside the client would hide that a write was sent twice.
        let http = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(timeout / CONNECT_DIVISOR)
            .tcp_keepalive(KEEP_ALIVE)
            .tcp_keepalive_interval(KEEP_ALIVE)
            .tcp_keepalive_retries(KEEP_ALIVE_RETRIES)
            .tcp_user_timeout(KEEP_ALIVE * KEEP_ALIVE_RETRIES)
            .build()
            .expect("a client without TLS and proxies needs nothing that can fail");
        Self { http, address, calls: Arc::default() }
    }

    /// Calls of another address over the same client.
    pub fn with_address(&self, address: SocketAddr) -> Self {
        Self { http: self.http.clone(), address, calls: Arc::default() }
    }

    /// The address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of calls sent so far, because the platform counts each.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// A call of `path`, which begins with a slash and is percent-encoded.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("http://{}{path}", self.address))
    }

    /// Sends a call and reads its whole reply within `timeout`.
    pub async fn send(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<PlatformReply, PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let response = request.timeout(timeout).send().await?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = response.bytes().await?;
        tracing::debug!(status = status.as_u16(), bytes = body.len(), "platform replied");
        Ok(PlatformReply { status, headers, body })
    }
}

/// Percent-encodes all but unreserved characters and slashes, which separate the parts of a key.
pub fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
