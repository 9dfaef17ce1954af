//! Exchange with other entry hosts: connects the peer state, which does no I/O, to HTTP.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use vanillapick_fleet::evidence::EvidenceCounters;
use vanillapick_fleet::evidence::EvidenceKey;
use vanillapick_fleet::evidence::EvidenceTable;
use vanillapick_fleet::exchange::PeerMessage;
use vanillapick_fleet::exchange::decode;
use vanillapick_fleet::exchange::encode;
use vanillapick_fleet::marks::TargetMark;
use vanillapick_fleet::peer_options::PeerOptions;
use vanillapick_fleet::peer_state::PeerAction;
use vanillapick_fleet::peer_state::PeerState;
use vanillapick_fleet::peer_status::PeerStatus;
use vanillapick_fleet::urgent::RollbackFlag;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::table::ConfigTable;
use vanillapick_platform::reply_body::read_reply_body;
use vanillapick_platform::reply_memory::ReplyMemory;

use crate::entry_host::EntryHost;
use crate::entry_host::lock;
use crate::limit_shares::apply_limit_shares;

/// Size limit of a peer's answer, which may contain the whole configuration.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Interval between ticks of the peer state.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a message and its reply.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Peer state of this host, its HTTP client and its counters. The mutex is never held across an await point, and no
/// request waits for it.
pub struct PeerLink {
    client: Client,
    state: Mutex<PeerCore>,
    is_watching: AtomicBool,
    cpu_us: AtomicU64,
}

pub(crate) struct PeerCore {
    pub(crate) peer: PeerState,
    pub(crate) rng: ChaCha8Rng,
}

impl PeerLink {
    /// Creates a peer state with the hosts from the settings, `known`, as its initial peers.
    pub fn new(me: HostEntry, known: &[HostEntry], seed: u64) -> Self {
        let mut peer = PeerState::new(me, PeerOptions::default(), Duration::ZERO);
        peer.on_known_peers(known, Duration::ZERO);
        let client = Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .timeout(MESSAGE_TIMEOUT)
            .build()
            // The builder cannot fail without TLS and a proxy.
            .unwrap_or_default();
        let core = PeerCore { peer, rng: ChaCha8Rng::seed_from_u64(seed) };
        Self {
            client,
            state: Mutex::new(core),
            is_watching: AtomicBool::new(false),
            cpu_us: AtomicU64::new(0),
        }
    }

    /// Whether this host watches the store for its failure domain.
    pub fn is_watcher(&self) -> bool {
        self.is_watching.load(Ordering::Acquire)
    }

    /// Ids of the hosts of a failure domain that share limits.
    pub fn live_in_domain(&self, domain: &str) -> Vec<HostId> {
        let live = lock(&self.state).peer.live_hosts();
        live.into_iter().filter(|host| host.domain == domain).map(|host| host.id).collect()
    }

    /// Ids of all hosts that share limits.
    pub fn live_ids(&self) -> Vec<HostId> {
        lock(&self.state).peer.live_hosts().into_iter().map(|host| host.id).collect()
    }

    /// Peer state for the status page.
    pub fn status(&self, now: Duration) -> PeerStatus {
        lock(&self.state).peer.status(now)
    }

