//! Other hosts of the failure domain that gather parts of searches for this host, and its connections to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::net::TcpStream;
use vanillapick_dispatch::host_record::HostId;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_dispatch::shard_groups::CUT_OFF_BACKOFF;
use vanillapick_dispatch::shard_groups::OwnerState;
use vanillapick_dispatch::shard_groups::REFUSAL_BACKOFF;
use vanillapick_dispatch::shard_groups::owner_backoff;
use vanillapick_policy::micros::micros;

use crate::kept_connection::ExchangeError;
use crate::kept_connection::KeptConnection;

/// Connect timeout: a round trip between regions and some delay of a busy host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which an idle connection is kept, shorter than the receiver keeps it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a host counts as reaching targets after it has shown that it does.
const REACH_VALIDITY: Duration = Duration::from_secs(5);

/// Size limit of a reply that is not read.
const MAX_IGNORED_BYTES: usize = 1 << 10;

/// Number of idle connections kept to one host.
const MAX_IDLE: usize = 4;

/// Hosts that gather parts, by id.
#[derive(Debug, Default)]
pub(crate) struct PartPeerTable {
    peers: HashMap<HostId, Arc<PartPeer>>,
}

/// One host that gathers parts.
#[derive(Debug)]
pub(crate) struct PartPeer {
    pub(crate) host: HostId,
    address: SocketAddr,
    backoff_until_us: AtomicU64,
    failures: AtomicU32,
    /// Time until which the host counts as reaching targets.
    reaches_until_us: AtomicU64,
    in_flight: AtomicUsize,
    idle: Mutex<Vec<KeptConnection>>,
}

/// Guard that counts a group in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct GroupInFlight(Arc<PartPeer>);

impl Drop for GroupInFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Relaxed);
    }
}

impl PartPeerTable {
    /// Builds the table of the hosts in `view` other than `own`. A host whose address has not changed keeps its state.
    pub(crate) fn renewed(&self, view: &ServingView, own: &str) -> Self {
        let hosts = view.part_hosts.values().flatten().filter(|(host, _)| &***host != own);
        let peers = hosts.map(|(host, address)| {
            let known = self.peers.get(host).filter(|known| known.address == *address);
            let peer = known.map_or_else(|| Arc::new(PartPeer::new(host, *address)), Arc::clone);
            (HostId::clone(host), peer)
        });
        Self { peers: peers.collect() }
    }

    /// Number of hosts.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&Arc<PartPeer>> {
        self.peers.get(host)
    }

    /// Up to `count` hosts, drawn at random.
    pub(crate) fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<Arc<PartPeer>> {
        let mut peers: Vec<&Arc<PartPeer>> = self.peers.values().collect();
        peers.shuffle(rng);
        peers.into_iter().take(count).map(Arc::clone).collect()
    }
}

/// Call of an endpoint for other hosts. The receiver does not use the host name.
pub(crate) fn peer_call(method: Method, path: &'static str, body: Bytes) -> Request<Full<Bytes>> {
    let mut call = Request::new(Full::new(body));
    *call.method_mut() = method;
    *call.uri_mut() = Uri::from_static(path);
    call.headers_mut().insert(HOST, HeaderValue::from_static("peer"));
    call
}

impl PartPeer {
    fn new(host: &HostId, address: SocketAddr) -> Self {
        Self {
            host: HostId::clone(host),
            address,
            backoff_until_us: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            reaches_until_us: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            idle: Mutex::default(),
        }
    }

    pub(crate) fn state(&self, now: Duration) -> OwnerState {
        OwnerState {
            is_in_backoff: micros(now) < self.backoff_until_us.load(Relaxed),
            in_flight: self.in_flight.load(Relaxed),
        }
    }

    pub(crate) fn start_group(self: &Arc<Self>) -> GroupInFlight {
        self.in_flight.fetch_add(1, Relaxed);
        GroupInFlight(Arc::clone(self))
    }

    pub(crate) fn record_success(&self) {
        self.failures.store(0, Relaxed);
    }

    /// Excludes the host for a while, and closes its idle connections.
    pub(crate) fn record_failure(&self, now: Duration) {
        let failures = self.failures.fetch_add(1, Relaxed) + 1;
        self.backoff_until_us.fetch_max(micros(now + owner_backoff(failures)), Relaxed);
        self.idle().clear();
    }

    /// Excludes the host for a short while, because it refused a group or a request.
    pub(crate) fn record_refusal(&self, now: Duration) {
        self.backoff_until_us.fetch_max(micros(now + REFUSAL_BACKOFF), Relaxed);
    }

    /// Records that the host reaches targets.
    pub(crate) fn record_reaching(&self, now: Duration) {
        self.reaches_until_us.fetch_max(micros(now + REACH_VALIDITY), Relaxed);
    }

    /// Whether the host has lately shown that it reaches targets.
    pub(crate) fn is_proven(&self, now: Duration) -> bool {
        micros(now) < self.reaches_until_us.load(Relaxed)
    }

    /// Excludes the host for longer than after a refusal, because it is cut off from all targets.
    pub(crate) fn record_cut_off(&self, now: Duration) {
        self.reaches_until_us.store(0, Relaxed);
        self.backoff_until_us.fetch_max(micros(now + CUT_OFF_BACKOFF), Relaxed);
    }

    /// An idle connection that can send a request.
    pub(crate) async fn take_idle(&self, now: Duration) -> Option<KeptConnection> {
        loop {
            let mut connection = self.idle().pop()?;
            let is_fresh = now.saturating_sub(connection.idle_since) < IDLE_TIMEOUT;
            if is_fresh && connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    pub(crate) async fn open(&self, now: Duration) -> Result<KeptConnection, String> {
        let opening = async {
            let stream =
                TcpStream::connect(self.address).await.map_err(|error| error.to_string())?;
            stream.set_nodelay(true).map_err(|error| error.to_string())?;
            KeptConnection::new(stream, now).await.map_err(|error| error.to_string())
        };
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        opened.unwrap_or_else(|_| Err("connect timed out".to_owned()))
    }

    /// Sends a request whose reply has no content worth reading; returns the status of the reply.
    pub(crate) async fn tell(
        &self,
        call: Request<Full<Bytes>>,
        clock: impl Fn() -> Duration,
    ) -> Result<StatusCode, String> {
        loop {
            let idle = self.take_idle(clock()).await;
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.open(clock()).await?,
            };
            let response = match connection.send(call.clone()).await {
                Ok(response) => response,
                Err(ExchangeError::Unsent) if !is_new => continue,
                Err(ExchangeError::Unsent) => return Err("the host closed the connection".into()),
                Err(ExchangeError::Lost(detail) | ExchangeError::Malformed(detail)) => {
                    return Err(detail);
                }
            };
            let status = response.status();
            connection.allow(MAX_IGNORED_BYTES);
            let mut body = response.into_body();
            while connection.next_data(&mut body).await?.is_some() {}
            self.put_idle(connection, clock()).await;
            return Ok(status);
        }
    }

    pub(crate) async fn put_idle(&self, mut connection: KeptConnection, now: Duration) {
        if !connection.is_usable().await {
            return;
        }
        connection.idle_since = now;
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<KeptConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
