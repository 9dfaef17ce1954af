//! Which versions of a pool get requests, over sequences of orders, records and changes of targets. One record a pool forgets what it
//! replaces, so a version that was rolled back came back with the next order.

mod common;

use std::collections::BTreeMap;
use std::fmt::Write;

use common::ms;
use common::record as target_record;
use vanillapick_dispatch::pool_versions::PoolVersions;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::registry::StoreRegistry;
use vanillapick_dispatch::store_position::StoreRevision;
use vanillapick_dispatch::version_split::MoveOrder;
use vanillapick_dispatch::version_split::MoveRecord;
use vanillapick_dispatch::version_split::MoveRecordState;
use vanillapick_dispatch::version_split::MoveRecordState::Completed;
use vanillapick_dispatch::version_split::MoveRecordState::RolledBack;
use vanillapick_dispatch::version_split::MoveRecordState::Running;
use vanillapick_dispatch::version_split::VersionSplit;

/// One step of a sequence, with its description.
type Step = (String, Vec<StoreChange>);

fn targets(version: &str, count: usize) -> Step {
    let target = |number: usize| {
        let mut record = target_record(&format!("{version}-{number}"), "p", "a");
        record.version = version.into();
        StoreChange::Target(record)
    };
    (format!("{count} targets of {version}"), (0..count).map(target).collect())
}

fn gone(version: &str, count: usize) -> Step {
    let gone = |number| StoreChange::TargetGone(format!("{version}-{number}").into());
    (format!("{count} targets of {version} leave"), (0..count).map(gone).collect())
}

fn order(version: &str, revision: StoreRevision) -> Step {
    let order = MoveOrder { version: version.into(), duration: ms(8000) };
    (format!("order of {version}"), vec![StoreChange::MoveOrder("p".into(), Some(order), revision)])
}

fn removed(revision: StoreRevision) -> Step {
    ("order removed".to_owned(), vec![StoreChange::MoveOrder("p".into(), None, revision)])
}

fn record(version: &str, state: MoveRecordState, revision: StoreRevision) -> Step {
    let record = MoveRecord { version: version.into(), state };
    (format!("{version} {state:?}"), vec![StoreChange::MoveRecord("p".into(), record, revision)])
}

fn versions(in_service: &str, rolled_back: &[&str], revision: StoreRevision) -> Step {
    let versions = PoolVersions {
        in_service: Some(in_service.into()),
        is_completed: false,
        is_guess: false,
        rolled_back: rolled_back.iter().map(|version| (*version).into()).collect(),
    };
    (
        format!("written: {in_service} in service"),
        vec![StoreChange::PoolVersions("p".into(), Some(versions), revision)],
    )
}

fn unknown(rolled_back: &[&str], revision: StoreRevision) -> Step {
    let versions = PoolVersions {
        rolled_back: rolled_back.iter().map(|version| (*version).into()).collect(),
        ..PoolVersions::default()
    };
    let change = StoreChange::PoolVersions("p".into(), Some(versions), revision);
    ("written: none in service".to_owned(), vec![change])
}

fn registry() -> StoreRegistry {
    common::registry(common::config(1, Vec::new(), &["p"]), &[])
}

/// Versions that get requests, with the number of their targets, and what the store lacks.
fn describe(registry: &mut StoreRegistry) -> String {
    let view = registry.view().expect("there is a configuration");
    let pool = &view.pools["p"];
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for target in &pool.targets {
        *counts.entry(&target.record.version).or_default() += 1;
    }
    let counts: Vec<String> =
        counts.iter().map(|(version, count)| format!("{version} x{count}")).collect();
    let share = match &pool.version_split {
        VersionSplit::Single => String::new(),
        VersionSplit::Moving { version } => format!(", a share to {version}"),
    };
    let due = registry.due_versions();
    let due: Vec<&str> = due.iter().filter_map(|due| due.versions.in_service.as_deref()).collect();
    let due = if due.is_empty() { String::new() } else { format!("; to write: {}", due.join(" ")) };
    format!("[{}]{share}{due}", counts.join(", "))
}

fn play(name: &str, registry: &mut StoreRegistry, steps: Vec<Step>) -> String {
    let mut lines = format!("{name}\n");
    for (step, changes) in steps {
        for change in changes {
            registry.apply(change, ms(60_000));
        }
        writeln!(lines, "  {step}: {}", describe(registry)).expect("text can be written");
    }
    lines
}

/// A host that lists the store finds all of it at once, in the order of the keys.
fn play_list(name: &str, registry: &mut StoreRegistry, steps: Vec<Step>) -> String {
    let listed = steps.into_iter().flat_map(|(_, changes)| changes).collect();
    registry.apply_list(listed, ms(60_000));
    format!("{name}: {}\n", describe(registry))
}

