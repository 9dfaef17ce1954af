//! Snapshot of the hosts before, during and after a partition.

mod support;

use std::fmt::Write;
use std::time::Duration;

use vanillapick_fleet::membership::MemberState;
use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::WALL_START_MS;

use crate::support::converged_fleet;
use crate::support::count_requests;
use crate::support::counted_requests;
use crate::support::next_table;
use crate::support::rollback;

fn describe(title: &str, fleet: &SimulatedFleet, text: &mut String) {
    let _ = writeln!(text, "{title}");
    for ((id, host), requests) in fleet.hosts.iter().zip(counted_requests(fleet)) {
        let status = host.peer.status(fleet.now());
        let in_state = |state| status.members.iter().filter(|member| member.state == state).count();
        let rollbacks: Vec<_> = host
            .peer
            .shared()
            .urgent
            .rollbacks()
            .map(|flag| format!("{}: {}", flag.move_id, flag.reason))
            .collect();
        let _ = writeln!(
            text,
            "  {id} in {}: revision {}, live {}, gone {}, requests {requests}, rollbacks {rollbacks:?}",
            status.domain,
            status.revision,
            status.live,
            in_state(MemberState::Gone),
        );
    }
}

// Guards against one side of a partition that reverts a configuration or rollback of the other side or loses its
// counts, and against hosts that lose their share of the limits because a partition hides them.
#[test]
fn partition_heals_without_reverting_anything() {
    let mut fleet = converged_fleet(5);
    let mut text = String::new();
    for (index, host) in fleet.hosts.keys().cloned().collect::<Vec<_>>().iter().enumerate() {
        count_requests(&mut fleet, host, 10_u64.pow(index as u32));
    }
    fleet.run_for(Duration::from_secs(15));
    describe("before the cut", &fleet, &mut text);

    // Domain-01 is partitioned from the other hosts and from the platform. The store accepts edits 2 and 3. The hosts
    // of domain-00 see only edit 2 before the store becomes unavailable; one host of domain-01 manages to read edit 3.
    fleet.partitioned_domains.insert("domain-01".to_owned());
    let second = next_table(fleet.stored_config.as_ref().expect("the store is available"));
    let third = next_table(&second);
    fleet.write_store(second);
    fleet.run_for(Duration::from_secs(1));
    fleet.stored_config = None;
    fleet.run_on_host("host-003", |peer, now, rng| peer.on_store_config(third, now, rng));
    let flags = [
        ("host-000", rollback("move-1", WALL_START_MS + 20, "failures seen in domain-00")),
        ("host-001", rollback("move-1", WALL_START_MS + 10, "failures seen in domain-01")),
        ("host-002", rollback("move-2", WALL_START_MS + 30, "slow replies")),
        ("host-005", rollback("move-3", WALL_START_MS + 30, "operator")),
    ];
    for (host, flag) in flags {
        fleet.run_on_host(host, |peer, now, rng| peer.announce_rollback(flag, now, rng));
    }
    count_requests(&mut fleet, "host-000", 1);
    count_requests(&mut fleet, "host-001", 10);
    fleet.run_for(Duration::from_secs(30));
    describe("after 30 s of the cut", &fleet, &mut text);

    fleet.partitioned_domains.clear();
    fleet.run_for(Duration::from_secs(10));
    describe("10 s after healing", &fleet, &mut text);

    for (id, host) in &fleet.hosts {
        let revisions: Vec<_> = host.installed.iter().map(|(_, revision)| *revision).collect();
        assert!(
            revisions.is_sorted_by(|left, right| left < right),
            "{id} reverted to an older revision: {revisions:?}"
        );
    }
    insta::assert_snapshot!(text);
}
