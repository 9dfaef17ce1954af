//! Identity of the orders to move a pool: two orders for one version are different moves, and a document that is written again
//! while its move runs is the same order.

mod common;

use std::fmt::Write;
use std::time::Duration;

use common::host_record;
use common::ms;
use vanillapick_dispatch::host_record::HostRecord;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::registry::StoreRegistry;
use vanillapick_dispatch::store_position::StorePosition;
use vanillapick_dispatch::store_position::StoreRevision;
use vanillapick_dispatch::version_split::MoveOrder;
use vanillapick_dispatch::version_split::MoveRecord;
use vanillapick_dispatch::version_split::MoveRecordState;
use vanillapick_dispatch::version_split::MoveRecordState::Completed;
use vanillapick_dispatch::version_split::MoveRecordState::RolledBack;
use vanillapick_dispatch::version_split::MoveRecordState::Running;

/// Time after which a restored store has what its writers know.
const CONFIRMED: Duration = Duration::from_secs(10);

fn order(version: &str, revision: StoreRevision) -> StoreChange {
    let order = MoveOrder { version: version.into(), duration: ms(8000) };
    StoreChange::MoveOrder("p".into(), Some(order), revision)
}

fn removed(revision: StoreRevision) -> StoreChange {
    StoreChange::MoveOrder("p".into(), None, revision)
}

fn record(version: &str, state: MoveRecordState, revision: StoreRevision) -> StoreChange {
    let record = MoveRecord { version: version.into(), state };
    StoreChange::MoveRecord("p".into(), record, revision)
}

fn registry() -> StoreRegistry {
    common::registry(common::config(1, Vec::new(), &["p"]), &[])
}

/// Applies changes one after the other; returns the move after each.
fn watch(registry: &mut StoreRegistry, changes: Vec<StoreChange>) -> String {
    let mut lines = String::new();
    for change in changes {
        let what = describe_change(&change);
        registry.apply(change, ms(60_000));
        writeln!(lines, "{what:<20}{}", describe(registry)).expect("text can be written");
    }
    lines
}

fn describe_change(change: &StoreChange) -> String {
    match change {
        StoreChange::MoveOrder(_, Some(order), at) => format!("{at}: order {}", order.version),
        StoreChange::MoveOrder(_, None, at) => format!("{at}: no order"),
        StoreChange::MoveRecord(_, record, at) => {
            format!("{at}: {} {:?}", record.version, record.state)
        }
        other => format!("{other:?}"),
    }
}

fn describe(registry: &StoreRegistry) -> String {
    let Some(pool_move) = registry.moves().get("p") else { return "no move".to_owned() };
    let StorePosition { era, revision } = pool_move.order_id;
    let count = pool_move.move_count;
    let active = pool_move.active_order().map(|order| order.version.to_string());
    let lost = pool_move.lost_record().map(|record| record.state);
    format!("move {count}, order {era}.{revision}, runs {active:?}, to write again {lost:?}")
}

/// Guards against a repeated order that is never begun, and against two moves that share evidence: an order was known by its
/// version.
#[test]
fn an_order_after_the_end_of_a_move_to_the_same_version_is_another() {
    let seen = watch(
        &mut registry(),
        vec![
            order("v2", 10),
            record("v2", Running, 11),
            record("v2", RolledBack, 15),
            order("v2", 20),
            record("v2", Running, 21),
            record("v2", Completed, 30),
            removed(40),
            order("v2", 41),
            record("v2", RolledBack, 45),
            order("v1", 50),
            record("v1", Completed, 55),
            order("v2", 60),
        ],
    );
    insta::assert_snapshot!(seen);
}

/// Guards against a move that starts anew because operators repeat its order.
#[test]
fn a_document_that_is_written_again_while_its_move_runs_is_the_same_order() {
    let changes = vec![
        order("v2", 10),
        order("v2", 12),
        record("v2", Running, 13),
        order("v2", 20),
        record("v2", Completed, 30),
    ];
    insta::assert_snapshot!(watch(&mut registry(), changes));
}

/// Guards against hosts that disagree on the order, because one of them starts when the documents are already there. Lists are in
/// the order of keys, and orders come first.
#[test]
fn a_host_that_starts_later_finds_the_same_order() {
    let cases: [(&str, Vec<StoreChange>); 6] = [
        ("runs", vec![order("v2", 10), record("v2", Running, 11)]),
        ("written again while it ran", vec![order("v2", 20), record("v2", Running, 11)]),
        ("written again, then recorded", vec![order("v2", 20), record("v2", Running, 21)]),
        ("ended", vec![order("v2", 20), record("v2", Completed, 30)]),
        ("repeated after the end", vec![order("v2", 40), record("v2", RolledBack, 30)]),
        ("read first", vec![record("v2", Running, 11), order("v2", 20)]),
    ];
    let mut lines = String::new();
    for (name, changes) in cases {
        let mut registry = registry();
        registry.apply_list(changes, ms(0));
        writeln!(lines, "{name}: {}", describe(&registry)).expect("text can be written");
    }
    insta::assert_snapshot!(lines);
}

