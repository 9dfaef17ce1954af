//! Snapshot of the messages between five hosts in two domains during the start, a configuration change and a crash
//! mark.

mod support;

use std::time::Duration;

use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::WALL_START_MS;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::MarkStage;

use crate::support::count_requests;
use crate::support::describe;
use crate::support::next_table;

// Guards against unintended protocol changes, such as an additional message, a whole table in place of changed rows, or
// items sent again to hosts that already have them.
#[test]
fn exchange_session() {
    let mut fleet = SimulatedFleet::with_hosts(5, 2, sample_table(2, 4), 3);
    fleet.logs_messages = true;
    fleet.run_for(Duration::from_millis(1200));
    fleet.logs_messages = false;
    fleet.run_for(Duration::from_millis(4800));
    fleet.logs_messages = true;
    let current = fleet.stored_config.clone().expect("the store is available");
    fleet.write_store(next_table(&current));
    fleet.run_for(Duration::from_millis(100));
    count_requests(&mut fleet, "host-003", 5);
    let mark = CrashMark {
        fingerprint: 7,
        generation: 0,
        until_ms: WALL_START_MS + 60_000,
        stage: MarkStage::Marked,
        mark_count: 1,
    };
    fleet.run_on_host("host-002", |peer, now, rng| peer.announce_crash(mark, now, rng));
    fleet.run_for(Duration::from_millis(1200));

    let mut lines = Vec::new();
    for (at, from, to, message) in &fleet.message_log {
        let at = at.as_millis();
        lines.push(format!("{at:>5} {from} -> {to} {}", describe(message)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}
