//! The state that hosts share, merged in any order and any number of times to the same result.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::collections::btree_map::Entry;
use std::time::Duration;

use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::route::MoveId;
use vanillapick_model::target::TargetId;

use crate::evidence::EvidenceCounters;
use crate::evidence::EvidenceKey;
use crate::evidence::EvidenceTable;
use crate::exchange::Delta;
use crate::exchange::Digest;
use crate::exchange::HeartbeatEntry;
use crate::exchange::HeartbeatList;
use crate::marks::TargetMark;
use crate::origin_row::EvidenceNames;
use crate::origin_row::HeartbeatNumber;
use crate::origin_row::MarkItem;
use crate::origin_row::OriginRow;
use crate::origin_row::OriginTag;
use crate::origin_row::RowDelta;
use crate::origin_row::RowScope;
use crate::replicated_config::ReplicatedConfig;
use crate::urgent::UrgentItem;
use crate::urgent::UrgentSet;

/// Ended moves whose evidence is refused; more than run within the time a row is kept.
const MAX_ENDED_MOVES: usize = 256;

/// Estimated bytes of a row without its changes, and of one changed counter, mark or member.
const ROW_BYTES: usize = 8;
const EVIDENCE_BYTES: usize = 9;
const MARK_BYTES: usize = 40;
const MEMBER_BYTES: usize = 50;

/// Which rows a peer may see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowFilter {
    /// A peer of the own domain: the rows of its hosts and the sums of all other domains.
    SameDomain,
    /// A peer of another domain: only sums.
    OtherDomain,
    /// Everything.
    All,
}

/// What a merge has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergeReport {
    /// A newer configuration is in force.
    pub config_installed: bool,
    /// Items that were new.
    pub items: Vec<UrgentItem>,
    /// Marks that say something new about their target.
    pub marks: Vec<TargetMark>,
    /// Counters have changed.
    pub evidence_changed: bool,
    /// Rows that were not known before.
    pub new_rows: Vec<OriginTag>,
    /// Rows whose members have changed.
    pub members_changed: Vec<OriginTag>,
    /// Rows with a sign of life of their writer.
    pub live_rows: Vec<OriginTag>,
}

/// The state of one host.
#[derive(Clone, Debug)]
pub struct SharedState {
    domain: DomainId,
    /// Configuration by revision.
    pub config: ReplicatedConfig,
    /// Rollbacks, crash marks and leaving hosts.
    pub urgent: UrgentSet,
    rows: BTreeMap<OriginTag, OriginRow>,
    marks: BTreeMap<TargetId, TargetMark>,
    ended_moves: VecDeque<MoveId>,
    /// Rows that were dropped, with their last heartbeat, so that peers that still hold them do not send them.
    tombstones: BTreeMap<OriginTag, (HeartbeatNumber, Duration)>,
}

