//! Versions of a pool's targets by what is known of them: the one in service, and those that were rolled back.
//!
//! The record of a move replaces that of the move before, so records alone tell neither which version a pool had before an
//! order nor which other versions have failed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config_document::PoolId;
use crate::store_position::StoreRevision;
use crate::target_record::TargetVersion;
use crate::target_state::TargetState;
use crate::version_split::MoveRecord;
use crate::version_split::MoveRecordState;

/// Maximum number of versions that are remembered as rolled back. Their targets leave soon after the roll-back.
const MAX_ROLLED_BACK: usize = 16;

/// What is known of the versions of one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolVersions {
    /// Version of the requests that no move sends elsewhere; `None` until a target was seen.
    pub in_service: Option<TargetVersion>,
    /// Whether a completed move brought `in_service`. Otherwise it is the version that was seen first.
    pub is_completed: bool,
    /// Whether `in_service` was chosen among several versions, of which this host does not know which was there first. It is not
    /// written to the store, where it would replace what other hosts know.
    pub is_guess: bool,
    /// Versions that were rolled back, the latest last. They get requests only if they are ordered again. Invariant: `in_service`
    /// is not among them.
    pub rolled_back: Vec<TargetVersion>,
}

/// What is known of each pool that has had targets.
pub type VersionsByPool = BTreeMap<PoolId, PoolVersions>;

/// Versions of a pool that the store lacks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueVersions {
    pub pool: PoolId,
    pub versions: PoolVersions,
    /// Revision of the item to replace; 0 if there is none.
    pub revision: StoreRevision,
}

impl PoolVersions {
    /// Records the end of a move. A running one changes nothing.
    pub fn record_end(&mut self, record: &MoveRecord) {
        let version = &record.version;
        match record.state {
            MoveRecordState::Running => {}
            MoveRecordState::Completed => {
                self.in_service = Some(Arc::clone(version));
                self.is_completed = true;
                self.is_guess = false;
                self.rolled_back.retain(|known| known != version);
            }
            MoveRecordState::RolledBack if self.in_service.as_ref() == Some(version) => {}
            MoveRecordState::RolledBack => {
                self.rolled_back.retain(|known| known != version);
                self.rolled_back.push(Arc::clone(version));
                let excess = self.rolled_back.len().saturating_sub(MAX_ROLLED_BACK);
                self.rolled_back.drain(..excess);
            }
        }
    }

    /// Takes over what another host has written. One that does not know the version in service names none.
    pub(crate) fn adopt(&mut self, written: Self) {
        if written.in_service.is_some() {
            *self = written;
        } else {
            self.rolled_back = written.rolled_back;
        }
    }

    /// What may be written to the store.
    pub fn without_guess(self) -> Self {
        if self.is_guess {
            return Self { rolled_back: self.rolled_back, ..Self::default() };
        }
        self
    }

    /// Takes the most common version of `targets` for the one in service if none is known. `moving` is the version that the pool
    /// moves to, which was in service before its order only if nothing else is there.
    pub(crate) fn observe(&mut self, targets: &[Arc<TargetState>], moving: Option<&TargetVersion>) {
        let is_doubtful =
            !self.is_completed && moving.is_some() && self.in_service.as_ref() == moving;
        if self.in_service.is_some() && !is_doubtful {
            return;
        }
        let mut candidates = targets.to_vec();
        candidates.retain(|target| {
            Some(&target.record.version) != moving && !self.is_rolled_back(&target.record.version)
        });
        if let Some(version) = most_common_version(candidates.iter()) {
            self.in_service = Some(version);
            self.is_guess = has_several_versions(&candidates);
        }
    }

    /// Keeps the targets of the version in service. If there are none, keeps those of the most common version that was not rolled
    /// back.
    pub(crate) fn retain_serving(&self, targets: &mut Vec<Arc<TargetState>>) {
        let in_service = self.in_service.as_ref();
        if targets.iter().any(|target| Some(&target.record.version) == in_service) {
            targets.retain(|target| Some(&target.record.version) == in_service);
            return;
        }
        targets.retain(|target| !self.is_rolled_back(&target.record.version));
        let version = most_common_version(targets.iter());
        targets.retain(|target| Some(&target.record.version) == version.as_ref());
    }

    fn is_rolled_back(&self, version: &TargetVersion) -> bool {
        self.rolled_back.contains(version)
    }
}

/// Whether the targets are of several versions.
pub(crate) fn has_several_versions(targets: &[Arc<TargetState>]) -> bool {
    targets.windows(2).any(|pair| pair[0].record.version != pair[1].record.version)
}

/// Version of most of the targets; of equally common ones that of the target that has run longest.
fn most_common_version<'a>(
    targets: impl Iterator<Item = &'a Arc<TargetState>>,
) -> Option<TargetVersion> {
    let mut versions: BTreeMap<&TargetVersion, (usize, u64)> = BTreeMap::new();
    for target in targets {
        let (count, oldest) = versions.entry(&target.record.version).or_insert((0, u64::MAX));
        *count += 1;
        // A start time of 0 is unknown.
        *oldest = (*oldest).min(target.record.started_ms.wrapping_sub(1));
    }
    let versions = versions.into_iter();
    let first = versions.min_by_key(|(_, (count, oldest))| (Reverse(*count), *oldest));
    first.map(|(version, _)| Arc::clone(version))
}
