//! In-test stand-in for a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::json;
use tokio::sync::watch;
use vanillapick_model::target::TargetEntry;

use super::Call;
use super::Reply;
use super::listen;
use super::lock;

/// Snapshot that all targets hold.
const SNAPSHOT: u64 = 7;

/// Changes a reply before it is sent.
pub type Fault = fn(&mut Reply);

pub struct TestTarget {
    pub address: SocketAddr,
    pub connections: watch::Receiver<usize>,
    shard: u32,
    state: Arc<TargetState>,
}

struct TargetState {
    shard: u32,
    fault: Mutex<Option<Fault>>,
    /// Calls other than status probes, one line each, without the attempt's random number.
    log: Mutex<Vec<String>>,
    held: watch::Sender<bool>,
    most_connections: Mutex<usize>,
}

impl TestTarget {
    pub async fn start(shard: u32) -> Self {
        let state = Arc::new(TargetState {
            shard,
            fault: Mutex::default(),
            log: Mutex::default(),
            held: watch::Sender::new(false),
            most_connections: Mutex::default(),
        });
        let (open, connections) = watch::channel(0);
        let served = Arc::clone(&state);
        let opened = open.clone();
        let address = listen(open, move |call| {
            let mut most = lock(&served.most_connections);
            *most = (*most).max(*opened.borrow());
            serve(Arc::clone(&served), call)
        })
        .await;
        Self { address, connections, shard, state }
    }

    pub fn entry(&self, id: &str) -> TargetEntry {
        TargetEntry {
            id: id.to_owned(),
            address: self.address,
            domain: "lima".to_owned(),
            shard_map: 1,
            shard: self.shard,
            leaving: false,
        }
    }

    pub fn set_fault(&self, fault: Option<Fault>) {
        *lock(&self.state.fault) = fault;
    }

    /// Delays replies until a cancel request or `hold(false)`.
    pub fn hold(&self, held: bool) {
        self.state.held.send_replace(held);
    }

    pub fn log(&self) -> Vec<String> {
        lock(&self.state.log).clone()
    }

    /// Number of logged calls that start with `prefix`.
    pub fn calls(&self, prefix: &str) -> usize {
        lock(&self.state.log).iter().filter(|line| line.starts_with(prefix)).count()
    }

    /// Maximum number of connections that were open when a call arrived.
    pub fn most_connections(&self) -> usize {
        *lock(&self.state.most_connections)
    }
}

async fn serve(state: Arc<TargetState>, call: Call) -> Reply {
    let shard = state.shard;
    if call.path == "/status" {
        let marks = json!({
            "incarnation": 1, "shard_map": 1, "shard": shard, "snapshots": [SNAPSHOT],
            "load": 0.1, "cold": false, "draining": false,
        });
        return Reply::new(200, marks.to_string());
    }
    if let Some(cancelled) = call.path.strip_prefix("/cancel/") {
        let request_id = cancelled.split('/').next().unwrap_or_default();
        lock(&state.log).push(format!("cancel {request_id}"));
        state.held.send_replace(false);
        return Reply::new(200, "");
    }
    let request_id = call.header("vp-request-id");
    let run = {
        let mut log = lock(&state.log);
        let text = String::from_utf8_lossy(&call.body).into_owned();
        log.push(format!("{} {request_id} {text}", call.path));
        log.len()
    };
    let mut held = state.held.subscribe();
    let _ = held.wait_for(|held| !held).await;
    let body = if call.path.starts_with("/search") {
        json!({"hits": [
            {"id": format!("{shard}-a"), "score": 0.5 + f64::from(shard) / 4.0, "fields": {"shard": shard}},
            {"id": format!("{shard}-b"), "score": 0.25},
        ]})
    } else {
        json!({"shard": shard, "run": run})
    };
    let mut reply = Reply::new(200, body.to_string())
        .with("vp-request-id", request_id)
        .with("vp-attempt", call.header("vp-attempt"))
        .with("vp-snapshot", call.header("vp-snapshot"))
        .with("vp-shard", shard)
        .with("vp-shard-map", 1)
        .with("vp-snapshots", SNAPSHOT)
        .with("vp-incarnation", 1)
        .with("vp-load", 0.1)
        .with("vp-cold", 0)
        .with("vp-draining", 0);
    let fault = *lock(&state.fault);
    if let Some(fault) = fault.filter(|_| !call.path.starts_with("/elsewhere")) {
        fault(&mut reply);
    }
    reply
}
