//! A small deployment on loopback: the store, six hosts in three zones, replicas, and the record of what happens.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::host::Host;
use crate::host::HostPlan;
use crate::net::Connection;
use crate::net::Message;
use crate::net::ReadEnd;
use crate::store::Store;
use crate::target::Arrival;

/// Zone of each host, as at Pajilla Verde.
pub const HOST_ZONES: [&str; 6] =
    ["lima-a", "lima-a", "lima-a", "arequipa-a", "trujillo-a", "trujillo-a"];

/// Time in which the hosts are ready after their start.
const START_TIME: Duration = Duration::from_secs(20);

/// Lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the case's folder can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic before");
        let _ = writeln!(file, "{:>7} ms  {text}", self.started.elapsed().as_millis());
        let _ = file.flush();
    }
}

/// The deployment. Dropping it ends all processes.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub hosts: Vec<Host>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts the store; the hosts come with [`Self::start_hosts`], once the store has its first documents.
    pub fn new(record: Record) -> Self {
        let folder =
            std::env::temp_dir().join(format!("vanillapick-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let log = record.clone();
        let store = Store::start("127.0.0.1:0", move |line| {
            if !line.contains("kv-watch") || line.contains("silent") {
                log.line(&line);
            }
        });
        Self { record, store, hosts: Vec::new(), arrivals: Arc::default(), folder }
    }

    /// Starts six hosts and waits until all are ready; false if they are not.
    pub fn start_hosts(&mut self) -> bool {
        for (index, zone) in HOST_ZONES.iter().enumerate() {
            let plan = HostPlan {
                name: format!("frontend-{zone}-{index}"),
                zone: (*zone).to_owned(),
                store: self.store.address,
                cores: 1,
                config_apply_ms: 3000,
                grace_s: "6".to_owned(),
            };
            self.hosts.push(Host::start(plan, &self.folder, true));
        }
        self.wait_until_ready()
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + START_TIME;
        while !self.hosts.iter().all(Host::is_ready) {
            if until <= Instant::now() {
                self.record.line("the hosts are not ready");
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line("all hosts are ready");
        true
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }
}

/// Configuration as the operator writes it.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":25,\"protocol\":\"h1\",\
                 \"tls\":false,\"warmupS\":3.0,\"coldPerS\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Route to one service.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2,\
         \"allowedRegions\":[]}}"
    )
}

/// Sends one request and reads its answer on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Result<Message, ReadEnd> {
    let timeout = Duration::from_millis(1000);
    let mut connection = Connection::open(address, timeout).map_err(|_| ReadEnd::Closed)?;
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nVanillapick-Request-Id: {id}\r\n\
         Vanillapick-Deadline-Ms: {deadline_ms}\r\n"
    )
    .into_bytes();
    if method != "GET" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    if !connection.write(&bytes) {
        return Err(ReadEnd::Cut);
    }
    connection.read_message(Instant::now() + Duration::from_millis(deadline_ms + 500))
}
