//! The bound of the budget of extra attempts, over every window.

mod common;

use std::time::Duration;

use common::BUDGET;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::test_runner::Config;
use vanillapick_dispatch::retry_budget::RetryBudget;

#[derive(Clone, Copy, Debug)]
enum BudgetEvent {
    First,
    Extra,
}

fn events() -> impl Strategy<Value = Vec<(u64, BudgetEvent)>> {
    let event = proptest::prop_oneof![
        2 => proptest::strategy::Just(BudgetEvent::First),
        1 => proptest::strategy::Just(BudgetEvent::Extra),
    ];
    proptest::collection::vec((0_u64..200, event), 1..1200)
}

proptest::proptest! {
    #![proptest_config(Config { cases: 64, ..Config::default() })]

    /// Guards the limit that all hosts share: in any span of the window's length, at most the ratio of the requests and
    /// this host's part of the slack.
    #[test]
    fn no_window_has_more_extra_attempts_than_its_requests_allow(events in events()) {
        let budget = RetryBudget::default();
        let mut now = Duration::ZERO;
        let (mut firsts, mut extras) = (Vec::new(), Vec::new());
        for (pause_ms, event) in events {
            now += Duration::from_millis(pause_ms);
            match event {
                BudgetEvent::First => {
                    budget.record_request(&BUDGET, now);
                    firsts.push(now);
                }
                BudgetEvent::Extra if budget.try_take(&BUDGET, 6, now) => extras.push(now),
                BudgetEvent::Extra => {}
            }
        }
        for end in &extras {
            let start = end.saturating_sub(BUDGET.window);
            let in_window = |time: &&Duration| start <= **time && **time <= *end;
            let allowed = BUDGET.ratio * firsts.iter().filter(in_window).count() as f64 + BUDGET.slack / 6.0;
            let granted = extras.iter().filter(in_window).count() as f64;
            prop_assert!(granted <= allowed, "{granted} of {allowed} in the window that ends at {end:?}");
        }
    }
}

/// Guards against a host that never recovers its budget after a quiet time.
#[test]
fn the_slack_is_there_again_after_a_window() {
    let budget = RetryBudget::default();
    let take_all = |now| (0..100).filter(|_| budget.try_take(&BUDGET, 6, now)).count();
    let at_start = take_all(Duration::from_secs(1));
    let at_once = take_all(Duration::from_secs(2));
    let later = take_all(Duration::from_secs(12));
    assert_eq!((at_start, at_once, later), (7, 0, 7));
}
