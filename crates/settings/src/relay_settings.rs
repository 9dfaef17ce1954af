//! Settings of `vanillapick-relay`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostId;
use vanillapick_model::millis;

/// Settings of one host that forwards requests to targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the host, unique in the system.
    pub host: HostId,
    /// Failure domain the host stands in; one of `regions`.
    pub domain: DomainId,
    /// Region of each failure domain.
    pub regions: BTreeMap<DomainId, String>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address that the balancer asks whether the host is ready.
    pub readiness: SocketAddr,
    /// Address of the metrics page; none is served without it.
    pub metrics: Option<SocketAddr>,
    /// Address at which other hosts of the failure domain ask for changes of the store; none are served without it.
    pub peers: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// The machine of the host.
    #[serde(default)]
    pub machine: MachineLimits,
    /// Limits that hold over all hosts.
    #[serde(default)]
    pub limits: SharedLimits,
    /// Time in which a change in the store must be in force.
    #[serde(default = "default_change_time", rename = "change_time_ms", with = "millis")]
    pub change_time: Duration,
    /// Seconds from SIGTERM until the platform ends the process; at least 1.
    #[serde(default = "default_stop_grace")]
    pub stop_grace_s: u64,
}

/// What the machine of a host has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineLimits {
    /// Processor cores.
    pub cores: u32,
    /// Descriptors that the process may open.
    pub descriptors: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { cores: 1, descriptors: 1024 }
    }
}

/// Limits that hold over all hosts together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SharedLimits {
    /// Attempts beyond the first, for each request of a window.
    pub extra_ratio: f64,
    /// Attempts beyond the first in a window, whatever the number of requests.
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
    /// Time from SIGTERM until the platform ends the process.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs(self.stop_grace_s)
    }
}
