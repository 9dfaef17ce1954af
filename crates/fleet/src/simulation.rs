//! Simulates many [`PeerState`]s in one process in virtual time, with message delays, losses and partitions, for tests
//! and measurements. Every message is encoded as on the wire. Not used by entry hosts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::table::ConfigTable;

use crate::exchange::PeerMessage;
use crate::exchange::decode;
use crate::exchange::encode;
use crate::peer_options::PeerOptions;
use crate::peer_state::PeerAction;
use crate::peer_state::PeerState;
pub use crate::sample_table::sample_table;

/// Name of the `index`-th failure domain.
pub fn domain_name(index: u32) -> String {
    format!("domain-{index:02}")
}

/// Wall time at virtual time 0, in milliseconds since 1970.
pub const WALL_START_MS: u64 = 1_800_000_000_000;

/// Time between ticks of a host.
const TICK: Duration = Duration::from_millis(200);

/// Time between polls of the host list; a watching host reads the store as often.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a message without a reply counts as failed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Duration of a call to the store.
const STORE_DELAY: Duration = Duration::from_millis(5);

/// One-way delay between hosts of the same domain and between hosts of different domains.
const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(500);
const CROSS_DOMAIN_DELAY: Duration = Duration::from_millis(8);

/// A simulated host and the actions it returned.
#[derive(Clone, Debug)]
pub struct SimulatedHost {
    pub peer: PeerState,
    /// Activated revisions with the time of activation.
    pub installed: Vec<(Duration, u64)>,
    /// Actions other than messages, in the order returned.
    pub actions: Vec<PeerAction>,
    rng: ChaCha8Rng,
    watches_store: bool,
}

/// A message in transit.
#[derive(Debug)]
enum WireMessage {
    Encoded(Vec<u8>),
    /// Sender, message and encoded length; skips decoding to save time.
    Unencoded(Box<(HostEntry, PeerMessage)>, usize),
}

#[derive(Debug)]
enum Event {
    Tick(HostId),
    PollHostList(HostId),
    ReadStore(HostId),
    Deliver { to: HostId, message: WireMessage },
    Reply { to: HostId, peer: HostEntry, message: Option<WireMessage> },
    SendFailed { to: HostId, peer: HostEntry },
}

/// Simulated hosts with a common host list and store.
#[derive(Debug)]
pub struct SimulatedFleet {
    /// Running hosts by id.
    pub hosts: BTreeMap<HostId, SimulatedHost>,
    /// The platform's host list; empty while the platform does not respond.
    pub host_list: Vec<HostEntry>,
    /// Configuration in the store; `None` while the store is unavailable.
    pub stored_config: Option<ConfigTable>,
    /// Domains without a connection to other domains, the platform's host list and the store.
    pub partitioned_domains: BTreeSet<DomainId>,
    /// Number of delivered messages, including replies.
    pub delivered_messages: u64,
    /// Delivered messages with time, sender and receiver; recorded while `logs_messages` is set.
    pub message_log: Vec<(Duration, HostId, HostId, PeerMessage)>,
    /// Whether to record messages in `message_log`.
    pub logs_messages: bool,
    /// Percentage of messages and replies that are dropped.
    pub loss_percent: u32,
    /// Whether receivers decode the encoded messages; otherwise only their length is used. True by default.
    pub decodes_messages: bool,
    options: PeerOptions,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    last_event_number: u64,
    seed: u64,
    rng: ChaCha8Rng,
}

impl SimulatedFleet {
    /// A simulation without hosts.
    pub fn new(options: PeerOptions, seed: u64) -> Self {
        Self {
            hosts: BTreeMap::new(),
            host_list: Vec::new(),
            stored_config: None,
            partitioned_domains: BTreeSet::new(),
            delivered_messages: 0,
            message_log: Vec::new(),
            logs_messages: false,
            loss_percent: 0,
            decodes_messages: true,
            options,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            last_event_number: 0,
            seed,
            rng: ChaCha8Rng::seed_from_u64(!seed),
        }
    }

    /// A simulation of `hosts` hosts spread over `domains` domains, all in the host list, with `table` in the store.
    pub fn with_hosts(hosts: u32, domains: u32, table: ConfigTable, seed: u64) -> Self {
        let mut fleet = Self::new(PeerOptions::default(), seed);
        fleet.stored_config = Some(table);
        let entries: Vec<_> = (0..hosts).map(|index| host_entry(index, domains)).collect();
        fleet.host_list = entries.clone();
        for entry in entries {
            fleet.start(entry);
        }
        fleet
    }

