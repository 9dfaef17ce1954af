//! Tracks which entry hosts are live, from the platform's delayed host list and from contact between hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::host::IncarnationNumber;

use crate::peer_options::PeerOptions;

/// Time for which a gone host is kept, so that hosts still probe it occasionally after a long partition.
const GONE_RETENTION: Duration = Duration::from_secs(3600);

/// Delay before a host that did not reply is selected as a peer again.
const SEND_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Number of responding peers without which the silence of another host may be a fault of the local host or its
/// network.
const MIN_RESPONDING_PEERS: usize = 2;

/// Liveness of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Contacted recently, or named by a recent host list.
    Alive,
    /// No contact for [`PeerOptions::suspect_after`]; still a live host.
    Suspect,
    /// Not a live host. Includes a host that was only reported by others, until it is contacted or listed.
    Gone,
}

/// Another host, as seen by the local host.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Latest entry; once set, `leaving` stays set for the rest of the incarnation.
    pub entry: HostEntry,
    /// Updated at each tick, by contact and by the host list.
    pub state: MemberState,
    /// Time of the latest contact, directly or through peers; for a host of another domain, through the summaries of
    /// that domain.
    pub last_contact: Option<Duration>,
    is_listed: bool,
    changed_at: Duration,
    send_failed_at: Option<Duration>,
}

impl MemberRecord {
    /// Recomputes the state from the time since the last contact; returns true when the state changes to gone.
    /// `may_remove` is false while absence from the list and lack of contact are no evidence that the host is down.
    fn update_state(
        &mut self,
        options: &PeerOptions,
        now: Duration,
        may_remove: bool,
        gone_after: Duration,
    ) -> bool {
        if self.state == MemberState::Gone {
            return false;
        }
        let silence = now.saturating_sub(self.last_contact.unwrap_or(self.changed_at));
        // A host that was never contacted may still be starting.
        let suspect_after = match self.last_contact {
            Some(_) => options.suspect_after,
            None => options.gone_after,
        };
        if gone_after <= silence && may_remove && !self.is_listed {
            self.state = MemberState::Gone;
            self.changed_at = now;
            return true;
        }
        let is_suspect = suspect_after <= silence;
        self.state = if is_suspect { MemberState::Suspect } else { MemberState::Alive };
        false
    }
}

/// What the summaries of another domain report about one of its hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainReport {
    /// Time of the latest heartbeat of a delegate that lists the host as live.
    pub last_contact: Option<Duration>,
    /// Whether any delegate of the domain sent a recent heartbeat, even if it does not list the host.
    pub is_domain_active: bool,
}

/// All known hosts except the local one.
#[derive(Clone, Debug)]
pub struct Membership {
    local_host: HostEntry,
    options: PeerOptions,
    /// Separate from the other domains because it is searched more often.
    same_domain: BTreeMap<HostId, MemberRecord>,
    other_domains: BTreeMap<HostId, MemberRecord>,
    host_list_at: Option<Duration>,
    last_tick: Duration,
    change_count: u64,
    /// Whether some host may be gone; false only after a scan of all records found none.
    has_gone: bool,
    /// Whether some host of another domain may be missing from the host list.
    has_unlisted: bool,
}

impl Membership {
    /// A membership that knows only the local host.
    pub fn new(local_host: HostEntry, options: PeerOptions, now: Duration) -> Self {
        Self {
            local_host,
            options,
            same_domain: BTreeMap::new(),
            other_domains: BTreeMap::new(),
            host_list_at: None,
            last_tick: now,
            change_count: 0,
            has_gone: false,
            has_unlisted: false,
        }
    }

    /// Number of changes to [`Membership::live_hosts`] so far.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Marks the local host as leaving.
    pub fn leave(&mut self) {
        self.local_host.leaving = true;
        self.change_count += 1;
    }

    /// Entry of the host that runs this process.
    pub fn local_host(&self) -> &HostEntry {
        &self.local_host
    }

    /// Applies the platform's host list. An empty list is ignored, as if the platform had not replied.
    pub fn on_host_list(&mut self, list: &[HostEntry], now: Duration) {
        if list.is_empty() {
            return;
        }
        self.host_list_at = Some(now);
        for record in self.same_domain.values_mut().chain(self.other_domains.values_mut()) {
            record.is_listed = false;
        }
        for entry in list {
            if entry.id == self.local_host.id {
                // The list may still contain the previous incarnation of this host.
                if entry.leaving
                    && entry.incarnation == self.local_host.incarnation
                    && !self.local_host.leaving
                {
                    self.leave();
                }
                continue;
            }
            if let Some(record) = self.upsert(entry, now) {
                record.is_listed = true;
                if record.state == MemberState::Gone {
                    record.state = MemberState::Alive;
                    record.changed_at = now;
                    self.change_count += 1;
                }
            }
        }
        self.has_unlisted = self.other_domains.values().any(|record| !record.is_listed);
    }

