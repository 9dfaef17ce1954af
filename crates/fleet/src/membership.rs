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
const GONE_MEMORY: Duration = Duration::from_secs(3600);

/// Time for which a host that did not answer is not chosen as a peer.
const FAILED_PAUSE: Duration = Duration::from_secs(3);

/// Peers that must have been heard before silence of another host counts as its own fault.
const WITNESSES: usize = 2;

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
    pub last_word: Option<Duration>,
    listed: bool,
    since: Duration,
    failed_at: Option<Duration>,
}

impl MemberRecord {
    /// Recomputes the state from the silence; true when the host has just gone. `decides` tells whether absence from
    /// the list and silence towards this host prove anything, and `patience` how long a silence is needed.
    fn judge(
        &mut self,
        options: &PeerOptions,
        now: Duration,
        decides: bool,
        patience: Duration,
    ) -> bool {
        if self.state == MemberState::Gone {
            return false;
        }
        let quiet = now.saturating_sub(self.last_word.unwrap_or(self.since));
        // A host that was never heard may just be starting.
        let suspect_after = match self.last_word {
            Some(_) => options.suspect_after,
            None => options.gone_after,
        };
        if patience <= quiet && decides && !self.listed {
            self.state = MemberState::Gone;
            self.since = now;
            return true;
        }
        let is_suspect = suspect_after <= quiet;
        self.state = if is_suspect { MemberState::Suspect } else { MemberState::Alive };
        false
    }
}

/// What the sums of another domain say of one of its hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteWord {
    /// Latest sign of life of a delegate that counts the host.
    pub word: Option<Duration>,
    /// Whether a delegate of the domain was heard lately, whatever it says of the host.
    pub is_domain_heard: bool,
}

/// All known hosts but the own one.
#[derive(Clone, Debug)]
pub struct Membership {
    me: HostEntry,
    options: PeerOptions,
    /// Hosts of the own domain, which are looked at often.
    near: BTreeMap<HostId, MemberRecord>,
    /// Hosts of the other domains.
    far: BTreeMap<HostId, MemberRecord>,
    listed_at: Option<Duration>,
    last_tick: Duration,
    changes: u64,
    /// Whether some host may not be counted; false only when a look at all records has shown that all are.
    has_gone: bool,
    /// Whether some host of another domain may not be listed.
    has_unlisted: bool,
}

impl Membership {
    /// Knows only the own host.
    pub fn new(me: HostEntry, options: PeerOptions, now: Duration) -> Self {
        Self {
            me,
            options,
            near: BTreeMap::new(),
            far: BTreeMap::new(),
            listed_at: None,
            last_tick: now,
            changes: 0,
            has_gone: false,
            has_unlisted: false,
        }
    }

    /// Number that rises with every change of [`Membership::live`].
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Marks the own host as leaving.
    pub fn leave(&mut self) {
        self.me.leaving = true;
        self.changes += 1;
    }

    /// The own entry.
    pub fn me(&self) -> &HostEntry {
        &self.me
    }

    /// Takes the platform's list. An empty list changes nothing, as if the platform had not answered.
    pub fn on_list(&mut self, list: &[HostEntry], now: Duration) {
        if list.is_empty() {
            return;
        }
        self.listed_at = Some(now);
        for record in self.near.values_mut().chain(self.far.values_mut()) {
            record.listed = false;
        }
        for entry in list {
            if entry.id == self.me.id {
                // The list may still name the host's previous incarnation.
                if entry.leaving && entry.incarnation == self.me.incarnation && !self.me.leaving {
                    self.leave();
                }
                continue;
            }
            if let Some(record) = self.adopt(entry, now) {
                record.listed = true;
                if record.state == MemberState::Gone {
                    record.state = MemberState::Alive;
                    record.since = now;
                    self.changes += 1;
                }
            }
        }
        self.has_unlisted = self.far.values().any(|record| !record.listed);
    }

    /// Adds an entry or updates a known one; `None` when a later incarnation is known.
    fn adopt(&mut self, entry: &HostEntry, now: Duration) -> Option<&mut MemberRecord> {
        let is_near = entry.domain == self.me.domain;
        let members = if is_near { &mut self.near } else { &mut self.far };
        if !members.contains_key(&entry.id) {
            self.has_gone = true;
            self.has_unlisted = true;
        }
        let record = members.entry(entry.id.clone()).or_insert_with(|| MemberRecord {
            entry: entry.clone(),
            state: MemberState::Gone,
            last_word: None,
            listed: false,
            since: now,
            failed_at: None,
        });
        if entry.incarnation < record.entry.incarnation {
            return None;
        }
        let later = record.entry.incarnation < entry.incarnation;
        let leaving = entry.leaving || (!later && record.entry.leaving);
        if later || leaving != record.entry.leaving {
            record.entry = HostEntry { leaving, ..entry.clone() };
            self.changes += 1;
        }
        if later {
            record.since = now;
            record.failed_at = None;
        }
        Some(record)
    }

    /// Learns of a host by hearsay. It counts only once it is heard or listed, since the source may hold old news.
    pub fn on_hearsay(&mut self, entry: &HostEntry, now: Duration) {
        if entry.id != self.me.id {
            self.adopt(entry, now);
        }
    }

    /// A host has answered, or a peer has passed on a sign of life that was not known before.
    pub fn on_word(&mut self, entry: &HostEntry, now: Duration) {
        if entry.id == self.me.id {
            return;
        }
        let Some(record) = self.adopt(entry, now) else { return };
        record.last_word = Some(now);
        record.failed_at = None;
        if record.state == MemberState::Gone {
            record.state = MemberState::Alive;
            self.changes += 1;
        } else {
            record.state = MemberState::Alive;
        }
    }

