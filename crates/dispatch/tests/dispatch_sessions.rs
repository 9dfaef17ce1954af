//! Single requests against scripted targets: which attempts are sent when, and how the request ends.

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
use vanillapick_dispatch::config_document::RoutePools;
use vanillapick_dispatch::dispatch_plan::DispatchPlan;
use vanillapick_dispatch::dispatch_plan::PlanVerdict;
use vanillapick_dispatch::dispatch_plan::RefusalCause;
use vanillapick_dispatch::dispatch_plan::RequestTimes;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_dispatch::version_split::MoveOrder;

/// Time in milliseconds after which a target, given by its id, ends an attempt, and the outcome. `None` for no reply.
type TargetScript = fn(&str) -> Option<(u64, AttemptOutcome)>;

/// Runs a request against scripted targets in virtual time; returns a log with one line per event.
fn run(view: &Arc<ServingView>, path: &str, script: TargetScript) -> String {
    let mut session = Session {
        plan: plan(view, path, &mut rng()),
        rng: rng(),
        script,
        outcomes: Vec::new(),
        lines: String::new(),
    };
    let commands = session.plan.start(&[], Duration::ZERO, &mut session.rng);
    session.send(commands, Duration::ZERO);
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
        session.outcomes.sort_by_key(|(at, attempt, _)| std::cmp::Reverse((*at, *attempt)));
        match session.outcomes.last() {
            Some((at, _, _)) if *at <= wake => {
                let (at, attempt, outcome) = session.outcomes.pop().expect("it was there");
                now = at;
                if outcome != AttemptOutcome::Answered {
                    let target = session.plan.target(attempt).record.id.clone();
                    writeln!(
                        session.lines,
                        "{:>4} ms  {target} {}",
                        now.as_millis(),
                        outcome.label()
                    )
                    .expect("a string");
                }
                let command = session.plan.on_outcome(attempt, outcome, now, &mut session.rng);
                session.send(command, now);
            }
            _ => {
                now = wake;
                let commands = session.plan.on_wake(now, &mut session.rng);
                session.send(commands, now);
            }
        }
    }
    panic!("the session does not end:\n{}", session.lines);
}

struct Session {
    plan: DispatchPlan,
    rng: SmallRng,
    script: TargetScript,
    outcomes: Vec<(Duration, usize, AttemptOutcome)>,
    lines: String,
}

impl Session {
    fn send(&mut self, commands: impl IntoIterator<Item = SendCommand>, now: Duration) {
        for command in commands {
            let id = &command.target.record.id;
            let cause = command.cause.label();
            writeln!(
                self.lines,
                "{:>4} ms  shard {} to {id}, {cause}",
                now.as_millis(),
                command.shard
            )
            .expect("a string");
            command.target.record_sent(now);
            if let Some((after, outcome)) = (self.script)(id) {
                self.outcomes.push((now + ms(after), command.attempt, outcome));
            }
        }
    }
}

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered;

#[test]
fn a_search_prefers_near_targets_and_completes_with_the_last_shard() {
    let lines = run(&search_view(3, 0.5), "/search/x", |_| Some((8, ANSWERED)));
    insta::assert_snapshot!(lines);
}

/// Hedges that are sent too early cause traffic between regions; if sent too late, they miss the soft deadline.
#[test]
fn a_silent_target_is_hedged_while_another_can_still_answer_in_time() {
    let lines = run(&search_view(3, 0.9), "/search/x", |id| (id != "n1").then_some((20, ANSWERED)));
    insta::assert_snapshot!(lines);
}

/// A target of another region takes 88 ms of the time to the soft deadline if it has no open connection, so that a
/// hedge that is timed without the connection returns too late.
#[test]
fn a_hedge_that_has_to_open_a_connection_returns_before_the_soft_deadline() {
    let lines = run(&search_view(3, 0.9), "/search/x", |id| match id {
        "n1" => None,
        "r1" => Some((88, ANSWERED)),
        _ => Some((8, ANSWERED)),
    });
    insta::assert_snapshot!(lines);
    assert!(lines.ends_with("answered by 3 attempts, 0 missing\n"), "{lines}");
}

/// Responses must not wait for a lost shard until the deadline.
#[test]
fn a_search_with_enough_shards_is_answered_at_its_soft_deadline() {
    let lines =
        run(&search_view(3, 0.6), "/search/x", |id| (!id.ends_with('1')).then_some((8, ANSWERED)));
    insta::assert_snapshot!(lines);
}

/// A partial response must not cover fewer shards than the route requires.
#[test]
fn a_search_with_too_few_shards_waits_until_its_deadline() {
    let lines =
        run(&search_view(3, 0.9), "/search/x", |id| (!id.ends_with('1')).then_some((8, ANSWERED)));
    insta::assert_snapshot!(lines);
}

