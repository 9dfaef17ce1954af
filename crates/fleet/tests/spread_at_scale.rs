//! Guards against exchange traffic over its budget and against slow configuration changes, at the fleet size expected
//! in two years.

use std::time::Duration;

use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_fleet::table_edit::build_next_revision;

const HOSTS: u32 = 480;
const DOMAINS: u32 = 11;
const TARGETS: u32 = 2700;
const EDITS_A_DAY: f64 = 840.0;
const BYTES_A_SECOND: f64 = 7000.0;
const IN_FORCE_WITHIN: Duration = Duration::from_secs(11);

/// Time after which the rows of all hosts have been exchanged when all hosts start at the same time.
const WARM_UP: Duration = Duration::from_secs(14);
const MEASURED_SECONDS: u32 = 3;

#[test]
fn spread_stays_within_the_budget_at_full_size() {
    let mut fleet = SimulatedFleet::with_hosts(HOSTS, DOMAINS, sample_table(DOMAINS, TARGETS), 1);
    // A debug build spends a quarter of its time on decoding; tests/merges.rs covers the encoding.
    fleet.decodes_messages = false;
    fleet.run_for(WARM_UP);
    assert!(fleet.has_converged_on(1), "all hosts have the first configuration");

    let before = fleet.bytes_by_host();
    fleet.run_for(Duration::from_secs(MEASURED_SECONDS.into()));
    let after = fleet.bytes_by_host();
    let by_host = after.iter().map(|(host, bytes)| bytes - before[host]);
    let seconds = f64::from(MEASURED_SECONDS);
    let steady = by_host.clone().sum::<u64>() as f64 / f64::from(HOSTS) / seconds;
    let busiest = by_host.max().unwrap_or_default() as f64 / seconds;

    let current = fleet.stored_config.clone().expect("the store is available");
    let mut edited = current.clone();
    edited.pools.get_mut("pool-00").expect("a pool").contract.slots += 1;
    let started = fleet.now();
    let before = fleet.bytes();
    fleet.write_store(build_next_revision(&current, &edited, "edit-2"));
    while !fleet.has_converged_on(2) && fleet.now() < started + IN_FORCE_WITHIN {
        fleet.run_for(Duration::from_millis(50));
    }
    let spread = fleet.now() - started;
    let edit = (fleet.bytes() - before) as f64 / f64::from(HOSTS);
    let edits = edit * EDITS_A_DAY / 86_400.0;

    println!(
        "bytes per host and second, in and out: {steady:.0}, at the busiest host {busiest:.0}"
    );
    println!("the same for {EDITS_A_DAY} edits a day: {edits:.0}");
    println!("bytes per host and edit: {edit:.0}, time until active on all hosts: {spread:?}");
    assert!(busiest + edits < BYTES_A_SECOND, "{busiest} and {edits} bytes per second");
    assert!(spread < IN_FORCE_WITHIN, "{spread:?}");
}