    /// A host has announced that an incarnation leaves.
    pub fn on_leaving(&mut self, host: &str, incarnation: IncarnationNumber) {
        let Some(record) = self.record_mut(host) else { return };
        if record.entry.incarnation == incarnation && !record.entry.leaving {
            record.entry.leaving = true;
            self.changes += 1;
        }
    }

    fn record_mut(&mut self, host: &str) -> Option<&mut MemberRecord> {
        self.near.get_mut(host).or_else(|| self.far.get_mut(host))
    }

    /// A message to a host was not answered.
    pub fn on_failed(&mut self, host: &str, now: Duration) {
        if let Some(record) = self.record_mut(host) {
            record.failed_at = Some(now);
        }
    }

    /// Recomputes the states. `remote_word` tells what is heard of a host of another domain.
    ///
    /// A host is gone when it has been silent for `gone_after` towards all peers that this host hears, a fresh list
    /// exists, and the list does not name it. Without a fresh list nobody is gone: limits then stay too low by a dead
    /// host's share, which is safe, while dropping hosts beyond a partition would let both sides exceed them.
    pub fn tick(&mut self, now: Duration, remote_word: impl Fn(&HostEntry) -> RemoteWord) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if self.options.exchange_interval < gap {
            // The own process was paused; the silence was its own.
            self.excuse(gap);
        }
        let fresh = self.listed_at.is_some_and(|at| now < at + self.options.host_list_max_age);
        let suspect_after = self.options.suspect_after;
        let heard_recently =
            |record: &MemberRecord| record.last_word.is_some_and(|word| now < word + suspect_after);
        let heard = self.records().filter(|record| heard_recently(record)).take(WITNESSES).count();
        let counted = self.records().filter(|record| record.state != MemberState::Gone);
        let others = counted.take(WITNESSES + 1).count();
        let witnessed = WITNESSES.min(others.saturating_sub(1)) <= heard;
        let decides = fresh && witnessed;
        let mut gone = 0;
        for record in self.near.values_mut() {
            gone += u64::from(record.judge(&self.options, now, decides, self.options.gone_after));
        }
        // The list vouches for a listed host of another domain, and without a fresh list no state of such a host
        // changes, so the sums of its domain are looked up only when they decide.
        if decides && self.has_unlisted {
            let undecided = self.far.values_mut().filter(|record| !record.listed);
            for record in undecided.filter(|record| record.state != MemberState::Gone) {
                let heard = remote_word(&record.entry);
                record.last_word = record.last_word.max(heard.word);
                // Its own domain has waited for it already.
                let patience = match heard.is_domain_heard {
                    true => 2 * self.options.summary_interval,
                    false => self.options.gone_after,
                };
                gone += u64::from(record.judge(&self.options, now, decides, patience));
            }
        }
        self.changes += gone;
        self.has_gone |= gone != 0;
        self.forget_gone(now);
    }

    fn forget_gone(&mut self, now: Duration) {
        if !self.has_gone {
            return;
        }
        let has_gone = self.records().any(|record| record.state == MemberState::Gone);
        self.has_gone = has_gone;
        let remembers = |record: &MemberRecord| {
            record.state != MemberState::Gone || now < record.since + GONE_MEMORY
        };
        self.near.retain(|_, record| remembers(record));
        self.far.retain(|_, record| remembers(record));
    }

    /// Whether some known host is not counted, so that signs of life of any host may change the count.
    pub fn has_gone(&self) -> bool {
        self.has_gone
    }

    fn excuse(&mut self, gap: Duration) {
        for record in self.near.values_mut().chain(self.far.values_mut()) {
            record.last_word = record.last_word.map(|word| word + gap);
            record.since += gap;
        }
        self.listed_at = self.listed_at.map(|at| at + gap);
    }

    /// All counted hosts with the own one, ascending by id. Leaving hosts are among them until they have gone, because
    /// they still hold connections; they get no new work.
    pub fn live(&self) -> Vec<HostEntry> {
        let counted = self.records().filter(|record| record.state != MemberState::Gone);
        let mut hosts: Vec<_> = counted.map(|record| record.entry.clone()).collect();
        hosts.push(self.me.clone());
        hosts.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        hosts
    }

    /// The record of a host.
    pub fn record(&self, host: &str) -> Option<&MemberRecord> {
        self.near.get(host).or_else(|| self.far.get(host))
    }

    /// Whether the platform has answered since the start.
    pub fn has_list(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Number of records.
    pub fn count(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// All records: the own domain first, each part ascending by id.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.near.values().chain(self.far.values())
    }

    /// Records of the own domain, ascending by id.
    pub fn near(&self) -> impl Iterator<Item = &MemberRecord> {
        self.near.values()
    }

    /// Records of the other domains, ascending by id.
    pub fn far(&self) -> impl Iterator<Item = &MemberRecord> {
        self.far.values()
    }

    /// Ids of the hosts of a domain that take part in its roles: alive and not leaving.
    pub fn working_in<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        let is_own = self.me.domain == domain;
        let me = (is_own && !self.me.leaving).then_some(self.me.id.as_str());
        let members = if is_own { &self.near } else { &self.far };
        let others = members.values().filter(move |record| {
            (is_own || record.entry.domain == domain)
                && !record.entry.leaving
                && record.state == MemberState::Alive
        });
        others.map(|record| record.entry.id.as_str()).chain(me)
    }

    /// Whether a message to the host is worth sending: it is counted and has not just failed to answer.
    pub fn is_reachable(&self, record: &MemberRecord, now: Duration) -> bool {
        let failed = record.failed_at.is_some_and(|at| now < at + FAILED_PAUSE);
        record.state != MemberState::Gone && !failed
    }
}
