//! Selection of targets, quotas of a host and admission control.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::ms;
use common::rng;
use common::single_view;
use vanillapick_dispatch::admission::admit;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::config_document::RepeatRule;
use vanillapick_dispatch::host_quota::ColdAllowance;
use vanillapick_dispatch::host_quota::connection_quota;
use vanillapick_dispatch::pool_state::RouteState;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_dispatch::target_pick::PickContext;
use vanillapick_dispatch::target_pick::pick_target;

/// Counts how often each target is selected in 100 picks.
fn picks(view: &ServingView, now: Duration) -> BTreeMap<String, usize> {
    let route = RouteState::default();
    let context = PickContext { route: &route, cold_allowance: None, now };
    let mut rng = rng();
    let mut counts = BTreeMap::new();
    for _ in 0..100 {
        let target = pick_target(&view.pools["p"].targets, &context, &mut rng, |_| false);
        *counts.entry(target.expect("a target").record.id.to_string()).or_default() += 1;
    }
    counts
}

/// Picks after 20 attempts at the near target `n0` have ended with this outcome and latency.
fn picks_after(
    outcome: AttemptOutcome,
    latency: Duration,
    now: Duration,
) -> BTreeMap<String, usize> {
    let view = single_view(RepeatRule::Idempotent);
    for target in view.pools["p"].targets.iter().filter(|target| &*target.record.id == "n0") {
        for _ in 0..20 {
            target.record_outcome(outcome, latency, ms(10), ms(0));
        }
    }
    picks(&view, now)
}

#[test]
fn each_state_of_a_target_moves_the_picks() {
    let unreachable = AttemptOutcome::NotRun(NotRunCause::Unreachable);
    let mut lines = String::new();
    for (name, outcome, latency, now) in [
        ("usual", AttemptOutcome::Answered, ms(10), ms(1)),
        ("four times slower", AttemptOutcome::Answered, ms(40), ms(1)),
        ("slower, long ago", AttemptOutcome::Answered, ms(40), ms(30_000)),
        ("failing", AttemptOutcome::Failed, ms(5), ms(1)),
        ("shedding a moment ago", AttemptOutcome::NotRun(NotRunCause::Shed), ms(5), ms(1)),
        ("unreachable", unreachable, ms(5), ms(1)),
        ("unreachable, long ago", unreachable, ms(5), ms(30_000)),
    ] {
        lines.push_str(&format!("n0 {name}: {:?}\n", picks_after(outcome, latency, now)));
    }
    insta::assert_snapshot!(lines);
}

/// A target that pauses must not get more requests.
#[test]
fn a_stalled_target_is_not_picked() {
    let view = single_view(RepeatRule::Idempotent);
    let paused = &view.pools["p"].targets[0];
    paused.record_sent(ms(0));
    assert_eq!(picks(&view, ms(60)).get(&*paused.record.id), None);
}

#[test]
fn parts_of_limits_over_all_hosts() {
    let mut lines = String::new();
    for (connections, hosts) in [(25, 6), (25, 1), (54, 63), (96, 6), (1, 6)] {
        let share = connection_quota(connections, hosts);
        lines.push_str(&format!("{connections} connections, {hosts} hosts: {share}\n"));
    }
    insta::assert_snapshot!(lines);
}

/// Guards against cold targets that get nothing, because each host rounds its part down.
#[test]
fn parts_of_a_cold_allowance_add_up_to_all_of_it() {
    let mut lines = String::new();
    for (rate, hosts) in [(0.0, 6), (12.0, 6), (3.0, 6), (10.0, 63), (0.5, 6)] {
        for target in ["t1", "t2"] {
            let quota = |rank: Option<usize>| {
                let allowance = ColdAllowance::new(rate, hosts, rank)?;
                Some(allowance.quota(&target.into()))
            };
            let quotas: Option<Vec<u32>> = (0..hosts).map(|rank| quota(Some(rank))).collect();
            let spread = quotas.map(|quotas| {
                let (least, most) = (quotas.iter().min(), quotas.iter().max());
                (quotas.iter().sum::<u32>(), least.copied(), most.copied())
            });
            let unregistered = quota(None);
            lines.push_str(&format!(
                "{rate} a second, {hosts} hosts, {target}: {spread:?}, unregistered {unregistered:?}\n"
            ));
        }
    }
    insta::assert_snapshot!(lines);
}

/// All hosts have to agree on their positions.
#[test]
fn hosts_have_positions_by_name() {
    let mut registry = common::registry(common::config(1, Vec::new(), &["p"]), &[]);
    let mut ranks = Vec::new();
    for (host, is_there) in [("h2", true), ("h1", true), ("h0", true), ("h0", false), ("h1", false)]
    {
        let record = is_there.then(|| common::host_record("a", 1));
        registry.apply(StoreChange::Host(host.into(), record), ms(0));
        ranks.push(registry.view().expect("there is a configuration").host_rank);
    }
    assert_eq!(ranks, [None, Some(0), Some(1), Some(1), None]);
}

/// No priority may be refused while a less urgent one is admitted.
#[test]
fn urgent_requests_are_refused_last() {
    let refused = |delay: u64| -> Vec<u8> {
        (0..6).filter(|priority| admit(*priority, ms(delay)).is_err()).collect()
    };
    let lines: Vec<String> = [10, 70, 130, 190, 260, 400]
        .iter()
        .map(|delay| format!("{delay} ms late: {:?}", refused(*delay)))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
