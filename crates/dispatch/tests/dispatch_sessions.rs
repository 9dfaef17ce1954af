//! Sessions of single requests: what is sent when, and how the request ends.

mod common;

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use common::ms;
use common::plan;
use common::rng;
use common::search_view;
use common::single_view;
use rand::rngs::SmallRng;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::attempt::SendCommand;
use vanillapick_dispatch::config_document::RepeatRule;
use vanillapick_dispatch::dispatch_plan::DispatchPlan;
use vanillapick_dispatch::dispatch_plan::PlanVerdict;
use vanillapick_dispatch::serving_view::ServingView;

/// How a target ends an attempt, and after which time.
type TargetScript = fn(&str) -> Option<(u64, AttemptOutcome)>;

/// Plays a request against scripted targets in virtual time; one line an event.
fn play(view: &Arc<ServingView>, path: &str, script: TargetScript) -> String {
    let mut session = Session {
        plan: plan(view, path, &mut rng()),
        rng: rng(),
        script,
        ends: Vec::new(),
        lines: String::new(),
    };
    let orders = session.plan.start(Duration::ZERO, &mut session.rng);
    session.send(orders, Duration::ZERO);
    let mut now = Duration::ZERO;
    for _ in 0..1000 {
        if let Some(verdict) = session.plan.verdict(now) {
            let line = match verdict {
                PlanVerdict::Answered { attempts, missing } => {
                    format!("answered by {} attempts, {missing} missing", attempts.len())
                }
                other => format!("{other:?}"),
            };
            writeln!(session.lines, "{:>4} ms  {line}", now.as_millis()).expect("a string");
            return session.lines;
        }
        let wake = session.plan.next_wake(now);
        session.ends.sort_by_key(|(at, attempt, _)| std::cmp::Reverse((*at, *attempt)));
        match session.ends.last() {
            Some((at, _, _)) if *at <= wake => {
                let (at, attempt, end) = session.ends.pop().expect("it was there");
                now = at;
                if end != AttemptOutcome::Answered {
                    let target = session.plan.target(attempt).record.id.clone();
                    writeln!(session.lines, "{:>4} ms  {target} {}", now.as_millis(), end.label())
                        .expect("a string");
                }
                let order = session.plan.on_outcome(attempt, end, now, &mut session.rng);
                session.send(order, now);
            }
            _ => {
                now = wake;
                let orders = session.plan.on_wake(now, &mut session.rng);
                session.send(orders, now);
            }
        }
    }
    panic!("the session does not end:\n{}", session.lines);
}

struct Session {
    plan: DispatchPlan,
    rng: SmallRng,
    script: TargetScript,
    ends: Vec<(Duration, usize, AttemptOutcome)>,
    lines: String,
}

impl Session {
    fn send(&mut self, orders: impl IntoIterator<Item = SendCommand>, now: Duration) {
        for order in orders {
            let id = &order.target.record.id;
            let cause = order.cause.label();
            writeln!(
                self.lines,
                "{:>4} ms  shard {} to {id}, {cause}",
                now.as_millis(),
                order.shard
            )
            .expect("a string");
            order.target.record_sent(now);
            if let Some((after, end)) = (self.script)(id) {
                self.ends.push((now + ms(after), order.attempt, end));
            }
        }
    }
}

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered;

#[test]
fn a_search_prefers_near_targets_and_ends_with_the_last_shard() {
    let lines = play(&search_view(3, 0.5), "/search/x", |_| Some((8, ANSWERED)));
    insta::assert_snapshot!(lines);
}

/// Guards against hedges so early that they cost traffic between regions, or so late that they miss the aim.
#[test]
fn a_silent_target_is_hedged_while_another_can_still_answer_in_time() {
    let lines =
        play(&search_view(3, 0.9), "/search/x", |id| (id != "n1").then_some((20, ANSWERED)));
    insta::assert_snapshot!(lines);
}

