//! Exchange with other entry hosts: drives the pure peer state over HTTP.

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

use crate::entry_host::EntryHost;
use crate::entry_host::lock;
use crate::share_keeper::divide_limits;

/// Time between two ticks of the peer state.
const TICK: Duration = Duration::from_millis(200);

/// Longest time for one message and its answer.
const MESSAGE_LIMIT: Duration = Duration::from_secs(2);

/// The peer state of this host and its counters. The mutex is never held over an await and not on the path of a request.
pub struct PeerLink {
    client: Client,
    state: Mutex<PeerCore>,
    watches: AtomicBool,
    cpu_us: AtomicU64,
}

pub(crate) struct PeerCore {
    pub(crate) peer: PeerState,
    pub(crate) rng: ChaCha8Rng,
}

impl PeerLink {
    /// A host that knows nobody yet.
    pub fn new(me: HostEntry, known: &[HostEntry], seed: u64) -> Self {
        let mut peer = PeerState::new(me, PeerOptions::default(), Duration::ZERO);
        peer.on_known_peers(known, Duration::ZERO);
        let client = Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .timeout(MESSAGE_LIMIT)
            .build()
            // Without TLS and a proxy nothing in the builder can fail.
            .unwrap_or_default();
        let core = PeerCore { peer, rng: ChaCha8Rng::seed_from_u64(seed) };
        Self {
            client,
            state: Mutex::new(core),
            watches: AtomicBool::new(false),
            cpu_us: AtomicU64::new(0),
        }
    }

    /// Whether this host watches the store for its failure domain.
    pub fn is_watcher(&self) -> bool {
        self.watches.load(Ordering::Acquire)
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

    /// State as operators read it.
    pub fn status(&self, now: Duration) -> PeerStatus {
        lock(&self.state).peer.status(now)
    }

    /// Bytes received and sent so far.
    pub fn bytes(&self) -> [(&'static str, u64); 2] {
        let status = lock(&self.state).peer.status(Duration::ZERO);
        [("in", status.bytes_in), ("out", status.bytes_out)]
    }

    /// Time spent in the peer state so far, in microseconds.
    pub fn cpu_us(&self) -> u64 {
        self.cpu_us.load(Ordering::Relaxed)
    }

    /// Takes the configuration that the store has answered.
    pub fn take_store_config(&self, host: &Arc<EntryHost>, table: ConfigTable) {
        self.update(host, |core, now| core.peer.on_store_config(table, now, &mut core.rng));
    }

    /// Takes the platform's host list.
    pub fn take_host_list(&self, host: &Arc<EntryHost>, list: Vec<HostEntry>) {
        self.update(host, |core, now| core.peer.on_host_list(&list, now));
    }

    /// Notes what a probe has shown of a target.
    pub fn note_target(&self, host: &Arc<EntryHost>, target: &str, marks: &TargetMarks) {
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

    /// Adds counts of requests on a moving route.
    pub fn note_evidence(
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

    /// Merged counters of a move, and its rollback if one is known.
    pub fn evidence(&self, move_id: &str) -> (EvidenceTable, Option<RollbackFlag>) {
        let core = lock(&self.state);
        (core.peer.evidence(move_id), core.peer.rollback(move_id).cloned())
    }

    /// Rolls a move back and tells the others at once.
    pub fn note_rollback(&self, host: &Arc<EntryHost>, flag: RollbackFlag) {
        self.update(host, |core, now| core.peer.announce_rollback(flag, now, &mut core.rng));
    }

    /// Tells the others of a crash mark at once.
    pub fn note_crash(&self, host: &Arc<EntryHost>, mark: CrashMark) {
        self.update(host, |core, now| core.peer.announce_crash(mark, now, &mut core.rng));
    }

    /// Tells the others that this host leaves.
    pub fn announce_leaving(&self, host: &Arc<EntryHost>) {
        self.update(host, |core, now| core.peer.announce_leaving(now, &mut core.rng));
    }

    /// Takes an encoded message; the encoded answer, or `None` when it cannot be read.
    pub fn take_message(&self, host: &Arc<EntryHost>, body: &[u8]) -> Option<Vec<u8>> {
        let (sender, message) = match decode(body) {
            Ok(parts) => parts,
            Err(error) => {
                tracing::warn!(%error, "peer message not read");
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

    /// Changes the peer state and performs what it asks for.
    pub(crate) fn update(
        &self,
        host: &Arc<EntryHost>,
        change: impl FnOnce(&mut PeerCore, Duration) -> Vec<PeerAction>,
    ) {
        let began = Instant::now();
        let actions = change(&mut lock(&self.state), host.now());
        let spent = u64::try_from(began.elapsed().as_micros()).unwrap_or(0);
        self.cpu_us.fetch_add(spent, Ordering::Relaxed);
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
        let answer = response.bytes().await.ok()?.to_vec();
        host.rule.pass(peer.address).await.then_some(answer)
    }
}

/// Runs until the host ends: ticks the peer state.
pub async fn exchange_with_peers(host: Arc<EntryHost>) {
    let mut ticks = tokio::time::interval(TICK);
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
            divide_limits(host);
            host.moves.install(host);
            let view = host.policy.view();
            host.targets.retain(|address| view.targets().any(|target| target.address == *address));
            host.lifecycle.set_configured();
        }
        PeerAction::LiveHostsChanged(live) => {
            tracing::info!(hosts = live.len(), "live hosts changed");
            divide_limits(host);
        }
        PeerAction::WatchStore(watches) => host.peers.watches.store(watches, Ordering::Release),
        PeerAction::TargetMarks(marks) => {
            for mark in marks {
                take_mark(host, &mark);
            }
        }
        // Moves are decided anew with the next tick; a rollback does not wait for it.
        PeerAction::Rollback(_) => host.moves.decide(host),
        PeerAction::CrashMarks(marks) => host.crashes.import(host, &marks),
        PeerAction::EvidenceChanged => {}
    }
}

fn take_mark(host: &EntryHost, mark: &TargetMark) {
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
