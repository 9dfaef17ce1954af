//! The in-test platform: key-value service, leases and host list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::Call;
use super::Reply;
use super::listen;
use super::lock;

#[derive(Default)]
struct Store {
    era: u64,
    values: BTreeMap<String, (u64, Bytes)>,
    is_down: bool,
}

pub struct TestPlatform {
    pub address: SocketAddr,
    store: Arc<Mutex<Store>>,
    changed: Arc<watch::Sender<u64>>,
}

impl TestPlatform {
    pub async fn start() -> Self {
        let store = Arc::new(Mutex::new(Store::default()));
        let changed = Arc::new(watch::Sender::new(0));
        let (served, notes) = (Arc::clone(&store), Arc::clone(&changed));
        let address = listen(watch::Sender::new(0), move |call| {
            serve(Arc::clone(&served), Arc::clone(&notes), call)
        })
        .await;
        Self { address, store, changed }
    }

    pub fn write(&self, key: &str, value: Vec<u8>) {
        let mut store = lock(&self.store);
        let revision = store.revision(key) + 1;
        store.values.insert(key.to_owned(), (revision, value.into()));
        drop(store);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Restores the store from a copy that has this value of a key.
    pub fn restore(&self, key: &str, revision: u64, value: Bytes) {
        let mut store = lock(&self.store);
        store.era += 1;
        store.values.insert(key.to_owned(), (revision, value));
        drop(store);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Value of a key with its revision.
    pub fn read(&self, key: &str) -> Option<(u64, Bytes)> {
        lock(&self.store).values.get(key).cloned()
    }

    /// While down, every call is answered with 503.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.store).is_down = is_down;
    }

    /// Number of idempotency claims that keep a reply.
    pub fn settled_claims(&self) -> usize {
        let store = lock(&self.store);
        let claims = store.values.iter().filter(|(key, _)| key.starts_with("vanillapick/claims/"));
        let texts = claims.map(|(_, (_, value))| String::from_utf8_lossy(value));
        texts.filter(|text| text.contains("\"ran\"")).count()
    }
}

impl Store {
    fn revision(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(revision, _)| *revision)
    }

    fn read(&self, key: &str) -> Reply {
        match self.values.get(key) {
            Some((revision, value)) => {
                let reply = Reply::new(200, value.clone()).with("kv-revision", revision);
                reply.with("kv-era", self.era)
            }
            None => Reply::new(404, ""),
        }
    }
}

async fn serve(store: Arc<Mutex<Store>>, changed: Arc<watch::Sender<u64>>, call: Call) -> Reply {
    if lock(&store).is_down {
        return Reply::new(503, "");
    }
    let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
    let number = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).find_map(|(_, text)| text.parse().ok());
        value.unwrap_or(0)
    };
    if let Some(key) = path.strip_prefix("/watch/") {
        let after = number("after");
        let mut notes = changed.subscribe();
        let era = number("era");
        let is_restored = || after > 0 && era != lock(&store).era;
        let newer = notes.wait_for(|_| is_restored() || after < lock(&store).revision(key));
        let wait = Duration::from_millis(number("wait_ms"));
        let is_newer = tokio::time::timeout(wait, newer).await.is_ok();
        if is_restored() {
            return Reply::new(410, "");
        }
        return if is_newer { lock(&store).read(key) } else { Reply::new(304, "") };
    }
    let mut store = lock(&store);
    match (call.method.as_str(), path.strip_prefix("/kv/")) {
        ("GET", Some(key)) => store.read(key),
        ("PUT", Some(key)) => {
            let current = store.revision(key);
            if current != number("expect") {
                return Reply::new(409, "").with("kv-revision", current);
            }
            store.values.insert(key.to_owned(), (current + 1, call.body));
            Reply::new(200, "").with("kv-revision", current + 1)
        }
        _ if path == "/lease" => Reply::new(200, r#"{"id":"1"}"#),
        _ if path == "/hosts" => Reply::new(200, "[]"),
        _ => Reply::new(404, ""),
    }
}
