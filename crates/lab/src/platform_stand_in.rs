//! Stand-in for the platform: the key-value service and the host list over HTTP, as section 4.4 of the design page
//! describes them.

pub mod key_value_store;
pub mod platform_faults;

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time;
use vanillapick_model::host::HostEntry;

use crate::http_reply::ConnectionClosed;
use crate::http_reply::StandInReply;
use crate::http_reply::StandInRequest;
use crate::http_reply::header_text;
use crate::http_reply::query_number;
use crate::http_reply::reply;
use crate::platform_stand_in::key_value_store::KeyValueStore;
use crate::platform_stand_in::key_value_store::StoreRevision;
use crate::platform_stand_in::key_value_store::StoredValue;
use crate::platform_stand_in::key_value_store::WriteConflict;
use crate::platform_stand_in::platform_faults::PlatformFaults;

/// Request header with the host id of the client.
pub const HOST_HEADER: &str = "vp-host";

/// Response header with the current revision of the key.
pub const REVISION_HEADER: &str = "kv-revision";

/// Response header with the number of times that the store was restored.
pub const ERA_HEADER: &str = "kv-era";

/// Maximum length of a stored value.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Interval at which expired leases are removed.
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct PlatformState {
    store: Mutex<KeyValueStore>,
    hosts: Mutex<Vec<HostEntry>>,
    faults: Mutex<PlatformFaults>,
    calls: Mutex<BTreeMap<&'static str, u64>>,
    changed: Notify,
    write_calls: Mutex<u64>,
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct PlatformStandIn {
    address: SocketAddr,
    state: Arc<PlatformState>,
    accept_task: JoinHandle<()>,
}

impl PlatformStandIn {
    /// Starts a stand-in on a free loopback port.
    pub async fn launch() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(PlatformState::default());
        let accept_task = tokio::spawn(accept_connections(listener, Arc::clone(&state)));
        Ok(Self { address, state, accept_task })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.state.faults) = faults;
        self.state.changed.notify_waiters();
    }

    /// Returns the faults that are injected now.
    pub fn faults(&self) -> PlatformFaults {
        lock(&self.state.faults).clone()
    }

    /// Replaces the host list that clients read.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        *lock(&self.state.hosts) = hosts;
    }

    /// Returns the number of calls since the start by kind: get, put, delete, watch, lease, renew, hosts, unknown.
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.state.calls).clone()
    }

    /// Returns the current value of a key, bypassing all faults.
    pub fn value(&self, key: &str) -> Option<StoredValue> {
        lock(&self.state.store).get(key).cloned()
    }

    /// Writes a value by compare-and-swap, bypassing all faults.
    pub fn put_value(
        &self,
        key: &str,
        value: Bytes,
        expect: StoreRevision,
    ) -> Result<StoreRevision, WriteConflict> {
        let result = lock(&self.state.store).put(key, value, expect, None);
        self.state.changed.notify_waiters();
        result
    }

    /// Copies the values and leases, for a later [`Self::restore`].
    pub fn copy(&self) -> KeyValueStore {
        lock(&self.state.store).clone()
    }

    /// Restores the values and leases from a copy: what was written since is lost, and watches from earlier revisions fail.
    pub fn restore(&self, copy: KeyValueStore) {
        lock(&self.state.store).restore(copy);
        self.state.changed.notify_waiters();
    }

    /// Closes the listener. Open connections close at their next call.
    pub fn stop(self) {
        self.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        self.accept_task.abort();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept_connections(listener: TcpListener, state: Arc<PlatformState>) {
    let mut expiry_tick = time::interval(LEASE_EXPIRY_INTERVAL);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(stream, Arc::clone(&state)));
                }
            }
            _ = expiry_tick.tick() => {
                if lock(&state.store).expire_leases(Instant::now()) {
                    state.changed.notify_waiters();
                }
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<PlatformState>) {
    if lock(&state.faults).down {
        return;
    }
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| serve_call(Arc::clone(&state), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error here is a closed connection, which is one of the injected faults.
    let _ = connection.await;
}

async fn serve_call(
    state: Arc<PlatformState>,
    request: StandInRequest,
) -> Result<StandInReply, ConnectionClosed> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionClosed)?.to_bytes();
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query();
    let host = header_text(&parts.headers, HOST_HEADER).unwrap_or_default();
    let kind = call_kind(&parts.method, &path);
    *lock(&state.calls).entry(kind).or_default() += 1;

    let faults = lock(&state.faults).clone();
    if faults.down || faults.closed_to.contains(host) {
        return Err(ConnectionClosed);
    }
    if !faults.slow.is_zero() {
        time::sleep(faults.slow).await;
    }
    let key = path.splitn(3, '/').nth(2).unwrap_or_default();
    let response = match kind {
        "get" => get_value(&state, key, faults.stale_reads),
        "put" => put_value(&state, key, query, body),
        "delete" => delete_value(&state, key, query),
        "watch" => watch_value(&state, key, query, host).await?,
        "lease" => open_lease(&state, query),
        "renew" => renew_lease(&state, key),
        "hosts" => list_hosts(&state),
        _ => reply(StatusCode::NOT_FOUND, ""),
    };
    let mut response = response;
    let era = lock(&state.store).era();
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    let changes_state = matches!(kind, "put" | "delete" | "lease" | "renew");
    if changes_state && should_drop_reply(&state) {
        return Err(ConnectionClosed);
    }
    Ok(response)
}

