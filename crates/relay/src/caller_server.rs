//! Accepts and serves the HTTP/1 connections of callers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use vanillapick_policy::micros::micros;

use crate::relay_host::HostPhase;
use crate::relay_host::RelayHost;
use crate::request_flow::serve_request;

/// Queue length of connections waiting to be accepted. When a host restarts, all callers of its domain connect at once.
const LISTEN_BACKLOG: u32 = 1024;

/// Delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Idle timeout of caller connections until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for the first request of a connection that is accepted while the host closes connections.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Read buffer of a caller connection until a configuration sets the size of a request head, and its lower limit after
/// that.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;

/// Age at which a connection is closed after its next response, on hosts that serve callers of other regions. Such callers
/// come while the hosts of their own region are down, and keep using their connections; reconnecting returns them to a near
/// host. Other hosts keep connections open, because a caller that moves to another host finds cold target connections
/// there.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(3);

/// Random increase of the maximum age as a fraction of it, so that callers which connected together do not reconnect
/// together.
const CONNECTION_AGE_JITTER: f64 = 0.4;

/// Binds the listening socket for callers.
pub(crate) fn listen(host: &RelayHost) -> std::io::Result<TcpListener> {
    let address = host.settings.callers;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections until a graceful shutdown reaches [`HostPhase::Draining`].
pub(crate) async fn accept_callers(host: Arc<RelayHost>, listener: TcpListener) {
    let mut phase = host.phase();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == HostPhase::Draining) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = host.open_connection();
                let serving = serve_connection(Arc::clone(&host), stream);
                tokio::spawn(async move {
                    serving.await;
                    drop(connection);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Request activity of one connection, for the idle timeout.
#[derive(Default)]
struct ConnectionActivity {
    /// Whether a request has been read.
    has_request: AtomicBool,
    requests: AtomicUsize,
    /// End of the last request, in microseconds since the start of the process.
    idle_since_us: AtomicU64,
}

async fn serve_connection(host: Arc<RelayHost>, stream: TcpStream) {
    // Without TCP_NODELAY a small response may be delayed until an acknowledgement; the connection still works.
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "setting TCP_NODELAY failed");
    }
    let spread = 1.0 + host.rng().random_range(0.0..CONNECTION_AGE_JITTER);
    let ends_at = host.now() + MAX_CONNECTION_AGE.mul_f64(spread);
    let activity = Arc::new(ConnectionActivity::default());
    activity.idle_since_us.store(micros(host.now()), Relaxed);
    let service = service_fn(|request| {
        let host = Arc::clone(&host);
        let activity = Arc::clone(&activity);
        async move {
            activity.has_request.store(true, Relaxed);
            activity.requests.fetch_add(1, Relaxed);
            let mut response = serve_request(Arc::clone(&host), request).await;
            activity.requests.fetch_sub(1, Relaxed);
            activity.idle_since_us.store(micros(host.now()), Relaxed);
            let is_old = host.has_remote_callers && ends_at <= host.now();
            if *host.phase().borrow() != HostPhase::Serving || is_old {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let head_bytes =
        host.view().map_or(MIN_READ_BUFFER_BYTES, |view| view.serving.limits.max_header_bytes);
    let server = hyper::server::conn::http1::Builder::new()
        .max_buf_size(head_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut server = pin!(server);
    let mut phase = host.phase();
    loop {
        let is_closing = *phase.borrow_and_update() >= HostPhase::Closing;
        // Closing a connection before its first request would cost the caller an attempt; the response closes it as well.
        if is_closing && activity.has_request.load(Relaxed) {
            break;
        }
        let idle_time = match host.view() {
            _ if is_closing => FIRST_REQUEST_TIME,
            Some(view) => view.serving.limits.idle_timeout,
            None => DEFAULT_IDLE_TIMEOUT,
        };
        let idle_since = Duration::from_micros(activity.idle_since_us.load(Relaxed));
        let is_busy = activity.requests.load(Relaxed) > 0;
        let idle_until = if is_busy { host.now() } else { idle_since } + idle_time;
        tokio::select! {
            ended = server.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "caller connection closed with an error");
                }
                return;
            }
            // An error does not occur, because the sender lives as long as the host.
            _ = phase.changed() => {}
            () = tokio::time::sleep(idle_until.saturating_sub(host.now())) => {
                let idle_since = Duration::from_micros(activity.idle_since_us.load(Relaxed));
                let is_idle = activity.requests.load(Relaxed) == 0;
                if is_idle && idle_since + idle_time <= host.now() {
                    break;
                }
            }
        }
    }
    server.as_mut().graceful_shutdown();
    if let Err(error) = server.await {
        tracing::debug!(%error, "caller connection closed with an error");
    }
}
