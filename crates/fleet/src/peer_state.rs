//! One host as a peer of the others: what it knows, and what it wants done.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::target::TargetId;

use crate::evidence::EvidenceCounters;
use crate::evidence::EvidenceKey;
use crate::evidence::EvidenceTable;
use crate::exchange::PeerMessage;
use crate::marks::TargetMark;
use crate::membership::Membership;
use crate::origin_row::HeartbeatNumber;
use crate::origin_row::OriginRow;
use crate::origin_row::OriginTag;
use crate::origin_row::RowOrigin;
use crate::origin_row::RowScope;
use crate::peer_options::PeerOptions;
use crate::replicated_config::role_holders;
use crate::shared_state::SharedState;
use crate::urgent::LeavingHost;
use crate::urgent::RollbackFlag;
use crate::urgent::UrgentItem;

/// Time for which a leaving host is remembered as such.
const LEAVING_RETENTION: Duration = Duration::from_secs(3600);

/// Role of the hosts that publish changed marks of a target; the first of them also probes it.
pub const MARK_PUBLISHER_ROLE: &str = "mark";

/// Hosts per target that publish a changed mark without waiting; two, so that the loss of one delays none.
const MARK_PUBLISHERS: usize = 2;

/// What the driver of a [`PeerState`] has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerAction {
    /// Send a message, report the result with [`PeerState::on_sent`], and pass an answer to [`PeerState::on_message`].
    Send {
        /// The receiver.
        peer: HostEntry,
        /// The message.
        message: PeerMessage,
    },
    /// Serve by this configuration from now on.
    InstallConfig(Arc<ConfigTable>),
    /// Divide limits over these hosts from now on; ascending by id, with the own host and with leaving hosts.
    LiveHostsChanged(Vec<HostEntry>),
    /// Start or stop watching the configuration in the store.
    WatchStore(bool),
    /// Stop attempts of these fingerprints.
    CrashMarks(Vec<CrashMark>),
    /// Take over what other hosts have seen of these targets.
    TargetMarks(Vec<TargetMark>),
    /// Decide on running moves again with [`PeerState::evidence`].
    EvidenceChanged,
    /// Send the move's traffic back to the old pool, and record it in the store when that is reachable.
    Rollback(RollbackFlag),
}

/// One host as a peer of the others.
#[derive(Clone, Debug)]
pub struct PeerState {
    pub(crate) options: PeerOptions,
    pub(crate) started: Duration,
    pub(crate) shared: SharedState,
    pub(crate) membership: Membership,
    pub(crate) own_tag: OriginTag,
    pub(crate) summary_tag: OriginTag,
    pub(crate) heartbeat_due: Duration,
    pub(crate) membership_due: Duration,
    pub(crate) exchange_due: Option<Duration>,
    pub(crate) summary_due: Duration,
    /// Beat of the own row up to which the last exchange has carried it.
    pub(crate) sent_heartbeat: HeartbeatNumber,
    pub(crate) pending_marks: BTreeMap<TargetId, (TargetMark, Duration)>,
    /// The newest configuration seen while the start settles; not in force.
    pub(crate) pending_config: Option<Arc<ConfigTable>>,
    /// Peers that have told their revision since the start.
    pub(crate) replied_peers: BTreeSet<HostId>,
    pub(crate) has_requested_state: bool,
    pub(crate) pull_timeout_at: Duration,
    pub(crate) watches_store: bool,
    pub(crate) is_delegate: bool,
    /// Whether this host is the first of the delegates.
    pub(crate) is_first_delegate: bool,
    pub(crate) reported_change_count: u64,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
}

impl PeerState {
    /// A host that knows nothing but itself. Wall time is taken from the incarnation, which is the wall time of the
    /// start.
    pub fn new(local_host: HostEntry, options: PeerOptions, now: Duration) -> Self {
        let origin = RowOrigin { host: local_host.clone(), scope: RowScope::Host };
        let own_tag = origin.tag();
        let summary_tag = RowOrigin { host: local_host.clone(), scope: RowScope::Domain }.tag();
        let mut shared = SharedState::new(local_host.domain.clone());
        shared.own_row(own_tag, || OriginRow::new(origin, now));
        Self {
            membership: Membership::new(local_host, options.clone(), now),
            options,
            started: now,
            shared,
            own_tag,
            summary_tag,
            heartbeat_due: now,
            membership_due: now,
            exchange_due: None,
            summary_due: now,
            sent_heartbeat: 0,
            pending_marks: BTreeMap::new(),
            pending_config: None,
            replied_peers: BTreeSet::new(),
            has_requested_state: false,
            pull_timeout_at: now,
            watches_store: false,
            is_delegate: false,
            is_first_delegate: false,
            reported_change_count: 0,
            bytes_in: 0,
            bytes_out: 0,
        }
    }

    /// The own entry.
    pub fn local_host(&self) -> &HostEntry {
        self.membership.local_host()
    }

    pub(crate) fn wall_ms(&self, now: Duration) -> u64 {
        let running = now.saturating_sub(self.started);
        self.local_host().incarnation + u64::try_from(running.as_millis()).unwrap_or(u64::MAX)
    }

    /// Takes the platform's host list; an empty one changes nothing.
    pub fn on_host_list(&mut self, list: &[HostEntry], now: Duration) -> Vec<PeerAction> {
        self.membership.on_host_list(list, now);
        let mut actions = Vec::new();
        self.report_live_hosts(&mut actions);
        actions
    }

