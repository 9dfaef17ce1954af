//! Reusable HTTP/1 connection to a target. It is polled only by the task that uses it, so an idle connection causes no
//! wake-ups.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper::http::response::Parts;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use vanillapick_platform::body_buffer::BodyBuffer;
use vanillapick_platform::reply_memory::ReplyMemory;

use crate::metered_stream::MeteredStream;
use crate::metered_stream::ReadAllowance;

/// Complete request body, held in memory.
pub type CallBody = Full<Bytes>;

/// Size of a connection's read buffer. Replies are small, and a host holds hundreds of connections.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Size limit of all bytes up to the end of a reply's head, including interim replies.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes on the wire for each byte of a body, at most; more are spent on the sizes of tiny chunks.
const WIRE_BYTES_FACTOR: usize = 2;

/// Bytes that each piece of a body counts at least, because the processor time to read it depends little on its size.
const MIN_PIECE_BYTES: usize = 1 << 10;

/// Limits of one reply. It is read completely before it is forwarded, so that a truncated one is never forwarded as complete.
#[derive(Debug)]
pub struct ReplyLimits {
    /// Size limit of the body.
    pub(crate) max_bytes: usize,
    /// Memory of all replies on this host.
    pub(crate) memory: Arc<ReplyMemory>,
}

/// Future that drives the I/O of a connection.
type ConnectionDriver = Pin<Box<Connection<TokioIo<MeteredStream<TcpStream>>, CallBody>>>;

/// Request sender of a connection, together with the future that drives its I/O.
pub(crate) struct KeptConnection {
    sender: SendRequest<CallBody>,
    driver: ConnectionDriver,
    is_closed: bool,
    allowance: ReadAllowance,
    /// Time of the last use, since the start of the process.
    pub(crate) idle_since: Duration,
    /// Time for which the connection may be idle, if the target has sent one.
    pub(crate) idle_timeout: Option<Duration>,
}

impl std::fmt::Debug for KeptConnection {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("KeptConnection")
            .field("idle_since", &self.idle_since)
            .finish_non_exhaustive()
    }
}

/// Reason why an exchange has no reply.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The request was not written, so it can be sent again.
    Unsent,
    /// The request may have reached the target.
    Lost(String),
    /// The target has replied with bytes that are no answer in HTTP, so it is alive, and may have run the request.
    Malformed(String),
}

impl KeptConnection {
    /// Performs the HTTP/1 handshake on a newly opened stream.
    pub(crate) async fn new(stream: TcpStream, now: Duration) -> Result<Self, hyper::Error> {
        let allowance = ReadAllowance::default();
        allowance.set(MAX_HEAD_BYTES);
        let stream = MeteredStream::new(stream, allowance.clone());
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = Box::pin(driver);
        Ok(Self {
            sender,
            driver,
            is_closed: false,
            allowance,
            idle_since: now,
            idle_timeout: None,
        })
    }

    /// Whether an idle connection can send a request: it is open, and no unsolicited bytes have arrived.
    pub(crate) async fn is_usable(&mut self) -> bool {
        std::future::poll_fn(|context| {
            self.drive(context);
            Poll::Ready(())
        })
        .await;
        !self.is_closed && self.sender.is_ready()
    }

    /// Sends a request and reads the complete reply.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<CallBody>,
        limits: &ReplyLimits,
    ) -> Result<(Parts, Bytes), ExchangeError> {
        let (parts, body) = self.send(request).await?.into_parts();
        self.allowance.set(limits.max_bytes * WIRE_BYTES_FACTOR);
        let body = self.read_body(body, limits).await.map_err(ExchangeError::Lost)?;
        Ok((parts, body))
    }

    /// Sends a request and reads the head of the reply.
    pub(crate) async fn send(
        &mut self,
        request: Request<CallBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.allowance.set(MAX_HEAD_BYTES);
        let is_ready = std::future::poll_fn(|context| {
            self.drive(context);
            match self.sender.poll_ready(context) {
                Poll::Ready(result) => Poll::Ready(result.is_ok()),
                Poll::Pending if self.is_closed => Poll::Ready(false),
                Poll::Pending => Poll::Pending,
            }
        })
        .await;
        if !is_ready {
            return Err(ExchangeError::Unsent);
        }
        let mut reply = Box::pin(self.sender.try_send_request(request));
        let (driver, is_closed) = (&mut self.driver, &mut self.is_closed);
        let response = std::future::poll_fn(|context| {
            drive(driver, is_closed, context);
            match reply.as_mut().poll(context) {
                Poll::Ready(result) => Poll::Ready(Some(result)),
                Poll::Pending if *is_closed => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await;
        match response {
            Some(Ok(response)) => Ok(response),
            Some(Err(mut error)) => match error.take_message() {
                Some(_) => Err(ExchangeError::Unsent),
                None => Err(failed_exchange(&error.into_error())),
            },
            None => Err(ExchangeError::Lost("the connection closed before the reply".to_owned())),
        }
    }

    /// Sets how many more bytes may be read.
    pub(crate) fn allow(&self, bytes: usize) {
        self.allowance.set(bytes);
    }

    /// Reads more of the body of a reply; `None` at its end.
    ///
    /// The bytes that may be read are limited; see [`Self::allow`].
    pub(crate) async fn next_data(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, String> {
        let (driver, is_closed) = (&mut self.driver, &mut self.is_closed);
        let frame = std::future::poll_fn(|context| {
            drive(driver, is_closed, context);
            Pin::new(&mut *body).poll_frame(context)
        })
        .await;
        match frame {
            None => Ok(None),
            Some(Err(error)) => Err(error.to_string()),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }

    async fn read_body(
        &mut self,
        mut body: Incoming,
        limits: &ReplyLimits,
    ) -> Result<Bytes, String> {
        let mut read = BodyBuffer::new(&limits.memory);
        let mut counted = 0;
        while let Some(data) = self.next_data(&mut body).await? {
            counted += data.len().max(MIN_PIECE_BYTES);
            // Pieces that have arrived together are read without waiting; other requests need their turn.
            tokio::task::consume_budget().await;
            if limits.max_bytes < counted {
                count_rejected_reply("too_large");
                return Err(format!("the reply body exceeds {} bytes", limits.max_bytes));
            }
            if !read.push(data) {
                count_rejected_reply("no_memory");
                return Err("no memory is left for the reply body".to_owned());
            }
        }
        Ok(read.finish())
    }

    fn drive(&mut self, context: &mut Context<'_>) {
        drive(&mut self.driver, &mut self.is_closed, context);
    }
}

/// What an error of the connection says about a request that was written.
fn failed_exchange(error: &hyper::Error) -> ExchangeError {
    if error.is_parse() {
        count_rejected_reply("malformed");
        return ExchangeError::Malformed(error.to_string());
    }
    ExchangeError::Lost(error.to_string())
}

fn count_rejected_reply(reason: &'static str) {
    metrics::counter!("vanillapick_replies_rejected_total", "reason" => reason).increment(1);
}

fn drive(driver: &mut ConnectionDriver, is_closed: &mut bool, context: &mut Context<'_>) {
    if !*is_closed && driver.as_mut().poll(context).is_ready() {
        *is_closed = true;
    }
}