/// Once all replicas of a shard have failed, waiting cannot improve the response.
#[test]
fn a_shard_without_reachable_replicas_is_missing_immediately() {
    let lines = run(&search_view(3, 0.6), "/search/x", |id| {
        let refused = AttemptOutcome::NotRun(NotRunCause::Unreachable);
        Some(if id.ends_with('1') { (1, refused) } else { (8, ANSWERED) })
    });
    insta::assert_snapshot!(lines);
}

/// The other shards must not do work for a request that cannot be answered.
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
    insta::assert_snapshot!(run(&view, "/search/x", |_| Some((8, ANSWERED))));
}

/// A retry could execute the request a second time.
#[test]
fn a_lost_non_idempotent_request_is_not_retried() {
    let view = single_view(RepeatRule::Once);
    let lines = run(&view, "/page/x", |_| Some((5, AttemptOutcome::Lost)));
    insta::assert_snapshot!(lines);
}

#[test]
fn a_non_idempotent_request_is_retried_if_it_was_not_executed() {
    let view = single_view(RepeatRule::Once);
    let lines = run(&view, "/page/x", |id| {
        let shed = AttemptOutcome::NotRun(NotRunCause::Shed);
        Some((5, if id == "n0" { shed } else { ANSWERED }))
    });
    insta::assert_snapshot!(lines);
}

/// A request that may have been executed must not be reported as not run.
#[test]
fn an_idempotent_request_that_is_lost_twice_has_an_unknown_outcome() {
    let view = single_view(RepeatRule::Idempotent);
    let lines = run(&view, "/page/x", |_| Some((5, AttemptOutcome::Lost)));
    insta::assert_snapshot!(lines);
}

#[test]
fn a_failure_of_the_last_target_is_forwarded() {
    let view = single_view(RepeatRule::Idempotent);
    let lines = run(&view, "/page/x", |_| Some((5, AttemptOutcome::Failed)));
    insta::assert_snapshot!(lines);
}

#[test]
fn a_request_that_all_targets_shed_is_not_executed() {
    let view = single_view(RepeatRule::Once);
    let lines = run(&view, "/page/x", |_| Some((5, AttemptOutcome::NotRun(NotRunCause::Shed))));
    insta::assert_snapshot!(lines);
}

/// Guards against requests that are refused although the old version serves: all attempts stayed at the version that was drawn.
#[test]
fn a_request_that_does_not_reach_the_new_version_is_served_by_the_old_one() {
    let single = common::route("page", RoutePools::Single("p".into()), RepeatRule::Once);
    let mut records = ["n0", "m0", "m1"].map(|id| common::record(id, "p", "a"));
    records[1..].iter_mut().for_each(|record| record.version = "v2".into());
    let mut registry = common::registry(common::config(1, vec![single], &["p"]), &records[..1]);
    registry.view().expect("a configuration is known");
    let order = MoveOrder { version: "v2".into(), duration: ms(8000) };
    registry.apply(StoreChange::MoveOrder("p".into(), Some(order), 2), ms(0));
    for record in &records[1..] {
        registry.apply(StoreChange::Target(record.clone()), ms(0));
    }
    let view = Arc::new(registry.view().expect("a configuration is known"));
    view.pools["p"].state.set_new_version_share(1.0);
    for cause in [NotRunCause::Misdirected, NotRunCause::Unreachable] {
        let mut plan = plan(&view, "/page/x", &mut rng());
        let first = plan.start(&[], ms(0), &mut rng()).pop().expect("a first attempt");
        assert_eq!(&*first.target.record.version, "v2");
        let not_run = AttemptOutcome::NotRun(cause);
        let next = plan.on_outcome(first.attempt, not_run, ms(1), &mut rng());
        let next = next.map(|next| next.target.record.id.clone());
        assert_eq!(next.as_deref(), Some("n0"), "{cause:?}");
    }
}

/// A host that is cut off from the store keeps targets whose addresses have other owners by now. Calls that these reject count
/// as theirs, so calling them with every request exceeds their allowance of repeats.
#[test]
fn a_target_whose_address_another_one_has_is_not_called_again() {
    let view = single_view(RepeatRule::Idempotent);
    let misdirected = AttemptOutcome::NotRun(NotRunCause::Misdirected);
    let mut calls = Vec::new();
    for time in (0..12_000).step_by(100) {
        let route = view.route_table.find("shop.example", "/page/").expect("the route is there");
        let now = ms(time);
        let times =
            RequestTimes { arrived: now, soft_deadline: now + ms(105), deadline: now + ms(785) };
        let mut plan = DispatchPlan::new(route, &view, times, &mut rng());
        let mut commands = plan.start(&[], now, &mut rng());
        while let Some(command) = commands.pop() {
            calls.push(time);
            commands.extend(plan.on_outcome(command.attempt, misdirected, now, &mut rng()));
        }
        let refused = PlanVerdict::NotRun(RefusalCause::NoTarget);
        assert!(calls.contains(&time) || plan.verdict(now) == Some(refused), "at {time} ms");
    }
    let early = calls.iter().filter(|time| **time < 10_000).count();
    assert_eq!((early, calls.len()), (3, 6), "three targets, each once in ten seconds");
}
