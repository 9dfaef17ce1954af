//! Settings of `vanillapick-relay`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostId;

use crate::duration_unit::milliseconds;
use crate::duration_unit::seconds;

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
    #[serde(default = "default_change_time", rename = "change_time_ms", with = "milliseconds")]
    pub change_time: Duration,
    /// Time between SIGTERM and the kill by the platform.
    #[serde(default = "default_stop_grace", rename = "stop_grace_s", with = "seconds")]
    pub stop_grace: Duration,
    /// How values are handled that the schema does not allow.
    #[serde(default)]
    pub unusable_values: UnusableValues,
}

/// How values of a file are handled that the schema does not allow.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnusableValues {
    /// The file is invalid.
    #[default]
    Reject,
    /// The nearest valid number is used in place of a number, and the default in place of `true`, `false`, `null` and of zero or
    /// less where only a positive number makes sense. For files that a platform renders: a host that does not start is worse
    /// than one with a default.
    Replace,
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
    /// Length of the window.
    #[serde(rename = "extra_window_s", with = "seconds")]
    pub extra_window: Duration,
}

impl Default for SharedLimits {
    fn default() -> Self {
        Self { extra_ratio: 0.05, extra_slack: 0.0, extra_window: Duration::from_secs(10) }
    }
}

fn default_change_time() -> Duration {
    Duration::from_secs(3)
}

fn default_stop_grace() -> Duration {
    Duration::from_secs(10)
}
