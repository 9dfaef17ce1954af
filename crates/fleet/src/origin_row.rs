//! Rows of the shared state. Each has a single writer: a host publishes its own observations, and a delegate publishes
//! a summary of its failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::route::MoveId;
use vanillapick_model::route::RouteId;
use vanillapick_model::target::TargetId;
use xxhash_rust::xxh3::Xxh3;

use crate::evidence::EvidenceCounters;
use crate::evidence::EvidenceKey;
use crate::evidence::MAX_BUCKETS;
use crate::evidence::MoveVersion;
use crate::marks::TargetMark;

/// Hash of a row's writer, incarnation and scope. Rows with equal tags would hide each other's changes; with 64 rows
/// per host and 160 new incarnations a day, a collision is expected less than once per century and domain.
pub type OriginTag = u32;

/// Counter that the writer of a row increments with each publication, starting from 1; 0 means that nothing is known.
pub type HeartbeatNumber = u32;

/// What a row is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowScope {
    /// Observations of the writer; sent only within its failure domain.
    Host,
    /// Summary of the writer's failure domain, for the hosts of other domains.
    Domain,
}

/// Writer and scope of a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowOrigin {
    pub host: HostEntry,
    pub scope: RowScope,
}

impl RowOrigin {
    /// Identifies the row in messages.
    pub fn tag(&self) -> OriginTag {
        let mut hasher = Xxh3::new();
        hasher.update(self.host.id.as_bytes());
        hasher.update(&[0xff, self.scope as u8]);
        hasher.update(&self.host.incarnation.to_be_bytes());
        // Keeps the lower 32 bits.
        hasher.digest() as u32
    }
}

/// A value and the heartbeat at which it was last published.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Published<Value> {
    heartbeat: HeartbeatNumber,
    value: Value,
}

/// One row of the shared state. Only its writer changes it; other hosts merge the changes.
#[derive(Clone, Debug)]
pub struct OriginRow {
    pub origin: RowOrigin,
    /// The row contains everything that the writer published up to this heartbeat.
    pub heartbeat: HeartbeatNumber,
    /// Highest heartbeat that any peer has reported. Shows that the writer was alive even while its changes are
    /// missing.
    pub observed_heartbeat: HeartbeatNumber,
    /// Local time at which `observed_heartbeat` last increased; not merged.
    pub last_progress: Duration,
    members: BTreeMap<HostId, Published<(HostEntry, bool)>>,
    evidence: BTreeMap<EvidenceKey, Published<EvidenceCounters>>,
    marks: BTreeMap<TargetId, Published<TargetMark>>,
}

/// Changes of a row after a given heartbeat. The heartbeat list of the message holds the row's tag and new heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowDelta {
    /// Position of the row in the heartbeat list.
    pub index: u16,
    /// Number of heartbeats that the changes cover; earlier changes are omitted.
    pub covers: HeartbeatNumber,
    /// Set if the receiver does not know the row.
    pub origin: Option<RowOrigin>,
    /// Changed hosts of the domain; only in rows of scope [`RowScope::Domain`].
    pub members: Vec<MemberItem>,
    /// Changed counters.
    pub evidence: Vec<EvidenceItem>,
    /// Changed target marks.
    pub marks: Vec<MarkItem>,
}

/// Number of heartbeats from the publication of an item to the heartbeat of its delta. From it the receiver restores
/// the item's own heartbeat; without that, a host that received a complete row would forward all of it to hosts that
/// already have most of it.
pub type HeartbeatAge = u32;

/// A host of the writer's domain, whether it is live, and the item's age.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberItem(pub HostEntry, pub bool, pub HeartbeatAge);

/// Encoded counters: twice the index of the route and move, plus one for the new version; offset from the message's
/// base bucket; requests, failures, slow requests; the item's age. Compact, since a reply holds 44 rows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EvidenceItem(pub u16, pub i64, pub u64, pub u64, pub u64, pub HeartbeatAge);

/// A target mark and the item's age.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MarkItem(pub TargetMark, pub HeartbeatAge);

/// Routes, moves and base bucket that the [`EvidenceItem`]s of one message refer to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EvidenceNames {
    /// Referred to by index.
    pub moves: Vec<(RouteId, MoveId)>,
    /// Base of the bucket offsets.
    pub bucket: u64,
}

impl OriginRow {
    /// A row without any publication.
    pub fn new(origin: RowOrigin, now: Duration) -> Self {
        Self {
            origin,
            heartbeat: 0,
            observed_heartbeat: 0,
            last_progress: now,
            members: BTreeMap::new(),
            evidence: BTreeMap::new(),
            marks: BTreeMap::new(),
        }
    }

    /// All counters, by key.
    pub fn evidence(&self) -> impl Iterator<Item = (&EvidenceKey, EvidenceCounters)> {
        self.evidence.iter().map(|(key, counters)| (key, counters.value))
    }

