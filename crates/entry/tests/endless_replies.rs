//! Targets in trouble that send bytes without end, against the program as a separate process.

mod common;

use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_model::table::ConfigTable;

use crate::common::Reply;
use crate::common::platform::TestPlatform;
use crate::common::session::TestCaller;
use crate::common::target::TestTarget;
use crate::common::wait_until;

/// Memory of the machine in MiB, which is the default of the settings.
const MEMORY_MB: u64 = 256;

/// Targets that send bytes without end.
const ENDLESS_TARGETS: usize = 16;

/// Number of requests at the same time.
const REQUESTS: usize = 60;

/// Host as a child process, which is killed on drop.
struct HostProcess {
    child: Child,
}

impl HostProcess {
    fn start(settings: &Value) -> Self {
        let file = std::env::temp_dir().join(format!("endless-entry-{}.jsonc", std::process::id()));
        std::fs::write(&file, settings.to_string()).expect("the folder can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_vanillapick-entry"));
        let child = command.arg("run").arg(&file).stdout(Stdio::null()).spawn();
        Self { child: child.expect("the program starts") }
    }

    /// Highest resident memory of the process so far, in MiB.
    fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("the kernel reports it") / 1024
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn table(endless: &[TestTarget], good: &TestTarget) -> ConfigTable {
    let route = |name: &str| {
        json!({"name": name, "kind": "read", "pool": name, "contract": {
            "class": 0, "deadline_ms": 5_000, "least_coverage": 0.0, "preference": "latency", "merge_size": 3,
        }})
    };
    let pool = |name: &str, targets: Vec<_>| {
        json!({"name": name, "shard_maps": [{"id": 1, "shards": 1}], "targets": targets, "contract": {
            "slots": 40, "connections": 8, "connect_cost_ms": 1, "cold_allowance": 1, "cold_ramp_ms": 1,
        }})
    };
    let targets = endless.iter().enumerate();
    let targets = targets.map(|(number, target)| target.entry(&format!("endless-{number}")));
    let table = json!({
        "revision": 1,
        "routes": { "endless": route("endless"), "good": route("good") },
        "pools": {
            "endless": pool("endless", targets.collect()),
            "good": pool("good", vec![good.entry("good-0")]),
        },
    });
    serde_json::from_value(table).expect("valid tables")
}

/// Guards against a host that is killed, and with it the requests of other callers, because it keeps what targets in trouble send.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_without_end_do_not_use_up_the_memory() {
    let platform = TestPlatform::start().await;
    let mut endless = Vec::new();
    for _ in 0..ENDLESS_TARGETS {
        let target = TestTarget::start(0).await;
        target.set_fault(Some(|reply: &mut Reply| {
            reply.is_endless = true;
            reply.body = Bytes::from_static(&[b' '; 65_536]);
        }));
        endless.push(target);
    }
    let good = TestTarget::start(0).await;
    let table = table(&endless, &good);
    assert_eq!(table.check(), []);
    platform.write(CONFIG_KEY, serde_json::to_vec(&table).expect("JSON"));
    let address = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("it is bound")
    };
    let host = HostProcess::start(&json!({
        "host": "entry-1", "domain": "lima", "listen": address.to_string(),
        "platform": platform.address.to_string(), "platform_timeout_ms": 20_000,
    }));
    let caller = TestCaller::new(address);
    wait_until(async || caller.try_status("/ready").await == Some(200)).await;
    let calls = (0..REQUESTS).map(|number| {
        let caller = caller.clone();
        let id = format!("endless-{number}");
        tokio::spawn(async move { caller.post("/read/endless", &id, &[]).await.status })
    });
    for call in calls.collect::<Vec<_>>() {
        let status = call.await.expect("no panic");
        assert!(status == 502 || status == 503 || status == 504, "{status}");
    }
    let peak = host.peak_memory_mb();
    assert!(endless.iter().any(|target| target.calls("/read") > 0), "no endless target was met");
    assert!(peak < MEMORY_MB, "the process held {peak} MiB");
    assert_eq!(caller.post("/read/good", "after", &[]).await.status, 200);
}
