//! Connections of callers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
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

/// Connections that wait to be accepted. When a host restarts, all callers of its domain connect at once.
const BACKLOG: u32 = 1024;

/// Pause after a failed accept, which mostly means that descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time that a connection may be idle before a configuration sets one.
const FIRST_IDLE_TIME: Duration = Duration::from_secs(15);

/// Read buffer of a connection of a caller before a configuration sets the size of a request head.
const LEAST_BUFFER: usize = 8 << 10;

/// Age from which a connection ends after its next answer, where callers of another region may come. They are sent here
/// while their own hosts are away, and stay with their connections; new ones bring them back to a near host. Elsewhere
/// connections stay, because a caller that moves to another host finds its connections to targets cold.
const LONGEST_AGE: Duration = Duration::from_secs(3);

/// Spread of that age, so that callers which came together don't return together.
const AGE_SPREAD: f64 = 0.4;

/// Opens the socket for callers.
pub(crate) fn listen(host: &RelayHost) -> std::io::Result<TcpListener> {
    let address = host.settings.callers;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until a planned stop has come so far that callers have gone elsewhere.
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
                tracing::warn!(%error, "no connection could be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What a connection is doing.
#[derive(Default)]
struct ConnectionUse {
    requests: AtomicUsize,
    /// Time of the end of the last request in microseconds.
    idle_since_us: AtomicU64,
}

async fn serve_connection(host: Arc<RelayHost>, stream: TcpStream) {
    // Without the option a small answer may wait for an acknowledgement; the connection works all the same.
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "no TCP_NODELAY");
    }
    let spread = 1.0 + host.rng().random_range(0.0..AGE_SPREAD);
    let ends_at = host.now() + LONGEST_AGE.mul_f64(spread);
    let usage = Arc::new(ConnectionUse::default());
    usage.idle_since_us.store(micros(host.now()), Relaxed);
    let service = service_fn(|request| {
        let host = Arc::clone(&host);
        let usage = Arc::clone(&usage);
        async move {
            usage.requests.fetch_add(1, Relaxed);
            let mut response = serve_request(Arc::clone(&host), request).await;
            usage.requests.fetch_sub(1, Relaxed);
            usage.idle_since_us.store(micros(host.now()), Relaxed);
            let is_old = host.has_far_callers && ends_at <= host.now();
            if *host.phase().borrow() != HostPhase::Serving || is_old {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let head_bytes = host.view().map_or(LEAST_BUFFER, |view| view.serving.limits.max_header_bytes);
    let server = hyper::server::conn::http1::Builder::new()
        .max_buf_size(head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut server = pin!(server);
    let mut phase = host.phase();
    loop {
        let idle_time =
            host.view().map_or(FIRST_IDLE_TIME, |view| view.serving.limits.idle_timeout);
        let idle_since = Duration::from_micros(usage.idle_since_us.load(Relaxed));
        let is_busy = usage.requests.load(Relaxed) > 0;
        let idle_until = if is_busy { host.now() } else { idle_since } + idle_time;
        tokio::select! {
            ended = server.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "connection of a caller ended");
                }
                return;
            }
            _ = phase.wait_for(|phase| *phase >= HostPhase::Closing) => break,
            () = tokio::time::sleep(idle_until.saturating_sub(host.now())) => {
                let idle_since = Duration::from_micros(usage.idle_since_us.load(Relaxed));
                let is_idle = usage.requests.load(Relaxed) == 0;
                if is_idle && idle_since + idle_time <= host.now() {
                    break;
                }
            }
        }
    }
    server.as_mut().graceful_shutdown();
    if let Err(error) = server.await {
        tracing::debug!(%error, "connection of a caller ended");
    }
}
