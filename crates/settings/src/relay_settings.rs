//! Settings of `vanillapick-relay`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostId;
use vanillapick_model::millis;

/// Settings of one relay host, which forwards requests to targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the host; unique across all hosts.
    pub host: HostId,
    /// Failure domain that contains the host; must be a key of `regions`.
    pub domain: DomainId,
    /// Regions by failure domain.
    pub regions: BTreeMap<DomainId, String>,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Listening address of the metrics endpoint; metrics are not served if absent.
    pub metrics: Option<SocketAddr>,
    /// Listening address from which other hosts in the failure domain fetch store changes; changes are not served if
    /// absent.
    pub peers: Option<SocketAddr>,
    /// Listening address at which other hosts in the failure domain ask for parts of searches; none are gathered if absent.
    pub parts: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time, so that no caller waits for this host yet.
    #[serde(default)]
    pub initial_start: bool,
    /// Resources of the machine that runs the host.
    #[serde(default)]
    pub machine: MachineLimits,
    /// Limits that apply to all hosts together.
    #[serde(default)]
    pub limits: SharedLimits,
    /// Time within which a change in the store must take effect.
    #[serde(default = "default_change_time", rename = "change_time_ms", with = "millis")]
    pub change_time: Duration,
    /// Seconds between SIGTERM and the kill by the platform; at least 1.
    #[serde(default = "default_stop_grace")]
    pub stop_grace_s: u64,
}

/// Resources of the machine that runs a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineLimits {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory of the process in MiB.
    pub memory_mb: u64,
    /// Maximum number of file descriptors that the process may open.
    pub descriptors: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { cores: 1, memory_mb: 256, descriptors: 1024 }
    }
}

/// Limits that apply to all hosts together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SharedLimits {
    /// Attempts beyond the first that are allowed per request in a window.
    pub extra_ratio: f64,
    /// Attempts beyond the first that are allowed in a window regardless of the number of requests.
    pub extra_slack: f64,
    /// Length of the window in seconds.
    pub extra_window_s: f64,
}

impl Default for SharedLimits {
    fn default() -> Self {
        Self { extra_ratio: 0.05, extra_slack: 0.0, extra_window_s: 10.0 }
    }
}

fn default_change_time() -> Duration {
    Duration::from_secs(3)
}

fn default_stop_grace() -> u64 {
    10
}

impl RelaySettings {
    /// Time between SIGTERM and the kill by the platform.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs(self.stop_grace_s)
    }
}
