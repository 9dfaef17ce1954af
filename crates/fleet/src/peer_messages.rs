//! What a host does with messages of its peers.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::table::ConfigRevision;
use vanillapick_model::table::ConfigTable;

use crate::exchange::Delta;
use crate::exchange::Digest;
use crate::exchange::PeerMessage;
use crate::membership::MemberState;
use crate::origin_row::RowScope;
use crate::peer_state::PeerAction;
use crate::peer_state::PeerState;
use crate::peer_tick::START_PEERS;
use crate::replicated_config::ConfigPayload;
use crate::shared_state::MergeReport;
use crate::shared_state::RowFilter;
use crate::urgent::UrgentHash;
use crate::urgent::UrgentItem;

/// What a peer's reply has shown of its state.
struct Told {
    revision: ConfigRevision,
    urgent: UrgentHash,
    items: Vec<UrgentItem>,
}

impl PeerState {
    /// Takes a message, or the answer to one. The first part of the result is the answer to the sender, if the message
    /// asks for one.
    pub fn on_message(
        &mut self,
        from: &HostEntry,
        message: PeerMessage,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Option<PeerMessage>, Vec<PeerAction>) {
        let mut actions = Vec::new();
        self.membership.on_contact(from, now);
        let reply = match message {
            PeerMessage::Exchange { digest, delta } => {
                self.absorb(*delta, from, now, rng, &mut actions);
                let live_rows = self.shared.observe_heartbeats(&digest.heartbeats, now);
                self.note_signs_of_life(&MergeReport { live_rows, ..MergeReport::default() }, now);
                if self.wanted_above() < digest.revision {
                    self.pull(from, now, &mut actions);
                }
                let delta = Box::new(self.delta_for(&digest, from, rng));
                Some(PeerMessage::ExchangeReply { delta })
            }
            PeerMessage::ExchangeReply { delta } => {
                self.heard.insert(from.id.clone());
                let told = Told {
                    revision: delta.revision,
                    urgent: delta.urgent,
                    items: delta.items.clone(),
                };
                self.absorb(*delta, from, now, rng, &mut actions);
                self.tell_surplus(from, &told, &mut actions);
                if self.wanted_above() < told.revision {
                    self.pull(from, now, &mut actions);
                }
                self.put_candidate_in_force(now, rng, &mut actions);
                None
            }
            PeerMessage::Push { items } => {
                self.on_push(from, items, now, rng, &mut actions);
                None
            }
        };
        self.report_live(&mut actions);
        (reply, actions)
    }

    /// Takes the result of a [`PeerAction::Send`]: whether the peer has answered at all.
    pub fn on_sent(&mut self, peer: &HostEntry, ok: bool, now: Duration) -> Vec<PeerAction> {
        if ok {
            self.membership.on_contact(peer, now);
        } else {
            self.membership.on_send_failed(&peer.id, now);
        }
        let mut actions = Vec::new();
        self.report_live(&mut actions);
        actions
    }

    fn wanted_above(&self) -> ConfigRevision {
        let candidate = self.candidate.as_ref().map_or(0, |table| table.revision);
        self.shared.config.wanted_above().max(candidate)
    }

    fn delta_for(&self, digest: &Digest, from: &HostEntry, rng: &mut ChaCha8Rng) -> Delta {
        let filter = self.shared.filter_for(&from.domain);
        let budget = match filter {
            RowFilter::OtherDomain => self.options.cross_domain_reply_budget_bytes,
            _ => self.options.reply_budget_bytes,
        };
        let first = usize::from(rng.random::<u16>());
        self.shared.delta_for(digest, filter, first, budget)
    }

    /// Asks a peer for a newer configuration, unless another one was asked just now.
    fn pull(&mut self, from: &HostEntry, now: Duration, actions: &mut Vec<PeerAction>) {
        if now < self.pulling_until {
            return;
        }
        self.pulling_until = now + self.options.pull_timeout;
        actions.push(self.exchange_with(from.clone()));
    }