    /// Adds an entry or updates a known one; returns `None` if a later incarnation is known.
    fn upsert(&mut self, entry: &HostEntry, now: Duration) -> Option<&mut MemberRecord> {
        let is_same_domain = entry.domain == self.local_host.domain;
        let members = if is_same_domain { &mut self.same_domain } else { &mut self.other_domains };
        if !members.contains_key(&entry.id) {
            self.has_gone = true;
            self.has_unlisted = true;
        }
        let record = members.entry(entry.id.clone()).or_insert_with(|| MemberRecord {
            entry: entry.clone(),
            state: MemberState::Gone,
            last_contact: None,
            is_listed: false,
            changed_at: now,
            send_failed_at: None,
        });
        if entry.incarnation < record.entry.incarnation {
            return None;
        }
        let later = record.entry.incarnation < entry.incarnation;
        let leaving = entry.leaving || (!later && record.entry.leaving);
        if later || leaving != record.entry.leaving {
            record.entry = HostEntry { leaving, ..entry.clone() };
            self.change_count += 1;
        }
        if later {
            record.changed_at = now;
            record.send_failed_at = None;
        }
        Some(record)
    }

    /// Adds a host that another host has reported. It becomes live only once it is contacted or listed, since the
    /// report may be outdated.
    pub fn on_indirect_report(&mut self, entry: &HostEntry, now: Duration) {
        if entry.id != self.local_host.id {
            self.upsert(entry, now);
        }
    }

    /// Handles a message from a host, or a newer heartbeat of it that a peer has forwarded.
    pub fn on_contact(&mut self, entry: &HostEntry, now: Duration) {
        if entry.id == self.local_host.id {
            return;
        }
        let Some(record) = self.upsert(entry, now) else { return };
        record.last_contact = Some(now);
        record.send_failed_at = None;
        if record.state == MemberState::Gone {
            record.state = MemberState::Alive;
            self.change_count += 1;
        } else {
            record.state = MemberState::Alive;
        }
    }

    /// Handles the announcement that an incarnation of a host is leaving.
    pub fn on_leaving(&mut self, host: &str, incarnation: IncarnationNumber) {
        let Some(record) = self.record_mut(host) else { return };
        if record.entry.incarnation == incarnation && !record.entry.leaving {
            record.entry.leaving = true;
            self.change_count += 1;
        }
    }

    fn record_mut(&mut self, host: &str) -> Option<&mut MemberRecord> {
        self.same_domain.get_mut(host).or_else(|| self.other_domains.get_mut(host))
    }

    /// Handles a message that the host did not reply to.
    pub fn on_send_failed(&mut self, host: &str, now: Duration) {
        if let Some(record) = self.record_mut(host) {
            record.send_failed_at = Some(now);
        }
    }

