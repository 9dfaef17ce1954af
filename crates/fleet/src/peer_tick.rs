//! Periodic work of a peer: heartbeats, domain summaries, roles and exchanges.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::host::HostEntry;
use vanillapick_model::table::ConfigRevision;

use crate::exchange::Delta;
use crate::exchange::HeartbeatEntry;
use crate::exchange::HeartbeatList;
use crate::exchange::PeerMessage;
use crate::membership::DomainReport;
use crate::membership::MemberRecord;
use crate::membership::MemberState;
use crate::origin_row::OriginRow;
use crate::origin_row::RowOrigin;
use crate::origin_row::RowScope;
use crate::peer_state::PeerAction;
use crate::peer_state::PeerState;
use crate::replicated_config::DELEGATES_PER_DOMAIN;
use crate::replicated_config::WATCHERS_PER_DOMAIN;
use crate::replicated_config::role_holders;

/// Time between updates of member states and of the local host's roles.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of peers contacted immediately after the start, and of replies required before a configuration is activated.
pub(crate) const STARTUP_PEERS: usize = 3;

/// One in this many exchanges goes to any known host, including gone ones, to detect that a partition has healed.
const EXCHANGES_PER_PROBE: u32 = 16;

impl PeerState {
    /// Runs the periodic work that is due; called about every 200 ms.
    pub fn on_tick(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        self.install_pending_config(now, rng, &mut actions);
        if self.membership_due <= now {
            self.membership_due = now + MEMBERSHIP_INTERVAL;
            self.update_membership(now, &mut actions);
        }
        if self.heartbeat_due <= now {
            self.heartbeat_due = now + self.options.exchange_interval;
            self.publish_pending_marks(now);
            self.own_row_mut(now).advance_heartbeat(now);
            let wall_ms = self.wall_ms(now);
            self.shared.urgent.expire(wall_ms);
        }
        if self.is_delegate && self.summary_due <= now {
            self.summary_due = now + self.options.summary_interval;
            self.publish_summary(now);
        }
        self.request_initial_state(now, rng, &mut actions);
        self.exchange_when_due(now, rng, &mut actions);
        self.report_live_hosts(&mut actions);
        actions
    }

    fn update_membership(&mut self, now: Duration, actions: &mut Vec<PeerAction>) {
        let (shared, suspect_after) = (&self.shared, self.options.suspect_after);
        self.membership.tick(now, |host| {
            let mut report = DomainReport::default();
            for row in shared.rows().filter(|row| row.origin.scope == RowScope::Domain) {
                if row.origin.host.domain != host.domain {
                    continue;
                }
                report.is_domain_active |= now < row.last_progress + suspect_after;
                if row.has_member(&host.id) {
                    report.last_contact = report.last_contact.max(Some(row.last_progress));
                }
            }
            report
        });
        let domain = &self.local_host().domain;
        let rank = |role, count| {
            let hosts = self.membership.eligible_hosts(domain);
            role_holders(role, domain, hosts, count)
                .iter()
                .position(|host| *host == self.local_host().id)
        };
        let watches_store = rank("watcher", WATCHERS_PER_DOMAIN).is_some();
        let delegate_rank = rank("delegate", DELEGATES_PER_DOMAIN);
        self.is_delegate = delegate_rank.is_some();
        self.is_first_delegate = delegate_rank == Some(0);
        if self.watches_store != watches_store {
            self.watches_store = watches_store;
            actions.push(PeerAction::WatchStore(watches_store));
        }
        self.drop_old_rows(now);
    }

    fn drop_old_rows(&mut self, now: Duration) {
        let (retention, membership) = (self.options.row_retention, &self.membership);
        let own = [self.own_tag, self.summary_tag];
        self.shared.drop_rows(now, 3 * retention, |row| {
            let is_recent = now < row.last_progress + retention;
            if is_recent || own.contains(&row.origin.tag()) {
                return true;
            }
            if row.origin.scope == RowScope::Domain {
                return false;
            }
            let gone = membership.record(&row.origin.host.id).is_none_or(|record| {
                record.state == MemberState::Gone
                    || record.entry.incarnation != row.origin.host.incarnation
            });
            !gone || !row.has_no_evidence()
        });
    }

    /// Publishes pending marks that no higher-ranked host has published in the meantime.
    fn publish_pending_marks(&mut self, now: Duration) {
        let due: Vec<_> = self
            .pending_marks
            .extract_if(.., |_, (_, due)| *due <= now)
            .map(|(_, pending)| pending.0)
            .collect();
        for mark in due {
            let own = self.own_tag;
            let published = self.shared.rows().any(|row| {
                let known = row.mark(&mark.target).filter(|_| row.origin.tag() != own);
                known.is_some_and(|known| mark <= *known || mark.reports_same_state(known))
            });
            if !published {
                self.own_row_mut(now).publish_mark(&mark);
            }
        }
    }

    /// Publishes a summary of the local domain for the other domains: its hosts and, on the highest-ranked delegate,
    /// its counters and marks. The other delegate is a standby: a second copy of the counters would double their
    /// traffic.
    fn publish_summary(&mut self, now: Duration) {
        let host = self.local_host().clone();
        let domain = &host.domain;
        let members: Vec<_> = self
            .membership
            .live_hosts()
            .into_iter()
            .filter(|member| member.domain == *domain)
            .collect();
        let sums = self.shared.sum_host_evidence(|_| self.is_first_delegate);
        let host_rows = self.shared.rows().filter(|row| row.origin.scope == RowScope::Host);
        let host_rows = host_rows.filter(|_| self.is_first_delegate);
        let marks: Vec<_> = host_rows.flat_map(OriginRow::marks).cloned().collect();
        let make = || OriginRow::new(RowOrigin { host, scope: RowScope::Domain }, now);
        let row = self.shared.own_row(self.summary_tag, make);
        row.publish_members(&members);
        for (key, sum) in &sums {
            row.publish_sum(key, *sum);
        }
        for mark in &marks {
            row.publish_mark(mark);
        }
        row.advance_heartbeat(now);
    }

