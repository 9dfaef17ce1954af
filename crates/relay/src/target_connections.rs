//! Connections of this host to one target.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hyper::HeaderMap;
use hyper::Request;
use hyper::header::HeaderName;
use hyper::http::response::Parts;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use vanillapick_dispatch::target_state::TargetState;

use crate::kept_connection::CallBody;
use crate::kept_connection::ExchangeError;
use crate::kept_connection::KeptConnection;

/// Longest time for a connection to open: several round trips between regions. A machine without power never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections are closed after this time if the target names none.
const USUAL_KEEP: Duration = Duration::from_secs(8);

/// Part of the time that a target keeps idle connections for which they are used: a request must not cross its close.
const KEEP_PART: f64 = 0.7;

/// Connections to one target, and this host's share of them.
///
/// Invariant: at most `share` connections are open or being opened.
#[derive(Debug)]
pub struct TargetConnections {
    target: Arc<TargetState>,
    places: Semaphore,
    share: AtomicUsize,
    idle: Mutex<Vec<KeptConnection>>,
    opened: AtomicUsize,
}

/// Why a call has no reply.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be opened, so the target has not seen the request.
    #[display("no connection: {detail}")]
    Unreachable {
        /// Message of the network layer.
        detail: String,
    },
    /// The request may have reached the target.
    #[display("no reply: {detail}")]
    Lost {
        /// Message of the network layer.
        detail: String,
    },
}

impl std::fmt::Debug for KeptConnection {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("KeptConnection")
            .field("idle_since", &self.idle_since)
            .finish_non_exhaustive()
    }
}

impl TargetConnections {
    /// Link without connections.
    pub fn new(target: Arc<TargetState>, share: usize) -> Self {
        Self {
            target,
            places: Semaphore::new(share),
            share: AtomicUsize::new(share),
            idle: Mutex::default(),
            opened: AtomicUsize::new(0),
        }
    }

    /// Changes this host's share of the target's connections.
    pub fn set_share(&self, share: usize) {
        let before = self.share.load(Relaxed);
        if before < share {
            self.places.add_permits(share - before);
            self.share.store(share, Relaxed);
        } else if share < before {
            // Places in use cannot be taken away now; the next change of the view tries again.
            let taken = self.places.forget_permits(before - share);
            self.share.store(before - taken, Relaxed);
        }
    }

    /// Connections opened so far.
    pub fn opened(&self) -> usize {
        self.opened.load(Relaxed)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle().clear();
        self.target.set_idle_connections(0);
    }

    /// Sends a request and reads the whole reply. Dropping the future closes its connection, which cancels the request
    /// at the target.
    pub async fn call(
        &self,
        mut request: Request<CallBody>,
        now: impl Fn() -> Duration,
    ) -> Result<(Parts, Bytes), CallError> {
        let Ok(_place) = self.places.acquire().await else {
            return Err(CallError::Unreachable { detail: "the link is closed".to_owned() });
        };
        loop {
            let kept = self.take_idle(now()).await;
            let is_new = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => self.open(now()).await?,
            };
            match connection.exchange(request).await {
                Ok((parts, body)) => {
                    self.keep(connection, &parts.headers, now()).await;
                    return Ok((parts, body));
                }
                Err(ExchangeError::Unsent(unsent)) if !is_new => request = *unsent,
                Err(ExchangeError::Unsent(_)) => {
                    return Err(CallError::Unreachable { detail: "closed at once".to_owned() });
                }
                Err(ExchangeError::Lost(detail)) => return Err(CallError::Lost { detail }),
            }
        }
    }

    async fn take_idle(&self, now: Duration) -> Option<KeptConnection> {
        loop {
            let mut connection = self.pop_idle()?;
            let keep = connection.keep_for.unwrap_or(USUAL_KEEP);
            let is_fresh = now.saturating_sub(connection.idle_since) < keep;
            if is_fresh && connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    fn pop_idle(&self) -> Option<KeptConnection> {
        let mut idle = self.idle();
        let connection = idle.pop();
        self.target.set_idle_connections(idle.len());
        connection
    }

    async fn open(&self, now: Duration) -> Result<KeptConnection, CallError> {
        self.opened.fetch_add(1, Relaxed);
        let unreachable = |detail: String| CallError::Unreachable { detail };
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.target.record.address))
                .await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(unreachable(error.to_string())),
            Err(_) => return Err(unreachable("timed out".to_owned())),
        };
        stream.set_nodelay(true).map_err(|error| unreachable(error.to_string()))?;
        KeptConnection::new(stream, now).await.map_err(|error| unreachable(error.to_string()))
    }

    async fn keep(&self, mut connection: KeptConnection, headers: &HeaderMap, now: Duration) {
        if !connection.is_usable().await {
            return;
        }
        connection.idle_since = now;
        connection.keep_for = keep_time(headers).or(connection.keep_for);
        let mut idle = self.idle();
        idle.push(connection);
        self.target.set_idle_connections(idle.len());
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<KeptConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time for which a connection may be idle, from the reply's `Keep-Alive` header.
fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(HeaderName::from_static("keep-alive"))?.to_str().ok()?;
    let parameters = value.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let seconds = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    let seconds = seconds.filter_map(|(_, seconds)| seconds.trim().parse::<u32>().ok()).next()?;
    Some(Duration::from_secs(u64::from(seconds)).mul_f64(KEEP_PART))
}
