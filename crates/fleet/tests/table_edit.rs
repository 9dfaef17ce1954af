//! Guards against rebases that lose or invent rows, and checks the findings and conflicts shown to operators.

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_fleet::table_edit::RebaseError;
use vanillapick_fleet::table_edit::build_next_revision;
use vanillapick_fleet::table_edit::end_move;
use vanillapick_fleet::table_edit::is_applied;
use vanillapick_fleet::table_edit::rebase;
use vanillapick_model::route::MoveRow;
use vanillapick_model::route::MoveState;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::MAX_RECENT_EDITS;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Slots of each pool; 0 omits the pool.
fn rows() -> impl Strategy<Value = Vec<u32>> {
    proptest::collection::vec(0..4_u32, 4)
}

fn table(slots: &[u32]) -> ConfigTable {
    let mut table = sample_table(2, 400);
    table.routes.clear();
    for (index, slots) in slots.iter().enumerate() {
        let name = format!("pool-{index:02}");
        let row = table.pools.get_mut(&name).expect("the table has four pools");
        row.contract.slots = *slots;
        if *slots == 0 {
            table.pools.remove(&name);
        }
    }
    table
}

proptest! {
    #![proptest_config(config())]

    // Guards against a three-way merge that takes a row from the wrong side.
    #[test]
    fn rebase_keeps_both_sides_or_names_the_row(base in rows(), mine in rows(), current in rows()) {
        let conflicting = (0..4)
            .filter(|&row| mine[row] != base[row] && current[row] != base[row] && mine[row] != current[row])
            .count();
        match rebase(&table(&base), &table(&mine), &table(&current)) {
            Ok(merged) => {
                prop_assert_eq!(conflicting, 0);
                let expected: Vec<_> = (0..4)
                    .map(|row| if mine[row] == base[row] { current[row] } else { mine[row] })
                    .collect();
                prop_assert_eq!(merged.pools, table(&expected).pools);
            }
            Err(RebaseError::Conflicts { conflicts }) => prop_assert_eq!(conflicts.len(), conflicting),
            Err(RebaseError::Findings { findings }) => prop_assert!(false, "{:?}", findings),
        }
    }

    // Guards against an edit list that grows without limit or omits a recent edit.
    #[test]
    fn accepted_edits_are_recognized_for_the_kept_number(count in 1..150_usize) {
        let mut current = ConfigTable::default();
        for index in 0..count {
            current = build_next_revision(&current, &current, &format!("edit-{index}"));
        }
        prop_assert_eq!(current.revision, count as u64);
        prop_assert!(current.edits.len() <= MAX_RECENT_EDITS);
        for index in 0..count {
            prop_assert_eq!(is_applied(&current, &format!("edit-{index}")), count - index <= MAX_RECENT_EDITS);
        }
    }
}

// Guards against a conflict report that does not show both versions to the operator.
#[test]
fn conflict_names_the_row_with_both_versions() {
    let error = rebase(&table(&[1, 1, 0, 0]), &table(&[2, 1, 0, 0]), &table(&[3, 1, 0, 0]));
    let Err(RebaseError::Conflicts { conflicts }) = error else { panic!("{error:?}") };
    let mut shown = serde_json::to_value(&conflicts).expect("conflicts are plain data");
    for side in ["mine", "current"] {
        shown[0][side]["targets"] = "left out".into();
    }
    insta::assert_json_snapshot!(shown);
}

// Guards against a merge of two valid edits that together leave a reference to a removed pool.
#[test]
fn removed_pool_with_a_new_route_is_a_finding() {
    let base = sample_table(2, 200);
    let mut mine = base.clone();
    mine.routes.get_mut("route-00").expect("a route per pool").pool = "pool-01".to_owned();
    let mut current = base.clone();
    current.pools.remove("pool-01");
    current.routes.remove("route-01");
    let error = rebase(&base, &mine, &current).expect_err("the pool is gone");
    assert_eq!(
        error.to_string(),
        "the merged table has 1 findings: routes.route-00.pool: no pool is named \"pool-01\"; \
         name a row of the pools table"
    );
}

// Guards against two hosts that record the end of the same move, and against a rollback that is reverted.
#[test]
fn a_move_ends_once() {
    let mut table = sample_table(2, 200);
    table.routes.get_mut("route-00").expect("a route per pool").version_move = Some(MoveRow {
        id: "move-1".to_owned(),
        to: "pool-01".to_owned(),
        start_ms: 1,
        finish_by_ms: 2,
        progress: MoveState::Running,
    });
    let ended = end_move(&table, "move-1", MoveState::Done).expect("the move runs");
    let reason = "six failures".to_owned();
    assert_eq!(end_move(&ended, "move-1", MoveState::Done), None, "recorded once");
    // A fault that appears after the move has finished is also recorded exactly once.
    let rollback = MoveState::TakenBack { reason };
    let rolled_back = end_move(&ended, "move-1", rollback.clone()).expect("a finished move");
    assert_eq!(end_move(&rolled_back, "move-1", rollback), None);
    assert_eq!(
        end_move(&rolled_back, "move-1", MoveState::Done),
        None,
        "a rolled-back move cannot be done"
    );
    assert_eq!(end_move(&table, "move-2", MoveState::Done), None);
}
