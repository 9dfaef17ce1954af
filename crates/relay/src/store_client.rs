//! Sends store calls that the platform's adapter has built, over the shared HTTP transport.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use hyper::HeaderMap;
use hyper::StatusCode;
use vanillapick_platform::error::PlatformError;
use vanillapick_platform::transport::PlatformReply;
use vanillapick_platform::transport::StoreTransport;

use crate::wire::StoreCall;
use crate::wire::StoreEra;
use crate::wire::StorePage;
use crate::wire::StoreWire;

/// Client of the store, or of a peer that answers some of its calls.
#[derive(Clone, Debug)]
pub struct StoreClient {
    transport: StoreTransport,
    timeout: Duration,
    /// Reads the era from the headers of a reply.
    read_era: fn(&HeaderMap) -> Result<StoreEra, String>,
    /// Label of the call counter: `store` or `peer`.
    callee: &'static str,
}

/// Reason why a store call has no usable reply.
#[derive(Clone, Debug, Display, Error, From)]
pub enum StoreError {
    /// The call failed without a complete reply.
    #[display("{_0}")]
    Call(PlatformError),
    /// The reply has an error status.
    #[display("the reply has status {status}")]
    #[from(skip)]
    Status {
        /// Not a success status.
        status: StatusCode,
    },
    /// The reply is of another era of the store than the one that the call is about.
    #[display("the store replied in era {found} in place of {expected}")]
    #[from(skip)]
    OtherEra {
        /// Era that the call is about.
        expected: StoreEra,
        /// Era of the reply.
        found: StoreEra,
    },
    /// The body of the reply cannot be decoded.
    #[display("the reply cannot be decoded: {detail}")]
    #[from(skip)]
    Malformed {
        /// Message of the decoder.
        detail: String,
    },
}

impl StoreClient {
    /// `timeout` applies to each call; for a watch it starts at the end of the requested wait.
    pub fn new(transport: StoreTransport, timeout: Duration, wire: &StoreWire) -> Self {
        Self { transport, timeout, read_era: wire.read_era, callee: "store" }
    }

    /// Client of a peer host, which answers some of the store's calls.
    pub fn for_peer(&self, address: SocketAddr, timeout: Duration) -> Self {
        let transport = self.transport.with_address(address);
        Self { transport, timeout, read_era: self.read_era, callee: "peer" }
    }

    /// Sends a call whose reply the store may delay by up to `wait`.
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

    /// Sends a call and decodes the body of its reply with `read`.
    pub async fn read<T>(
        &self,
        call: StoreCall,
        wait: Duration,
        read: fn(&[u8]) -> Result<T, String>,
    ) -> Result<T, StoreError> {
        self.read_in_era(call, wait, read).await.map(|(content, _)| content)
    }

    /// Like [`Self::read`]; also returns the era in which the store replied.
    pub async fn read_in_era<T>(
        &self,
        call: StoreCall,
        wait: Duration,
        read: fn(&[u8]) -> Result<T, String>,
    ) -> Result<(T, StoreEra), StoreError> {
        let reply = self.send(call, wait).await?;
        let malformed = |detail| StoreError::Malformed { detail };
        let era = (self.read_era)(&reply.headers).map_err(malformed)?;
        let content = read(&reply.body).map_err(malformed)?;
        Ok((content, era))
    }

    /// Sends a call and decodes the page in its reply, with its era.
    pub async fn read_page(
        &self,
        call: StoreCall,
        wait: Duration,
        read: fn(&[u8]) -> Result<StorePage, String>,
    ) -> Result<StorePage, StoreError> {
        let (page, era) = self.read_in_era(call, wait, read).await?;
        Ok(StorePage { era, ..page })
    }
}

impl StoreError {
    /// Whether the store replied with the status `wanted`.
    pub fn has_status(&self, wanted: StatusCode) -> bool {
        matches!(self, Self::Status { status } if *status == wanted)
    }
}