    /// Latest marks that the writer published, by target.
    pub fn marks(&self) -> impl Iterator<Item = &TargetMark> {
        self.marks.values().map(|mark| &mark.value)
    }

    /// Latest mark that the writer published for a target.
    pub fn mark(&self, target: &str) -> Option<&TargetMark> {
        self.marks.get(target).map(|mark| &mark.value)
    }

    /// Live hosts of the writer's domain; empty in rows of scope [`RowScope::Host`].
    pub fn members(&self) -> impl Iterator<Item = &HostEntry> {
        let live_members = self.members.values().filter(|member| member.value.1);
        live_members.map(|member| &member.value.0)
    }

    /// Whether the writer lists a host of its domain as live.
    pub fn has_member(&self, host: &str) -> bool {
        self.members.get(host).is_some_and(|member| member.value.1)
    }

    /// Whether the row holds no counters.
    pub fn has_no_evidence(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Writer only: adds counts of finished requests, and publishes them with the next heartbeat that is a multiple of
    /// `heartbeat_multiple`.
    ///
    /// Readers on the writer's host see the counts at once.
    pub fn add_evidence(
        &mut self,
        key: &EvidenceKey,
        counters: EvidenceCounters,
        heartbeat_multiple: HeartbeatNumber,
    ) {
        let heartbeat_multiple = heartbeat_multiple.max(1);
        let next = (self.heartbeat / heartbeat_multiple + 1) * heartbeat_multiple;
        let known = self.evidence.entry(key.clone()).or_default();
        known.value.add(counters);
        let is_unpublished = self.heartbeat < known.heartbeat;
        known.heartbeat = if is_unpublished { known.heartbeat.min(next) } else { next };
        keep_newest_buckets(&mut self.evidence, key);
    }

    /// Writer only: raises the counters to `sum` where that is greater. Changed failures are published with the next
    /// heartbeat, other changes with the next even one.
    pub fn publish_sum(&mut self, key: &EvidenceKey, sum: EvidenceCounters) {
        let next = self.heartbeat + 1;
        let known = self.evidence.entry(key.clone()).or_default();
        let before = known.value;
        known.value.merge(sum);
        if known.value.failures != before.failures {
            known.heartbeat = next;
        } else if known.value != before && known.heartbeat <= self.heartbeat {
            known.heartbeat = next.next_multiple_of(2);
        }
        keep_newest_buckets(&mut self.evidence, key);
    }

    /// Writer only: publishes a mark with the next heartbeat if it is greater than the current one.
    pub fn publish_mark(&mut self, mark: &TargetMark) {
        let heartbeat = self.heartbeat + 1;
        match self.marks.get_mut(&mark.target) {
            Some(known) if mark <= &known.value => {}
            Some(known) => *known = Published { heartbeat, value: mark.clone() },
            None => {
                self.marks
                    .insert(mark.target.clone(), Published { heartbeat, value: mark.clone() });
            }
        }
    }

    /// Writer only: publishes with the next heartbeat which hosts of the domain have changed or are no longer live.
    /// `members` is sorted by id.
    pub fn publish_members(&mut self, members: &[HostEntry]) {
        let heartbeat = self.heartbeat + 1;
        for (id, known) in &mut self.members {
            let is_live = members.binary_search_by(|member| member.id.cmp(id)).is_ok();
            if known.value.1 && !is_live {
                known.value.1 = false;
                known.heartbeat = heartbeat;
            }
        }
        for member in members {
            let value = (member.clone(), true);
            if self.members.get(&member.id).is_none_or(|known| known.value != value) {
                self.members.insert(member.id.clone(), Published { heartbeat, value });
            }
        }
    }

    /// Records a heartbeat that a peer has reported; returns true if it is newer than the known one.
    pub fn observe_heartbeat(&mut self, heartbeat: HeartbeatNumber, now: Duration) -> bool {
        let is_newer = self.observed_heartbeat < heartbeat;
        if is_newer {
            self.observed_heartbeat = heartbeat;
            self.last_progress = now;
        }
        is_newer
    }

    /// Writer only: makes the published changes visible to other hosts.
    pub fn advance_heartbeat(&mut self, now: Duration) {
        self.heartbeat += 1;
        self.observe_heartbeat(self.heartbeat, now);
    }

    /// Changes after heartbeat `since`; `None` if there are none and the receiver knows the row.
    ///
    /// The caller sets the index, which depends on the heartbeat list.
    pub fn delta_since(
        &self,
        since: HeartbeatNumber,
        names: &mut EvidenceNames,
    ) -> Option<RowDelta> {
        let unsent_age = |heartbeat: HeartbeatNumber| {
            let is_newer = since < heartbeat && heartbeat <= self.heartbeat;
            is_newer.then(|| self.heartbeat - heartbeat)
        };
        let mut evidence = Vec::new();
        for (key, known) in &self.evidence {
            if let Some(age) = unsent_age(known.heartbeat) {
                evidence.push(encode_evidence(key, known.value, age, names));
            }
        }
        let marks = self.marks.values();
        let marks: Vec<_> = marks
            .filter_map(|mark| Some(MarkItem(mark.value.clone(), unsent_age(mark.heartbeat)?)))
            .collect();
        let members = self.members.values().filter_map(|member| {
            let (host, is_live) = member.value.clone();
            Some(MemberItem(host, is_live, unsent_age(member.heartbeat)?))
        });
        let members: Vec<_> = members.collect();
        if since != 0 && evidence.is_empty() && marks.is_empty() && members.is_empty() {
            return None;
        }
        let origin = (since == 0).then(|| self.origin.clone());
        let covers = self.heartbeat.saturating_sub(since);
        Some(RowDelta { index: 0, covers, origin, members, evidence, marks })
    }

    /// Merges the changes up to `heartbeat`. The row's heartbeat increases only if no earlier change is missing.
    ///
    /// Returns whether any counter changed.
    pub fn merge(
        &mut self,
        delta: &RowDelta,
        heartbeat: HeartbeatNumber,
        names: &EvidenceNames,
    ) -> bool {
        for MemberItem(host, is_live, age) in &delta.members {
            let item = Published {
                heartbeat: heartbeat.saturating_sub(*age),
                value: (host.clone(), *is_live),
            };
            match self.members.get_mut(&host.id) {
                Some(known) if item.heartbeat <= known.heartbeat => {}
                Some(known) => *known = item,
                None => {
                    self.members.insert(host.id.clone(), item);
                }
            }
        }
        let mut changed = false;
        for item in &delta.evidence {
            let Some((key, counters)) = decode_evidence(item, names) else { continue };
            let published = heartbeat.saturating_sub(item.5);
            let known = self.evidence.entry(key.clone()).or_default();
            let before = known.value;
            known.value.merge(counters);
            if known.value != before {
                known.heartbeat = known.heartbeat.max(published);
                changed = true;
            }
            keep_newest_buckets(&mut self.evidence, &key);
        }
        for MarkItem(mark, age) in &delta.marks {
            let published = heartbeat.saturating_sub(*age);
            match self.marks.get_mut(&mark.target) {
                Some(known) if mark <= &known.value => {}
                Some(known) => *known = Published { heartbeat: published, value: mark.clone() },
                None => {
                    let item = Published { heartbeat: published, value: mark.clone() };
                    self.marks.insert(mark.target.clone(), item);
                }
            }
        }
        if heartbeat.saturating_sub(delta.covers) <= self.heartbeat {
            self.heartbeat = self.heartbeat.max(heartbeat);
        }
        changed
    }

    /// Removes the counters of moves that have ended.
    pub fn drop_evidence(&mut self, ended: impl Fn(&str) -> bool) {
        self.evidence.retain(|key, _| !ended(&key.move_id));
    }
}

fn keep_newest_buckets(
    evidence: &mut BTreeMap<EvidenceKey, Published<EvidenceCounters>>,
    key: &EvidenceKey,
) {
    let first = EvidenceKey { bucket: 0, ..key.clone() };
    let last = EvidenceKey { bucket: u64::MAX, ..key.clone() };
    while MAX_BUCKETS < evidence.range(&first..=&last).count() {
        let Some(oldest) = evidence.range(&first..=&last).next().map(|(key, _)| key.clone()) else {
            return;
        };
        evidence.remove(&oldest);
    }
}

fn encode_evidence(
    key: &EvidenceKey,
    counters: EvidenceCounters,
    age: HeartbeatAge,
    names: &mut EvidenceNames,
) -> EvidenceItem {
    if names.moves.is_empty() {
        names.bucket = key.bucket;
    }
    let moves = &mut names.moves;
    let known = moves.iter().position(|(route, id)| *route == key.route && *id == key.move_id);
    let index = known.unwrap_or_else(|| {
        moves.push((key.route.clone(), key.move_id.clone()));
        moves.len() - 1
    });
    let code = 2 * index as u16 + u16::from(key.version == MoveVersion::New);
    let bucket = key.bucket.wrapping_sub(names.bucket) as i64;
    let EvidenceCounters { requests, failures, slow } = counters;
    EvidenceItem(code, bucket, requests, failures, slow, age)
}

fn decode_evidence(
    item: &EvidenceItem,
    names: &EvidenceNames,
) -> Option<(EvidenceKey, EvidenceCounters)> {
    let EvidenceItem(code, bucket, requests, failures, slow, _) = *item;
    let (route, move_id) = names.moves.get(usize::from(code / 2))?.clone();
    let version = if code % 2 == 1 { MoveVersion::New } else { MoveVersion::Old };
    let bucket = names.bucket.wrapping_add_signed(bucket);
    let key = EvidenceKey { route, move_id, version, bucket };
    Some((key, EvidenceCounters { requests, failures, slow }))
}