impl SharedState {
    /// The empty state of a host of a failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            config: ReplicatedConfig::default(),
            urgent: UrgentSet::default(),
            rows: BTreeMap::new(),
            marks: BTreeMap::new(),
            ended_moves: VecDeque::new(),
            tombstones: BTreeMap::new(),
        }
    }

    /// The rows that a peer of a domain may see.
    pub fn filter_for(&self, peer_domain: &str) -> RowFilter {
        if peer_domain == self.domain { RowFilter::SameDomain } else { RowFilter::OtherDomain }
    }

    fn is_visible(&self, filter: RowFilter, row: &OriginRow) -> bool {
        match filter {
            RowFilter::All => true,
            RowFilter::OtherDomain => row.origin.scope == RowScope::Domain,
            RowFilter::SameDomain => {
                (row.origin.scope == RowScope::Host) == (row.origin.host.domain == self.domain)
            }
        }
    }

    /// What this host has of the rows that the filter shows.
    pub fn digest(&self, filter: RowFilter) -> Digest {
        let shown = self.rows.iter().filter(|(_, row)| self.is_visible(filter, row));
        let mut heartbeats: Vec<_> = shown
            .map(|(tag, row)| HeartbeatEntry::new(*tag, row.heartbeat, row.observed_heartbeat))
            .collect();
        if !self.tombstones.is_empty() {
            let tombstones = self.tombstones.iter();
            heartbeats
                .extend(tombstones.map(|(tag, (heartbeat, _))| {
                    HeartbeatEntry::new(*tag, *heartbeat, *heartbeat)
                }));
            heartbeats.sort_unstable();
        }
        Digest {
            revision: self.config.revision(),
            wanted_above: self.config.wanted_above(),
            urgent: self.urgent.hash(),
            heartbeats: HeartbeatList(heartbeats),
        }
    }

    /// What a peer with this digest lacks.
    ///
    /// Rows with failures come first, then the others from the `first`-th on, wrapping around, until `budget` estimated
    /// bytes are reached; at least one row is added. Rows that the peer does not know at all come on top, since each is
    /// sent to a peer once.
    pub fn delta_for(
        &self,
        digest: &Digest,
        filter: RowFilter,
        first: usize,
        budget: usize,
    ) -> Delta {
        let mut delta = Delta {
            revision: self.config.revision(),
            config: self.config.payload_since(digest.revision, digest.wanted_above),
            urgent: self.urgent.hash(),
            items: self.urgent.items_for(digest.urgent),
            ..Delta::default()
        };
        let shown: Vec<_> =
            self.rows.iter().filter(|(_, row)| self.is_visible(filter, row)).collect();
        let start = first % shown.len().max(1);
        let mut changed = Vec::new();
        for (tag, row) in shown[start..].iter().chain(&shown[..start]) {
            let known = digest.heartbeats.entry(**tag);
            if row.heartbeat <= known.heartbeat
                && row.observed_heartbeat <= known.observed_heartbeat()
            {
                continue;
            }
            match row.delta_since(known.heartbeat, &mut delta.names) {
                Some(changes) if known.heartbeat < row.heartbeat => {
                    changed.push((row, known.heartbeat, changes))
                }
                _ => {
                    let heartbeat = row.heartbeat.max(known.heartbeat);
                    delta.heartbeats.0.push(HeartbeatEntry::new(
                        **tag,
                        heartbeat,
                        row.observed_heartbeat,
                    ));
                }
            }
        }
        let has_failures = |changes: &RowDelta| changes.evidence.iter().any(|item| item.3 != 0);
        changed.sort_by_key(|(_, _, changes)| !has_failures(changes));
        let mut used = 0;
        let mut sent = BTreeMap::new();
        for (row, since, changes) in changed {
            let tag = row.origin.tag();
            let bytes = if since == 0 { 0 } else { estimated_bytes(&changes) };
            if 0 < used && budget < used + bytes {
                delta.heartbeats.0.push(HeartbeatEntry::new(tag, since, row.observed_heartbeat));
                continue;
            }
            used += bytes;
            delta.heartbeats.0.push(HeartbeatEntry::new(
                tag,
                row.heartbeat,
                row.observed_heartbeat,
            ));
            sent.insert(tag, changes);
        }
        delta.heartbeats.0.sort_unstable();
        for (index, entry) in delta.heartbeats.0.iter().enumerate() {
            if let Some(changes) = sent.remove(&entry.tag) {
                delta.rows.push(RowDelta { index: index as u16, ..changes });
            }
        }
        delta
    }

    /// Merges what a peer has sent.
    pub fn merge_delta(&mut self, delta: &Delta, now: Duration, wall_ms: u64) -> MergeReport {
        let mut report = MergeReport::default();
        if let Some(payload) = &delta.config {
            report.config_installed = self.config.accept_payload(payload);
        }
        for item in &delta.items {
            if self.urgent.insert(item, wall_ms) {
                report.items.push(item.clone());
            }
        }
        for row in &delta.rows {
            if let Some(entry) = delta.heartbeats.0.get(usize::from(row.index)) {
                self.merge_row(row, *entry, &delta.names, now, &mut report);
            }
        }
        self.advance_heartbeats(delta);
        report.live_rows = self.observe_heartbeats(&delta.heartbeats, now);
        report
    }

    fn merge_row(
        &mut self,
        delta: &RowDelta,
        entry: HeartbeatEntry,
        names: &EvidenceNames,
        now: Duration,
        report: &mut MergeReport,
    ) {
        let HeartbeatEntry { tag, heartbeat, .. } = entry;
        if self.tombstones.get(&tag).is_some_and(|(last, _)| heartbeat <= *last) {
            return;
        }
        let row = match self.rows.entry(tag) {
            Entry::Occupied(row) => row.into_mut(),
            Entry::Vacant(vacant) => {
                let origin = delta.origin.as_ref().filter(|origin| origin.tag() == tag);
                let Some(origin) = origin else { return };
                report.new_rows.push(tag);
                vacant.insert(OriginRow::new(origin.clone(), now))
            }
        };
        if !delta.members.is_empty() {
            report.members_changed.push(tag);
        }
        report.evidence_changed |= row.merge(delta, heartbeat, names);
        let ended = &self.ended_moves;
        row.drop_evidence(|id| ended.iter().any(|ended| ended == id));
        for MarkItem(mark, _) in &delta.marks {
            self.merge_mark(mark, report);
        }
    }

    fn merge_mark(&mut self, mark: &TargetMark, report: &mut MergeReport) {
        let known = self.marks.get(&mark.target);
        if known.is_some_and(|known| mark <= known) {
            return;
        }
        if !known.is_some_and(|known| mark.reports_same_state(known)) {
            report.marks.push(mark.clone());
        }
        self.marks.insert(mark.target.clone(), mark.clone());
    }

    /// Raises the heartbeats of rows without changes in the message; the sender vouches that there are none.
    fn advance_heartbeats(&mut self, delta: &Delta) {
        for (index, entry) in delta.heartbeats.0.iter().enumerate() {
            if delta.rows.binary_search_by_key(&index, |row| usize::from(row.index)).is_ok() {
                continue;
            }
            if let Some(row) = self.rows.get_mut(&entry.tag) {
                row.heartbeat = row.heartbeat.max(entry.heartbeat);
            }
        }
    }

    /// Takes the heartbeats that a peer has heard of as signs of life; returns the rows for which they are news.
    pub fn observe_heartbeats(
        &mut self,
        heartbeats: &HeartbeatList,
        now: Duration,
    ) -> Vec<OriginTag> {
        let mut live_rows = Vec::new();
        for entry in &heartbeats.0 {
            if self
                .rows
                .get_mut(&entry.tag)
                .is_some_and(|row| row.observe_heartbeat(entry.observed_heartbeat(), now))
            {
                live_rows.push(entry.tag);
            }
            // A host whose row was dropped is back; the next digest asks for the whole row.
            if self
                .tombstones
                .get(&entry.tag)
                .is_some_and(|(heartbeat, _)| *heartbeat < entry.observed_heartbeat())
            {
                self.tombstones.remove(&entry.tag);
            }
        }
        live_rows
    }

    /// Merges the whole state of another host.
    pub fn merge(&mut self, other: &Self, now: Duration, wall_ms: u64) -> MergeReport {
        let everything = other.delta_for(&Digest::default(), RowFilter::All, 0, usize::MAX);
        self.merge_delta(&everything, now, wall_ms)
    }

    /// The row with a tag.
    pub fn row(&self, tag: OriginTag) -> Option<&OriginRow> {
        self.rows.get(&tag)
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = &OriginRow> {
        self.rows.values()
    }

    /// Writer only: its row, made when it is missing.
    pub fn own_row(&mut self, tag: OriginTag, make: impl FnOnce() -> OriginRow) -> &mut OriginRow {
        self.rows.entry(tag).or_insert_with(make)
    }

    /// Records the writer's own mark in the merged marks.
    pub fn record_mark(&mut self, mark: &TargetMark) -> bool {
        let mut report = MergeReport::default();
        self.merge_mark(mark, &mut report);
        !report.marks.is_empty()
    }

    /// The merged mark of a target.
    pub fn mark(&self, target: &str) -> Option<&TargetMark> {
        self.marks.get(target)
    }

    /// All merged marks by target.
    pub fn marks(&self) -> impl Iterator<Item = &TargetMark> {
        self.marks.values()
    }

    /// Merged counters of a move over all hosts.
    ///
    /// The rows of hosts are summed. Of the sums that the delegates of another domain have published the greater of
    /// each counter is taken, since both count the same hosts.
    pub fn evidence(&self, move_id: &str) -> EvidenceTable {
        let mut total = self.sum_host_evidence(|key| key.move_id == move_id);
        let mut domains: BTreeMap<(&str, &EvidenceKey), EvidenceCounters> = BTreeMap::new();
        let of_other_domains = |row: &&OriginRow| {
            row.origin.scope == RowScope::Domain && row.origin.host.domain != self.domain
        };
        for row in self.rows.values().filter(of_other_domains) {
            for (key, counters) in row.evidence().filter(|(key, _)| key.move_id == move_id) {
                let domain = row.origin.host.domain.as_str();
                let known = domains.entry((domain, key)).or_insert(counters);
                known.merge(counters);
            }
        }
        for ((_, key), counters) in domains {
            total.entry(key.clone()).or_default().add(counters);
        }
        total
    }

    /// Sums over the rows of hosts, which are all of the own domain.
    pub fn sum_host_evidence(&self, wanted: impl Fn(&EvidenceKey) -> bool) -> EvidenceTable {
        let mut total = EvidenceTable::new();
        for row in self.rows.values().filter(|row| row.origin.scope == RowScope::Host) {
            for (key, counters) in row.evidence().filter(|(key, _)| wanted(key)) {
                total.entry(key.clone()).or_default().add(counters);
            }
        }
        total
    }

    /// Drops and from now on refuses the evidence of a move that has left the configuration.
    pub fn end_move(&mut self, move_id: &str) {
        if self.ended_moves.iter().any(|ended| ended == move_id) {
            return;
        }
        self.ended_moves.push_back(move_id.to_owned());
        if MAX_ENDED_MOVES < self.ended_moves.len() {
            self.ended_moves.pop_front();
        }
        for row in self.rows.values_mut() {
            row.drop_evidence(|id| id == move_id);
        }
    }

    /// Drops rows for which `keep` is false, and remembers for `retention` that they were dropped.
    pub fn drop_rows(
        &mut self,
        now: Duration,
        retention: Duration,
        keep: impl Fn(&OriginRow) -> bool,
    ) {
        self.tombstones.retain(|_, (_, at)| now < *at + retention);
        let tombstones = &mut self.tombstones;
        self.rows.retain(|tag, row| {
            let is_kept = keep(row);
            if !is_kept {
                tombstones.insert(*tag, (row.heartbeat, now));
            }
            is_kept
        });
    }
}

fn estimated_bytes(changes: &RowDelta) -> usize {
    ROW_BYTES
        + EVIDENCE_BYTES * changes.evidence.len()
        + MARK_BYTES * changes.marks.len()
        + MEMBER_BYTES * changes.members.len()
}
