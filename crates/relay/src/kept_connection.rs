//! Reusable HTTP/1 connection to a target. It is polled only by the task that uses it, so an idle connection causes no
//! wake-ups.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
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

/// Complete request body, held in memory.
pub type CallBody = Full<Bytes>;

/// Size limit of a reply body. A reply is read completely before it is forwarded, so that a truncated one is never
/// forwarded as complete.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Size of a connection's read buffer. Replies are small, and a host holds hundreds of connections.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Request sender of a connection, together with the future that drives its I/O.
pub(crate) struct KeptConnection {
    sender: SendRequest<CallBody>,
    driver: Pin<Box<Connection<TokioIo<TcpStream>, CallBody>>>,
    is_closed: bool,
    /// Time of the last use, since the start of the process.
    pub(crate) idle_since: Duration,
    /// Time for which the connection may be idle, if the target has sent one.
    pub(crate) idle_timeout: Option<Duration>,
}

/// Reason why an exchange has no reply.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The request was not written, so it can be sent again.
    Unsent,
    /// The request may have reached the target.
    Lost(String),
}

impl KeptConnection {
    /// Performs the HTTP/1 handshake on a newly opened stream.
    pub(crate) async fn new(stream: TcpStream, now: Duration) -> Result<Self, hyper::Error> {
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = Box::pin(driver);
        Ok(Self { sender, driver, is_closed: false, idle_since: now, idle_timeout: None })
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
    ) -> Result<(Parts, Bytes), ExchangeError> {
        let (parts, body) = self.send(request).await?.into_parts();
        let body = self.read_body(body).await.map_err(ExchangeError::Lost)?;
        Ok((parts, body))
    }

    /// Sends a request and reads the head of the reply.
    pub(crate) async fn send(
        &mut self,
        request: Request<CallBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
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
                None => Err(ExchangeError::Lost(error.into_error().to_string())),
            },
            None => Err(ExchangeError::Lost("the connection closed before the reply".to_owned())),
        }
    }

    /// Reads more of the body of a reply; `None` at its end.
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

    async fn read_body(&mut self, mut body: Incoming) -> Result<Bytes, String> {
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        while let Some(data) = self.next_data(&mut body).await? {
            if first.len() + rest.len() + data.len() > MAX_REPLY_BYTES {
                return Err(format!("the reply body exceeds {MAX_REPLY_BYTES} bytes"));
            }
            if first.is_empty() {
                first = data;
            } else {
                rest.extend_from_slice(&data);
            }
        }
        if rest.is_empty() {
            return Ok(first);
        }
        let mut joined = BytesMut::with_capacity(first.len() + rest.len());
        joined.extend_from_slice(&first);
        joined.extend_from_slice(&rest);
        Ok(joined.freeze())
    }

    fn drive(&mut self, context: &mut Context<'_>) {
        drive(&mut self.driver, &mut self.is_closed, context);
    }
}

fn drive(
    driver: &mut Pin<Box<Connection<TokioIo<TcpStream>, CallBody>>>,
    is_closed: &mut bool,
    context: &mut Context<'_>,
) {
    if !*is_closed && driver.as_mut().poll(context).is_ready() {
        *is_closed = true;
    }
}
