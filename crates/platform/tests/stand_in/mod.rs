//! Stand-in for the platform and for `GET /status` of hosts, with fault injection and a log of all calls.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io::Cursor;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rocket::Request;
use rocket::State;
use rocket::fairing::AdHoc;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::tokio::sync::Notify;
use rocket::tokio::sync::oneshot;

/// Fault injected into the next call of a method.
#[allow(dead_code)]
pub enum Fault {
    /// The call takes effect, and the connection closes within the reply.
    LoseReply,
    /// The connection closes, and the call has no effect.
    LoseRequest,
    /// The call is rejected with status 503 and has no effect.
    Refuse,
    /// The call has no effect and no reply until the stand-in is dropped.
    Stall,
    /// Another client replaces the value before the call takes effect.
    ConcurrentWrite(String),
}

#[derive(Default)]
struct StoreState {
    values: BTreeMap<String, (u64, String)>,
    leases: u64,
    faults: VecDeque<(&'static str, Fault)>,
    log: Vec<String>,
    hosts: String,
    status: Option<String>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<StoreState>,
    changed: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no handler panics")
    }
}

pub struct StandIn {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    shutdown: rocket::Shutdown,
}

#[allow(dead_code)]
impl StandIn {
    pub async fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let (sender, receiver) = oneshot::channel();
        let sender = Mutex::new(Some(sender));
        let figment = rocket::Config::figment()
            .merge(("address", Ipv4Addr::LOCALHOST))
            .merge(("port", 0))
            .merge(("workers", 1))
            .merge(("log_level", "off"))
            // The platform stores values up to 1 MB; the default limit of Rocket for strings is 8 KiB.
            .merge(("limits.string", 1_000_000))
            .merge(("shutdown.ctrlc", false))
            .merge(("shutdown.grace", 0))
            .merge(("shutdown.mercy", 0));
        let routes =
            rocket::routes![get, put, delete, watch, create_lease, renew_lease, hosts, status];
        let server = rocket::custom(figment).manage(Arc::clone(&shared)).mount("/", routes).attach(
            AdHoc::on_liftoff("port", move |rocket| {
                Box::pin(async move {
                    let config = rocket.config();
                    let sender = sender.lock().expect("no panic").take().expect("one liftoff");
                    let address = SocketAddr::new(config.address, config.port);
                    let _ = sender.send((address, rocket.shutdown()));
                })
            }),
        );
        rocket::tokio::spawn(server.launch());
        let (address, shutdown) = receiver.await.expect("the stand-in starts");
        Self { address, shared, shutdown }
    }

    /// Queues a fault; each call of `method` consumes one.
    pub fn fail(&self, method: &'static str, fault: Fault) {
        self.shared.lock().faults.push_back((method, fault));
    }

    pub fn clear_faults(&self) {
        self.shared.lock().faults.clear();
    }

    pub fn write(&self, key: &str, value: &str) {
        self.shared.lock().write(key, value.to_owned());
        self.shared.changed.notify_waiters();
    }

    pub fn remove(&self, key: &str) {
        self.shared.lock().values.remove(key);
    }

    pub fn read(&self, key: &str) -> String {
        self.shared.lock().values.get(key).map(|(_, value)| value.clone()).unwrap_or_default()
    }

    pub fn set_hosts(&self, json: &str) {
        self.shared.lock().hosts = json.to_owned();
    }

    pub fn set_status(&self, json: &str) {
        self.shared.lock().status = Some(json.to_owned());
    }

    /// Takes the log of calls since the last use, one call a line.
    pub fn take_call_log(&self) -> String {
        std::mem::take(&mut self.shared.lock().log).join("\n")
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

impl StoreState {
    fn revision(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(revision, _)| *revision)
    }

    fn write(&mut self, key: &str, value: String) -> u64 {
        let revision = self.revision(key) + 1;
        self.values.insert(key.to_owned(), (revision, value));
        revision
    }

    fn read(&self, key: &str) -> Reply {
        match self.values.get(key) {
            Some((revision, value)) => Reply::new(Status::Ok).at(*revision).with(value),
            None => Reply::new(Status::NotFound),
        }
    }
}

struct Reply {
    status: Status,
    revision: Option<u64>,
    body: String,
    is_cut: bool,
}

impl Reply {
    fn new(status: Status) -> Self {
        Self { status, revision: None, body: String::new(), is_cut: false }
    }

    fn at(self, revision: u64) -> Self {
        Self { revision: Some(revision), ..self }
    }

    fn with(self, body: &str) -> Self {
        Self { body: body.to_owned(), ..self }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = rocket::Response::build();
        response.status(self.status);
        if let Some(revision) = self.revision {
            response.raw_header("kv-revision", revision.to_string());
        }
        // A body shorter than its Content-Length makes the server close the connection.
        let missing = usize::from(self.is_cut);
        let length = self.body.len() + missing;
        response.sized_body(length, Cursor::new(self.body)).ok()
    }
}

