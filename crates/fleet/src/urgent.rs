//! Small items that every host holds whatever their origin: rollback flags, crash marks, leaving hosts.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::host::HostId;
use vanillapick_model::host::IncarnationNumber;
use vanillapick_model::route::MoveId;
use vanillapick_model::route::RouteId;
use vanillapick_model::table::ConfigRevision;
use xxhash_rust::xxh3::Xxh3;

/// The decision to roll a move back; never cleared.
///
/// Of two flags of a move the lesser one counts, in the order of the fields: the earliest decision gives the reason.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RollbackFlag {
    /// The move.
    pub move_id: MoveId,
    /// Wall time of the decision, milliseconds since 1970.
    pub decided_ms: u64,
    /// Route of the move.
    pub route: RouteId,
    /// Evidence that led to the decision.
    pub reason: String,
}

/// A host that has announced that it leaves.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeavingHost {
    /// The host.
    pub host: HostId,
    /// Incarnation that leaves; a later one of the same host does not.
    pub incarnation: IncarnationNumber,
    /// Wall time at which the item is forgotten, long after the host has gone, milliseconds since 1970.
    pub until_ms: u64,
}

/// One item of a push.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UrgentItem {
    /// The sender has this revision of the configuration; a receiver that has an older one asks for the rows.
    Revision(ConfigRevision),
    /// A move is rolled back.
    Rollback(RollbackFlag),
    /// A request crashes its targets.
    Crash(CrashMark),
    /// A host leaves.
    Leaving(LeavingHost),
}

/// Hashes of the three sections; equal hashes mean equal content.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UrgentHash {
    rollbacks: u64,
    crashes: u64,
    leaving: u64,
}

/// All urgent items but the revision. Merging is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UrgentSet {
    rollbacks: BTreeMap<MoveId, RollbackFlag>,
    crashes: BTreeMap<u64, CrashMark>,
    leaving: BTreeMap<(HostId, IncarnationNumber), LeavingHost>,
    hash: UrgentHash,
}

impl UrgentSet {
    /// Adds an item; true when it was new or replaces a lesser one. Expired items and revisions are not added.
    pub fn insert(&mut self, item: &UrgentItem, wall_ms: u64) -> bool {
        match item {
            UrgentItem::Revision(_) => false,
            UrgentItem::Rollback(flag) => self.insert_rollback(flag),
            UrgentItem::Crash(mark) => wall_ms < mark.until_ms && self.insert_crash(*mark),
            UrgentItem::Leaving(host) => wall_ms < host.until_ms && self.insert_leaving(host),
        }
    }

    fn insert_rollback(&mut self, flag: &RollbackFlag) -> bool {
        if let Some(known) = self.rollbacks.get(&flag.move_id) {
            if known <= flag {
                return false;
            }
            self.hash.rollbacks ^= rollback_hash(known);
        }
        self.hash.rollbacks ^= rollback_hash(flag);
        self.rollbacks.insert(flag.move_id.clone(), flag.clone());
        true
    }

    fn insert_crash(&mut self, mark: CrashMark) -> bool {
        if let Some(known) = self.crashes.get(&mark.fingerprint) {
            if mark <= *known {
                return false;
            }
            self.hash.crashes ^= crash_hash(known);
        }
        self.hash.crashes ^= crash_hash(&mark);
        self.crashes.insert(mark.fingerprint, mark);
        true
    }

    fn insert_leaving(&mut self, host: &LeavingHost) -> bool {
        let key = (host.host.clone(), host.incarnation);
        if let Some(known) = self.leaving.get(&key) {
            if host <= known {
                return false;
            }
            self.hash.leaving ^= leaving_hash(known);
        }
        self.hash.leaving ^= leaving_hash(host);
        self.leaving.insert(key, host.clone());
        true
    }

    /// Forgets items that have ended.
    pub fn expire(&mut self, wall_ms: u64) {
        let hash = &mut self.hash;
        self.crashes.retain(|_, mark| {
            let keep = wall_ms < mark.until_ms;
            hash.crashes ^= if keep { 0 } else { crash_hash(mark) };
            keep
        });
        self.leaving.retain(|_, host| {
            let keep = wall_ms < host.until_ms;
            hash.leaving ^= if keep { 0 } else { leaving_hash(host) };
            keep
        });
    }

    /// Hashes of the sections.
    pub fn hash(&self) -> UrgentHash {
        self.hash
    }

    /// Items of the sections whose hash differs from the peer's.
    pub fn items_for(&self, peer: UrgentHash) -> Vec<UrgentItem> {
        let mut items = Vec::new();
        if peer.rollbacks != self.hash.rollbacks {
            items.extend(self.rollbacks.values().cloned().map(UrgentItem::Rollback));
        }
        if peer.crashes != self.hash.crashes {
            items.extend(self.crashes.values().copied().map(UrgentItem::Crash));
        }
        if peer.leaving != self.hash.leaving {
            items.extend(self.leaving.values().cloned().map(UrgentItem::Leaving));
        }
        items
    }

    /// The rollback of a move, if one was decided.
    pub fn rollback(&self, move_id: &str) -> Option<&RollbackFlag> {
        self.rollbacks.get(move_id)
    }

    /// All rollbacks by move.
    pub fn rollbacks(&self) -> impl Iterator<Item = &RollbackFlag> {
        self.rollbacks.values()
    }

    /// All crash marks that have not ended by the last [`UrgentSet::expire`].
    pub fn crashes(&self) -> impl Iterator<Item = &CrashMark> {
        self.crashes.values()
    }

    /// Whether the host has announced that this incarnation leaves.
    pub fn is_leaving(&self, host: &str, incarnation: IncarnationNumber) -> bool {
        self.leaving.contains_key(&(host.to_owned(), incarnation))
    }
}

fn rollback_hash(flag: &RollbackFlag) -> u64 {
    let mut hasher = Xxh3::new();
    for text in [&flag.move_id, &flag.route, &flag.reason] {
        hasher.update(text.as_bytes());
        hasher.update(&[0xff]);
    }
    hasher.update(&flag.decided_ms.to_be_bytes());
    hasher.digest()
}

fn crash_hash(mark: &CrashMark) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&mark.fingerprint.to_be_bytes());
    hasher.update(&mark.generation.to_be_bytes());
    hasher.update(&mark.until_ms.to_be_bytes());
    hasher.update(&[mark.stage as u8]);
    hasher.update(&mark.mark_count.to_be_bytes());
    hasher.digest()
}

fn leaving_hash(host: &LeavingHost) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(host.host.as_bytes());
    hasher.update(&[0xff]);
    hasher.update(&host.incarnation.to_be_bytes());
    hasher.update(&host.until_ms.to_be_bytes());
    hasher.digest()
}
