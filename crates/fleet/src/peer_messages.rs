//! Handling of messages from other hosts.

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
use crate::peer_tick::STARTUP_PEERS;
use crate::replicated_config::ConfigPayload;
use crate::shared_state::MergeReport;
use crate::shared_state::RowFilter;
use crate::urgent::UrgentHash;
use crate::urgent::UrgentItem;

/// State of a peer as reported by its reply.
struct ReplySummary {
    revision: ConfigRevision,
    urgent: UrgentHash,
    items: Vec<UrgentItem>,
}

impl PeerState {
    /// Handles a message or a reply. The first part of the result is the reply to the sender, if the message requires
    /// one.
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
                self.apply_delta(*delta, from, now, rng, &mut actions);
                let live_rows = self.shared.observe_heartbeats(&digest.heartbeats, now);
                self.record_liveness(&MergeReport { live_rows, ..MergeReport::default() }, now);
                if self.wanted_above() < digest.revision {
                    self.request_config(from, now, &mut actions);
                }
                let delta = Box::new(self.delta_for(&digest, from, rng));
                Some(PeerMessage::ExchangeReply { delta })
            }
            PeerMessage::ExchangeReply { delta } => {
                self.replied_peers.insert(from.id.clone());
                let summary = ReplySummary {
                    revision: delta.revision,
                    urgent: delta.urgent,
                    items: delta.items.clone(),
                };
                self.apply_delta(*delta, from, now, rng, &mut actions);
                self.push_missing_items(from, &summary, &mut actions);
                if self.wanted_above() < summary.revision {
                    self.request_config(from, now, &mut actions);
                }
                self.install_pending_config(now, rng, &mut actions);
                None
            }
            PeerMessage::Push { items } => {
                self.on_push(from, items, now, rng, &mut actions);
                None
            }
        };
        self.report_live_hosts(&mut actions);
        (reply, actions)
    }

    /// Handles the result of a [`PeerAction::Send`]; `has_replied` is false if the peer did not respond.
    pub fn on_sent(
        &mut self,
        peer: &HostEntry,
        has_replied: bool,
        now: Duration,
    ) -> Vec<PeerAction> {
        if has_replied {
            self.membership.on_contact(peer, now);
        } else {
            self.membership.on_send_failed(&peer.id, now);
        }
        let mut actions = Vec::new();
        self.report_live_hosts(&mut actions);
        actions
    }

    fn wanted_above(&self) -> ConfigRevision {
        let pending_revision = self.pending_config.as_ref().map_or(0, |table| table.revision);
        self.shared.config.wanted_above().max(pending_revision)
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

    /// Requests a newer configuration from a peer, unless a recent request may still be answered.
    fn request_config(&mut self, from: &HostEntry, now: Duration, actions: &mut Vec<PeerAction>) {
        if now < self.pull_timeout_at {
            return;
        }
        self.pull_timeout_at = now + self.options.pull_timeout;
        actions.push(self.build_exchange(from.clone()));
    }

    fn apply_delta(
        &mut self,
        mut delta: Delta,
        from: &HostEntry,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        if self.awaits_startup_peers(now)
            && let Some(ConfigPayload::Whole(table)) = delta.config.take()
        {
            self.keep_pending_config(table);
        }
        let wall_ms = self.wall_ms(now);
        let before = self.shared.config.table().cloned();
        let mut report = self.shared.merge_delta(&delta, now, wall_ms);
        if report.config_installed {
            self.on_config_installed(before, now, rng, actions);
        }
        self.record_liveness(&report, now);
        let items = std::mem::take(&mut report.items);
        self.handle_new_items(items, Some(&from.id), now, rng, actions);
        if !report.marks.is_empty() {
            actions.push(PeerAction::TargetMarks(report.marks));
        }
        if report.evidence_changed {
            actions.push(PeerAction::EvidenceChanged);
        }
    }

    fn record_liveness(&mut self, report: &MergeReport, now: Duration) {
        for tag in report.new_rows.iter().chain(&report.live_rows) {
            let Some(row) = self.shared.row(*tag) else { continue };
            // The first delta of a row may be outdated, so it does not prove that its writer is alive.
            let proves_liveness = !report.new_rows.contains(tag);
            if row.origin.scope == RowScope::Domain {
                // Hosts of the local domain are tracked by their own rows; summaries of this domain return from other
                // domains with a delay.
                if row.origin.host.domain == self.local_host().domain {
                    continue;
                }
                if report.members_changed.contains(tag) || self.membership.has_gone() {
                    let hosts: Vec<_> = row.members().cloned().collect();
                    self.record_domain_members(&hosts, proves_liveness, now);
                }
            } else if proves_liveness {
                self.membership.on_contact(&row.origin.host, now);
            } else {
                self.membership.on_indirect_report(&row.origin.host, now);
            }
        }
    }

    /// Records the hosts that a delegate of another domain lists as live.
    fn record_domain_members(&mut self, hosts: &[HostEntry], proves_liveness: bool, now: Duration) {
        for host in hosts {
            let is_unchanged = self
                .membership
                .record(&host.id)
                .is_some_and(|known| known.state != MemberState::Gone && known.entry == *host);
            match proves_liveness {
                _ if is_unchanged => {}
                true => self.membership.on_contact(host, now),
                false => self.membership.on_indirect_report(host, now),
            }
        }
    }

    /// Applies new urgent items and forwards them.
    fn handle_new_items(
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
                    self.request_config(from, now, actions);
                }
            } else if self.shared.urgent.insert(&item, wall_ms) {
                new_items.push(item);
            }
        }
        self.handle_new_items(new_items, Some(&from.id), now, rng, actions);
    }

    /// Sends urgent items to a few peers of the local domain and, on a delegate, to delegates of other domains. A host
    /// that creates an item also sends it to a delegate of its domain.
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

    /// Sends a peer what its reply showed to be missing, so that one exchange updates both sides of a healed partition.
    fn push_missing_items(
        &self,
        peer: &HostEntry,
        summary: &ReplySummary,
        actions: &mut Vec<PeerAction>,
    ) {
        let mut items = self.shared.urgent.items_for(summary.urgent);
        items.retain(|item| !summary.items.contains(item));
        let revision = self.shared.config.revision();
        if summary.revision < revision {
            items.push(UrgentItem::Revision(revision));
        }
        if !items.is_empty() {
            let message = PeerMessage::Push { items };
            actions.push(PeerAction::Send { peer: peer.clone(), message });
        }
    }

    /// Whether a configuration has to wait until enough startup peers have reported their revision, or until any peers
    /// are known.
    fn awaits_startup_peers(&self, now: Duration) -> bool {
        let peers = self.membership.host_count();
        let knows_peers = peers != 0 || self.membership.has_host_list();
        self.shared.config.table().is_none()
            && (!knows_peers || self.replied_peers.len() < STARTUP_PEERS.min(peers))
            && now < self.started + self.options.startup_grace
    }

    fn keep_pending_config(&mut self, table: Arc<ConfigTable>) {
        if self.pending_config.as_ref().is_none_or(|known| known.revision < table.revision) {
            self.pending_config = Some(table);
        }
    }

    pub(crate) fn install_pending_config(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        if self.pending_config.is_none() || self.awaits_startup_peers(now) {
            return;
        }
        if let Some(table) = self.pending_config.take() {
            self.install_or_defer_config(table, now, rng, actions);
        }
    }

    /// Activates a configuration if it is newer and has no findings, or keeps it while waiting for startup peers.
    pub(crate) fn install_or_defer_config(
        &mut self,
        table: Arc<ConfigTable>,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        if self.awaits_startup_peers(now) {
            self.keep_pending_config(table);
            return;
        }
        let before = self.shared.config.table().cloned();
        if self.shared.config.accept(table) {
            self.on_config_installed(before, now, rng, actions);
        }
    }

    fn on_config_installed(
        &mut self,
        before: Option<Arc<ConfigTable>>,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        let Some(table) = self.shared.config.table().cloned() else { return };
        let ended: Vec<_> = before.iter().flat_map(|before| move_ids(before)).collect();
        for id in ended.into_iter().filter(|id| !move_ids(&table).any(|remains| remains == *id)) {
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