/// Guards against hedges that are sent in vain: a target of another region without a connection takes 88 ms of the aim.
#[test]
fn a_hedge_that_has_to_open_a_connection_returns_before_the_aim() {
    let lines = play(&search_view(3, 0.9), "/search/x", |id| match id {
        "n1" => None,
        "r1" => Some((88, ANSWERED)),
        _ => Some((8, ANSWERED)),
    });
    insta::assert_snapshot!(lines);
    assert!(lines.ends_with("answered by 3 attempts, 0 missing\n"), "{lines}");
}

/// Guards against answers that wait for a lost shard until their deadline.
#[test]
fn a_search_with_enough_shards_goes_out_at_its_aim() {
    let lines =
        play(&search_view(3, 0.6), "/search/x", |id| (!id.ends_with('1')).then_some((8, ANSWERED)));
    insta::assert_snapshot!(lines);
}

/// Guards against a partial answer below the least share of the route.
#[test]
fn a_search_with_too_few_shards_waits_until_its_time_is_over() {
    let lines =
        play(&search_view(3, 0.9), "/search/x", |id| (!id.ends_with('1')).then_some((8, ANSWERED)));
    insta::assert_snapshot!(lines);
}

/// Guards against waiting when no replica of a shard is left: waiting cannot improve the answer.
#[test]
fn a_shard_whose_replicas_are_gone_is_missing_at_once() {
    let lines = play(&search_view(3, 0.6), "/search/x", |id| {
        let refused = AttemptOutcome::NotRun(NotRunCause::Unreachable);
        Some(if id.ends_with('1') { (1, refused) } else { (8, ANSWERED) })
    });
    insta::assert_snapshot!(lines);
}

/// Guards against work at the other shards for an answer that cannot be given.
#[test]
fn a_search_that_too_few_shards_can_serve_is_refused_before_it_is_sent() {
    let mut registry = common::registry(
        common::config(
            1,
            vec![common::route("search", common::sharded(3, 0.9), RepeatRule::Idempotent)],
            &["s0", "s1", "s2"],
        ),
        &[common::record("n0", "s0", "a"), common::record("n1", "s1", "a")],
    );
    let view = Arc::new(registry.view().expect("a configuration is known"));
    insta::assert_snapshot!(play(&view, "/search/x", |_| Some((8, ANSWERED))));
}

/// Guards against running a request a second time that may run once only.
#[test]
fn a_lost_request_that_may_run_once_is_not_sent_again() {
    let view = single_view(RepeatRule::Once);
    let lines = play(&view, "/page/x", |_| Some((5, AttemptOutcome::Lost)));
    insta::assert_snapshot!(lines);
}

#[test]
fn a_request_that_may_run_once_is_sent_again_after_a_refusal_that_proves_it_was_not_run() {
    let view = single_view(RepeatRule::Once);
    let lines = play(&view, "/page/x", |id| {
        let shed = AttemptOutcome::NotRun(NotRunCause::Shed);
        Some((5, if id == "n0" { shed } else { ANSWERED }))
    });
    insta::assert_snapshot!(lines);
}

/// Guards against "not run" after an attempt that may have run.
#[test]
fn an_idempotent_request_that_is_lost_twice_has_an_unknown_end() {
    let view = single_view(RepeatRule::Idempotent);
    let lines = play(&view, "/page/x", |_| Some((5, AttemptOutcome::Lost)));
    insta::assert_snapshot!(lines);
}

#[test]
fn a_failure_of_the_last_target_is_passed_on() {
    let view = single_view(RepeatRule::Idempotent);
    let lines = play(&view, "/page/x", |_| Some((5, AttemptOutcome::Failed)));
    insta::assert_snapshot!(lines);
}

#[test]
fn a_request_that_all_targets_shed_is_not_run() {
    let view = single_view(RepeatRule::Once);
    let lines = play(&view, "/page/x", |_| Some((5, AttemptOutcome::NotRun(NotRunCause::Shed))));
    insta::assert_snapshot!(lines);
}
