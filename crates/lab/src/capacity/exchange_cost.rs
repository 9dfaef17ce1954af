//! Cost of the exchange between hosts, simulated in memory with virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use vanillapick_fleet::evidence::EvidenceCounters;
use vanillapick_fleet::evidence::EvidenceKey;
use vanillapick_fleet::evidence::MEASUREMENT_BUCKET_MS;
use vanillapick_fleet::evidence::MoveVersion;
use vanillapick_fleet::exchange::PeerMessage;
use vanillapick_fleet::exchange::encode;
use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::WALL_START_MS;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_fleet::table_edit::build_next_revision;

use crate::capacity::process_usage::resident_kib;
use crate::capacity::process_usage::thread_cpu_nanos;

/// Hosts, failure domains and targets of each size. The last is the target size.
pub const SIZES: [(u32, u32, u32); 4] = [(6, 3, 108), (24, 3, 135), (96, 6, 540), (480, 11, 2_700)];

/// Numbers of concurrent moves that are measured, besides 0.
const MOVE_COUNTS: [u32; 2] = [1, 4];

/// Rates of configuration edits that are replayed, in edits per day.
const EDIT_RATES_PER_DAY: [u32; 3] = [40, 240, 840];

/// Factor by which the replay is faster than the real rate.
const REPLAY_FACTOR: u32 = 240;

/// Virtual time before a measurement, in which hosts start and discover each other.
const WARM_UP: Duration = Duration::from_secs(15);

/// Virtual time of each measurement.
const MEASURED_SECONDS: u32 = 12;

/// Virtual time for which edits are replayed, long enough for two edits at the lowest rate.
const REPLAY_TIME: Duration = Duration::from_secs(18);

/// Virtual time after the last edit in which it can reach all hosts.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Cost of the exchange at one size and number of moves.
#[derive(Clone, Debug, Serialize)]
pub struct ExchangeRow {
    /// Entry hosts.
    pub hosts: u32,
    /// Failure domains.
    pub domains: u32,
    /// Targets in the configuration.
    pub targets: u32,
    /// Concurrent moves, for which every host counts requests.
    pub moves: u32,
    /// Mean encoded bytes received and sent per host and second.
    pub bytes_mean: f64,
    /// Encoded bytes per second of the host with the most.
    pub bytes_busiest: f64,
    /// Messages received and sent per host and second, including replies.
    pub messages: f64,
    /// Processor time per host and second in microseconds, including the share of the simulation itself.
    pub cpu_us: f64,
    /// Growth of the resident memory of the process per host during start and warm-up, in bytes.
    pub state_bytes: u64,
}

/// Cost of configuration edits at one size and rate.
#[derive(Clone, Debug, Serialize)]
pub struct EditRow {
    /// Entry hosts.
    pub hosts: u32,
    /// Real rate that the replay represents.
    pub edits_a_day: u32,
    /// Edits replayed. Each changes the slots in the contract of one pool.
    pub edits: u32,
    /// Bytes per host and edit, less those of the idle exchange.
    pub bytes_per_edit: f64,
    /// Processor time per host and edit in microseconds, less that of the idle exchange.
    pub cpu_us_per_edit: f64,
    /// Mean time until an edit was installed on every host, in milliseconds.
    pub in_force_ms_mean: f64,
    /// Longest time until an edit was installed on every host, in milliseconds.
    pub in_force_ms_most: f64,
    /// Edits that some host had not installed at the end.
    pub unfinished: u32,
}

/// Rate and encoded size of one kind of message between hosts.
#[derive(Clone, Debug, Serialize)]
pub struct MessageRow {
    /// Entry hosts.
    pub hosts: u32,
    /// Name of the message kind.
    pub kind: &'static str,
    /// Messages per host and second.
    pub rate: f64,
    /// Mean encoded size in bytes.
    pub mean: f64,
    /// Largest encoded size in bytes.
    pub most: usize,
}

/// Costs of the exchange at all sizes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExchangeCost {
    /// Costs without edits, by size and number of moves.
    pub rows: Vec<ExchangeRow>,
    /// Costs of edits, by size and rate.
    pub edits: Vec<EditRow>,
    /// Message sizes at the target size.
    pub messages: Vec<MessageRow>,
}