fn call_kind(method: &Method, path: &str) -> &'static str {
    let kind = path.split('/').nth(1).unwrap_or_default();
    match (method, kind) {
        (&Method::GET, "kv") => "get",
        (&Method::PUT, "kv") => "put",
        (&Method::DELETE, "kv") => "delete",
        (&Method::GET, "watch") => "watch",
        (&Method::POST, "lease") if path.ends_with("/renew") => "renew",
        (&Method::POST, "lease") => "lease",
        (&Method::GET, "hosts") => "hosts",
        _ => "unknown",
    }
}

fn should_drop_reply(state: &PlatformState) -> bool {
    let mut write_calls = lock(&state.write_calls);
    *write_calls += 1;
    let mut faults = lock(&state.faults);
    if 0 < faults.lose_next {
        faults.lose_next -= 1;
        return true;
    }
    0 < faults.lose_every && write_calls.is_multiple_of(faults.lose_every)
}

fn value_reply(stored: &StoredValue) -> StandInReply {
    with_revision(reply(StatusCode::OK, stored.value.clone()), stored.revision)
}

fn with_revision(mut reply: StandInReply, revision: StoreRevision) -> StandInReply {
    reply.headers_mut().insert(REVISION_HEADER, HeaderValue::from(revision));
    reply
}

fn conflict_reply(conflict: WriteConflict) -> StandInReply {
    match conflict {
        WriteConflict::Revision(revision) => {
            with_revision(reply(StatusCode::CONFLICT, ""), revision)
        }
        WriteConflict::Lease => reply(StatusCode::GONE, ""),
    }
}

fn get_value(state: &PlatformState, key: &str, is_stale: bool) -> StandInReply {
    let store = lock(&state.store);
    let stored = if is_stale { store.get_stale(key) } else { store.get(key) };
    stored.map_or_else(|| with_revision(reply(StatusCode::NOT_FOUND, ""), 0), value_reply)
}

fn put_value(state: &PlatformState, key: &str, query: Option<&str>, body: Bytes) -> StandInReply {
    if MAX_VALUE_BYTES < body.len() {
        return reply(StatusCode::PAYLOAD_TOO_LARGE, "");
    }
    let Some(expect) = query_number(query, "expect") else {
        return reply(StatusCode::BAD_REQUEST, "query parameter expect is missing or not a number");
    };
    let lease = query_number(query, "lease");
    let result = lock(&state.store).put(key, body, expect, lease);
    match result {
        Ok(revision) => {
            state.changed.notify_waiters();
            with_revision(reply(StatusCode::OK, ""), revision)
        }
        Err(conflict) => conflict_reply(conflict),
    }
}

fn delete_value(state: &PlatformState, key: &str, query: Option<&str>) -> StandInReply {
    let expect = query_number(query, "expect").unwrap_or_default();
    let result = lock(&state.store).delete(key, expect);
    match result {
        Ok(()) => {
            state.changed.notify_waiters();
            reply(StatusCode::OK, "")
        }
        Err(conflict) => conflict_reply(conflict),
    }
}

async fn watch_value(
    state: &PlatformState,
    key: &str,
    query: Option<&str>,
    host: &str,
) -> Result<StandInReply, ConnectionClosed> {
    let after = query_number(query, "after").unwrap_or_default();
    let era = query_number(query, "era").filter(|_| after > 0);
    let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or_default());
    let end = time::Instant::now() + wait.min(MAX_WATCH_WAIT);
    loop {
        let changed = state.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if era.is_some_and(|era| era != lock(&state.store).era()) {
            return Ok(reply(StatusCode::GONE, ""));
        }
        let stored = lock(&state.store).get(key).cloned();
        if let Some(stored) = stored.filter(|stored| after < stored.revision) {
            return Ok(value_reply(&stored));
        }
        if time::timeout_at(end, changed).await.is_err() {
            return Ok(reply(StatusCode::NOT_MODIFIED, ""));
        }
        let faults = lock(&state.faults);
        if faults.down || faults.closed_to.contains(host) {
            return Err(ConnectionClosed);
        }
    }
}

fn open_lease(state: &PlatformState, query: Option<&str>) -> StandInReply {
    let Some(ttl) = query_number(query, "ttl_ms") else {
        return reply(StatusCode::BAD_REQUEST, "query parameter ttl_ms is missing or not a number");
    };
    let lease = lock(&state.store).open_lease(Duration::from_millis(ttl), Instant::now());
    reply(StatusCode::OK, format!("{{\"id\":{lease}}}"))
}

fn renew_lease(state: &PlatformState, path: &str) -> StandInReply {
    let lease = path.trim_end_matches("/renew").parse().unwrap_or_default();
    let is_renewed = lock(&state.store).renew_lease(lease, Instant::now());
    reply(if is_renewed { StatusCode::OK } else { StatusCode::NOT_FOUND }, "")
}

fn list_hosts(state: &PlatformState) -> StandInReply {
    let hosts = serde_json::to_vec(&*lock(&state.hosts)).unwrap_or_default();
    reply(StatusCode::OK, hosts)
}
