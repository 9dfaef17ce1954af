//! Settings of `vanillapick-entry`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::link::LinkDelay;
use vanillapick_model::millis;

/// Format of the log on standard error.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of one entry host, as read from its file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the host; unique across all hosts.
    pub host: HostId,
    /// Failure domain that contains the host.
    pub domain: DomainId,
    /// Listening address for callers and peers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Peers to contact until the platform has returned its host list; may be empty.
    #[serde(default)]
    pub peers: Vec<HostEntry>,
    /// Delays between failure domains; the delay of an unlisted pair is 0.
    #[serde(default)]
    pub links: Vec<LinkDelay>,
    /// Initial limit on concurrent requests, until the limit adapts; at least 1.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Maximum number of queued requests; with 0, a request beyond the limit is refused immediately.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Budget for hedges and retries, in percent of first attempts.
    #[serde(default = "default_extra_load")]
    pub extra_load_percent: u32,
    /// Time after SIGTERM during which the host keeps serving, until the load balancer has stopped sending requests.
    #[serde(default = "default_balancer_lag", rename = "balancer_lag_ms", with = "millis")]
    pub balancer_lag: Duration,
    /// Timeout of one call to the platform's service.
    #[serde(default = "default_platform_timeout", rename = "platform_timeout_ms", with = "millis")]
    pub platform_timeout: Duration,
    /// Number of threads that serve requests; at least 1.
    #[serde(default = "default_workers")]
    pub workers: u32,
    /// Memory of the machine in MiB. A fixed part of it is for the replies of targets.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    #[serde(default)]
    pub log_format: LogFormat,
    /// Enables the baseline used for comparison in measurements: random replica, no hedges, fixed retry, no limits.
    /// Not for production.
    #[serde(default)]
    pub baseline: bool,
}

fn default_concurrency() -> u32 {
    64
}

fn default_queue() -> u32 {
    256
}

fn default_extra_load() -> u32 {
    5
}

fn default_balancer_lag() -> Duration {
    Duration::from_secs(3)
}

fn default_platform_timeout() -> Duration {
    Duration::from_millis(300)
}

fn default_memory_mb() -> u64 {
    256
}

fn default_workers() -> u32 {
    2
}
