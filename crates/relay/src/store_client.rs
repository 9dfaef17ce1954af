//! Calls of the store in the platform's own form, over the transport of all store clients.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use hyper::StatusCode;
use vanillapick_platform::error::PlatformError;
use vanillapick_platform::transport::PlatformReply;
use vanillapick_platform::transport::StoreTransport;

use crate::wire::StoreCall;

/// Client of the store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    transport: StoreTransport,
    timeout: Duration,
    /// Who is called, for the counter of calls.
    callee: &'static str,
}

/// Why a call of the store has no usable reply.
#[derive(Clone, Debug, Display, Error, From)]
pub enum StoreError {
    /// No reply.
    #[display("{_0}")]
    Call(PlatformError),
    /// The store refused the call with this status.
    #[display("the answer has status {status}")]
    #[from(skip)]
    Status {
        /// Status of the reply.
        status: StatusCode,
    },
    /// The reply cannot be read.
    #[display("the reply cannot be read: {detail}")]
    #[from(skip)]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}

impl StoreClient {
    /// `timeout` bounds each call; that of a watch is counted from the end of its wait.
    pub fn new(transport: StoreTransport, timeout: Duration) -> Self {
        Self { transport, timeout, callee: "store" }
    }

    /// Client of another host, which answers some of the store's calls.
    pub fn for_peer(&self, address: SocketAddr, timeout: Duration) -> Self {
        Self { transport: self.transport.with_address(address), timeout, callee: "peer" }
    }

    /// Sends a call that the store may hold back for `wait`, and reads its reply.
    pub async fn send(&self, call: StoreCall, wait: Duration) -> Result<PlatformReply, StoreError> {
        let mut request = self.transport.request(call.method, &call.path);
        if !call.body.is_empty() {
            request = request.header("content-type", "application/json").body(call.body);
        }
        let reply = self.transport.send(request, wait + self.timeout).await?;
        let status = reply.status.as_str().to_owned();
        metrics::counter!("vanillapick_store_calls_total", "callee" => self.callee, "status" => status)
            .increment(1);
        if reply.status.is_success() {
            return Ok(reply);
        }
        Err(StoreError::Status { status: reply.status })
    }

    /// Sends a call and reads the body of its reply with `read`.
    pub async fn read<T>(
        &self,
        call: StoreCall,
        wait: Duration,
        read: fn(&[u8]) -> Result<T, String>,
    ) -> Result<T, StoreError> {
        let reply = self.send(call, wait).await?;
        read(&reply.body).map_err(|detail| StoreError::Malformed { detail })
    }
}

impl StoreError {
    /// Whether the store answered with this status.
    pub fn has_status(&self, wanted: StatusCode) -> bool {
        matches!(self, Self::Status { status } if *status == wanted)
    }
}
