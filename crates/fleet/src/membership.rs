//! Which hosts are live: the platform's lagging list combined with what hosts hear of each other.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::host::IncarnationNumber;

use crate::peer_options::PeerOptions;

/// Time for which a gone host is remembered, so that it is still tried now and then after a long partition.
const GONE_RETENTION: Duration = Duration::from_secs(3600);

/// Time for which a host that did not answer is not chosen as a peer.
const SEND_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Peers that must have been heard before silence of another host counts as its own fault.
const MIN_RESPONDING_PEERS: usize = 2;

/// What is known of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Heard recently, or named by a fresh list.
    Alive,
    /// Not heard for a while; still counted.
    Suspect,
    /// Not counted. Also a host known only by hearsay, until it is heard or listed.
    Gone,
}

/// One host as this host sees it.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Its latest entry; `leaving` stays set during an incarnation.
    pub entry: HostEntry,
    /// Its state at the last tick.
    pub state: MemberState,
    /// Latest word from it, directly or through peers; for a host of another domain through that domain's sums.
    pub last_contact: Option<Duration>,
    is_listed: bool,
    changed_at: Duration,
    send_failed_at: Option<Duration>,
}

impl MemberRecord {
    /// Recomputes the state from the silence; true when the host has just gone. `decides` tells whether absence from
    /// the list and silence towards this host prove anything, and `patience` how long a silence is needed.
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
        // A host that was never heard may just be starting.
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

/// What the sums of another domain say of one of its hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainReport {
    /// Latest sign of life of a delegate that counts the host.
    pub last_contact: Option<Duration>,
    /// Whether a delegate of the domain was heard lately, whatever it says of the host.
    pub is_domain_active: bool,
}

/// All known hosts but the own one.
#[derive(Clone, Debug)]
pub struct Membership {
    local_host: HostEntry,
    options: PeerOptions,
    /// Hosts of the own domain, which are looked at often.
    same_domain: BTreeMap<HostId, MemberRecord>,
    /// Hosts of the other domains.
    other_domains: BTreeMap<HostId, MemberRecord>,
    host_list_at: Option<Duration>,
    last_tick: Duration,
    change_count: u64,
    /// Whether some host may not be counted; false only when a look at all records has shown that all are.
    has_gone: bool,
    /// Whether some host of another domain may not be listed.
    has_unlisted: bool,
}

impl Membership {
    /// Knows only the own host.
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

    /// Number that rises with every change of [`Membership::live_hosts`].
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Marks the own host as leaving.
    pub fn leave(&mut self) {
        self.local_host.leaving = true;
        self.change_count += 1;
    }

    /// The own entry.
    pub fn local_host(&self) -> &HostEntry {
        &self.local_host
    }

    /// Takes the platform's list. An empty list changes nothing, as if the platform had not answered.
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
                // The list may still name the host's previous incarnation.
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

    /// Adds an entry or updates a known one; `None` when a later incarnation is known.
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

    /// Learns of a host by hearsay. It counts only once it is heard or listed, since the source may hold old news.
    pub fn on_indirect_report(&mut self, entry: &HostEntry, now: Duration) {
        if entry.id != self.local_host.id {
            self.upsert(entry, now);
        }
    }

    /// A host has answered, or a peer has passed on a sign of life that was not known before.
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

    /// A host has announced that an incarnation leaves.
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

    /// A message to a host was not answered.
    pub fn on_send_failed(&mut self, host: &str, now: Duration) {
        if let Some(record) = self.record_mut(host) {
            record.send_failed_at = Some(now);
        }
    }

    /// Recomputes the states. `remote_word` tells what is heard of a host of another domain.
    ///
    /// A host is gone when it has been silent for `gone_after` towards all peers that this host hears, a fresh list
    /// exists, and the list does not name it. Without a fresh list nobody is gone: limits then stay too low by a dead
    /// host's share, which is safe, while dropping hosts beyond a partition would let both sides exceed them.
    pub fn tick(&mut self, now: Duration, domain_report: impl Fn(&HostEntry) -> DomainReport) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if self.options.exchange_interval < gap {
            // The own process was paused; the silence was its own.
            self.shift_timestamps(gap);
        }
        let fresh = self.host_list_at.is_some_and(|at| now < at + self.options.host_list_max_age);
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
        let may_remove = fresh && has_witnesses;
        let mut newly_gone = 0;
        for record in self.same_domain.values_mut() {
            newly_gone += u64::from(record.update_state(
                &self.options,
                now,
                may_remove,
                self.options.gone_after,
            ));
        }
        // The list vouches for a listed host of another domain, and without a fresh list no state of such a host
        // changes, so the sums of its domain are looked up only when they decide.
        if may_remove && self.has_unlisted {
            let candidates = self.other_domains.values_mut().filter(|record| !record.is_listed);
            for record in candidates.filter(|record| record.state != MemberState::Gone) {
                let report = domain_report(&record.entry);
                record.last_contact = record.last_contact.max(report.last_contact);
                // Its own domain has waited for it already.
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

    /// Whether some known host is not counted, so that signs of life of any host may change the count.
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

    /// All counted hosts with the own one, ascending by id. Leaving hosts are among them until they have gone, because
    /// they still hold connections; they get no new work.
    pub fn live_hosts(&self) -> Vec<HostEntry> {
        let counted = self.records().filter(|record| record.state != MemberState::Gone);
        let mut hosts: Vec<_> = counted.map(|record| record.entry.clone()).collect();
        hosts.push(self.local_host.clone());
        hosts.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        hosts
    }

    /// The record of a host.
    pub fn record(&self, host: &str) -> Option<&MemberRecord> {
        self.same_domain.get(host).or_else(|| self.other_domains.get(host))
    }

    /// Whether the platform has answered since the start.
    pub fn has_host_list(&self) -> bool {
        self.host_list_at.is_some()
    }

    /// Number of records.
    pub fn host_count(&self) -> usize {
        self.same_domain.len() + self.other_domains.len()
    }

    /// All records: the own domain first, each part ascending by id.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.same_domain.values().chain(self.other_domains.values())
    }

    /// Records of the own domain, ascending by id.
    pub fn same_domain_hosts(&self) -> impl Iterator<Item = &MemberRecord> {
        self.same_domain.values()
    }

    /// Records of the other domains, ascending by id.
    pub fn other_domain_hosts(&self) -> impl Iterator<Item = &MemberRecord> {
        self.other_domains.values()
    }

    /// Ids of the hosts of a domain that take part in its roles: alive and not leaving.
    pub fn eligible_hosts<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        let is_own = self.local_host.domain == domain;
        let local_id = (is_own && !self.local_host.leaving).then_some(self.local_host.id.as_str());
        let members = if is_own { &self.same_domain } else { &self.other_domains };
        let others = members.values().filter(move |record| {
            (is_own || record.entry.domain == domain)
                && !record.entry.leaving
                && record.state == MemberState::Alive
        });
        others.map(|record| record.entry.id.as_str()).chain(local_id)
    }

    /// Whether a message to the host is worth sending: it is counted and has not just failed to answer.
    pub fn is_reachable(&self, record: &MemberRecord, now: Duration) -> bool {
        let failed = record.send_failed_at.is_some_and(|at| now < at + SEND_RETRY_DELAY);
        record.state != MemberState::Gone && !failed
    }
}
