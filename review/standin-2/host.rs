//! Hosts: the relay as child processes, started as the deploy file says, with settings rendered from its template.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use crate::net::Connection;

/// Settings of one host, by the names of the platform.
#[derive(Clone, Debug)]
pub struct HostPlan {
    pub name: String,
    pub zone: String,
    pub store: SocketAddr,
    pub cores: u32,
    pub config_apply_ms: u64,
    pub grace_s: String,
}

/// A running host.
pub struct Host {
    pub plan: HostPlan,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub ports: [u16; 5],
    file: PathBuf,
    folder: PathBuf,
    pub child: Child,
}

/// Free loopback port below the range of outgoing connections.
pub fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() % 60) as u16 * 100;
    loop {
        let port = 11_000 + (first + NEXT.fetch_add(1, SeqCst)) % 8_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Host {
    /// Starts a host. `folder` takes its settings and its log.
    pub fn start(plan: HostPlan, folder: &std::path::Path, is_first: bool) -> Self {
        let ports = std::array::from_fn(|_| free_port());
        let file = folder.join(format!("{}.jsonc", plan.name));
        let callers = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let readiness = SocketAddr::from(([127, 0, 0, 1], ports[1]));
        write_settings(&file, &plan, &ports, is_first);
        let child = spawn(&file, folder, &plan.name);
        Self { plan, callers, readiness, ports, file, folder: folder.to_owned(), child }
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        write_settings(&self.file, &self.plan, &self.ports, false);
        self.child = spawn(&self.file, &self.folder, &self.plan.name);
    }

    /// Writes the settings that are in effect from now on, as the platform does when they change.
    pub fn write_settings(&self) {
        write_settings(&self.file, &self.plan, &self.ports, false);
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Whether the readiness check has status 200.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let Ok(mut connection) = Connection::open(self.readiness, timeout) else { return false };
        connection.write(b"GET /api/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let reply = connection.read_message(Instant::now() + timeout);
        reply.is_ok_and(|reply| reply.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(file: &std::path::Path, folder: &std::path::Path, name: &str) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))
        .expect("the folder can be written");
    // The command of deploy/system.toml.
    Command::new("target/release/vanillapick-relay")
        .arg("run")
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("VANILLAPICK_CONFIG", file)
        .stdin(Stdio::null())
        .stderr(log.try_clone().map_or(Stdio::null(), Stdio::from))
        .stdout(log)
        .spawn()
        .expect("the program is built")
}

/// Renders deploy/settings.jsonc as the platform does.
fn write_settings(file: &std::path::Path, plan: &HostPlan, ports: &[u16; 5], is_first: bool) {
    let template = std::fs::read_to_string("deploy/settings.jsonc").expect("the repository's root");
    let text = |value: &str| format!("\"{value}\"");
    let address = |port: u16| text(&format!("127.0.0.1:{port}"));
    let values = [
        ("nodeName|json", text(&plan.name)),
        ("zone|json", text(&plan.zone)),
        (
            "zones|json",
            "{\"lima-a\":\"lima\",\"arequipa-a\":\"arequipa\",\"trujillo-a\":\"trujillo\"}"
                .to_owned(),
        ),
        ("listenAddresses.frontendAddress|json", address(ports[0])),
        ("listenAddresses.readinessAddress|json", address(ports[1])),
        ("listenAddresses.control|json", address(ports[2])),
        ("ip", "127.0.0.1".to_owned()),
        ("internalPorts.0", ports[3].to_string()),
        ("internalPorts.1", ports[4].to_string()),
        ("platform.address|json", text(&plan.store.to_string())),
        ("initialStart|json", is_first.to_string()),
        ("limits.cores|json", plan.cores.to_string()),
        ("limits.memoryMb|json", "260".to_owned()),
        ("limits.fileDescriptors|json", "4100".to_owned()),
        ("bounds.retryBudgetRatio|json", "0.2".to_owned()),
        ("bounds.retryBudgetSlack|json", "52".to_owned()),
        ("bounds.budgetWindowS|json", "10".to_owned()),
        ("bounds.configApplyMs|json", plan.config_apply_ms.to_string()),
        ("bounds.gracePeriodS|json", plan.grace_s.clone()),
    ];
    let rendered = values.iter().fold(template, |rendered, (name, value)| {
        rendered.replace(&format!("{{{{{name}}}}}"), value)
    });
    std::fs::write(file, rendered).expect("the folder can be written");
}
