//! Tests of replica selection, snapshot selection, the retry budget and state shared between views.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::collection::btree_set;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::failure_domain::DomainState;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::SnapshotPin;
use vanillapick_policy::budget::BURST_TOKENS;
use vanillapick_policy::budget::MAX_DEBT_TOKENS;
use vanillapick_policy::budget::RetryBudget;
use vanillapick_policy::hedge::LatencyWindow;
use vanillapick_policy::host_state::HostState;
use vanillapick_policy::pick::PickCriteria;
use vanillapick_policy::pick::PickFailure;
use vanillapick_policy::pick::ProbePolicy;
use vanillapick_policy::pick::pick_replica;
use vanillapick_policy::pin::choose_pin;
use vanillapick_policy::serving_view::ReplicaUsability;

use crate::common::host;
use crate::common::marks;
use crate::common::ms;
use crate::common::plain_host;
use crate::common::pool;
use crate::common::profile;
use crate::common::table;

const PIN: SnapshotPin = SnapshotPin { shard_map: 1, snapshot: 7 };

/// Picks a replica of shard 0 at `now` and counts a request as in flight there.
fn pick_at(host: &HostState, now: Duration, rng: &mut ChaCha8Rng) -> Result<String, PickFailure> {
    let view = host.view();
    let shard = view.pool("stock").and_then(|pool| pool.shard(1, 0)).expect("shard 0");
    let criteria = PickCriteria {
        kind: RouteKind::Search,
        class: 0,
        pin: PIN,
        tried: &[],
        probe: ProbePolicy::First,
        baseline: false,
    };
    let index = pick_replica(shard, &criteria, now, host.wall_time(now), rng)?;
    Ok(shard.replicas[index].entry.id.clone())
}

fn target(host: &HostState, id: &str) -> Arc<vanillapick_policy::target_state::TargetState> {
    host.view().target(id).expect("a target of the table").clone()
}

/// A replica in the local failure domain must be preferred unless a remote one is much cheaper, including the network
/// round trip.
#[test]
fn local_domain_is_preferred_unless_remote_is_much_cheaper() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let local = target(&host, "stock-1-0a");
    let remote = target(&host, "stock-1-0b");
    local.record_latency(RouteKind::Search, ms(10), ms(0));
    remote.record_latency(RouteKind::Search, ms(8), ms(0));
    assert_eq!(pick_at(&host, ms(0), &mut rng).as_deref(), Ok("stock-1-0a"));
    assert_eq!(pick_at(&host, ms(0), &mut rng).as_deref(), Ok("stock-1-0a"));
    // Twice the remote cost (8 ms plus a 2 ms round trip) is now less than the local cost of 3 * 10 ms.
    assert_eq!(pick_at(&host, ms(0), &mut rng).as_deref(), Ok("stock-1-0b"));
}

/// Targets that are at their limits, over their cold allowance, draining or lost must not receive new work.
#[test]
fn unusable_targets_are_not_picked() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let local = target(&host, "stock-1-0a");
    let remote = target(&host, "stock-1-0b");
    remote.record_draining(ms(0));
    local.set_limits(3, 2);
    let name = host.profile.host.clone();
    local.apply_hosts([name.as_str()], &name, ms(0));
    let entry = host.view().table().pools["stock"].targets[0].clone();
    let mut cold = marks(&entry, &[7]);
    cold.cold = true;
    local.record_marks(&cold, ms(3000));
    assert!(pick_at(&host, ms(3000), &mut rng).is_ok(), "the cold allowance is 1");
    assert_eq!(pick_at(&host, ms(3000), &mut rng), Err(PickFailure::Busy), "over the allowance");
    let warm = ms(3000) + host.view().table().pools["stock"].contract.cold_ramp;
    local.record_marks(&marks(&entry, &[7]), warm);
    assert!(pick_at(&host, warm, &mut rng).is_ok(), "the second connection");
    assert_eq!(pick_at(&host, warm, &mut rng), Err(PickFailure::Busy), "all connections");
    local.end();
    local.end();
    local.record_failure(warm);
    local.record_failure(warm);
    assert_eq!(pick_at(&host, warm + ms(999), &mut rng), Err(PickFailure::Lost));
    assert!(pick_at(&host, warm + ms(1000), &mut rng).is_ok(), "one probe per second");
    assert_eq!(pick_at(&host, warm + ms(1500), &mut rng), Err(PickFailure::Lost));
    local.record_reply();
    assert!(pick_at(&host, warm + ms(1500), &mut rng).is_ok());
}