    /// Current virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Starts a host, or restarts the one with the same id. The host reads the store once. Its incarnation is the
    /// current wall time.
    pub fn start(&mut self, mut entry: HostEntry) {
        entry.incarnation = WALL_START_MS + self.now.as_millis() as u64;
        for listed in self.host_list.iter_mut().filter(|listed| listed.id == entry.id) {
            listed.incarnation = entry.incarnation;
        }
        let id = entry.id.clone();
        self.seed += 1;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let phase = Duration::from_micros(rng.random_range(0..TICK.as_micros() as u64));
        let host = SimulatedHost {
            peer: PeerState::new(entry, self.options.clone(), self.now),
            installed: Vec::new(),
            actions: Vec::new(),
            rng,
            watches_store: false,
        };
        let is_new = self.hosts.insert(id.clone(), host).is_none();
        if is_new {
            self.schedule(self.now + phase, Event::PollHostList(id.clone()));
            self.schedule(self.now + phase, Event::Tick(id.clone()));
        }
        self.schedule(self.now + STORE_DELAY, Event::ReadStore(id));
    }

    /// Stops a host without notice to the others; returns its state.
    pub fn stop(&mut self, id: &str) -> Option<SimulatedHost> {
        self.hosts.remove(id)
    }

    /// Continues a stopped host with its previous state, as after a pause of its process.
    pub fn resume(&mut self, host: SimulatedHost) {
        let id = host.peer.local_host().id.clone();
        self.hosts.insert(id.clone(), host);
        self.schedule(self.now, Event::PollHostList(id.clone()));
        self.schedule(self.now, Event::Tick(id));
    }