    fn absorb(
        &mut self,
        mut delta: Delta,
        from: &HostEntry,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        if self.is_settling(now)
            && let Some(ConfigPayload::Whole(table)) = delta.config.take()
        {
            self.keep_candidate(table);
        }
        let wall_ms = self.wall_ms(now);
        let before = self.shared.config.table().cloned();
        let mut report = self.shared.merge_delta(&delta, now, wall_ms);
        if report.config_installed {
            self.after_install(before, now, rng, actions);
        }
        self.note_signs_of_life(&report, now);
        let items = std::mem::take(&mut report.items);
        self.take_items(items, Some(&from.id), now, rng, actions);
        if !report.marks.is_empty() {
            actions.push(PeerAction::TargetMarks(report.marks));
        }
        if report.evidence_changed {
            actions.push(PeerAction::EvidenceChanged);
        }
    }

    fn note_signs_of_life(&mut self, report: &MergeReport, now: Duration) {
        for tag in report.new_rows.iter().chain(&report.live_rows) {
            let Some(row) = self.shared.row(*tag) else { continue };
            // The first news of a row may be old, so it proves nothing about its writer.
            let is_word = !report.new_rows.contains(tag);
            if row.origin.scope == RowScope::Domain {
                // Hosts of the own domain are judged by their own rows; its sums come back from other domains late.
                if row.origin.host.domain == self.local_host().domain {
                    continue;
                }
                if report.members_changed.contains(tag) || self.membership.has_gone() {
                    let hosts: Vec<_> = row.members().cloned().collect();
                    self.note_members(&hosts, is_word, now);
                }
            } else if is_word {
                self.membership.on_contact(&row.origin.host, now);
            } else {
                self.membership.on_indirect_report(&row.origin.host, now);
            }
        }
    }

    /// Takes the hosts that a delegate of another domain counts.
    fn note_members(&mut self, hosts: &[HostEntry], is_word: bool, now: Duration) {
        for host in hosts {
            let is_settled = self
                .membership
                .record(&host.id)
                .is_some_and(|known| known.state != MemberState::Gone && known.entry == *host);
            match is_word {
                _ if is_settled => {}
                true => self.membership.on_contact(host, now),
                false => self.membership.on_indirect_report(host, now),
            }
        }
    }

    /// Takes new urgent items: acts on them and passes them on.
    fn take_items(
        &mut self,
        items: Vec<UrgentItem>,
        from: Option<&HostId>,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        let mut crashes = Vec::new();
        for item in &items {
            match item {
                UrgentItem::Revision(_) => {}
                UrgentItem::Crash(mark) => crashes.push(*mark),
                UrgentItem::Rollback(flag) => actions.push(PeerAction::Rollback(flag.clone())),
                UrgentItem::Leaving(host) => {
                    self.membership.on_leaving(&host.host, host.incarnation);
                }
            }
        }
        if !crashes.is_empty() {
            actions.push(PeerAction::CrashMarks(crashes));
        }
        if !items.is_empty() {
            actions.extend(self.push(&items, from, now, rng));
        }
    }

    fn on_push(
        &mut self,
        from: &HostEntry,
        items: Vec<UrgentItem>,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        let wall_ms = self.wall_ms(now);
        let mut new_items = Vec::new();
        for item in items {
            if let UrgentItem::Revision(revision) = item {
                if self.wanted_above() < revision {
                    self.pull(from, now, actions);
                }
            } else if self.shared.urgent.insert(&item, wall_ms) {
                new_items.push(item);
            }
        }
        self.take_items(new_items, Some(&from.id), now, rng, actions);
    }