    /// Takes peers from the settings, to talk to before the list has answered. They count once they are heard.
    pub fn on_known_peers(&mut self, peers: &[HostEntry], now: Duration) {
        for peer in peers {
            self.membership.on_indirect_report(peer, now);
        }
    }

    /// Takes the configuration that the store has answered. An older or equal revision is ignored.
    pub fn on_store_config(
        &mut self,
        table: ConfigTable,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        self.install_or_defer_config(Arc::new(table), now, rng, &mut actions);
        actions
    }

    /// Takes what a reply or probe has shown of a target. A mark that says nothing new is ignored.
    pub fn record_target_mark(&mut self, mark: &TargetMark, now: Duration) {
        let known = self.shared.mark(&mark.target);
        if known.is_some_and(|known| mark <= known || mark.reports_same_state(known)) {
            return;
        }
        self.shared.record_mark(mark);
        let domain = self.local_host().domain.clone();
        let hosts = self.membership.eligible_hosts(&domain);
        if role_holders(MARK_PUBLISHER_ROLE, &mark.target, hosts, MARK_PUBLISHERS)
            .contains(&self.local_host().id)
        {
            self.own_row_mut(now).publish_mark(mark);
            return;
        }
        let due = now + self.options.mark_publish_delay;
        self.pending_marks.insert(mark.target.clone(), (mark.clone(), due));
    }

    pub(crate) fn own_row_mut(&mut self, now: Duration) -> &mut OriginRow {
        let host = self.local_host().clone();
        let make = || OriginRow::new(RowOrigin { host, scope: RowScope::Host }, now);
        self.shared.own_row(self.own_tag, make)
    }

    /// Adds counts of requests on a moving route. Failures are published with the next heartbeat, other counts less often.
    pub fn record_evidence(
        &mut self,
        key: &EvidenceKey,
        counters: EvidenceCounters,
        now: Duration,
    ) {
        let heartbeat_ms = self.options.exchange_interval.as_millis().max(1);
        let heartbeat_multiple = match counters.failures {
            0 => self.options.evidence_interval.as_millis() / heartbeat_ms,
            _ => 1,
        };
        let heartbeat_multiple = HeartbeatNumber::try_from(heartbeat_multiple).unwrap_or(1);
        self.own_row_mut(now).add_evidence(key, counters, heartbeat_multiple);
    }

    /// Marks a request fingerprint as crashing until a wall time, and tells the others at once.
    pub fn announce_crash(
        &mut self,
        mark: CrashMark,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PeerAction> {
        self.announce(UrgentItem::Crash(mark), now, rng)
    }

    /// Rolls a move back, and tells the others at once. Nothing happens when an earlier rollback is known.
    pub fn announce_rollback(
        &mut self,
        flag: RollbackFlag,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PeerAction> {
        self.announce(UrgentItem::Rollback(flag), now, rng)
    }

    /// Announces that this host leaves; it gets no new work and holds no role from then on.
    pub fn announce_leaving(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Vec<PeerAction> {
        self.membership.leave();
        let leaving = LeavingHost {
            host: self.local_host().id.clone(),
            incarnation: self.local_host().incarnation,
            until_ms: self.wall_ms(now + LEAVING_RETENTION),
        };
        let mut actions = self.announce(UrgentItem::Leaving(leaving), now, rng);
        self.report_live_hosts(&mut actions);
        actions
    }

    fn announce(
        &mut self,
        item: UrgentItem,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PeerAction> {
        let wall_ms = self.wall_ms(now);
        if !self.shared.urgent.insert(&item, wall_ms) {
            return Vec::new();
        }
        self.push(&[item], None, now, rng)
    }

    /// Counts the bytes of an encoded message.
    pub fn count_bytes(&mut self, received: usize, sent: usize) {
        self.bytes_in += received as u64;
        self.bytes_out += sent as u64;
    }

    /// The hosts that limits are divided over, ascending by id, with the own host. Leaving hosts are among them while
    /// they hold connections; see [`HostEntry::leaving`].
    pub fn live_hosts(&self) -> Vec<HostEntry> {
        self.membership.live_hosts()
    }

    /// Whether this host watches the store. Rollbacks and finished moves are best recorded by these hosts alone: if all
    /// hosts tried, each record would cost the store one write per host.
    pub fn watches_store(&self) -> bool {
        self.watches_store
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<ConfigTable>> {
        self.shared.config.table()
    }

    /// Merged counters of a move over all hosts.
    pub fn evidence(&self, move_id: &str) -> EvidenceTable {
        self.shared.evidence(move_id)
    }

    /// The rollback of a move, if one is known.
    pub fn rollback(&self, move_id: &str) -> Option<&RollbackFlag> {
        self.shared.urgent.rollback(move_id)
    }

    /// The merged state, for inspection.
    pub fn shared(&self) -> &SharedState {
        &self.shared
    }

    pub(crate) fn report_live_hosts(&mut self, actions: &mut Vec<PeerAction>) {
        if self.reported_change_count == self.membership.change_count() {
            return;
        }
        self.reported_change_count = self.membership.change_count();
        actions.push(PeerAction::LiveHostsChanged(self.membership.live_hosts()));
    }
}
