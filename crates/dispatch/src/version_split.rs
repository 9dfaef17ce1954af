//! Division of a pool's requests between two versions of its targets.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config_document::PoolId;
use crate::target_record::TargetVersion;
use crate::target_state::TargetState;

/// Order of the operators to move a pool to another version of its targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveOrder {
    /// Version that the pool moves to.
    pub version: TargetVersion,
    /// Time in which the move has to be done.
    pub duration: Duration,
}

/// What the hosts have recorded of a move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveRecord {
    /// Version that the pool moves to.
    pub version: TargetVersion,
    /// How far the move has come.
    pub state: MoveRecordState,
}

/// How far a recorded move has come. It leaves `Running` once and for all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveRecordState {
    /// Requests go to both versions.
    Running,
    /// All requests go to the new version, and the old targets may stop.
    Completed,
    /// All requests go to the old version.
    RolledBack,
}

/// Order and record of the moves of one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolMove {
    /// The present order; none if it was removed.
    pub order: Option<MoveOrder>,
    /// The record of this order or of an earlier one.
    pub record: Option<MoveRecord>,
    /// Revision of the record in the store; 0 if there is none.
    pub record_revision: u64,
}

/// Which version a request of a pool goes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum VersionSplit {
    /// All targets of the pool's view are alike.
    #[default]
    Single,
    /// Requests go to `version` with the probability in the state of the pool, and to the others otherwise.
    Moving {
        /// Version that the pool moves to.
        version: TargetVersion,
    },
}

impl VersionSplit {
    /// Whether a request with the random number `draw` (0 to 1) may go to `target`, at the share `share` of the version
    /// that the pool moves to.
    pub fn allows(&self, target: &TargetState, draw: f64, share: f64) -> bool {
        match self {
            Self::Single => true,
            Self::Moving { version } => (target.record.version == *version) == (draw < share),
        }
    }
}

impl PoolMove {
    /// The order that is being carried out.
    pub fn active_order(&self) -> Option<&MoveOrder> {
        let order = self.order.as_ref()?;
        let has_ended = self.record.as_ref().is_some_and(|record| {
            record.version == order.version && record.state != MoveRecordState::Running
        });
        (!has_ended).then_some(order)
    }

    /// Keeps the targets that requests may go to, and tells how requests are divided among them.
    pub(crate) fn select(&self, targets: &mut Vec<Arc<TargetState>>) -> VersionSplit {
        let is_at = |target: &Arc<TargetState>, version: &str| *target.record.version == *version;
        let moving = self.active_order().map(|order| &order.version);
        let mut others: Vec<Arc<TargetState>> = targets.clone();
        if let Some(version) = moving {
            others.retain(|target| !is_at(target, version));
        }
        match &self.record {
            Some(MoveRecord { version, state: MoveRecordState::Completed })
                if others.iter().any(|target| is_at(target, version)) =>
            {
                others.retain(|target| is_at(target, version));
            }
            Some(MoveRecord { version, state: MoveRecordState::RolledBack }) => {
                others.retain(|target| !is_at(target, version));
                keep_usual_version(&mut others);
            }
            _ => keep_usual_version(&mut others),
        }
        let Some(version) = moving else {
            *targets = others;
            return VersionSplit::Single;
        };
        targets.retain(|target| is_at(target, version));
        targets.append(&mut others);
        VersionSplit::Moving { version: Arc::clone(version) }
    }
}

/// Moves by pool.
pub type PoolMoves = BTreeMap<PoolId, PoolMove>;

/// Keeps the targets of the version that most have. Other versions get no request before the operators move the pool.
fn keep_usual_version(targets: &mut Vec<Arc<TargetState>>) {
    let mut counts: BTreeMap<TargetVersion, usize> = BTreeMap::new();
    for target in targets.iter() {
        *counts.entry(Arc::clone(&target.record.version)).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    let usual = counts.into_iter().find(|(_, count)| *count == most);
    if let Some((version, _)) = usual {
        targets.retain(|target| target.record.version == version);
    }
}