#[test]
fn a_version_gets_requests_if_it_is_in_service_or_ordered() {
    let sequences = [
        (
            "another order after a roll-back",
            vec![
                targets("v9", 3),
                targets("v10", 3),
                order("v10", 10),
                record("v10", RolledBack, 15),
                targets("v11", 3),
                order("v11", 20),
                record("v11", Running, 21),
                record("v11", Completed, 25),
            ],
        ),
        (
            "two versions are rolled back one after the other",
            vec![
                targets("v9", 3),
                targets("v10", 4),
                order("v10", 10),
                record("v10", RolledBack, 15),
                targets("v11", 5),
                order("v11", 20),
                record("v11", RolledBack, 25),
                targets("v12", 1),
                order("v12", 30),
                record("v12", Running, 31),
                gone("v9", 3),
                targets("v9", 1),
            ],
        ),
        (
            "an order is removed while it runs",
            vec![
                targets("v2", 2),
                targets("v1", 3),
                order("v1", 10),
                record("v1", Running, 11),
                removed(12),
                targets("v3", 2),
                order("v3", 20),
                record("v3", Running, 21),
            ],
        ),
        (
            "the version in service has fewer targets, and none for some time",
            vec![
                targets("v2", 3),
                targets("v1", 2),
                gone("v2", 2),
                gone("v2", 3),
                targets("v2", 1),
            ],
        ),
        (
            "only a version that was rolled back is left",
            vec![
                targets("v1", 2),
                targets("v2", 2),
                order("v2", 10),
                record("v2", RolledBack, 15),
                gone("v1", 2),
                order("v2", 20),
            ],
        ),
        (
            "a host that has seen no target writes what it knows",
            vec![targets("v2", 2), targets("v1", 3), unknown(&["v3"], 5), targets("v3", 4)],
        ),
        (
            "the version in service is ordered",
            vec![
                targets("v2", 2),
                targets("v1", 2),
                order("v1", 10),
                record("v1", RolledBack, 15),
                order("v2", 20),
                record("v2", Running, 21),
                record("v2", Completed, 25),
            ],
        ),
        (
            "the version that was seen first is ordered, and the others appear later",
            vec![targets("v2", 2), order("v2", 10), targets("v1", 2), record("v2", Running, 11)],
        ),
        (
            "a completed version is ordered again beside the targets of the last one",
            vec![
                targets("v1", 2),
                targets("v2", 2),
                order("v2", 10),
                record("v2", Completed, 15),
                order("v2", 20),
            ],
        ),
    ];
    let mut lines = String::new();
    for (name, steps) in sequences {
        lines += &play(name, &mut registry(), steps);
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn a_host_that_starts_finds_the_version_in_service() {
    let both = || [targets("v10", 3), targets("v9", 3)];
    let [third, missing] = [targets("v11", 3), targets("v12", 0)];
    let cases: Vec<(&str, Vec<Step>)> = vec![
        ("before any order, nothing written", both().into()),
        ("before any order, written", [both().into(), vec![versions("v9", &[], 5)]].concat()),
        (
            "under the order after a roll-back",
            [
                vec![order("v11", 20)],
                both().into(),
                vec![third.clone(), record("v11", Running, 21), versions("v9", &["v10"], 21)],
            ]
            .concat(),
        ),
        (
            "after a roll-back by an earlier build, which writes records alone",
            [both().into(), vec![record("v10", RolledBack, 15)]].concat(),
        ),
        (
            "after a completed move of an earlier build, later than what is written",
            [both().into(), vec![record("v10", Completed, 30), versions("v9", &[], 21)]].concat(),
        ),
        (
            "after what is written with the record",
            [
                both().into(),
                vec![missing, record("v9", Completed, 30), versions("v9", &["v10"], 30)],
            ]
            .concat(),
        ),
    ];
    let mut lines = String::new();
    for (name, steps) in cases {
        lines += &play_list(name, &mut registry(), steps);
    }
    insta::assert_snapshot!(lines);
}

/// A store that is restored from a copy may lack what was written last, or have it as it was before.
#[test]
fn a_restored_store_does_not_bring_back_a_version() {
    let mut registry = registry();
    let mut lines = play(
        "before",
        &mut registry,
        vec![
            targets("v9", 2),
            targets("v10", 2),
            versions("v9", &[], 5),
            order("v10", 10),
            record("v10", RolledBack, 15),
            versions("v9", &["v10"], 15),
        ],
    );
    let copies: [(&str, Vec<Step>); 2] = [
        ("nothing written in the copy", vec![targets("v9", 2), targets("v10", 2)]),
        (
            "an earlier state in the copy",
            vec![targets("v9", 2), targets("v10", 2), versions("v10", &[], 5)],
        ),
    ];
    for (era, (name, steps)) in copies.into_iter().enumerate() {
        registry.set_era(era as u64 + 1);
        let listed = steps.into_iter().flat_map(|(_, changes)| changes).collect();
        registry.apply_restored_list(listed, ms(60_000));
        writeln!(lines, "{name}: {}", describe(&mut registry)).expect("text can be written");
    }
    insta::assert_snapshot!(lines);
}
