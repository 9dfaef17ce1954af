//! Marks of targets, by incarnation and sequence.

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::host::IncarnationNumber;
use vanillapick_model::snapshot::SnapshotId;
use vanillapick_model::target::TargetId;

/// What the host that saw the latest reply of a target knows about it.
///
/// Of two marks of a target the greater one counts, in the order of the fields, so that every host settles on the same
/// one.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetMark {
    /// The target.
    pub target: TargetId,
    /// Incarnation of the target's process.
    pub incarnation: IncarnationNumber,
    /// Wall time of the observation, milliseconds since 1970.
    pub sequence: u64,
    /// In a cold start.
    pub cold: bool,
    /// Takes no new work.
    pub draining: bool,
    /// Does not answer.
    pub lost: bool,
    /// Held snapshots, newest first.
    pub snapshots: Vec<SnapshotId>,
}

impl TargetMark {
    /// Whether both marks say the same about the same process, whenever they were made.
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