impl ExchangeCost {
    /// Returns the row with this number of hosts and moves.
    pub fn row(&self, hosts: u32, moves: u32) -> Option<&ExchangeRow> {
        self.rows.iter().find(|row| row.hosts == hosts && row.moves == moves)
    }
}

/// Simulated fleets of all sizes after their warm-up, with the memory per host in bytes.
#[derive(Debug)]
pub struct StartedFleets {
    fleets: Vec<(SimulatedFleet, u64)>,
}

impl StartedFleets {
    /// Starts the fleets. All are kept, because a size that reused the memory of a freed one would seem to need less.
    pub fn start() -> Self {
        let fleets = SIZES.map(|(hosts, domains, targets)| {
            let before = resident_kib();
            let table = sample_table(domains, targets);
            let mut fleet = SimulatedFleet::with_hosts(hosts, domains, table, 1);
            fleet.run_for(WARM_UP);
            let state_bytes = resident_kib().saturating_sub(before) * 1024 / u64::from(hosts);
            (fleet, state_bytes)
        });
        Self { fleets: fleets.into() }
    }
}

/// Measures all sizes. Blocks for tens of seconds.
pub fn measure(started: StartedFleets) -> ExchangeCost {
    let mut cost = ExchangeCost::default();
    for ((mut fleet, state_bytes), (hosts, domains, targets)) in
        started.fleets.into_iter().zip(SIZES)
    {
        let mut idle = measure_moves(&mut fleet, hosts, 0);
        (idle.domains, idle.targets, idle.state_bytes) = (domains, targets, state_bytes);
        if hosts == SIZES[SIZES.len() - 1].0 {
            cost.messages = measure_messages(&mut fleet, hosts);
        }
        // Edits are measured before the moves, because hosts keep the evidence of moves.
        for rate in EDIT_RATES_PER_DAY {
            cost.edits.push(measure_edits(&mut fleet, &idle, rate));
        }
        for moves in MOVE_COUNTS {
            let mut row = measure_moves(&mut fleet, hosts, moves);
            (row.domains, row.targets, row.state_bytes) = (domains, targets, state_bytes);
            cost.rows.push(row);
        }
        let idle_at = cost.rows.len() - MOVE_COUNTS.len();
        cost.rows.insert(idle_at, idle);
    }
    cost
}

fn measure_moves(fleet: &mut SimulatedFleet, hosts: u32, moves: u32) -> ExchangeRow {
    let bytes_before = fleet.bytes_by_host();
    let messages_before = fleet.delivered_messages;
    let nanos_before = thread_cpu_nanos();
    for _ in 0..MEASURED_SECONDS {
        record_target_notice(fleet, moves);
        fleet.run_for(Duration::from_secs(1));
    }
    let nanos = thread_cpu_nanos() - nanos_before;
    let after = fleet.bytes_by_host();
    let by_host = after.iter().map(|(host, bytes)| bytes - bytes_before[host]);
    let share = 1.0 / f64::from(hosts) / f64::from(MEASURED_SECONDS);
    ExchangeRow {
        hosts,
        domains: 0,
        targets: 0,
        moves,
        bytes_mean: by_host.clone().sum::<u64>() as f64 * share,
        bytes_busiest: by_host.max().unwrap_or_default() as f64 / f64::from(MEASURED_SECONDS),
        // Each message counts twice: one host sends it and another one receives it.
        messages: 2.0 * (fleet.delivered_messages - messages_before) as f64 * share,
        cpu_us: nanos as f64 * share / 1e3,
        state_bytes: 0,
    }
}

/// Records 40 requests for each version of each move on every host.
fn record_target_notice(fleet: &mut SimulatedFleet, moves: u32) {
    let now = fleet.now();
    let bucket = (WALL_START_MS + now.as_millis() as u64) / MEASUREMENT_BUCKET_MS;
    for host in fleet.hosts.values_mut() {
        for index in 0..moves {
            for version in [MoveVersion::Old, MoveVersion::New] {
                let route = format!("route-{index:02}");
                let move_id = format!("move-{moves}-{index}");
                let key = EvidenceKey { route, move_id, version, bucket };
                let counters = EvidenceCounters { requests: 40, failures: 0, slow: 2 };
                host.peer.record_evidence(&key, counters, now);
            }
        }
    }
}

