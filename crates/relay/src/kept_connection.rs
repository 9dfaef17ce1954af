//! One HTTP/1 connection to a target. It is driven only by the task that uses it, so an idle one costs no wake-up.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper::http::response::Parts;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Body of a call.
pub type CallBody = Full<Bytes>;

/// Largest reply that is read. A reply is held in memory as a whole, so that a cut one is never passed on as complete.
const MOST_REPLY_BYTES: usize = 8 << 20;

/// Read buffer of a connection. Replies are small, and a host holds hundreds of connections.
const READ_BUFFER: usize = 16 << 10;

/// Connection with its driver.
pub(crate) struct KeptConnection {
    sender: SendRequest<CallBody>,
    driver: Pin<Box<Connection<TokioIo<TcpStream>, CallBody>>>,
    has_ended: bool,
    /// Since when the connection is idle.
    pub(crate) idle_since: Duration,
    /// How long the target keeps an idle connection, if it says so.
    pub(crate) keep_for: Option<Duration>,
}

/// Why an exchange has no reply.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The request was not written.
    Unsent(Box<Request<CallBody>>),
    /// The request may have reached the target.
    Lost(String),
}

impl KeptConnection {
    /// Connection over a stream that has just been opened.
    pub(crate) async fn new(stream: TcpStream, now: Duration) -> Result<Self, hyper::Error> {
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = Box::pin(driver);
        Ok(Self { sender, driver, has_ended: false, idle_since: now, keep_for: None })
    }

    /// Whether an idle connection can carry a request: it has not ended, and no bytes came unasked.
    pub(crate) async fn is_usable(&mut self) -> bool {
        std::future::poll_fn(|context| {
            self.drive(context);
            Poll::Ready(())
        })
        .await;
        !self.has_ended && self.sender.is_ready()
    }

    /// Sends a request and reads the whole reply.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<CallBody>,
    ) -> Result<(Parts, Bytes), ExchangeError> {
        let is_ready = std::future::poll_fn(|context| {
            self.drive(context);
            match self.sender.poll_ready(context) {
                Poll::Ready(result) => Poll::Ready(result.is_ok()),
                Poll::Pending if self.has_ended => Poll::Ready(false),
                Poll::Pending => Poll::Pending,
            }
        })
        .await;
        if !is_ready {
            return Err(ExchangeError::Unsent(Box::new(request)));
        }
        let mut reply = Box::pin(self.sender.try_send_request(request));
        let (driver, has_ended) = (&mut self.driver, &mut self.has_ended);
        let response = std::future::poll_fn(|context| {
            drive(driver, has_ended, context);
            match reply.as_mut().poll(context) {
                Poll::Ready(result) => Poll::Ready(Some(result)),
                Poll::Pending if *has_ended => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await;
        match response {
            Some(Ok(response)) => {
                let (parts, body) = response.into_parts();
                let body = self.read_body(body).await.map_err(ExchangeError::Lost)?;
                Ok((parts, body))
            }
            Some(Err(mut error)) => match error.take_message() {
                Some(request) => Err(ExchangeError::Unsent(Box::new(request))),
                None => Err(ExchangeError::Lost(error.into_error().to_string())),
            },
            None => Err(ExchangeError::Lost("the connection ended".to_owned())),
        }
    }

    async fn read_body(&mut self, mut body: Incoming) -> Result<Bytes, String> {
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        loop {
            let (driver, has_ended) = (&mut self.driver, &mut self.has_ended);
            let frame = std::future::poll_fn(|context| {
                drive(driver, has_ended, context);
                Pin::new(&mut body).poll_frame(context)
            })
            .await;
            let data = match frame {
                None => break,
                Some(Err(error)) => return Err(error.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if first.len() + rest.len() + data.len() > MOST_REPLY_BYTES {
                return Err(format!("the reply has over {MOST_REPLY_BYTES} bytes"));
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
        let mut whole = BytesMut::with_capacity(first.len() + rest.len());
        whole.extend_from_slice(&first);
        whole.extend_from_slice(&rest);
        Ok(whole.freeze())
    }

    fn drive(&mut self, context: &mut Context<'_>) {
        drive(&mut self.driver, &mut self.has_ended, context);
    }
}

fn drive(
    driver: &mut Pin<Box<Connection<TokioIo<TcpStream>, CallBody>>>,
    has_ended: &mut bool,
    context: &mut Context<'_>,
) {
    if !*has_ended && driver.as_mut().poll(context).is_ready() {
        *has_ended = true;
    }
}
