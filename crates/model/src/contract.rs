//! Capacity limits of targets and service-level settings of routes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::millis;

/// Capacity of each target in a pool, shared by all entry hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetContract {
    /// Maximum number of concurrently executing requests; at least 1.
    pub slots: u32,
    /// Maximum number of open connections; at least 1.
    pub connections: u32,
    /// Time required to establish a connection.
    #[serde(rename = "connect_cost_ms", with = "millis")]
    pub connect_cost: Duration,
    /// Maximum number of concurrent requests right after a cold start; at least 1, at most `slots`.
    pub cold_allowance: u32,
    /// Time after a cold start until all slots are available.
    #[serde(rename = "cold_ramp_ms", with = "millis")]
    pub cold_ramp: Duration,
}

/// Trade-off between latency and coverage when an answer is late and incomplete.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerPreference {
    /// Abandons a missing shard once it is much slower than usual and the minimum coverage is reached.
    #[default]
    Latency,
    /// Waits for missing shards and retries them until the deadline.
    Coverage,
}

/// Service-level settings of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteContract {
    /// Priority class; 0 has the highest priority and is refused last.
    pub class: u8,
    /// Maximum deadline; longer deadlines of callers are shortened to this.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: Duration,
    /// Minimum fraction of shards in an answer, from 0 to 1; requests below it are refused.
    pub least_coverage: f64,
    /// Whether latency or coverage takes precedence.
    #[serde(default)]
    pub preference: AnswerPreference,
    /// Maximum number of hits in an answer (top k by score); at least 1.
    pub merge_size: usize,
}
