//! Limited pool of HTTP/1 connections from this host to one target.

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
use crate::kept_connection::ReplyLimits;

/// Connect timeout: several round trips between regions. A machine that is down never replies.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle timeout if the target does not send one in a `Keep-Alive` header.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Part of the target's idle timeout after which an idle connection is no longer used, so that a request does not race with
/// the target closing the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Connections to one target, limited to this host's share of the target's connection limit.
///
/// Invariant: at most `share` connections are open or being opened.
#[derive(Debug)]
pub struct TargetConnections {
    target: Arc<TargetState>,
    permits: Semaphore,
    share: AtomicUsize,
    idle: Mutex<Vec<KeptConnection>>,
    opened: AtomicUsize,
}

/// Reason why a call has no reply.
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
    /// The request was over before a connection was available, so it was not sent.
    #[display("the request was over before it could be sent")]
    Withdrawn,
}

impl std::fmt::Debug for KeptConnection {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("KeptConnection")
            .field("idle_since", &self.idle_since)
            .finish_non_exhaustive()
    }
}

impl TargetConnections {
    /// Creates a pool without open connections.
    pub fn new(target: Arc<TargetState>, share: usize) -> Self {
        Self {
            target,
            permits: Semaphore::new(share),
            share: AtomicUsize::new(share),
            idle: Mutex::default(),
            opened: AtomicUsize::new(0),
        }
    }

    /// Changes this host's share of the target's connection limit.
    pub fn set_share(&self, share: usize) {
        let before = self.share.load(Relaxed);
        if before < share {
            self.permits.add_permits(share - before);
            self.share.store(share, Relaxed);
        } else if share < before {
            // Permits in use cannot be revoked; the next change of the view tries again.
            let taken = self.permits.forget_permits(before - share);
            self.share.store(before - taken, Relaxed);
        }
    }

    /// Number of connections opened by this pool so far.
    pub fn opened(&self) -> usize {
        self.opened.load(Relaxed)
    }

    /// Closes all idle connections; those in use are not affected.
    pub fn close_idle(&self) {
        self.idle().clear();
        self.target.set_idle_connections(0);
    }

    /// Sends a request and reads the complete reply. Dropping the future closes the connection, which cancels the request
    /// at the target.
    ///
    /// `write` builds the request once a connection is open, because waiting for one takes part of the time that the target
    /// is told; it returns `None` if the request is no longer wanted.
    pub async fn call(
        &self,
        write: impl Fn() -> Option<Request<CallBody>>,
        limits: &ReplyLimits,
        now: impl Fn() -> Duration,
    ) -> Result<(Parts, Bytes), CallError> {
        let Ok(_permit) = self.permits.acquire().await else {
            return Err(CallError::Unreachable {
                detail: "the connection pool is closed".to_owned(),
            });
        };
        loop {
            let idle = self.take_idle(now()).await;
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(now()).await?,
            };
            let Some(request) = write() else {
                self.put_idle(connection, &HeaderMap::new(), now()).await;
                return Err(CallError::Withdrawn);
            };
            match connection.exchange(request, limits).await {
                Ok((parts, body)) => {
                    self.put_idle(connection, &parts.headers, now()).await;
                    return Ok((parts, body));
                }
                Err(ExchangeError::Unsent) if !is_new => {}
                Err(ExchangeError::Unsent) => {
                    return Err(CallError::Unreachable {
                        detail: "the target closed a new connection before the request was sent"
                            .to_owned(),
                    });
                }
                Err(ExchangeError::Lost(detail)) => return Err(CallError::Lost { detail }),
            }
        }
    }

    /// Opens a new connection, in place of an idle one if there is any, and keeps it; returns whether the target accepted it
    /// within `timeout`. `None` if this host's share of connections is in use.
    pub(crate) async fn probe(
        &self,
        timeout: Duration,
        now: impl Fn() -> Duration,
    ) -> Option<bool> {
        let _permit = self.permits.try_acquire().ok()?;
        drop(self.pop_idle());
        match tokio::time::timeout(timeout, self.open(now())).await {
            Ok(Ok(connection)) => {
                self.put_idle(connection, &HeaderMap::new(), now()).await;
                Some(true)
            }
            Ok(Err(_)) | Err(_) => Some(false),
        }
    }

    async fn take_idle(&self, now: Duration) -> Option<KeptConnection> {
        loop {
            let mut connection = self.pop_idle()?;
            let idle_timeout = connection.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
            let is_fresh = now.saturating_sub(connection.idle_since) < idle_timeout;
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
            Err(_) => return Err(unreachable("connect timed out".to_owned())),
        };
        stream.set_nodelay(true).map_err(|error| unreachable(error.to_string()))?;
        KeptConnection::new(stream, now).await.map_err(|error| unreachable(error.to_string()))
    }

    async fn put_idle(&self, mut connection: KeptConnection, headers: &HeaderMap, now: Duration) {
        if !connection.is_usable().await {
            return;
        }
        connection.idle_since = now;
        connection.idle_timeout = keep_alive_timeout(headers).or(connection.idle_timeout);
        let mut idle = self.idle();
        idle.push(connection);
        self.target.set_idle_connections(idle.len());
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<KeptConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Idle timeout from the `Keep-Alive` header of a reply, with a safety margin.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(HeaderName::from_static("keep-alive"))?.to_str().ok()?;
    let parameters = value.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let seconds = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    let seconds = seconds.filter_map(|(_, seconds)| seconds.trim().parse::<u32>().ok()).next()?;
    Some(Duration::from_secs(u64::from(seconds)).mul_f64(IDLE_TIMEOUT_FRACTION))
}
