//! Measures the cost of the exchange between hosts: `spread_cost HOSTS DOMAINS TARGETS SECONDS` prints a JSON object.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use vanillapick_fleet::evidence::EvidenceCounters;
use vanillapick_fleet::evidence::EvidenceKey;
use vanillapick_fleet::evidence::MEASUREMENT_BUCKET_MS;
use vanillapick_fleet::evidence::MoveVersion;
use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::WALL_START_MS;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_fleet::table_edit::build_next_revision;

/// Virtual time for hosts to start and discover each other before the measurement.
const WARM_UP: Duration = Duration::from_secs(15);

fn main() {
    let numbers: Vec<u32> =
        std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let &[hosts, domains, targets, seconds] = numbers.as_slice() else {
        eprintln!("usage: spread_cost HOSTS DOMAINS TARGETS SECONDS");
        std::process::exit(2);
    };
    let seconds = seconds.max(1);
    let before_kib = resident_kib();
    let mut fleet = SimulatedFleet::with_hosts(hosts, domains, sample_table(domains, targets), 1);
    fleet.run_for(WARM_UP);
    let after_kib = resident_kib();

    let idle = measure(&mut fleet, hosts, seconds, 0);
    let one_move = measure(&mut fleet, hosts, seconds, 1);
    let four_moves = measure(&mut fleet, hosts, seconds, 4);

    let before = fleet.bytes();
    let started = fleet.now();
    let current = fleet.stored_config.clone().expect("the store is available");
    let mut edited = current.clone();
    let row = edited.pools.values_mut().next().expect("the table has a pool");
    row.contract.slots += 1;
    let next = build_next_revision(&current, &edited, "edit-2");
    let revision = next.revision;
    fleet.write_store(next);
    while !fleet.has_converged_on(revision) && fleet.now() < started + Duration::from_secs(60) {
        fleet.run_for(Duration::from_millis(50));
    }
    let spread = fleet.now() - started;
    let idle_bytes = idle.bytes * f64::from(hosts) * spread.as_secs_f64();
    let edit_bytes = (fleet.bytes() - before) as f64 - idle_bytes;

    let report = json!({
        "hosts": hosts,
        "domains": domains,
        "targets": targets,
        "seconds": seconds,
        "idle": idle.report(),
        "one_move": one_move.report(),
        "four_moves": four_moves.report(),
        "bytes_per_host_and_edit": (edit_bytes / f64::from(hosts)).round(),
        "state_bytes_per_host": (after_kib.saturating_sub(before_kib)) * 1024 / u64::from(hosts.max(1)),
        "spread_ms": spread.as_millis() as u64,
    });
    println!("{report}");
}

/// Mean cost per host and second of virtual time.
struct HostCost {
    /// Bytes of encoded messages received and sent.
    bytes: f64,
    /// The same on the busiest host.
    busiest: f64,
    /// CPU time in nanoseconds, including that of the simulation itself.
    nanos: f64,
}

impl HostCost {
    fn report(&self) -> serde_json::Value {
        json!({
            "bytes_per_host_second": self.bytes.round(),
            "bytes_per_second_of_busiest_host": self.busiest.round(),
            "nanos_per_host_second": self.nanos.round(),
        })
    }
}

/// Measures the cost while `moves` moves run.
fn measure(fleet: &mut SimulatedFleet, hosts: u32, seconds: u32, moves: u32) -> HostCost {
    let before = fleet.bytes_by_host();
    let start = Instant::now();
    for _ in 0..seconds {
        let bucket = (WALL_START_MS + fleet.now().as_millis() as u64) / MEASUREMENT_BUCKET_MS;
        let now = fleet.now();
        for host in fleet.hosts.values_mut() {
            for index in 0..moves {
                for version in [MoveVersion::Old, MoveVersion::New] {
                    let key = EvidenceKey {
                        route: format!("route-{index:02}"),
                        move_id: format!("move-{moves}-{index}"),
                        version,
                        bucket,
                    };
                    let counters = EvidenceCounters { requests: 40, failures: 0, slow: 2 };
                    host.peer.record_evidence(&key, counters, now);
                }
            }
        }
        fleet.run_for(Duration::from_secs(1));
    }
    let nanos = start.elapsed().as_nanos() as f64;
    let after = fleet.bytes_by_host();
    let by_host = after.iter().map(|(host, bytes)| bytes - before[host]);
    let share = 1.0 / f64::from(hosts) / f64::from(seconds);
    HostCost {
        bytes: by_host.clone().sum::<u64>() as f64 * share,
        busiest: by_host.max().unwrap_or_default() as f64 / f64::from(seconds),
        nanos: nanos * share,
    }
}

/// Resident memory of this process in KiB; 0 if the operating system does not report it.
fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