    /// Bytes received and sent since the start, with the values of the metric label `direction`.
    pub fn bytes(&self) -> [(&'static str, u64); 2] {
        let status = lock(&self.state).peer.status(Duration::ZERO);
        [("in", status.bytes_in), ("out", status.bytes_out)]
    }

    /// Time spent in the peer state since the start, in microseconds.
    pub fn cpu_us(&self) -> u64 {
        self.cpu_us.load(Ordering::Relaxed)
    }

    /// Passes a configuration from the store to the peer state.
    pub fn take_store_config(&self, host: &Arc<EntryHost>, table: ConfigTable) {
        self.update(host, |core, now| core.peer.on_store_config(table, now, &mut core.rng));
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<ConfigTable>> {
        lock(&self.state).peer.config().cloned()
    }

    /// Passes the platform's host list to the peer state.
    pub fn take_host_list(&self, host: &Arc<EntryHost>, list: Vec<HostEntry>) {
        self.update(host, |core, now| core.peer.on_host_list(&list, now));
    }

    /// Records the marks that a probe of a target returned.
    pub fn record_target_mark(&self, host: &Arc<EntryHost>, target: &str, marks: &TargetMarks) {
        let mark = TargetMark {
            target: target.to_owned(),
            incarnation: marks.incarnation,
            sequence: host.wall_ms(),
            cold: marks.cold,
            draining: marks.draining,
            lost: false,
            snapshots: marks.snapshots.clone(),
        };
        self.update(host, |core, now| {
            core.peer.record_target_mark(&mark, now);
            Vec::new()
        });
    }

    /// Adds request counts of a route with a move.
    pub fn record_evidence(
        &self,
        host: &Arc<EntryHost>,
        key: &EvidenceKey,
        counters: EvidenceCounters,
    ) {
        self.update(host, |core, now| {
            core.peer.record_evidence(key, counters, now);
            Vec::new()
        });
    }

    /// Merged counters of a move and its rollback flag, if any.
    pub fn evidence(&self, move_id: &str) -> (EvidenceTable, Option<RollbackFlag>) {
        let core = lock(&self.state);
        (core.peer.evidence(move_id), core.peer.rollback(move_id).cloned())
    }

    /// Rolls a move back and announces it to the other hosts immediately.
    pub fn announce_rollback(&self, host: &Arc<EntryHost>, flag: RollbackFlag) {
        self.update(host, |core, now| core.peer.announce_rollback(flag, now, &mut core.rng));
    }

    /// Announces a crash mark to the other hosts immediately.
    pub fn announce_crash(&self, host: &Arc<EntryHost>, mark: CrashMark) {
        self.update(host, |core, now| core.peer.announce_crash(mark, now, &mut core.rng));
    }

    /// Announces to the other hosts that this host is leaving.
    pub fn announce_leaving(&self, host: &Arc<EntryHost>) {
        self.update(host, |core, now| core.peer.announce_leaving(now, &mut core.rng));
    }

    /// Handles an encoded message. Returns the encoded reply, empty if there is none, or `None` if the message cannot
    /// be decoded.
    pub fn take_message(&self, host: &Arc<EntryHost>, body: &[u8]) -> Option<Vec<u8>> {
        let (sender, message) = match decode(body) {
            Ok(parts) => parts,
            Err(error) => {
                tracing::warn!(%error, "cannot decode a peer message");
                return None;
            }
        };
        let mut answer = Vec::new();
        self.update(host, |core, now| {
            let (reply, actions) = core.peer.on_message(&sender, message, now, &mut core.rng);
            answer = reply.map(|reply| encode(core.peer.local_host(), &reply)).unwrap_or_default();
            core.peer.count_bytes(body.len(), answer.len());
            actions
        });
        Some(answer)
    }

    /// Applies `change` to the peer state and performs the actions that it returns.
    pub(crate) fn update(
        &self,
        host: &Arc<EntryHost>,
        change: impl FnOnce(&mut PeerCore, Duration) -> Vec<PeerAction>,
    ) {
        let started_at = Instant::now();
        let actions = change(&mut lock(&self.state), host.now());
        let elapsed_us = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(0);
        self.cpu_us.fetch_add(elapsed_us, Ordering::Relaxed);
        for action in actions {
            perform(host, action);
        }
    }

    async fn send(&self, host: &Arc<EntryHost>, peer: HostEntry, message: PeerMessage) {
        let path = if matches!(message, PeerMessage::Push { .. }) { "push" } else { "exchange" };
        let body = {
            let mut core = lock(&self.state);
            let body = encode(core.peer.local_host(), &message);
            core.peer.count_bytes(0, body.len());
            body
        };
        let answer = self.deliver(host, &peer, path, body).await;
        let is_sent = answer.is_some();
        self.update(host, |core, now| {
            let mut actions = core.peer.on_sent(&peer, is_sent, now);
            let Some(answer) = answer.filter(|answer| !answer.is_empty()) else { return actions };
            core.peer.count_bytes(answer.len(), 0);
            if let Ok((sender, message)) = decode(&answer) {
                let (_, more) = core.peer.on_message(&sender, message, now, &mut core.rng);
                actions.extend(more);
            }
            actions
        });
    }

    async fn deliver(
        &self,
        host: &EntryHost,
        peer: &HostEntry,
        path: &str,
        body: Vec<u8>,
    ) -> Option<Vec<u8>> {
        if !host.rule.pass(peer.address).await {
            return None;
        }
        let url = format!("http://{}/peer/{path}", peer.address);
        let response = self.client.post(url).body(body).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let answer = read_reply_body(response, MAX_ANSWER_BYTES, &ReplyMemory::unlimited())
            .await
            .ok()?
            .to_vec();
        host.rule.pass(peer.address).await.then_some(answer)
    }
}

/// Runs until the host stops: ticks the peer state.
pub async fn exchange_with_peers(host: Arc<EntryHost>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        host.peers.update(&host, |core, now| core.peer.on_tick(now, &mut core.rng));
    }
}

fn perform(host: &Arc<EntryHost>, action: PeerAction) {
    match action {
        PeerAction::Send { peer, message } => {
            let host = Arc::clone(host);
            tokio::spawn(async move { host.peers.send(&host, peer, message).await });
        }
        PeerAction::InstallConfig(table) => {
            tracing::info!(revision = table.revision, "configuration in force");
            host.policy.install(table);
            apply_limit_shares(host);
            host.moves.install(host);
            let view = host.policy.view();
            host.targets.retain(|address| view.targets().any(|target| target.address == *address));
            host.lifecycle.set_configured();
        }
        PeerAction::LiveHostsChanged(live) => {
            tracing::info!(hosts = live.len(), "live hosts changed");
            apply_limit_shares(host);
        }
        PeerAction::WatchStore(is_watching) => {
            host.peers.is_watching.store(is_watching, Ordering::Release)
        }
        PeerAction::TargetMarks(marks) => {
            for mark in marks {
                apply_mark(host, &mark);
            }
        }
        // Decides immediately; other changes of moves wait for the next tick.
        PeerAction::Rollback(_) => host.moves.decide(host),
        PeerAction::CrashMarks(marks) => host.crashes.import(host, &marks),
        PeerAction::EvidenceChanged => {}
    }
}

fn apply_mark(host: &EntryHost, mark: &TargetMark) {
    let view = host.policy.view();
    let Some(entry) = view
        .table()
        .pools
        .values()
        .flat_map(|pool| &pool.targets)
        .find(|entry| entry.id == mark.target)
    else {
        return;
    };
    let marks = TargetMarks {
        incarnation: mark.incarnation,
        shard_map: entry.shard_map,
        shard: entry.shard,
        snapshots: mark.snapshots.clone(),
        load: 0.0,
        cold: mark.cold,
        draining: mark.draining,
    };
    host.policy.record_marks(&mark.target, &marks, host.now());
}