    /// Writes a configuration to the store and notifies the watching hosts.
    pub fn write_store(&mut self, table: ConfigTable) {
        self.stored_config = Some(table);
        let watching = self.hosts.iter().filter(|(_, host)| host.watches_store);
        let ids: Vec<_> = watching.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.schedule(self.now + STORE_DELAY, Event::ReadStore(id));
        }
    }

    /// Runs `action` on a host and executes the returned actions.
    pub fn run_on_host(
        &mut self,
        id: &str,
        action: impl FnOnce(&mut PeerState, Duration, &mut ChaCha8Rng) -> Vec<PeerAction>,
    ) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(id) else { return };
        let actions = action(&mut host.peer, now, &mut host.rng);
        self.execute_actions(id, actions);
    }

    /// Processes all events until virtual time `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|one| one.0.0 <= end)
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.pending_events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Processes all events of the next `time` of virtual time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Whether this revision is active on every host.
    pub fn has_converged_on(&self, revision: u64) -> bool {
        self.hosts
            .values()
            .all(|host| host.peer.config().is_some_and(|table| table.revision == revision))
    }

    /// Total size of the encoded messages that all hosts received and sent.
    pub fn bytes(&self) -> u64 {
        self.bytes_by_host().values().sum()
    }

    /// Total size of the encoded messages that each host received and sent.
    pub fn bytes_by_host(&self) -> BTreeMap<HostId, u64> {
        let hosts = self.hosts.iter();
        hosts.map(|(id, host)| (id.clone(), host.peer.bytes_in + host.peer.bytes_out)).collect()
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event_number += 1;
        self.queue.push(Reverse((at, self.last_event_number)));
        self.pending_events.insert(self.last_event_number, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(id) => {
                if self.hosts.contains_key(&id) {
                    self.run_on_host(&id, |peer, now, rng| peer.on_tick(now, rng));
                    self.schedule(self.now + TICK, Event::Tick(id));
                }
            }
            Event::PollHostList(id) => {
                let Some(host) = self.hosts.get(&id) else { return };
                let is_partitioned =
                    self.partitioned_domains.contains(&host.peer.local_host().domain);
                if host.watches_store {
                    // A watch restarts with a read, whatever the reason for its end.
                    self.schedule(self.now + STORE_DELAY, Event::ReadStore(id.clone()));
                }
                let list = if is_partitioned { Vec::new() } else { self.host_list.clone() };
                self.run_on_host(&id, |peer, now, _| peer.on_host_list(&list, now));
                self.schedule(self.now + HOST_LIST_INTERVAL, Event::PollHostList(id));
            }
            Event::ReadStore(id) => {
                let Some(host) = self.hosts.get(&id) else { return };
                let is_partitioned =
                    self.partitioned_domains.contains(&host.peer.local_host().domain);
                if let Some(table) = self.stored_config.clone().filter(|_| !is_partitioned) {
                    self.run_on_host(&id, |peer, now, rng| peer.on_store_config(table, now, rng));
                }
            }
            Event::Deliver { to, message } => self.deliver(&to, message),
            Event::Reply { to, peer, message } => {
                self.run_on_host(&to, |state, now, _| state.on_sent(&peer, true, now));
                if let Some(message) = message {
                    self.deliver(&to, message);
                }
            }
            Event::SendFailed { to, peer } => {
                self.run_on_host(&to, |state, now, _| state.on_sent(&peer, false, now));
            }
        }
    }

    fn deliver(&mut self, to: &str, message: WireMessage) {
        let ((from, message), length) = match message {
            WireMessage::Encoded(bytes) => {
                (decode(&bytes).expect("encoded messages can be decoded"), bytes.len())
            }
            WireMessage::Unencoded(plain, length) => (*plain, length),
        };
        let is_reply = matches!(message, PeerMessage::ExchangeReply { .. });
        let now = self.now;
        self.delivered_messages += 1;
        if self.logs_messages {
            self.message_log.push((now, from.id.clone(), to.to_owned(), message.clone()));
        }
        let Some(host) = self.hosts.get_mut(to) else { return };
        host.peer.count_bytes(length, 0);
        let local_host = host.peer.local_host().clone();
        let (reply, actions) = host.peer.on_message(&from, message, now, &mut host.rng);
        let reply =
            reply.map(|reply| prepare_message(&mut host.peer, reply, self.decodes_messages));
        if !is_reply && self.drops_message() {
            let event = Event::SendFailed { to: from.id, peer: local_host };
            self.schedule(now + REPLY_TIMEOUT, event);
        } else if !is_reply {
            let at = now + self.delay(&local_host, &from);
            self.schedule(at, Event::Reply { to: from.id, peer: local_host, message: reply });
        }
        self.execute_actions(to, actions);
    }

    fn execute_actions(&mut self, id: &str, actions: Vec<PeerAction>) {
        let now = self.now;
        let mut sends = Vec::new();
        let mut must_read_store = false;
        let Some(host) = self.hosts.get_mut(id) else { return };
        for action in actions {
            match action {
                PeerAction::Send { peer, message } => {
                    sends.push((
                        peer,
                        prepare_message(&mut host.peer, message, self.decodes_messages),
                    ));
                    continue;
                }
                PeerAction::InstallConfig(ref table) => host.installed.push((now, table.revision)),
                PeerAction::WatchStore(watches) => {
                    host.watches_store = watches;
                    must_read_store = watches;
                }
                _ => {}
            }
            host.actions.push(action);
        }
        let local_host = host.peer.local_host().clone();
        if must_read_store {
            self.schedule(now + STORE_DELAY, Event::ReadStore(id.to_owned()));
        }
        for (peer, message) in sends {
            let is_dropped = self.drops_message();
            let is_partitioned = peer.domain != local_host.domain
                && (self.partitioned_domains.contains(&peer.domain)
                    || self.partitioned_domains.contains(&local_host.domain));
            if is_dropped || is_partitioned || !self.hosts.contains_key(&peer.id) {
                let event = Event::SendFailed { to: id.to_owned(), peer };
                self.schedule(now + REPLY_TIMEOUT, event);
            } else {
                let at = now + self.delay(&local_host, &peer);
                self.schedule(at, Event::Deliver { to: peer.id, message });
            }
        }
    }

    fn drops_message(&mut self) -> bool {
        self.loss_percent != 0 && self.rng.random_range(0..100) < self.loss_percent
    }

    fn delay(&self, from: &HostEntry, to: &HostEntry) -> Duration {
        if from.domain == to.domain { SAME_DOMAIN_DELAY } else { CROSS_DOMAIN_DELAY }
    }
}

/// Encodes a message and counts its bytes at the sender; discards the encoded form unless `is_encoded`.
fn prepare_message(sender: &mut PeerState, message: PeerMessage, is_encoded: bool) -> WireMessage {
    let local_host = sender.local_host().clone();
    let bytes = encode(&local_host, &message);
    let length = bytes.len();
    sender.count_bytes(0, length);
    match is_encoded {
        true => WireMessage::Encoded(bytes),
        false => WireMessage::Unencoded(Box::new((local_host, message)), length),
    }
}

/// Entry of the `index`-th host of a fleet with `domains` domains.
pub fn host_entry(index: u32, domains: u32) -> HostEntry {
    HostEntry {
        id: format!("host-{index:03}"),
        domain: domain_name(index % domains.max(1)),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8000)),
        incarnation: WALL_START_MS,
        leaving: false,
    }
}
