//! In-test targets and platform on loopback (sections 4.2 and 4.4 of the design page), and a caller with a transcript.

#![allow(dead_code)]

pub mod session;
pub mod target;
pub mod platform;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// HTTP request received by a stand-in.
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Call {
    pub fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    }
}

/// HTTP response of a stand-in. Headers may be repeated, and the connection may be cut within the body or the body repeated without
/// end.
#[derive(Clone, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
    pub is_cut: bool,
    pub is_endless: bool,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self { status, body: body.into(), ..Self::default() }
    }

    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    pub fn set(&mut self, name: &'static str, value: &str) {
        self.remove(name);
        self.headers.push((name, value.to_owned()));
    }

    pub fn remove(&mut self, name: &str) {
        self.headers.retain(|(other, _)| *other != name);
    }

    /// Repeats the header with the same value.
    pub fn repeat_header(&mut self, name: &str) {
        let header = self.headers.iter().find(|(other, _)| *other == name).cloned();
        self.headers.extend(header);
    }
}

struct ReplyBody {
    rest: Option<Bytes>,
    is_cut: bool,
    is_endless: bool,
    is_flushed: bool,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.is_endless {
            return Poll::Ready(self.rest.clone().map(|rest| Ok(Frame::data(rest))));
        }
        if let Some(rest) = self.rest.take() {
            return Poll::Ready(Some(Ok(Frame::data(rest))));
        }
        if !self.is_cut {
            return Poll::Ready(None);
        }
        if !self.is_flushed {
            // The server flushes its buffer while the body is pending, so that the cut is within the body.
            self.is_flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }
}

/// Serves calls on a free port of loopback; `connections` is told how many are open.
pub async fn listen<H, F>(connections: watch::Sender<usize>, handle: H) -> SocketAddr
where
    H: Clone + Fn(Call) -> F + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handle = handle.clone();
            let connections = connections.clone();
            connections.send_modify(|open| *open += 1);
            let service = service_fn(move |request| {
                let handle = handle.clone();
                async move { Ok::<_, Infallible>(answer(handle, request).await) }
            });
            tokio::spawn(async move {
                // An error here is a cut connection, which is one of the faults.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                connections.send_modify(|open| *open -= 1);
            });
        }
    });
    address
}

async fn answer<F>(handle: impl Fn(Call) -> F, request: Request<Incoming>) -> Response<ReplyBody>
where
    F: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let call = Call {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        headers: parts.headers,
        body: body.collect().await.map(|body| body.to_bytes()).unwrap_or_default(),
    };
    let reply = handle(call).await;
    let body = ReplyBody {
        rest: Some(reply.body),
        is_cut: reply.is_cut,
        is_endless: reply.is_endless,
        is_flushed: false,
    };
    let response = Response::builder().status(reply.status);
    let response = reply
        .headers
        .into_iter()
        .fold(response, |response, (name, value)| response.header(name, value));
    response.body(body).expect("the headers are valid")
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no stand-in panics")
}

/// Waits for a condition, without a timeout of its own; the test runner limits the time of the test.
pub async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    while !condition().await {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
