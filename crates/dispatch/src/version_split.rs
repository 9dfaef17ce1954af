//! Division of the requests of a pool between two versions of its targets while the pool moves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config_document::PoolId;
use crate::pool_versions::PoolVersions;
use crate::store_position::StorePosition;
use crate::store_position::StoreRevision;
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

/// Identity of an order: where its document was written.
///
/// Two orders for one version are different moves. A document that is written again while its move runs is the same move under
/// another identity.
pub type OrderId = StorePosition;

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
    /// Identity of the current order or, if it was removed, of the last one.
    pub order_id: OrderId,
    /// Identity that the order had when this host saw its move begin. Invariant: not later than `order_id`.
    pub first_id: OrderId,
    /// Number of moves that this host has seen begin.
    pub move_count: u64,
    /// Whether the move of the current order has ended. Invariant: `record` is then its final record.
    has_ended: bool,
    /// Whether the move waits, because a live host would take the record of an earlier order for the same version for that of
    /// this one.
    is_held: bool,
    /// Record of the current order or of an earlier one.
    pub record: Option<MoveRecord>,
    /// Record in the store. After the store was restored it may be behind `record`, which is then written again.
    pub stored: Option<MoveRecord>,
    /// Store revision of `stored`; 0 if there is none.
    pub record_revision: StoreRevision,
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

impl MoveRecord {
    fn is_final(&self) -> bool {
        self.state != MoveRecordState::Running
    }
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
    /// The order in progress; `None` if there is no order, its move has ended or it waits for hosts of earlier builds.
    pub fn active_order(&self) -> Option<&MoveOrder> {
        self.order.as_ref().filter(|_| !self.has_ended && !self.is_held)
    }

    /// Store revision of the order's document; 0 if there is none.
    pub fn order_revision(&self) -> StoreRevision {
        self.order.as_ref().map_or(0, |_| self.order_id.revision)
    }

    /// Whether the current order is for the version of the last move, so that earlier builds of the program do not tell them
    /// apart.
    pub(crate) fn is_repeat(&self) -> bool {
        let record = self.record.as_ref().filter(|record| self.is_about_version(record));
        !self.has_ended && record.is_some_and(MoveRecord::is_final)
    }

    /// The record to write about the current order in this state; `None` if the store has it.
    pub fn due_record(&self, state: MoveRecordState) -> Option<MoveRecord> {
        let order = self.active_order()?;
        let record = MoveRecord { version: Arc::clone(&order.version), state };
        // An equal record from before the order is about an earlier one.
        let is_earlier = record.is_final() && self.record_revision < self.order_revision();
        (is_earlier || self.record.as_ref() != Some(&record)).then_some(record)
    }

    /// Has the move wait or not; returns whether that changes.
    pub(crate) fn set_held(&mut self, is_held: bool) -> bool {
        std::mem::replace(&mut self.is_held, is_held) != is_held
    }

    /// Applies the order of a document; returns whether another move begins or this one ends.
    ///
    /// While writers repeat what a restored store lacks (`is_restoring`), an equal document is the same order.
    pub(crate) fn apply_order(
        &mut self,
        order: Option<MoveOrder>,
        id: OrderId,
        is_restoring: bool,
    ) -> bool {
        let Some(order) = order else {
            self.has_ended = false;
            return self.order.take().is_some();
        };
        let is_repeated = self.has_ended && self.record_revision < id.revision && !is_restoring;
        self.order_id = id;
        if self.order.as_ref() == Some(&order) && !is_repeated {
            return false;
        }
        self.order = Some(order);
        self.begin();
        let record = self.record.as_ref().filter(|record| self.is_about_version(record));
        self.has_ended =
            record.is_some_and(MoveRecord::is_final) && id.revision < self.record_revision;
        true
    }

    /// Applies a record that was read from the store; returns whether the move changes.
    ///
    /// Records are written on condition of the order's document, so one that is later than the document is about the order.
    pub(crate) fn apply_record(&mut self, record: MoveRecord, revision: StoreRevision) -> bool {
        if revision <= self.record_revision {
            return false;
        }
        let known_revision = std::mem::replace(&mut self.record_revision, revision);
        self.stored = Some(record.clone());
        if self.is_behind(&record) {
            return false;
        }
        let was_running = self.record.as_ref().is_some_and(|known| {
            known.version == record.version && !known.is_final() && known_revision != 0
        });
        if self.is_about_version(&record) {
            let is_of_order = self.order_id.revision < revision;
            // What this host did not see: the move ended, and the order was repeated.
            let is_of_next = !is_of_order || !record.is_final();
            if was_running && is_of_next {
                self.begin();
            }
            self.has_ended = record.is_final() && (is_of_order || self.has_ended);
        }
        let is_changed = self.record.as_ref() != Some(&record);
        self.record = Some(record);
        is_changed
    }

    /// Forgets what the store holds, because it was restored from a copy.
    pub(crate) fn forget_stored(&mut self) {
        self.stored = None;
        self.record_revision = 0;
    }

    /// The record to write, if the store lacks it since it was restored, or if the document of the ended order was written again
    /// after it: hosts that start later would take that for another order.
    pub fn lost_record(&self) -> Option<&MoveRecord> {
        let is_outdated = self.has_ended && self.record_revision < self.order_revision();
        self.record.as_ref().filter(|record| is_outdated || self.stored.as_ref() != Some(record))
    }

    fn begin(&mut self) {
        self.move_count += 1;
        self.first_id = self.order_id;
        self.has_ended = false;
    }

    fn is_about_version(&self, record: &MoveRecord) -> bool {
        self.order.as_ref().is_some_and(|order| order.version == record.version)
    }

    /// Whether a stored record is from before the known one: the known one is about the current version, and the stored one is
    /// about another, or the move of the order has ended and the stored one has not.
    fn is_behind(&self, stored: &MoveRecord) -> bool {
        let known = self.record.as_ref().filter(|known| self.is_about_version(known));
        known.is_some_and(|known| {
            stored.version != known.version || (self.has_ended && !stored.is_final())
        })
    }

    /// Removes targets that must not get requests; returns how requests are divided among the remaining ones.
    pub(crate) fn retain_usable(
        &self,
        versions: &PoolVersions,
        targets: &mut Vec<Arc<TargetState>>,
    ) -> VersionSplit {
        let moving = self.active_order().map(|order| &order.version);
        let mut others = targets.clone();
        others.retain(|target| Some(&target.record.version) != moving);
        versions.retain_serving(&mut others);
        let Some(version) = moving else {
            *targets = others;
            return VersionSplit::Single;
        };
        targets.retain(|target| target.record.version == *version);
        if targets.is_empty() {
            *targets = others;
            return VersionSplit::Single;
        }
        let is_there = versions.in_service.as_ref() == Some(version);
        if is_there {
            return VersionSplit::Single;
        }
        targets.append(&mut others);
        VersionSplit::Moving { version: Arc::clone(version) }
    }
}

/// Move orders and records of all pools that have any.
pub type PoolMoves = BTreeMap<PoolId, PoolMove>;
