//! Golden file of a session between five hosts of two domains: start, a change of the configuration, a crash mark.

mod support;

use std::time::Duration;

use vanillapick_fleet::loopback::LoopbackFleet;
use vanillapick_fleet::loopback::WALL_START_MS;
use vanillapick_fleet::loopback::sample_table;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::MarkStage;

use crate::support::count_requests;
use crate::support::describe;
use crate::support::next_table;

// Guards against unintended changes of the protocol: an additional message, a whole table in place of rows, items sent
// again to hosts that have them.
#[test]
fn exchange_session() {
    let mut fleet = LoopbackFleet::with_hosts(5, 2, sample_table(2, 4), 3);
    fleet.logs = true;
    fleet.run_for(Duration::from_millis(1200));
    fleet.logs = false;
    fleet.run_for(Duration::from_millis(4800));
    fleet.logs = true;
    let current = fleet.store.clone().expect("the store is there");
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
    fleet.act("host-002", |peer, now, rng| peer.note_crash(mark, now, rng));
    fleet.run_for(Duration::from_millis(1200));

    let mut lines = Vec::new();
    for (at, from, to, message) in &fleet.log {
        let at = at.as_millis();
        lines.push(format!("{at:>5} {from} -> {to} {}", describe(message)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}