    /// Recomputes the states of all hosts. `domain_report` looks up what its own domain reports about a host of another
    /// domain.
    ///
    /// A host is gone if no peer that the local host hears from has had contact with it for `gone_after`, and a recent
    /// host list does not name it. Without a recent list no host becomes gone: limits then stay too low by the share of
    /// a dead host, which is safe, whereas removing hosts on the far side of a partition would let both sides exceed
    /// the limits.
    pub fn tick(&mut self, now: Duration, domain_report: impl Fn(&HostEntry) -> DomainReport) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if self.options.exchange_interval < gap {
            // This process was paused, so the gap is no evidence against the other hosts.
            self.shift_timestamps(gap);
        }
        let is_list_recent =
            self.host_list_at.is_some_and(|at| now < at + self.options.host_list_max_age);
        let suspect_after = self.options.suspect_after;
        let is_responding =
            |record: &MemberRecord| record.last_contact.is_some_and(|at| now < at + suspect_after);
        let responding = self
            .records()
            .filter(|record| is_responding(record))
            .take(MIN_RESPONDING_PEERS)
            .count();
        let counted = self.records().filter(|record| record.state != MemberState::Gone);
        let others = counted.take(MIN_RESPONDING_PEERS + 1).count();
        let has_witnesses = MIN_RESPONDING_PEERS.min(others.saturating_sub(1)) <= responding;
        let may_remove = is_list_recent && has_witnesses;
        let mut newly_gone = 0;
        for record in self.same_domain.values_mut() {
            newly_gone += u64::from(record.update_state(
                &self.options,
                now,
                may_remove,
                self.options.gone_after,
            ));
        }
        // A listed host of another domain counts as live, and without a recent list the state of such a host does not
        // change, so the summaries of its domain are read only when they can change the result.
        if may_remove && self.has_unlisted {
            let candidates = self.other_domains.values_mut().filter(|record| !record.is_listed);
            for record in candidates.filter(|record| record.state != MemberState::Gone) {
                let report = domain_report(&record.entry);
                record.last_contact = record.last_contact.max(report.last_contact);
                // The host's own domain has already waited for `gone_after`.
                let gone_after = match report.is_domain_active {
                    true => 2 * self.options.summary_interval,
                    false => self.options.gone_after,
                };
                newly_gone +=
                    u64::from(record.update_state(&self.options, now, may_remove, gone_after));
            }
        }
        self.change_count += newly_gone;
        self.has_gone |= newly_gone != 0;
        self.remove_expired(now);
    }

    fn remove_expired(&mut self, now: Duration) {
        if !self.has_gone {
            return;
        }
        let has_gone = self.records().any(|record| record.state == MemberState::Gone);
        self.has_gone = has_gone;
        let is_retained = |record: &MemberRecord| {
            record.state != MemberState::Gone || now < record.changed_at + GONE_RETENTION
        };
        self.same_domain.retain(|_, record| is_retained(record));
        self.other_domains.retain(|_, record| is_retained(record));
    }

    /// Whether some known host may be gone, in which case a heartbeat of any host can change the live hosts.
    pub fn has_gone(&self) -> bool {
        self.has_gone
    }

    fn shift_timestamps(&mut self, gap: Duration) {
        for record in self.same_domain.values_mut().chain(self.other_domains.values_mut()) {
            record.last_contact = record.last_contact.map(|at| at + gap);
            record.changed_at += gap;
        }
        self.host_list_at = self.host_list_at.map(|at| at + gap);
    }

    /// All live hosts and the local host, ascending by id. Includes leaving hosts until they are gone, because they
    /// still hold connections; they get no new work.
    pub fn live_hosts(&self) -> Vec<HostEntry> {
        let counted = self.records().filter(|record| record.state != MemberState::Gone);
        let mut hosts: Vec<_> = counted.map(|record| record.entry.clone()).collect();
        hosts.push(self.local_host.clone());
        hosts.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        hosts
    }

    /// What is known about another host.
    pub fn record(&self, host: &str) -> Option<&MemberRecord> {
        self.same_domain.get(host).or_else(|| self.other_domains.get(host))
    }

    /// Whether the platform has returned a host list since the start.
    pub fn has_host_list(&self) -> bool {
        self.host_list_at.is_some()
    }

    /// Number of other known hosts, including gone ones.
    pub fn host_count(&self) -> usize {
        self.same_domain.len() + self.other_domains.len()
    }

    /// All other known hosts: those of the local domain first, each part ascending by id.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.same_domain.values().chain(self.other_domains.values())
    }

    /// Other hosts of the local domain, ascending by id.
    pub fn same_domain_hosts(&self) -> impl Iterator<Item = &MemberRecord> {
        self.same_domain.values()
    }

    /// Hosts of the other domains, ascending by id.
    pub fn other_domain_hosts(&self) -> impl Iterator<Item = &MemberRecord> {
        self.other_domains.values()
    }

    /// Ids of the hosts that can hold a role in a domain: alive and not leaving.
    pub fn eligible_hosts<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        let is_local_domain = self.local_host.domain == domain;
        let local_id =
            (is_local_domain && !self.local_host.leaving).then_some(self.local_host.id.as_str());
        let members = if is_local_domain { &self.same_domain } else { &self.other_domains };
        let others = members.values().filter(move |record| {
            (is_local_domain || record.entry.domain == domain)
                && !record.entry.leaving
                && record.state == MemberState::Alive
        });
        others.map(|record| record.entry.id.as_str()).chain(local_id)
    }

    /// Whether messages can be sent to the host: it is not gone and has not failed to reply within the retry delay.
    pub fn is_reachable(&self, record: &MemberRecord, now: Duration) -> bool {
        let failed = record.send_failed_at.is_some_and(|at| now < at + SEND_RETRY_DELAY);
        record.state != MemberState::Gone && !failed
    }
}