    /// Sends urgent items to a few peers of the own domain, and as a delegate to delegates of other domains. The host an
    /// item starts from includes a delegate of its own domain.
    pub(crate) fn push(
        &self,
        items: &[UrgentItem],
        from: Option<&HostId>,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PeerAction> {
        let domain = &self.local_host().domain;
        let fanout = self.options.push_fanout;
        let candidates: Vec<_> = self
            .membership
            .same_domain_hosts()
            .filter(|record| Some(&record.entry.id) != from)
            .filter(|record| self.membership.is_reachable(record, now))
            .map(|record| record.entry.clone())
            .collect();
        let mut peers: Vec<_> = candidates.choose_multiple(rng, fanout).cloned().collect();
        if self.is_delegate {
            let mut domains = self.other_domains();
            domains.shuffle(rng);
            let delegates = domains.iter().take(fanout);
            let delegates =
                delegates.filter_map(|other| self.delegates_of(other, now).choose(rng).cloned());
            peers.extend(delegates.collect::<Vec<_>>());
        } else if from.is_none()
            && let Some(delegate) = self.delegates_of(domain, now).choose(rng)
            && !peers.contains(delegate)
        {
            peers.pop();
            peers.push(delegate.clone());
        }
        let message = PeerMessage::Push { items: items.to_vec() };
        peers.into_iter().map(|peer| PeerAction::Send { peer, message: message.clone() }).collect()
    }

    /// Tells a peer what it was seen to lack, so that both sides of a healed partition learn in one exchange.
    fn tell_surplus(&self, peer: &HostEntry, told: &Told, actions: &mut Vec<PeerAction>) {
        let mut items = self.shared.urgent.items_for(told.urgent);
        items.retain(|item| !told.items.contains(item));
        let revision = self.shared.config.revision();
        if told.revision < revision {
            items.push(UrgentItem::Revision(revision));
        }
        if !items.is_empty() {
            let message = PeerMessage::Push { items };
            actions.push(PeerAction::Send { peer: peer.clone(), message });
        }
    }

    /// Whether a configuration has to wait for what more peers say about the revision, or for the peers to be known.
    fn is_settling(&self, now: Duration) -> bool {
        let peers = self.membership.host_count();
        let knows_peers = peers != 0 || self.membership.has_host_list();
        self.shared.config.table().is_none()
            && (!knows_peers || self.heard.len() < START_PEERS.min(peers))
            && now < self.started + self.options.startup_grace
    }

    fn keep_candidate(&mut self, table: Arc<ConfigTable>) {
        if self.candidate.as_ref().is_none_or(|known| known.revision < table.revision) {
            self.candidate = Some(table);
        }
    }

    pub(crate) fn put_candidate_in_force(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        if self.candidate.is_none() || self.is_settling(now) {
            return;
        }
        if let Some(table) = self.candidate.take() {
            self.offer_config(table, now, rng, actions);
        }
    }

    /// Puts a configuration in force if it is newer and has no findings, or keeps it while the start settles.
    pub(crate) fn offer_config(
        &mut self,
        table: Arc<ConfigTable>,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        if self.is_settling(now) {
            self.keep_candidate(table);
            return;
        }
        let before = self.shared.config.table().cloned();
        if self.shared.config.accept(table) {
            self.after_install(before, now, rng, actions);
        }
    }

    fn after_install(
        &mut self,
        before: Option<Arc<ConfigTable>>,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        let Some(table) = self.shared.config.table().cloned() else { return };
        let ended: Vec<_> = before.iter().flat_map(|before| move_ids(before)).collect();
        for id in ended.into_iter().filter(|id| !move_ids(&table).any(|stays| stays == *id)) {
            self.shared.end_move(id);
        }
        let revision = table.revision;
        actions.push(PeerAction::InstallConfig(table));
        actions.extend(self.push(&[UrgentItem::Revision(revision)], None, now, rng));
    }
}

fn move_ids(table: &ConfigTable) -> impl Iterator<Item = &str> {
    let moves = table.routes.values().filter_map(|row| row.version_move.as_ref());
    moves.map(|version_move| version_move.id.as_str())
}
