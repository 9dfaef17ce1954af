//! State machine of a host as a peer: takes messages, events and time, and returns actions for its driver.

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

/// Time for which the announcement of a leaving host is kept.
const LEAVING_RETENTION: Duration = Duration::from_secs(3600);

/// Role of the hosts that publish changed marks of a target; the highest-ranked of them also probes the target.
pub const MARK_PUBLISHER_ROLE: &str = "mark";

/// Number of hosts per target that publish a changed mark immediately; two, so that the loss of one causes no delay.
const MARK_PUBLISHERS: usize = 2;

/// Action that the driver of a [`PeerState`] has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerAction {
    /// Send a message, report the result with [`PeerState::on_sent`], and pass a reply to [`PeerState::on_message`].
    Send {
        /// Receiver.
        peer: HostEntry,
        /// Still to be encoded.
        message: PeerMessage,
    },
    /// Activate this configuration.
    InstallConfig(Arc<ConfigTable>),
    /// Divide limits among these hosts, which are sorted by id and include the local host and leaving hosts.
    LiveHostsChanged(Vec<HostEntry>),
    /// Start or stop watching the configuration in the platform's store.
    WatchStore(bool),
    /// Stop attempts for requests with these fingerprints.
    CrashMarks(Vec<CrashMark>),
    /// Apply what other hosts have observed of these targets.
    TargetMarks(Vec<TargetMark>),
    /// Evaluate running moves again with [`PeerState::evidence`].
    EvidenceChanged,
    /// Send the move's traffic back to the old pool, and record the rollback in the store when the store is reachable.
    Rollback(RollbackFlag),
}

/// State of the local host as a peer.
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
    /// Heartbeat up to which the last exchange sent the host's own row.
    pub(crate) sent_heartbeat: HeartbeatNumber,
    pub(crate) pending_marks: BTreeMap<TargetId, (TargetMark, Duration)>,
    /// Newest configuration received while waiting for startup peers; not active yet.
    pub(crate) pending_config: Option<Arc<ConfigTable>>,
    /// Peers that have reported their revision since the start.
    pub(crate) replied_peers: BTreeSet<HostId>,
    pub(crate) has_requested_state: bool,
    pub(crate) pull_timeout_at: Duration,
    pub(crate) watches_store: bool,
    pub(crate) is_delegate: bool,
    /// Only the highest-ranked delegate publishes counters and marks of the domain.
    pub(crate) is_first_delegate: bool,
    pub(crate) reported_change_count: u64,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
}

impl PeerState {
    /// A host that knows only itself. Wall time is derived from the incarnation, which is the wall time of the process
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

    /// Entry of the host that runs this process.
    pub fn local_host(&self) -> &HostEntry {
        self.membership.local_host()
    }

    pub(crate) fn wall_ms(&self, now: Duration) -> u64 {
        let running = now.saturating_sub(self.started);
        self.local_host().incarnation + u64::try_from(running.as_millis()).unwrap_or(u64::MAX)
    }

    /// Applies the platform's host list; an empty one is ignored.
    pub fn on_host_list(&mut self, list: &[HostEntry], now: Duration) -> Vec<PeerAction> {
        self.membership.on_host_list(list, now);
        let mut actions = Vec::new();
        self.report_live_hosts(&mut actions);
        actions
    }

    /// Adds peers from the settings, to contact before the first host list arrives. They are live once they reply.
    pub fn on_known_peers(&mut self, peers: &[HostEntry], now: Duration) {
        for peer in peers {
            self.membership.on_indirect_report(peer, now);
        }
    }

    /// Handles a configuration read from the store. A revision that is not newer is ignored.
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

    /// Records the state of a target seen in a reply or probe. A mark without a change of state is ignored.
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

    /// Adds counts of requests on a route with a running move. Failures are published with the next heartbeat, other
    /// counts less often.
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

    /// Marks a request fingerprint as crashing until the mark expires, and pushes the mark to other hosts immediately.
    pub fn announce_crash(
        &mut self,
        mark: CrashMark,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PeerAction> {
        self.announce(UrgentItem::Crash(mark), now, rng)
    }

    /// Rolls back a move, and pushes the flag to other hosts immediately. Does nothing if an earlier rollback is known.
    pub fn announce_rollback(
        &mut self,
        flag: RollbackFlag,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Vec<PeerAction> {
        self.announce(UrgentItem::Rollback(flag), now, rng)
    }

    /// Announces that the local host is leaving; from then on it gets no new work and holds no role.
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

    /// Adds to the byte counts of received and sent messages.
    pub fn count_bytes(&mut self, received: usize, sent: usize) {
        self.bytes_in += received as u64;
        self.bytes_out += sent as u64;
    }

    /// Hosts that limits are divided among, ascending by id. Includes the local host, and leaving hosts while they hold
    /// connections; see [`HostEntry::leaving`].
    pub fn live_hosts(&self) -> Vec<HostEntry> {
        self.membership.live_hosts()
    }

    /// Whether this host watches the store. Only watchers should record rollbacks and finished moves: if all hosts did,
    /// each record would cost the store one write per host.
    pub fn watches_store(&self) -> bool {
        self.watches_store
    }

    /// The active configuration.
    pub fn config(&self) -> Option<&Arc<ConfigTable>> {
        self.shared.config.table()
    }

    /// Counters of a move, added over all hosts.
    pub fn evidence(&self, move_id: &str) -> EvidenceTable {
        self.shared.evidence(move_id)
    }

    /// Rollback flag of a move, if its rollback is known.
    pub fn rollback(&self, move_id: &str) -> Option<&RollbackFlag> {
        self.shared.urgent.rollback(move_id)
    }

    /// Replicated state, for inspection.
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
