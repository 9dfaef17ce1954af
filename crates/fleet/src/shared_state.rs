//! State that hosts replicate to each other. Merging is commutative, associative and idempotent.

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

/// Number of ended moves whose evidence is rejected; more moves than run while a row is kept.
const MAX_ENDED_MOVES: usize = 256;

/// Estimated encoded size of a row without its changes, and of one changed counter, mark or member.
const ROW_BYTES: usize = 8;
const EVIDENCE_BYTES: usize = 9;
const MARK_BYTES: usize = 40;
const MEMBER_BYTES: usize = 50;

/// Which rows are sent to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowFilter {
    /// For a peer of the local domain: the rows of the domain's hosts and the summaries of all other domains.
    SameDomain,
    /// For a peer of another domain: only summaries.
    OtherDomain,
    /// All rows, to merge complete states.
    All,
}

/// Changes made by a merge.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergeReport {
    /// Whether a newer configuration is now active.
    pub config_installed: bool,
    /// Urgent items that were new.
    pub items: Vec<UrgentItem>,
    /// Marks that change what is known about their target.
    pub marks: Vec<TargetMark>,
    /// Whether any counter changed.
    pub evidence_changed: bool,
    /// Rows that were unknown before the merge.
    pub new_rows: Vec<OriginTag>,
    /// Rows with changed hosts.
    pub members_changed: Vec<OriginTag>,
    /// Rows with a newer heartbeat of their writer.
    pub live_rows: Vec<OriginTag>,
}

/// One host's copy of the shared state.
#[derive(Clone, Debug)]
pub struct SharedState {
    domain: DomainId,
    /// The active configuration and its recent changes.
    pub config: ReplicatedConfig,
    /// Rollback flags, crash marks and leaving hosts.
    pub urgent: UrgentSet,
    rows: BTreeMap<OriginTag, OriginRow>,
    marks: BTreeMap<TargetId, TargetMark>,
    ended_moves: VecDeque<MoveId>,
    /// Last heartbeats of removed rows and the times of removal. Included in digests so that peers that still hold the
    /// rows do not send them again.
    tombstones: BTreeMap<OriginTag, (HeartbeatNumber, Duration)>,
}

impl SharedState {
    /// An empty state on a host of the given failure domain.
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

    /// Which rows are sent to a peer of the given domain.
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

    /// Summary of what this host has, for the rows that pass the filter.
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

    /// Changes that a peer with this digest is missing.
    ///
    /// Rows with failures come first, then the others starting at the `first`-th and wrapping around, until their
    /// estimated size reaches `budget` bytes; at least one row is included. Rows unknown to the peer do not count
    /// towards the budget, since each is sent to a peer only once.
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

    /// Merges the changes that a peer has sent.
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

    /// Raises the heartbeats of rows that are listed without changes: the sender has no changes of them in between.
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

    /// Records the heartbeats that a peer has observed; returns the rows for which they are newer than the known ones.
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
            // The writer of a removed row is alive again; without the tombstone the next digest requests the whole row.
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

    /// Merges the complete state of another host.
    pub fn merge(&mut self, other: &Self, now: Duration, wall_ms: u64) -> MergeReport {
        let everything = other.delta_for(&Digest::default(), RowFilter::All, 0, usize::MAX);
        self.merge_delta(&everything, now, wall_ms)
    }

    /// Looks up a row by its tag.
    pub fn row(&self, tag: OriginTag) -> Option<&OriginRow> {
        self.rows.get(&tag)
    }

    /// All rows, ascending by tag.
    pub fn rows(&self) -> impl Iterator<Item = &OriginRow> {
        self.rows.values()
    }

    /// Writer only: its own row, created by `make` if missing.
    pub fn own_row(&mut self, tag: OriginTag, make: impl FnOnce() -> OriginRow) -> &mut OriginRow {
        self.rows.entry(tag).or_insert_with(make)
    }

    /// Merges a mark that this host has observed; returns true if it changes what is known about the target.
    pub fn record_mark(&mut self, mark: &TargetMark) -> bool {
        let mut report = MergeReport::default();
        self.merge_mark(mark, &mut report);
        !report.marks.is_empty()
    }

    /// Latest mark of a target over all hosts.
    pub fn mark(&self, target: &str) -> Option<&TargetMark> {
        self.marks.get(target)
    }

    /// Latest marks over all hosts, ascending by target.
    pub fn marks(&self) -> impl Iterator<Item = &TargetMark> {
        self.marks.values()
    }

    /// Counters of a move, added over all hosts.
    ///
    /// The rows of hosts are added. Of the summaries that the delegates of another domain publish, the greater value of
    /// each counter is used, since both cover the same hosts.
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

    /// Adds the counters of all host rows, which belong to the local domain.
    pub fn sum_host_evidence(&self, wanted: impl Fn(&EvidenceKey) -> bool) -> EvidenceTable {
        let mut total = EvidenceTable::new();
        for row in self.rows.values().filter(|row| row.origin.scope == RowScope::Host) {
            for (key, counters) in row.evidence().filter(|(key, _)| wanted(key)) {
                total.entry(key.clone()).or_default().add(counters);
            }
        }
        total
    }

    /// Removes the evidence of a move that is no longer in the configuration, and rejects it from now on.
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

    /// Removes rows for which `keep` is false, and keeps a tombstone of each for `retention`.
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