    /// Contacts a few peers immediately after the start, so that a configuration is active within one round trip.
    fn request_initial_state(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        if self.has_requested_state || self.membership.host_count() == 0 {
            return;
        }
        self.has_requested_state = true;
        let known: Vec<_> = self.membership.records().map(|record| record.entry.clone()).collect();
        let same_domain: Vec<_> =
            known.iter().filter(|host| host.domain == self.local_host().domain).cloned().collect();
        let candidates = if same_domain.len() < STARTUP_PEERS { known } else { same_domain };
        for (index, peer) in candidates.choose_multiple(rng, STARTUP_PEERS).enumerate() {
            let mut action = self.build_exchange(peer.clone());
            if let PeerAction::Send { message: PeerMessage::Exchange { digest, .. }, .. } =
                &mut action
                && index != 0
            {
                // Only the first peer sends the whole table; the others report their revisions, and a peer with a newer
                // table is then asked for it.
                digest.wanted_above = ConfigRevision::MAX;
            }
            actions.push(action);
        }
        // A random phase spreads out the exchanges of hosts that start at the same time.
        let interval = self.options.exchange_interval.as_micros().max(1) as u64;
        self.exchange_due = Some(now + Duration::from_micros(rng.random_range(0..interval)));
    }

    fn exchange_when_due(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<PeerAction>,
    ) {
        if self.exchange_due.is_none_or(|due| now < due) {
            return;
        }
        let interval = self.options.exchange_interval;
        let next = self.exchange_due.unwrap_or(now) + interval;
        self.exchange_due = Some(if next <= now { now + interval } else { next });
        if let Some(peer) = self.choose_peer(now, rng) {
            actions.push(self.build_exchange(peer));
        }
        if self.is_delegate
            && let Some(peer) = self.choose_cross_domain_peer(now, rng)
        {
            actions.push(self.build_exchange(peer));
        }
    }

    fn choose_peer(&self, now: Duration, rng: &mut ChaCha8Rng) -> Option<HostEntry> {
        let all: Vec<_> = self.membership.same_domain_hosts().collect();
        let reachable: Vec<_> = all
            .iter()
            .filter(|record| self.membership.is_reachable(record, now))
            .copied()
            .collect();
        let is_probe = reachable.is_empty() || rng.random_ratio(1, EXCHANGES_PER_PROBE);
        let chosen = if is_probe { all.choose(rng) } else { reachable.choose(rng) };
        chosen.map(|record| record.entry.clone())
    }

    fn choose_cross_domain_peer(&self, now: Duration, rng: &mut ChaCha8Rng) -> Option<HostEntry> {
        let domain = self.other_domains().choose(rng)?.clone();
        let delegates = self.delegates_of(&domain, now);
        if let Some(delegate) = delegates.choose(rng) {
            return Some(delegate.clone());
        }
        let all: Vec<_> =
            self.membership.records().filter(|record| record.entry.domain == domain).collect();
        all.choose(rng).map(|record| record.entry.clone())
    }

    pub(crate) fn other_domains(&self) -> Vec<String> {
        let records = self.membership.other_domain_hosts();
        let mut domains: Vec<_> = records.map(|record| &record.entry.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.into_iter().cloned().collect()
    }

    /// Reachable hosts with the highest ranks for the delegate role of a domain.
    pub(crate) fn delegates_of(&self, domain: &str, now: Duration) -> Vec<HostEntry> {
        let reachable = |record: &&MemberRecord| self.membership.is_reachable(record, now);
        let hosts = self.membership.eligible_hosts(domain);
        let hosts = hosts.filter(|id| self.membership.record(id).as_ref().is_some_and(reachable));
        let ids = role_holders("delegate", domain, hosts, DELEGATES_PER_DOMAIN);
        let records = ids.iter().filter_map(|id| self.membership.record(id));
        records.map(|record| record.entry.clone()).collect()
    }

    /// Builds an exchange with a peer; a peer of the local domain also gets the latest changes of the host's own row.
    pub(crate) fn build_exchange(&mut self, peer: HostEntry) -> PeerAction {
        let filter = self.shared.filter_for(&peer.domain);
        let mut digest = self.shared.digest(filter);
        let pending_revision = self.pending_config.as_ref().map_or(0, |table| table.revision);
        digest.wanted_above = digest.wanted_above.max(pending_revision);
        let delta = if peer.domain == self.local_host().domain {
            self.own_row_delta()
        } else {
            Delta::default()
        };
        PeerAction::Send { peer, message: PeerMessage::Exchange { digest, delta: Box::new(delta) } }
    }

    fn own_row_delta(&mut self) -> Delta {
        let mut delta = Delta::default();
        let Some(row) = self.shared.row(self.own_tag) else { return delta };
        if let Some(changes) = row.delta_since(self.sent_heartbeat, &mut delta.names) {
            delta.heartbeats = HeartbeatList(vec![HeartbeatEntry::new(
                self.own_tag,
                row.heartbeat,
                row.heartbeat,
            )]);
            delta.rows.push(changes);
        }
        self.sent_heartbeat = row.heartbeat;
        delta
    }
}