/// Runs one call, applying the next fault queued for its method, and logs it.
async fn call(
    shared: &Shared,
    method: &'static str,
    key: &str,
    what: String,
    effect: impl FnOnce(&mut StoreState) -> Reply,
) -> Reply {
    let fault = {
        let mut state = shared.lock();
        let due = state.faults.iter().position(|(due, _)| *due == method);
        due.and_then(|index| state.faults.remove(index)).map(|(_, fault)| fault)
    };
    let mut reply = Reply::new(Status::ServiceUnavailable);
    let mut remark = String::new();
    match fault {
        None => reply = effect(&mut shared.lock()),
        Some(Fault::LoseReply) => {
            reply = effect(&mut shared.lock());
            reply.is_cut = true;
            remark.push_str(", reply lost");
        }
        Some(Fault::LoseRequest) => {
            reply.is_cut = true;
            remark.push_str(", connection cut without effect");
        }
        Some(Fault::Refuse) => {}
        Some(Fault::Stall) => std::future::pending().await,
        Some(Fault::ConcurrentWrite(value)) => {
            let mut state = shared.lock();
            state.write(key, value);
            reply = effect(&mut state);
            remark.push_str(", after another client's write");
        }
    }
    shared.changed.notify_waiters();
    let revision = reply.revision.map(|revision| format!(" at {revision}")).unwrap_or_default();
    let code = reply.status.code;
    shared.lock().log.push(format!("{method} {what} -> {code}{revision}{remark}"));
    reply
}

type Store = State<Arc<Shared>>;

fn text_of(key: PathBuf) -> String {
    key.to_string_lossy().into_owned()
}

#[rocket::get("/kv/<key..>")]
async fn get(store: &Store, key: PathBuf) -> Reply {
    let key = text_of(key);
    call(store, "GET", &key, key.clone(), |state| state.read(&key)).await
}

#[rocket::put("/kv/<key..>?<expect>&<lease>", data = "<value>")]
async fn put(
    store: &Store,
    key: PathBuf,
    expect: u64,
    lease: Option<&str>,
    value: String,
) -> Reply {
    let key = text_of(key);
    let lease = lease.map(|lease| format!(" lease={lease}")).unwrap_or_default();
    call(store, "PUT", &key, format!("{key} expect={expect}{lease}"), |state| {
        let current = state.revision(&key);
        if current != expect {
            return Reply::new(Status::Conflict).at(current);
        }
        Reply::new(Status::Ok).at(state.write(&key, value))
    })
    .await
}

#[rocket::delete("/kv/<key..>?<expect>")]
async fn delete(store: &Store, key: PathBuf, expect: u64) -> Reply {
    let key = text_of(key);
    call(store, "DELETE", &key, format!("{key} expect={expect}"), |state| {
        let current = state.revision(&key);
        if current != expect {
            return Reply::new(Status::Conflict).at(current);
        }
        state.values.remove(&key);
        Reply::new(Status::Ok)
    })
    .await
}

#[rocket::get("/watch/<key..>?<after>&<wait_ms>")]
async fn watch(store: &Store, key: PathBuf, after: u64, wait_ms: u64) -> Reply {
    let key = text_of(key);
    let newer = async {
        loop {
            let changed = store.changed.notified();
            if after < store.lock().revision(&key) {
                return;
            }
            changed.await;
        }
    };
    let wait = Duration::from_millis(wait_ms);
    let is_newer = rocket::tokio::time::timeout(wait, newer).await.is_ok();
    call(store, "WATCH", &key, format!("{key} after={after}"), |state| {
        if is_newer { state.read(&key) } else { Reply::new(Status::NotModified) }
    })
    .await
}

#[rocket::post("/lease?<ttl_ms>")]
async fn create_lease(store: &Store, ttl_ms: u64) -> Reply {
    call(store, "LEASE", "", format!("ttl_ms={ttl_ms}"), |state| {
        state.leases += 1;
        Reply::new(Status::Ok).with(&format!("{{\"id\":{}}}", state.leases))
    })
    .await
}

#[rocket::post("/lease/<id>/renew")]
async fn renew_lease(store: &Store, id: u64) -> Reply {
    call(store, "RENEW", "", id.to_string(), |state| {
        Reply::new(if id <= state.leases { Status::Ok } else { Status::NotFound })
    })
    .await
}

#[rocket::get("/hosts")]
async fn hosts(store: &Store) -> Reply {
    call(store, "HOSTS", "", String::new(), |state| Reply::new(Status::Ok).with(&state.hosts)).await
}

#[rocket::get("/status")]
async fn status(store: &Store) -> Reply {
    call(store, "STATUS", "", String::new(), |state| match &state.status {
        Some(status) => Reply::new(Status::Ok).with(status),
        None => Reply::new(Status::ServiceUnavailable),
    })
    .await
}
