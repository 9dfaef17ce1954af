//! Plans of requests that may crash the targets which run them.

mod common;

use common::ms;
use common::plan;
use common::rng;
use common::search_view;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::attempt::SendCommand;
use vanillapick_dispatch::dispatch_plan::FailureCause;
use vanillapick_dispatch::dispatch_plan::PlanVerdict;
use vanillapick_dispatch::dispatch_plan::RefusalCause;

fn shards(commands: &[SendCommand]) -> Vec<usize> {
    let mut shards: Vec<usize> = commands.iter().map(|command| command.shard).collect();
    shards.sort_unstable();
    shards
}

/// Guards against a search that crashes the second replica of each shard too.
#[test]
fn a_search_without_an_answer_repeats_one_shard_alone() {
    let (view, mut rng) = (search_view(4, 0.5), rng());
    let mut plan = plan(&view, "/search/x", &mut rng);
    let first = plan.start(&[], ms(0), &mut rng);
    plan.set_repeats_held(true);
    let repeats: Vec<SendCommand> = first
        .iter()
        .filter_map(|command| {
            plan.on_outcome(command.attempt, AttemptOutcome::Lost, ms(5), &mut rng)
        })
        .collect();
    assert_eq!(repeats.len(), 1);
    let last = plan.on_outcome(repeats[0].attempt, AttemptOutcome::Lost, ms(9), &mut rng);
    assert!(last.is_none());
    let failed = Some(PlanVerdict::Unknown(FailureCause::TooFewShards));
    assert_eq!(plan.verdict(ms(9)), failed, "the caller waits for no attempt that isn't sent");
}

/// Guards against searches that fail because a failure domain went down, although other replicas would answer.
#[test]
fn held_repeats_are_sent_once_a_shard_answers() {
    let (view, mut rng) = (search_view(4, 1.0), rng());
    let mut plan = plan(&view, "/search/x", &mut rng);
    let first = plan.start(&[], ms(0), &mut rng);
    plan.set_repeats_held(true);
    for command in &first[1..] {
        assert!(plan.on_outcome(command.attempt, AttemptOutcome::Lost, ms(5), &mut rng).is_none());
    }
    plan.on_outcome(first[0].attempt, AttemptOutcome::Answered, ms(8), &mut rng);
    assert_eq!(plan.verdict(ms(8)), None);
    assert!(plan.next_wake(ms(8)) <= ms(8));
    let repeats = plan.on_wake(ms(8), &mut rng);
    assert_eq!(repeats.len(), 3);
}

#[test]
fn a_trial_runs_at_one_shard_until_that_has_answered() {
    let (view, mut rng) = (search_view(4, 1.0), rng());
    let mut plan = plan(&view, "/search/x", &mut rng);
    plan.set_trial(plan.find_shard(|pool| &**pool == "s2"));
    let first = plan.start(&[], ms(0), &mut rng);
    assert_eq!(shards(&first), [2]);
    assert_eq!(plan.verdict(ms(1)), None);
    // No hedge while the trial runs.
    assert!(plan.on_wake(ms(100), &mut rng).is_empty());
    plan.on_outcome(first[0].attempt, AttemptOutcome::Answered, ms(100), &mut rng);
    assert_eq!(shards(&plan.on_wake(ms(100), &mut rng)), [0, 1, 3]);
}

#[test]
fn a_trial_that_loses_its_target_ends_the_request() {
    let (view, mut rng) = (search_view(4, 0.5), rng());
    let mut plan = plan(&view, "/search/x", &mut rng);
    plan.set_trial(0);
    let first = plan.start(&[], ms(0), &mut rng);
    plan.set_repeats_held(true);
    let repeat = plan.on_outcome(first[0].attempt, AttemptOutcome::Lost, ms(5), &mut rng);
    assert!(repeat.is_none());
    assert_eq!(plan.verdict(ms(5)), Some(PlanVerdict::Unknown(FailureCause::TooFewShards)));
}

/// Guards against a caller that waits for its whole time because the shard of the trial has no target.
#[test]
fn a_trial_without_a_target_ends_the_request_at_once() {
    let (view, mut rng) = (search_view(4, 0.5), rng());
    for target in &view.pools["s1"].targets {
        target.record_leaving(ms(1));
    }
    let mut plan = plan(&view, "/search/x", &mut rng);
    plan.set_trial(1);
    assert!(plan.start(&[], ms(5000), &mut rng).is_empty());
    assert_eq!(plan.verdict(ms(5)), Some(PlanVerdict::NotRun(RefusalCause::NoTarget)));
}
