//! Division of the requests of a pool between two versions of its targets while the pool moves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config_document::PoolId;
use crate::target_record::TargetVersion;
use crate::target_state::TargetState;

/// Operators' order to move a pool to another version of its targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveOrder {
    /// Version that the pool moves to.
    pub version: TargetVersion,
    /// Time within which the move must complete.
    pub duration: Duration,
}

/// State of a move as the hosts have recorded it in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveRecord {
    /// Version that the pool moves to.
    pub version: TargetVersion,
    pub state: MoveRecordState,
}

/// Recorded progress of a move. `Completed` and `RolledBack` are final.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveRecordState {
    /// Requests go to both versions.
    Running,
    /// All requests go to the new version, and the old targets may stop.
    Completed,
    /// All requests go to the old version.
    RolledBack,
}

/// Latest move order of a pool and the latest record.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolMove {
    /// Current order; `None` if it was removed.
    pub order: Option<MoveOrder>,
    /// Record of the current order or of an earlier one.
    pub record: Option<MoveRecord>,
    /// Record in the store. After the store was restored it may be behind `record`, which is then written again.
    pub stored: Option<MoveRecord>,
    /// Store revision of `stored`; 0 if there is none.
    pub record_revision: u64,
}

/// How requests of a pool are divided among its targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum VersionSplit {
    /// Any target of the view may serve any request.
    #[default]
    Single,
    /// A fraction of the requests, kept in the pool state, goes to `version` and the rest to the other targets.
    Moving {
        /// Version that the pool moves to.
        version: TargetVersion,
    },
}

impl VersionSplit {
    /// Whether a request may go to `target`. `draw` is the random number of the request and `share` the fraction of
    /// requests for the new version, both from 0 to 1.
    pub fn allows(&self, target: &TargetState, draw: f64, share: f64) -> bool {
        match self {
            Self::Single => true,
            Self::Moving { version } => (target.record.version == *version) == (draw < share),
        }
    }
}

impl PoolMove {
    /// The order in progress; `None` if there is no order or its move has ended.
    pub fn active_order(&self) -> Option<&MoveOrder> {
        let order = self.order.as_ref()?;
        let has_ended = self.record.as_ref().is_some_and(|record| {
            record.version == order.version && record.state != MoveRecordState::Running
        });
        (!has_ended).then_some(order)
    }

    /// Applies a record that was read from the store; returns whether the effective record changes.
    pub(crate) fn apply_record(&mut self, record: MoveRecord, revision: u64) -> bool {
        if revision <= self.record_revision {
            return false;
        }
        self.record_revision = revision;
        self.stored = Some(record.clone());
        if self.is_behind(&record) || self.record.as_ref() == Some(&record) {
            return false;
        }
        self.record = Some(record);
        true
    }

    /// Forgets what the store holds, because it was restored from a copy.
    pub(crate) fn forget_stored(&mut self) {
        self.stored = None;
        self.record_revision = 0;
    }

    /// The record to write, if the store lacks it since it was restored.
    pub fn lost_record(&self) -> Option<&MoveRecord> {
        self.record.as_ref().filter(|record| self.stored.as_ref() != Some(record))
    }

    /// Whether a stored record is from before the known one: the known one is about the current order, and the stored one is
    /// about another or has not ended.
    fn is_behind(&self, stored: &MoveRecord) -> bool {
        let (Some(order), Some(known)) = (&self.order, &self.record) else { return false };
        if known.version != order.version {
            return false;
        }
        let is_ended = |record: &MoveRecord| record.state != MoveRecordState::Running;
        stored.version != known.version || (is_ended(known) && !is_ended(stored))
    }

    /// Removes targets that must not get requests; returns how requests are divided among the remaining ones.
    pub(crate) fn retain_usable(&self, targets: &mut Vec<Arc<TargetState>>) -> VersionSplit {
        let has_version =
            |target: &Arc<TargetState>, version: &str| *target.record.version == *version;
        let moving = self.active_order().map(|order| &order.version);
        let mut others: Vec<Arc<TargetState>> = targets.clone();
        if let Some(version) = moving {
            others.retain(|target| !has_version(target, version));
        }
        match &self.record {
            Some(MoveRecord { version, state: MoveRecordState::Completed })
                if others.iter().any(|target| has_version(target, version)) =>
            {
                others.retain(|target| has_version(target, version));
            }
            Some(MoveRecord { version, state: MoveRecordState::RolledBack }) => {
                others.retain(|target| !has_version(target, version));
                retain_majority_version(&mut others);
            }
            _ => retain_majority_version(&mut others),
        }
        let Some(version) = moving else {
            *targets = others;
            return VersionSplit::Single;
        };
        targets.retain(|target| has_version(target, version));
        targets.append(&mut others);
        VersionSplit::Moving { version: Arc::clone(version) }
    }
}

/// Move orders and records of all pools that have any.
pub type PoolMoves = BTreeMap<PoolId, PoolMove>;

/// Keeps the targets of the most common version. Other versions get no requests until the operators move the pool.
fn retain_majority_version(targets: &mut Vec<Arc<TargetState>>) {
    let mut counts: BTreeMap<TargetVersion, usize> = BTreeMap::new();
    for target in targets.iter() {
        *counts.entry(Arc::clone(&target.record.version)).or_default() += 1;
    }
    let max = counts.values().max().copied().unwrap_or(0);
    let majority = counts.into_iter().find(|(_, count)| *count == max);
    if let Some((version, _)) = majority {
        targets.retain(|target| target.record.version == version);
    }
}
