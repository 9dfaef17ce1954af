//! HTTP transport for calls to the store, independent of the protocol on top: timeouts, error classification and a call
//! counter.

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
use crate::reply_body::read_reply_body;
use crate::reply_memory::ReplyMemory;

/// The connect timeout is the call timeout divided by this, so that an unresponsive host yields
/// [`PlatformError::NotSent`] and not an uncertain outcome.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// Interval of TCP keepalive probes. A watch waits for many seconds, and a dead connection must be detected well before a
/// change is due to be in force.
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Size limit of a reply: several times the items of a store with thousands of targets.
const MAX_REPLY_BYTES: usize = 32 << 20;

/// Number of unanswered probes after which a connection is closed.
const TCP_KEEPALIVE_RETRIES: u32 = 2;

/// HTTP connections to one address; clones share them and the call counter.
#[derive(Clone, Debug)]
pub struct StoreTransport {
    http: Client,
    address: SocketAddr,
    calls: Arc<AtomicU64>,
    memory: Arc<ReplyMemory>,
}

/// HTTP response with its body read to the end.
#[derive(Clone, Debug)]
pub struct PlatformReply {
    /// May be an error status; [`StoreTransport::send`] accepts any.
    pub status: StatusCode,
    /// Protocol metadata such as the revision of a value.
    pub headers: HeaderMap,
    /// Complete payload; a truncated one is an error.
    pub body: Bytes,
}

impl StoreTransport {
    /// `timeout` is that of a usual call; the connect timeout is derived from it.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        // Retries inside the HTTP client would hide that a write was sent twice.
        let http = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(timeout / CONNECT_TIMEOUT_DIVISOR)
            .tcp_keepalive(TCP_KEEPALIVE_INTERVAL)
            .tcp_keepalive_interval(TCP_KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(TCP_KEEPALIVE_RETRIES)
            .tcp_user_timeout(TCP_KEEPALIVE_INTERVAL * TCP_KEEPALIVE_RETRIES)
            .build()
            .expect("building a client without TLS and proxies cannot fail");
        Self { http, address, calls: Arc::default(), memory: ReplyMemory::unlimited() }
    }

    /// Has replies kept in `memory`, which all clones share.
    pub fn with_memory(self, memory: Arc<ReplyMemory>) -> Self {
        Self { memory, ..self }
    }

    /// Transport to another address with the same HTTP client and a call counter of its own.
    pub fn with_address(&self, address: SocketAddr) -> Self {
        let memory = Arc::clone(&self.memory);
        Self { http: self.http.clone(), address, calls: Arc::default(), memory }
    }

    /// Socket address that all calls go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of calls sent so far; the platform charges for each call.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Starts a call. `path` begins with a slash and is percent-encoded.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("http://{}{path}", self.address))
    }

    /// Sends a call and reads the complete reply within `timeout`.
    pub async fn send(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<PlatformReply, PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let response = request.timeout(timeout).send().await?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = read_reply_body(response, MAX_REPLY_BYTES, &self.memory).await?;
        tracing::debug!(status = status.as_u16(), bytes = body.len(), "platform replied");
        Ok(PlatformReply { status, headers, body })
    }
}

/// Percent-encodes all characters except unreserved ones and slashes, which separate the segments of a key.
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
