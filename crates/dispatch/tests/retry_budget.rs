//! Limit of the retry budget in every window.

mod common;

use std::time::Duration;

use common::BUDGET;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::test_runner::Config;
use vanillapick_dispatch::retry_budget::RetryBudget;

#[derive(Clone, Copy, Debug)]
enum BudgetEvent {
    Request,
    Extra,
}

fn events() -> impl Strategy<Value = Vec<(u64, BudgetEvent)>> {
    let event = proptest::prop_oneof![
        2 => proptest::strategy::Just(BudgetEvent::Request),
        1 => proptest::strategy::Just(BudgetEvent::Extra),
    ];
    proptest::collection::vec((0_u64..200, event), 1..1200)
}

proptest::proptest! {
    #![proptest_config(Config { cases: 64, ..Config::default() })]

    /// In any interval of the length of the window, extra attempts must stay within the ratio of the requests plus this
    /// host's share of the slack, because the limit applies to all hosts together.
    #[test]
    fn no_window_has_more_extra_attempts_than_its_requests_allow(events in events()) {
        let budget = RetryBudget::default();
        let mut now = Duration::ZERO;
        let (mut requests, mut extras) = (Vec::new(), Vec::new());
        for (pause_ms, event) in events {
            now += Duration::from_millis(pause_ms);
            match event {
                BudgetEvent::Request => {
                    budget.record_request(&BUDGET, now);
                    requests.push(now);
                }
                BudgetEvent::Extra if budget.try_take(&BUDGET, 1.0 / 6.0, now) => extras.push(now),
                BudgetEvent::Extra => {}
            }
        }
        for end in &extras {
            let start = end.saturating_sub(BUDGET.window);
            let in_window = |time: &&Duration| start <= **time && **time <= *end;
            let allowed = BUDGET.ratio * requests.iter().filter(in_window).count() as f64 + BUDGET.slack / 6.0;
            let granted = extras.iter().filter(in_window).count() as f64;
            prop_assert!(granted <= allowed, "{granted} of {allowed} in the window that ends at {end:?}");
        }
    }
}

/// A host must recover its budget after an idle period.
#[test]
fn the_slack_is_available_again_after_a_window() {
    let budget = RetryBudget::default();
    let take_all = |now| (0..100).filter(|_| budget.try_take(&BUDGET, 1.0 / 6.0, now)).count();
    let at_start = take_all(Duration::from_secs(1));
    let soon = take_all(Duration::from_secs(2));
    let later = take_all(Duration::from_secs(12));
    assert_eq!((at_start, soon, later), (7, 0, 7));
}