/// A host whose watch was cut misses what happened meanwhile and reads the result from a list.
#[test]
fn a_host_that_missed_the_end_of_a_move_finds_the_repeated_order() {
    let cases = [
        ("not begun", vec![order("v2", 40), record("v2", RolledBack, 30)]),
        ("runs", vec![order("v2", 40), record("v2", Running, 41)]),
        ("ended", vec![order("v2", 40), record("v2", Completed, 50)]),
        ("written again in between", vec![order("v2", 20), record("v2", Running, 11)]),
    ];
    let mut lines = String::new();
    for (name, changes) in cases {
        let mut registry = registry();
        watch(&mut registry, vec![order("v2", 10), record("v2", Running, 11)]);
        registry.apply_list(changes, ms(0));
        writeln!(lines, "{name}: {}", describe(&registry)).expect("text can be written");
    }
    insta::assert_snapshot!(lines);
}

/// Guards against a completed move that starts again, because operators write their documents to a restored store once more.
#[test]
fn the_order_of_a_restored_store_is_the_same_while_writers_repeat_theirs() {
    let mut registry = registry();
    watch(&mut registry, vec![order("v2", 10), record("v2", Completed, 30)]);
    registry.set_era(1);
    let copies = [
        ("record in the copy", vec![order("v2", 40), record("v2", Completed, 30)]),
        ("record not in the copy", vec![order("v2", 40), record("v2", Running, 11)]),
        ("nothing in the copy", vec![]),
    ];
    let mut lines = String::new();
    for (name, changes) in copies {
        registry.apply_restored_list(changes, ms(60_000));
        writeln!(lines, "{name}: {}", describe(&registry)).expect("text can be written");
        lines += &watch(&mut registry, vec![order("v2", 41), record("v2", Completed, 42)]);
    }
    registry.expire(ms(60_000) + CONFIRMED);
    registry.apply(order("v2", 60), ms(60_000) + CONFIRMED);
    writeln!(lines, "ordered again later: {}", describe(&registry)).expect("text can be written");
    insta::assert_snapshot!(lines);
}

/// Earlier builds take the record of an ended move for that of a repeated order, and write it again. They must not end this one.
#[test]
fn a_repeated_order_waits_for_hosts_of_earlier_builds() {
    let mut registry = registry();
    let earlier = HostRecord { knows_order_ids: false, ..host_record("a", 1) };
    registry.apply(StoreChange::Host("h1".into(), Some(host_record("a", 1))), ms(0));
    registry.apply(StoreChange::Host("h2".into(), Some(earlier)), ms(0));
    let changes = vec![order("v2", 10), record("v2", RolledBack, 15), order("v2", 20)];
    let mut lines = watch(&mut registry, changes);
    registry.apply(StoreChange::Host("h2".into(), Some(host_record("a", 1))), ms(0));
    writeln!(lines, "all know orders: {}", describe(&registry)).expect("text can be written");
    insta::assert_snapshot!(lines);
}

/// Guards against a new version that gets the share of the last move, which is all requests, until the first update of its own.
#[test]
fn a_move_begins_without_the_share_of_the_last_one() {
    let mut registry = registry();
    let moves = [
        vec![order("v2", 10), record("v2", Running, 11), record("v2", Completed, 15)],
        vec![order("v1", 20), record("v1", RolledBack, 25)],
        vec![order("v1", 30)],
    ];
    let mut shares = Vec::new();
    for changes in moves {
        watch(&mut registry, changes);
        let view = registry.view().expect("there is a configuration");
        shares.push(view.pools["p"].state.new_version_share());
        view.pools["p"].state.set_new_version_share(1.0);
    }
    assert_eq!(shares, [0.0, 0.0, 0.0]);
}

/// Guards against a repeated order that never ends: if it is rolled back before it was recorded as running, its final record equals
/// that of the earlier order.
#[test]
fn a_final_record_is_written_although_the_earlier_order_ended_the_same_way() {
    let mut registry = registry();
    let changes = vec![order("v2", 10), record("v2", RolledBack, 15), order("v2", 20)];
    watch(&mut registry, changes);
    let due = |registry: &StoreRegistry, state| {
        registry.moves()["p"].due_record(state).map(|record| record.state)
    };
    let before = [Running, RolledBack].map(|state| due(&registry, state));
    let lines = watch(&mut registry, vec![record("v2", RolledBack, 21)]);
    let after = [Running, RolledBack].map(|state| due(&registry, state));
    assert_eq!((before, after), ([Some(Running), Some(RolledBack)], [None, None]), "{lines}");
}
