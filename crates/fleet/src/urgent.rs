//! Small items that are replicated to every host: rollback flags, crash marks and leaving hosts.

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

/// The decision to roll back a move; never cleared.
///
/// Of two flags for the same move, the lesser one in field order is kept, so that the earliest decision gives the
/// reason.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RollbackFlag {
    /// Move that is rolled back.
    pub move_id: MoveId,
    /// Wall time of the decision, in milliseconds since 1970.
    pub decided_ms: u64,
    /// Route on which the move runs.
    pub route: RouteId,
    /// Evidence behind the decision.
    pub reason: String,
}

/// A host that has announced its shutdown.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeavingHost {
    pub host: HostId,
    /// Incarnation that is leaving; later incarnations of the host are not affected.
    pub incarnation: IncarnationNumber,
    /// Wall time at which the item expires, long after the host is gone, in milliseconds since 1970.
    pub until_ms: u64,
}

/// An item of a push message.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UrgentItem {
    /// Active revision of the sender; a receiver with an older configuration requests the changed rows.
    Revision(ConfigRevision),
    /// A move has to be rolled back.
    Rollback(RollbackFlag),
    /// A request fingerprint is marked as crashing targets.
    Crash(CrashMark),
    /// A host has announced its shutdown.
    Leaving(LeavingHost),
}

/// Hash of each section of an [`UrgentSet`]; equal hashes mean equal content.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UrgentHash {
    rollbacks: u64,
    crashes: u64,
    leaving: u64,
}

/// All urgent items except the revision. Merging is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UrgentSet {
    rollbacks: BTreeMap<MoveId, RollbackFlag>,
    crashes: BTreeMap<u64, CrashMark>,
    leaving: BTreeMap<(HostId, IncarnationNumber), LeavingHost>,
    hash: UrgentHash,
}

impl UrgentSet {
    /// Adds an item; returns true if it is new or replaces a known one. Expired items and revisions are not added.
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

    /// Removes crash marks and leaving hosts whose time has passed.
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

    /// Hashes of all sections, for the digest.
    pub fn hash(&self) -> UrgentHash {
        self.hash
    }

    /// Items of the sections whose hash differs from that of the peer.
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

    /// Rollback flag of a move, if its rollback was decided.
    pub fn rollback(&self, move_id: &str) -> Option<&RollbackFlag> {
        self.rollbacks.get(move_id)
    }

    /// All rollback flags, ascending by move.
    pub fn rollbacks(&self) -> impl Iterator<Item = &RollbackFlag> {
        self.rollbacks.values()
    }

    /// All crash marks that had not expired at the last [`UrgentSet::expire`].
    pub fn crashes(&self) -> impl Iterator<Item = &CrashMark> {
        self.crashes.values()
    }

    /// Whether the host has announced that this incarnation is leaving.
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
