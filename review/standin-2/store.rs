//! Stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::Connection;
use crate::net::Message;
use crate::net::reply;
use crate::text::Json;
use crate::text::base64;
use crate::text::quoted;
use crate::text::unbase64;

/// Maximum number of items of one page.
const PAGE: usize = 500;

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// When each revision was written.
    times: Vec<(Instant, u64)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// Store on loopback; clones share the state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    /// While set, requests that arrive are read and never answered; their connections stay open and give nothing more.
    pub is_silent: Arc<AtomicBool>,
    /// Age of stale reads in milliseconds.
    pub stale_ms: Arc<AtomicU64>,
    /// Called with each request line, for the record.
    log: Arc<dyn Fn(String) + Send + Sync>,
}

impl Store {
    pub fn start(address: &str, log: impl Fn(String) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(address).expect("a free loopback address");
        let store = Self {
            address: listener.local_addr().expect("it is bound"),
            state: Arc::default(),
            is_silent: Arc::default(),
            stale_ms: Arc::default(),
            log: Arc::new(log),
        };
        store.lock().revision = 100;
        store.lock().next_lease = 1000;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic before")
    }

    /// Writes or removes an item, as the operator or a replica does; returns the revision.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.lock();
        let revision = state.write(key, value.map(|value| value.as_bytes().to_vec()), 0);
        drop(state);
        self.state.1.notify_all();
        revision
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.lock();
        state.items.get(key).map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let over: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (renewed, ttl))| *renewed + *ttl <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &over {
            state.leases.remove(lease);
            let keys: Vec<String> = state
                .items
                .iter()
                .filter(|(_, item)| item.lease == *lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in &keys {
                state.write(key, None, 0);
            }
        }
        drop(state);
        if !over.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn serve(self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        loop {
            let until = Instant::now() + Duration::from_secs(600);
            let Ok(request) = connection.read_message(until) else { return };
            let line = format!("{} {}", request.word(0), request.word(1));
            if self.is_silent.load(SeqCst) {
                (self.log)(format!("store is silent: {line}"));
                // A connection on which a response is lost returns nothing further.
                loop {
                    if connection.read_message(until).is_err() {
                        return;
                    }
                }
            }
            let (status, body) = self.answer(&request);
            if !line.contains("kv-keep") {
                (self.log)(format!("store: {line} -> {status}"));
            }
            let headers = [("Content-Type", "application/json")];
            if !connection.write(&reply(status, &headers, body.as_bytes())) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let wanted = |name: &str| query.get(name).map(|value| value.replace("%2F", "/"));
        let number = |name: &str| wanted(name).and_then(|value| value.parse::<u64>().ok());
        match path {
            "/api/kv-range" => {
                let prefix = wanted("prefix").unwrap_or_default();
                let after = wanted("after").unwrap_or_default();
                self.range(&prefix, &after, number("allowStale") == Some(1))
            }
            "/api/kv-watch" => self.watch(
                &wanted("prefix").unwrap_or_default(),
                number("after").unwrap_or(0),
                Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000)),
            ),
            "/api/kv-lease" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let ttl = body.map_or(0, |body| body.get("ttlMs").number()).clamp(1000, 600_000);
                let mut state = self.lock();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now(), Duration::from_millis(ttl)));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            "/api/kv-txn" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                body.map_or((400, "{}".to_owned()), |body| self.commit(&body))
            }
            _ if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match self.lock().leases.get_mut(&lease) {
                    Some((renewed, ttl)) => {
                        *renewed = Instant::now();
                        (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str, is_stale: bool) -> (u16, String) {
        let state = self.lock();
        let items: Vec<(&String, &Item)> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && after < key.as_str())
            .collect();
        let has_more = PAGE < items.len();
        let rows: Vec<String> = items
            .into_iter()
            .take(PAGE)
            .map(|(key, item)| row(key, Some(&item.value), item.revision, item.created, item.lease))
            .collect();
        let mut revision = state.revision;
        if is_stale {
            let then = Instant::now() - Duration::from_millis(self.stale_ms.load(SeqCst));
            let known = state.times.iter().rev().find(|(time, _)| *time <= then);
            revision = known
                .map_or(state.times.first().map_or(revision, |(_, first)| first - 1), |known| {
                    known.1
                });
        }
        let rows = rows.join(",");
        (200, format!("{{\"items\":[{rows}],\"hasMore\":{has_more},\"currentRev\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events: Vec<&(u64, String, Option<Vec<u8>>)> = state
                .history
                .iter()
                .filter(|(revision, key, _)| after < *revision && key.starts_with(prefix))
                .take(PAGE)
                .collect();
            if let Some((last, _, _)) = events.last() {
                let rows: Vec<String> = events
                    .iter()
                    .map(|(revision, key, value)| row(key, value.as_deref(), *revision, 1, 0))
                    .collect();
                return (200, format!("{{\"events\":[{}],\"currentRev\":{last}}}", rows.join(",")));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return (
                    200,
                    format!("{{\"events\":[],\"currentRev\":{}}}", after.max(state.revision)),
                );
            }
            state = self.state.1.wait_timeout(state, left).expect("no panic before").0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        for expected in body.get("expect").list() {
            let known = state.items.get(expected.get("key").text()).map_or(0, |item| item.revision);
            if known != expected.get("revision").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let value = unbase64(put.get("value").text());
            state.write(put.get("key").text(), Some(value), put.get("lease").number());
        }
        for key in body.get("remove").list() {
            if state.items.contains_key(key.text()) {
                state.write(key.text(), None, 0);
            }
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.times.push((Instant::now(), revision));
        self.history.push((revision, key.to_owned(), value.clone()));
        match value {
            Some(value) => {
                let created = self.items.get(key).map_or(revision, |item| item.created);
                self.items.insert(key.to_owned(), Item { value, revision, created, lease });
            }
            None => drop(self.items.remove(key)),
        }
        revision
    }
}

fn row(key: &str, value: Option<&[u8]>, revision: u64, created: u64, lease: u64) -> String {
    let key = quoted(key);
    match value {
        Some(value) => format!(
            "{{\"key\":{key},\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}",
            base64(value)
        ),
        None => format!("{{\"key\":{key},\"revision\":{revision},\"tombstone\":true}}"),
    }
}