/// The share of a returning failure domain must increase gradually, even if its replicas are the only free ones.
#[test]
fn returning_domain_takes_a_growing_share() {
    let mut table = table(pool("stock", 1, 1), AnswerPreference::Coverage, 1.0);
    let since_ms = profile().started_ms;
    let state = DomainState::Returning { since_ms, ramp: ms(10_000) };
    let row = table.pools.get_mut("stock").expect("the pool");
    row.domains.insert("lima".into(), state);
    let host = host(profile(), table, &[7]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut shares = Vec::new();
    for now in [ms(1000), ms(5000), ms(10_000)] {
        let mut local = 0;
        for _ in 0..400 {
            let id = pick_at(&host, now, &mut rng).expect("a usable replica");
            local += u32::from(id == "stock-1-0a");
            target(&host, &id).end();
        }
        shares.push(local);
    }
    let remote = target(&host, "stock-1-0b");
    remote.set_limits(1, 1);
    assert!(remote.try_start(0, ms(0)));
    let overflow = (0..100).filter(|_| {
        let picked = pick_at(&host, ms(1000), &mut rng);
        let is_local = picked.as_deref() == Ok("stock-1-0a");
        if is_local {
            target(&host, "stock-1-0a").end();
        }
        is_local
    });
    assert!(overflow.count() < 25, "a busy replica elsewhere does not raise the share");
    assert!((20..60).contains(&shares[0]), "about a tenth: {shares:?}");
    assert!((160..240).contains(&shares[1]), "about a half: {shares:?}");
    assert_eq!(shares[2], 400, "the local domain is preferred again");
}

/// A configuration change must keep the in-flight counts, latency and marks of a target, except if its address changes.
#[test]
fn states_are_kept_by_id_and_address() {
    let before = table(pool("stock", 1, 2), AnswerPreference::Coverage, 1.0);
    let host = host(profile(), before.clone(), &[7]);
    let kept = target(&host, "stock-1-0a");
    let moved = target(&host, "stock-1-1a");
    let mut after = before.clone();
    after.revision = 2;
    let row = after.pools.get_mut("stock").expect("the pool");
    row.targets[2].address = "127.0.0.1:999".parse().expect("an address");
    host.install(Arc::new(after));
    assert!(Arc::ptr_eq(&kept, &target(&host, "stock-1-0a")));
    assert!(!Arc::ptr_eq(&moved, &target(&host, "stock-1-1a")));
    assert!(moved.is_retired() && !kept.is_retired());
    host.install(Arc::new(before));
    assert_eq!(host.view().revision(), 2, "an older revision is not taken");
}

/// Replies that arrive out of order, sent by an old incarnation or before draining started, must not overwrite newer
/// marks.
#[test]
fn late_marks_do_not_undo_newer_ones() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let entry = host.view().table().pools["stock"].targets[0].clone();
    let local = target(&host, &entry.id);
    let mut draining = marks(&entry, &[7]);
    draining.draining = true;
    local.record_marks(&draining, ms(100));
    local.record_marks(&marks(&entry, &[7]), ms(150));
    assert!(local.is_draining(), "a reply sent before draining started");
    let mut restarted = marks(&entry, &[8]);
    restarted.incarnation = 2;
    local.record_marks(&restarted, ms(200));
    assert!(!local.is_draining(), "the new process accepts work");
    local.record_marks(&draining, ms(250));
    assert!(!local.is_draining(), "a reply of the old process");
}

/// The load of a cold target must be limited at the host that owns its cold start and at all other hosts, and must stay
/// limited if a reply sent before the cold start arrives late.
#[test]
fn cold_targets_take_their_allowance() {
    let host = plain_host(1, AnswerPreference::Coverage, 1.0);
    let entry = host.view().table().pools["stock"].targets[0].clone();
    let local = target(&host, &entry.id);
    let name = host.profile.host.clone();
    let owner = [name.as_str()];
    local.apply_hosts(owner, &name, ms(0));
    let mut cold = marks(&entry, &[7]);
    cold.cold = true;
    local.record_marks(&cold, ms(3000));
    assert_eq!(local.limit(), 1, "the contract's cold allowance");
    local.record_marks(&marks(&entry, &[7]), ms(3100));
    assert!(local.is_cold(), "a reply sent before the cold start");
    local.record_marks(&cold, ms(3200));
    local.record_cold_refusal(ms(9000));
    assert!(local.is_cold(), "a refusal restarts the ramp");
    local.apply_hosts(["another"], &name, ms(9000));
    assert_eq!(local.limit(), 0, "another host owns the cold start");
    let view = host.view();
    let shard = view.pool("stock").and_then(|pool| pool.shard(1, 0)).expect("shard 0");
    assert_eq!(shard.replicas[0].usability(PIN, ms(9001)), ReplicaUsability::NoShare);
    let ramp = host.view().table().pools["stock"].contract.cold_ramp;
    local.record_marks(&marks(&entry, &[7]), ms(9000) + ramp);
    assert!(!local.is_cold(), "the target reports itself warm after the ramp");
}

