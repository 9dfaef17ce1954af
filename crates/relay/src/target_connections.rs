//! Limited pool of HTTP/1 connections from this host to one target.

use std::io::ErrorKind;
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
use crate::sent_requests::RequestIdentity;
use crate::sent_requests::SentRequests;
use crate::wire::TargetReplyKind;

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
    idle: Mutex<Vec<TargetConnection>>,
    opened: AtomicUsize,
}

/// Connection to a target, with the requests that were sent on it.
#[derive(Debug)]
struct TargetConnection {
    kept: KeptConnection,
    sent: SentRequests,
}

/// Complete reply of a target, with what its head says about the request.
#[derive(Debug)]
pub struct ReadReply {
    pub kind: TargetReplyKind,
    pub parts: Parts,
    pub body: Bytes,
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
    /// The request may have run at the target, whose reply is no answer.
    #[display("malformed reply: {detail}")]
    Malformed {
        /// Message of the decoder.
        detail: String,
    },
    /// The request was over before a connection was available, so it was not sent.
    #[display("the request was over before it could be sent")]
    Withdrawn,
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

    /// Sends a request, on a connection that has not carried it before, and reads the complete reply. Dropping the future closes
    /// the connection, which cancels the request at the target.
    ///
    /// `write` builds the request once a connection is open, because waiting for one takes part of the time that the target
    /// is told; it returns `None` if the request is no longer wanted. `classify` reads the head of the reply; the connection
    /// is closed if the reply is not the one to this request, which may still arrive on it.
    pub async fn call(
        &self,
        request: RequestIdentity,
        write: impl Fn() -> Option<Request<CallBody>>,
        classify: impl Fn(&Parts) -> TargetReplyKind,
        limits: &ReplyLimits,
        now: impl Fn() -> Duration,
    ) -> Result<ReadReply, CallError> {
        let Ok(_permit) = self.permits.acquire().await else {
            return Err(CallError::Unreachable {
                detail: "the connection pool is closed".to_owned(),
            });
        };
        loop {
            let idle = self.take_idle(request, now()).await;
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(now()).await?,
            };
            let Some(call) = write() else {
                self.put_idle(connection, &HeaderMap::new(), now()).await;
                return Err(CallError::Withdrawn);
            };
            connection.sent.record(request, now());
            match connection.kept.exchange(call, limits).await {
                Ok((parts, body)) => {
                    let kind = classify(&parts);
                    if !matches!(kind, TargetReplyKind::Invalid(_)) {
                        self.put_idle(connection, &parts.headers, now()).await;
                    }
                    return Ok(ReadReply { kind, parts, body });
                }
                Err(ExchangeError::Unsent) if !is_new => {}
                Err(ExchangeError::Unsent) => {
                    return Err(CallError::Unreachable {
                        detail: "the target closed a new connection before the request was sent"
                            .to_owned(),
                    });
                }
                Err(ExchangeError::Lost(detail)) => return Err(CallError::Lost { detail }),
                Err(ExchangeError::Malformed(detail)) => {
                    return Err(CallError::Malformed { detail });
                }
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
        drop(self.pop_idle(|_| true));
        match tokio::time::timeout(timeout, self.open(now())).await {
            Ok(Ok(connection)) => {
                self.put_idle(connection, &HeaderMap::new(), now()).await;
                Some(true)
            }
            Ok(Err(_)) | Err(_) => Some(false),
        }
    }

    /// Takes an idle connection that has not carried the request. If all have, one of them is closed, so that a new connection
    /// takes its place.
    async fn take_idle(&self, request: RequestIdentity, now: Duration) -> Option<TargetConnection> {
        while let Some(mut connection) = self.pop_idle(|idle| !idle.sent.contains(request)) {
            let idle_timeout = connection.kept.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
            let is_fresh = now.saturating_sub(connection.kept.idle_since) < idle_timeout;
            if is_fresh && connection.kept.is_usable().await {
                return Some(connection);
            }
        }
        if self.pop_idle(|_| true).is_some() {
            metrics::counter!("vanillapick_connections_replaced_total", "reason" => "same_request")
                .increment(1);
        }
        None
    }

    /// Takes the idle connection that was used last, of those that `is_wanted` accepts.
    fn pop_idle(&self, is_wanted: impl Fn(&TargetConnection) -> bool) -> Option<TargetConnection> {
        let mut idle = self.idle();
        let connection = idle.iter().rposition(is_wanted).map(|index| idle.remove(index));
        self.target.set_idle_connections(idle.len());
        connection
    }

    async fn open(&self, now: Duration) -> Result<TargetConnection, CallError> {
        self.opened.fetch_add(1, Relaxed);
        let unreachable = |detail: String| CallError::Unreachable { detail };
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.target.record.address))
                .await;
        let stream = match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                if error.kind() == ErrorKind::ConnectionRefused {
                    self.target.record_refusal(now);
                }
                return Err(unreachable(error.to_string()));
            }
            Err(_) => return Err(unreachable("connect timed out".to_owned())),
        };
        stream.set_nodelay(true).map_err(|error| unreachable(error.to_string()))?;
        let kept = KeptConnection::new(stream, now);
        let kept = kept.await.map_err(|error| unreachable(error.to_string()))?;
        Ok(TargetConnection { kept, sent: SentRequests::default() })
    }

    async fn put_idle(&self, mut connection: TargetConnection, headers: &HeaderMap, now: Duration) {
        let kept = &mut connection.kept;
        if !kept.is_usable().await {
            return;
        }
        kept.idle_since = now;
        kept.idle_timeout = keep_alive_timeout(headers).or(kept.idle_timeout);
        let mut idle = self.idle();
        idle.push(connection);
        self.target.set_idle_connections(idle.len());
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<TargetConnection>> {
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
