//! Adjustable behaviour of a target stand-in. Every field can change while the stand-in runs.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::snapshot::SnapshotId;

/// How the target computes the load that it reports.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum LoadReport {
    /// The calls in flight divided by the slots, at most 1.
    #[default]
    True,
    /// A constant.
    Fixed {
        /// Reported load, from 0 to 1.
        load: f64,
    },
    /// The true load at a time up to `lag_ms` ago.
    Lagging {
        /// Maximum age of the reported load, in milliseconds.
        lag_ms: u64,
    },
}

/// Fault of a software version. It can be limited to a time after its setting, to high load or to one route class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionFault {
    /// Share of calls that fail with status 500 after they ran.
    pub error_share: f64,
    /// Factor on the service time; 0 leaves it unchanged.
    pub slow_factor: f64,
    /// Delay from setting the fault until it takes effect, in milliseconds.
    pub after_ms: u64,
    /// Minimum load, from 0 to 1, at which the fault takes effect.
    pub above_load: f64,
    /// Route class (header `vp-class`) that the fault is limited to; `None` affects all classes.
    pub class: Option<u8>,
}

/// Fault to inject into replies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyFault {
    /// Replies are correct.
    #[default]
    None,
    /// The second half of the body is missing.
    Truncated,
    /// The body is not JSON.
    NotJson,
    /// The reply carries another request id.
    WrongRequestId,
    /// The reply carries another snapshot id.
    WrongSnapshot,
    /// The previous reply of the target is sent instead of this one.
    Duplicated,
    /// The reply is sent after the deadline.
    Late,
}

/// Point at which the connection of a write is closed without a reply.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteCut {
    /// The connection stays open.
    #[default]
    None,
    /// Before the write runs.
    Before,
    /// While the write runs.
    During,
    /// After the write ran and before the reply.
    After,
}

/// Timing, limits and injected faults of one target stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// Median of the log-normal service time, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the service time, in milliseconds; at least the median.
    pub p99_ms: f64,
    /// Factor on the service time, to simulate a straggler.
    pub slow_factor: f64,
    /// `slow_factor` applies in every other period of this length, in milliseconds; 0 applies it always.
    pub slow_period_ms: u64,
    /// Maximum number of calls that run at the same time.
    pub slots: u32,
    /// Maximum number of calls that wait for a slot; further ones are shed.
    pub queue: u32,
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: u32,
    /// Delay before the first call of a connection is served, in milliseconds.
    pub connect_cost_ms: u64,
    /// Slots during a cold start.
    pub cold_slots: u32,
    /// Factor on the service time during a cold start.
    pub cold_factor: f64,
    /// Number of calls after which a cold start ends.
    pub cold_requests: u64,
    /// Time after which a cold start ends, in milliseconds.
    pub cold_ms: u64,
    /// Whether replies report the cold start.
    pub cold_marked: bool,
    /// Whether the target refuses all new calls.
    pub draining: bool,
    /// Snapshots that the target serves, newest first.
    pub snapshots: Vec<SnapshotId>,
    /// How the reported load is computed.
    pub load_report: LoadReport,
    /// Simulated fault of the software that the target runs.
    pub version_fault: VersionFault,
    /// Fault injected into replies.
    pub reply_fault: ReplyFault,
    /// Probability, from 0 to 1, that a reply has `reply_fault`.
    pub reply_fault_share: f64,
    /// Point at which the connections of writes are closed.
    pub write_cut: WriteCut,
    /// Probability, from 0 to 1, that `write_cut` applies to a write.
    pub write_cut_share: f64,
    /// Text in the body of a call that crashes the target; an empty text disables this.
    pub crash_marker: String,
    /// Time from a crash to the restart, in milliseconds.
    pub restart_ms: u64,
    /// Failure domains whose calls get no answer, as across a network partition.
    pub cut_from: BTreeSet<DomainId>,
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self {
            median_ms: 5.0,
            p99_ms: 15.0,
            slow_factor: 1.0,
            slow_period_ms: 0,
            slots: 2,
            queue: 8,
            connections: 25,
            connect_cost_ms: 6,
            cold_slots: 1,
            cold_factor: 4.0,
            cold_requests: 100,
            cold_ms: 5_000,
            cold_marked: true,
            draining: false,
            snapshots: vec![1],
            load_report: LoadReport::True,
            version_fault: VersionFault::default(),
            reply_fault: ReplyFault::None,
            reply_fault_share: 1.0,
            write_cut: WriteCut::None,
            write_cut_share: 1.0,
            crash_marker: String::new(),
            restart_ms: 1_000,
            cut_from: BTreeSet::new(),
        }
    }
}