fn measure_edits(fleet: &mut SimulatedFleet, idle: &ExchangeRow, rate: u32) -> EditRow {
    let gap = Duration::from_secs(86_400) / rate / REPLAY_FACTOR;
    let start = fleet.now();
    let bytes_before = fleet.bytes();
    let nanos_before = thread_cpu_nanos();
    let mut written = Vec::new();
    while fleet.now() + gap <= start + REPLAY_TIME {
        let Some(current) = fleet.stored_config.clone() else { break };
        let mut edited = current.clone();
        let pools = edited.pools.len().max(1);
        if let Some(row) = edited.pools.values_mut().nth(written.len() % pools) {
            row.contract.slots += 1;
        }
        let next = build_next_revision(&current, &edited, &format!("edit-{}", current.revision));
        written.push((fleet.now(), next.revision));
        fleet.write_store(next);
        fleet.run_for(gap);
    }
    fleet.run_for(SETTLE_TIME);
    let time = (fleet.now() - start).as_secs_f64();
    let hosts = f64::from(idle.hosts);
    let bytes = (fleet.bytes() - bytes_before) as f64 / hosts - idle.bytes_mean * time;
    let cpu_us = (thread_cpu_nanos() - nanos_before) as f64 / 1e3 / hosts - idle.cpu_us * time;
    let times: Vec<_> = written.iter().map(|(at, one)| time_in_force(fleet, *at, *one)).collect();
    let known: Vec<_> = times.iter().flatten().map(|time| time.as_secs_f64() * 1e3).collect();
    let edits = written.len().max(1) as f64;
    EditRow {
        hosts: idle.hosts,
        edits_a_day: rate,
        edits: written.len() as u32,
        bytes_per_edit: bytes / edits,
        cpu_us_per_edit: cpu_us / edits,
        in_force_ms_mean: known.iter().sum::<f64>() / known.len().max(1) as f64,
        in_force_ms_most: known.iter().copied().fold(0.0, f64::max),
        unfinished: (times.len() - known.len()) as u32,
    }
}

/// Returns the time from `written` until the last host installed this revision or a later one; `None` if some host did
/// not.
fn time_in_force(fleet: &SimulatedFleet, written: Duration, revision: u64) -> Option<Duration> {
    let mut last = Duration::ZERO;
    for host in fleet.hosts.values() {
        let (at, _) = host.installed.iter().find(|(_, installed)| revision <= *installed)?;
        last = last.max(at.saturating_sub(written));
    }
    Some(last)
}

fn measure_messages(fleet: &mut SimulatedFleet, hosts: u32) -> Vec<MessageRow> {
    let seconds = 4;
    fleet.logs_messages = true;
    fleet.run_for(Duration::from_secs(seconds));
    fleet.logs_messages = false;
    let mut sizes: BTreeMap<&'static str, Vec<usize>> = BTreeMap::new();
    for (_, from, _, message) in std::mem::take(&mut fleet.message_log) {
        let Some(sender) = fleet.hosts.get(&from) else { continue };
        let length = encode(sender.peer.local_host(), &message).len();
        sizes.entry(message_kind(&message)).or_default().push(length);
    }
    let rows = sizes.into_iter().map(|(kind, lengths)| MessageRow {
        hosts,
        kind,
        rate: lengths.len() as f64 / f64::from(hosts) / seconds as f64,
        mean: lengths.iter().sum::<usize>() as f64 / lengths.len() as f64,
        most: lengths.iter().copied().max().unwrap_or_default(),
    });
    rows.collect()
}

fn message_kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Exchange { .. } => "exchange",
        PeerMessage::ExchangeReply { .. } => "exchange reply",
        PeerMessage::Push { .. } => "push",
    }
}
