//! Observed states of targets, ordered by incarnation and sequence.

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::host::IncarnationNumber;
use vanillapick_model::snapshot::SnapshotId;
use vanillapick_model::target::TargetId;

/// State of a target as observed by the host that received its latest reply.
///
/// Of two marks of the same target, the greater one in field order is kept, so that all hosts converge to the same
/// mark.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetMark {
    /// Target that was observed.
    pub target: TargetId,
    /// Process of the target that was observed; a later process has a higher number.
    pub incarnation: IncarnationNumber,
    /// Wall time of the observation, in milliseconds since 1970.
    pub sequence: u64,
    /// Whether the target is in its cold start.
    pub cold: bool,
    /// Whether the target accepts no new work.
    pub draining: bool,
    /// Whether the target does not reply.
    pub lost: bool,
    /// Snapshots that the target holds, newest first.
    pub snapshots: Vec<SnapshotId>,
}

impl TargetMark {
    /// Whether both marks report the same state of the same process, regardless of the time of observation.
    pub fn reports_same_state(&self, other: &Self) -> bool {
        (&self.target, self.incarnation, self.cold, self.draining, self.lost, &self.snapshots)
            == (
                &other.target,
                other.incarnation,
                other.cold,
                other.draining,
                other.lost,
                &other.snapshots,
            )
    }
}
