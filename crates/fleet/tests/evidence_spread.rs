//! Replication of counters, target marks and crash marks to all hosts.

mod support;

use std::time::Duration;

use vanillapick_fleet::marks::TargetMark;
use vanillapick_fleet::peer_state::PeerAction;
use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::WALL_START_MS;
use vanillapick_fleet::simulation::host_entry;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_fleet::table_edit::build_next_revision;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::MarkStage;
use vanillapick_model::route::MoveRow;
use vanillapick_model::route::MoveState;

use crate::support::converged_fleet;
use crate::support::count_requests;
use crate::support::counted_requests;
use crate::support::rollback;

// Guards against counts that are lost when their host stops or restarts, or counted twice through the summaries of two
// delegates.
#[test]
fn counts_survive_their_hosts() {
    let mut fleet = converged_fleet(1);
    let hosts: Vec<_> = fleet.hosts.keys().cloned().collect();
    for (index, host) in hosts.iter().enumerate() {
        count_requests(&mut fleet, host, 10_u64.pow(index as u32));
    }
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(counted_requests(&fleet), [111_111; 6]);

    fleet.start(host_entry(0, 2));
    fleet.stop("host-003");
    fleet.host_list.retain(|host| host.id != "host-003");
    fleet.run_for(Duration::from_secs(20));
    count_requests(&mut fleet, "host-000", 1);
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(counted_requests(&fleet), [111_112; 5]);
}

// Guards against evidence of an ended move that stays in memory or returns from a peer.
#[test]
fn counters_are_removed_with_their_move() {
    let mut fleet = converged_fleet(2);
    let first = fleet.stored_config.clone().expect("the store is available");
    let mut moving = first.clone();
    moving.routes.get_mut("route-00").expect("a route").version_move = Some(MoveRow {
        id: "move-1".to_owned(),
        to: "pool-00".to_owned(),
        start_ms: WALL_START_MS,
        finish_by_ms: WALL_START_MS + 1000,
        progress: MoveState::Done,
    });
    let second = build_next_revision(&first, &moving, "edit-2");
    fleet.write_store(second.clone());
    fleet.run_for(Duration::from_secs(3));
    count_requests(&mut fleet, "host-000", 5);
    fleet.run_for(Duration::from_secs(8));
    assert_eq!(counted_requests(&fleet), [5; 6]);
    fleet.write_store(build_next_revision(&second, &first, "edit-3"));
    fleet.run_for(Duration::from_secs(8));
    assert_eq!(counted_requests(&fleet), [0; 6]);
}

fn cold_mark(sequence: u64) -> TargetMark {
    TargetMark {
        target: "target-0000".to_owned(),
        incarnation: 2,
        sequence,
        cold: true,
        draining: false,
        lost: false,
        snapshots: vec![9, 8],
    }
}

// Guards against a change of a target that every host of a domain publishes, and against marks that do not reach other
// domains.
#[test]
fn one_change_of_a_target_is_published_by_few_hosts() {
    let mut fleet = SimulatedFleet::with_hosts(24, 2, sample_table(2, 4), 3);
    fleet.run_for(Duration::from_secs(10));
    let near: Vec<_> = (0..24).step_by(2).map(|index| host_entry(index, 2).id).collect();
    for (index, host) in near.iter().enumerate() {
        fleet.run_on_host(host, |peer, now, _| {
            peer.record_target_mark(&cold_mark(100 + index as u64), now);
            Vec::new()
        });
    }
    fleet.run_for(Duration::from_secs(15));
    let publishers = |host: &str| {
        let rows = fleet.hosts[host].peer.shared().rows();
        rows.filter(|row| row.mark("target-0000").is_some()).count()
    };
    assert!(publishers("host-000") <= 4, "{} rows hold the mark", publishers("host-000"));
    for host in fleet.hosts.values() {
        let mark = host.peer.shared().mark("target-0000").expect("the mark has spread");
        assert!(mark.reports_same_state(&cold_mark(0)));
    }
    let mark_reports = |actions: &[PeerAction]| {
        actions.iter().filter(|action| matches!(action, PeerAction::TargetMarks(_))).count()
    };
    assert_eq!(
        mark_reports(&fleet.hosts["host-001"].actions),
        1,
        "an unchanged state is reported once"
    );
}

// Guards against a mark of a target's earlier incarnation that hides the state of the current one.
#[test]
fn later_incarnation_of_a_target_wins() {
    let mut fleet = converged_fleet(4);
    let warm = TargetMark { incarnation: 3, cold: false, ..cold_mark(5) };
    let marks = [("host-000", cold_mark(900)), ("host-001", warm.clone())];
    for (host, mark) in marks {
        fleet.run_on_host(host, |peer, now, _| {
            peer.record_target_mark(&mark, now);
            Vec::new()
        });
    }
    fleet.run_for(Duration::from_secs(10));
    for host in fleet.hosts.values() {
        assert_eq!(host.peer.shared().mark("target-0000"), Some(&warm));
    }
}

// Guards against urgent items that are delayed until the next exchange, and against crash marks that do not expire.
#[test]
fn urgent_items_arrive_immediately_and_crash_marks_expire() {
    let mut fleet = SimulatedFleet::with_hosts(60, 3, sample_table(3, 4), 5);
    fleet.run_for(Duration::from_secs(10));
    let until_ms = WALL_START_MS + 20_000;
    fleet.run_on_host("host-007", |peer, now, rng| {
        let mark = CrashMark {
            fingerprint: 7,
            generation: 0,
            until_ms,
            stage: MarkStage::Marked,
            mark_count: 1,
        };
        let mut actions = peer.announce_crash(mark, now, rng);
        actions.extend(peer.announce_rollback(rollback("move-1", 1, "failures"), now, rng));
        actions
    });
    fleet.run_for(Duration::from_millis(200));
    let informed = |fleet: &SimulatedFleet| {
        let hosts = fleet.hosts.values();
        hosts.filter(|host| host.peer.rollback("move-1").is_some()).count()
    };
    assert!(50 <= informed(&fleet), "{} of 60 hosts after 0.2 s", informed(&fleet));
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(informed(&fleet), 60);
    let crashes = |fleet: &SimulatedFleet| -> usize {
        fleet.hosts.values().map(|host| host.peer.shared().urgent.crashes().count()).sum()
    };
    assert_eq!(crashes(&fleet), 60);
    fleet.run_for(Duration::from_secs(12));
    assert_eq!(crashes(&fleet), 0);
    assert_eq!(informed(&fleet), 60, "a rollback does not expire");
}