/// The first replica with a new snapshot must not receive the entire load of its shard, and a snapshot whose only
/// replica is lost must not be selected.
#[test]
fn pin_prefers_snapshots_with_free_replicas() {
    let host = plain_host(2, AnswerPreference::Coverage, 1.0);
    for entry in host.view().table().pools["stock"].targets.iter().step_by(2) {
        host.record_marks(&entry.id, &marks(entry, &[8, 7]), ms(0));
    }
    let pinned = |now| {
        choose_pin(host.view().pool("stock").expect("the pool"), now).map(|it| it.pin.snapshot)
    };
    let first = target(&host, "stock-1-1a");
    assert_eq!(pinned(ms(1)), Some(8));
    first.set_limits(1, 1);
    assert!(first.try_start(0, ms(0)));
    assert_eq!(pinned(ms(1)), Some(7), "the only replica with 8 is at its limit");
    first.end();
    assert_eq!(pinned(ms(1)), Some(8));
    first.record_failure(ms(1));
    first.record_failure(ms(1));
    assert_eq!(pinned(ms(5000)), Some(7), "the only replica with 8 is due for a probe");
}

/// Quantiles must be at most 1/8 above the true values, and must not include samples older than the window.
#[test]
fn window_gives_recent_quantiles() {
    let window = LatencyWindow::default();
    for sample in 1..=100 {
        window.record(ms(sample), ms(sample));
    }
    let high = window.high_quantile().expect("enough samples");
    assert!(ms(94) <= high && high <= ms(110), "{high:?}");
    for sample in 0..100 {
        window.record(ms(2), ms(6000 + sample * 100));
    }
    let high = window.high_quantile().expect("enough samples");
    assert!(high <= ms(3), "{high:?}");
}

/// The minimum rate of extra attempts is meant for hosts with little traffic, and must not increase the budget of busy
/// hosts.
#[test]
fn floor_is_for_quiet_hosts() {
    for (firsts_a_second, most) in [(100, 5 + 60 * 5), (1, 5 + 60 + 3)] {
        let budget = RetryBudget::new(5);
        let mut extras = 0;
        for second in 0..60 {
            budget.record_first_attempts(firsts_a_second);
            while budget.try_take(ms(second * 1000)) {
                extras += 1;
            }
        }
        assert!(extras <= most, "{extras} at {firsts_a_second} per second");
        assert!(60 <= extras, "{extras} at {firsts_a_second} per second");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// The selected snapshot must be the newest one with the highest coverage.
    #[test]
    fn pin_is_the_newest_with_the_best_coverage(
        held in vec(btree_set(1_u64..6, 0..4), 8),
    ) {
        let table = table(pool("stock", 1, 4), AnswerPreference::Coverage, 1.0);
        let entries = table.pools["stock"].targets.clone();
        let host = host(profile(), table, &[]);
        for (entry, snapshots) in entries.iter().zip(&held) {
            let newest_first: Vec<_> = snapshots.iter().rev().copied().collect();
            host.record_marks(&entry.id, &marks(entry, &newest_first), ms(1));
        }
        let mut covered: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
        for (index, snapshots) in held.iter().enumerate() {
            for snapshot in snapshots {
                covered.entry(*snapshot).or_default().insert(index / 2);
            }
        }
        let best = covered.iter().map(|(snapshot, shards)| (shards.len(), *snapshot)).max();
        let view = host.view();
        let choice = choose_pin(view.pool("stock").expect("the pool"), ms(1));
        let chosen = choice.map(|choice| (choice.covered as usize, choice.pin.snapshot));
        assert_eq!(chosen, best);
    }

    /// The budget must keep its documented bound for any sequence of calls.
    #[test]
    fn budget_keeps_its_bound(calls in vec((0_u8..4, 1_u32..40), 1..400)) {
        let budget = RetryBudget::new(5);
        let (mut firsts, mut extras) = (0, 0);
        let mut now = Duration::ZERO;
        for (call, amount) in calls {
            match call {
                0 => {
                    budget.record_first_attempts(amount);
                    firsts += amount;
                }
                1 => extras += u32::from(budget.try_take(now)),
                2 => extras += if budget.take_with_debt(amount) { amount } else { 0 },
                _ => now += ms(u64::from(amount) * 20),
            }
            let earned = f64::from(firsts) * 0.05 + (BURST_TOKENS + MAX_DEBT_TOKENS) as f64;
            assert!(f64::from(extras) <= earned + now.as_secs_f64().floor());
        }
    }
}

/// During the rollout of an index, targets with outdated marks must be assumed to have the new snapshot, whereas
/// targets with recent marks must not.
#[test]
fn stale_marks_do_not_rule_out_a_newer_snapshot() {
    let host = plain_host(3, AnswerPreference::Coverage, 1.0);
    let entries = host.view().table().pools["stock"].targets.clone();
    for entry in entries.iter().filter(|entry| entry.shard == 0) {
        host.record_marks(&entry.id, &marks(entry, &[8]), ms(1000));
    }
    let pool = host.view().pool("stock").expect("the pool").clone();
    let stale = choose_pin(&pool, ms(1001)).expect("a snapshot");
    assert_eq!((stale.pin.snapshot, stale.covered), (8, 3));

    for entry in entries.iter().filter(|entry| entry.shard != 0) {
        host.record_marks(&entry.id, &marks(entry, &[7]), ms(1000));
    }
    let fresh = choose_pin(&pool, ms(1001)).expect("a snapshot");
    assert_eq!((fresh.pin.snapshot, fresh.covered), (7, 2));
}
