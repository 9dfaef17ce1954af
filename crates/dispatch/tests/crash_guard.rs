//! Marks of requests that crash targets, from the evidence of several hosts.

use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert_eq;
use proptest::proptest;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use vanillapick_dispatch::crash_guard::CrashDecision;
use vanillapick_dispatch::crash_guard::CrashGuard;
use vanillapick_dispatch::crash_guard::CrashMark;
use vanillapick_dispatch::crash_guard::CrashNews;
use vanillapick_dispatch::crash_guard::MarkStage;
use vanillapick_dispatch::crash_guard::ReplicaKind;
use vanillapick_dispatch::crash_guard::RequestAnswer;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use vanillapick_dispatch::crash_guard::TargetLoss;

/// The request that crashes targets.
const BAD: RequestFingerprint = 1;

const KIND: ReplicaKind = ReplicaKind { pool: 1, version: 1 };

/// Time that is enough to evaluate losses and to tell others.
const SETTLED: u64 = 1000;

fn ms(time: u64) -> Duration {
    Duration::from_millis(1_000_000_000 + time)
}

/// Loss of an attempt that ran for 5 ms.
fn loss(target: &str, kind: ReplicaKind, lost: u64) -> TargetLoss {
    TargetLoss { lost: ms(lost), sent: ms(lost - 5), target: target.into(), kind }
}

fn answer(fingerprint: RequestFingerprint, kind: ReplicaKind, at: u64) -> RequestAnswer {
    RequestAnswer { fingerprint, kind, at: ms(at) }
}

fn record(guard: &mut CrashGuard, fingerprint: RequestFingerprint, loss: TargetLoss) {
    let lost = loss.lost;
    guard.record_loss(fingerprint, loss, lost);
}

/// Hosts that tell each other everything at once.
fn exchange(guards: &mut [CrashGuard], now: u64) {
    for _ in 0..2 {
        for teller in 0..guards.len() {
            guards[teller].tick(ms(now));
            let news = guards[teller].take_news();
            for (listener, guard) in guards.iter_mut().enumerate() {
                if listener != teller {
                    guard.merge(news.clone(), ms(now));
                }
            }
        }
    }
}

#[test]
fn losses_at_different_hosts_count_together_once_each() {
    let mut guards: [CrashGuard; 3] = Default::default();
    for (number, guard) in guards.iter_mut().enumerate() {
        let at = 100 * (number as u64 + 1);
        record(guard, BAD, loss(&format!("t{number}"), KIND, at));
    }
    exchange(&mut guards, 500);
    exchange(&mut guards, 600);
    let counts: Vec<usize> = guards.iter().map(|guard| guard.crash_count(BAD)).collect();
    assert_eq!(counts, [3, 3, 3]);
    exchange(&mut guards, SETTLED + 500);
    assert!(guards.iter().all(|guard| guard.is_marked(BAD)));
    assert!(guards.iter().all(|guard| guard.admit(BAD, ms(2000)) == CrashDecision::Refuse));
}

#[test]
fn attempts_that_one_crash_ends_count_once() {
    let mut guard = CrashGuard::default();
    for lost in [100, 101, 102] {
        record(&mut guard, BAD, loss("t1", KIND, lost));
    }
    assert_eq!(guard.crash_count(BAD), 1);
    // The target has started again, and the store doesn't say so yet.
    record(&mut guard, BAD, loss("t1", KIND, 4000));
    assert_eq!(guard.crash_count(BAD), 2);
}

/// Guards against answers of one shard, or of another version, that hide the losses of another.
#[test]
fn an_answer_explains_losses_of_its_own_kind_of_replica_alone() {
    let (shard, version) =
        (ReplicaKind { pool: 2, version: 1 }, ReplicaKind { pool: 1, version: 2 });
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guard = CrashGuard::default();
    for (number, target) in ["t1", "t2", "t3"].iter().enumerate() {
        record(&mut guard, BAD, loss(target, KIND, 100 + 10 * number as u64));
    }
    guard.record_answer(answer(BAD, shard, 150), &mut rng);
    guard.record_answer(answer(BAD, version, 150), &mut rng);
    assert_eq!(guard.crash_count(BAD), 3);
    guard.record_answer(answer(BAD, KIND, 150), &mut rng);
    assert_eq!(guard.crash_count(BAD), 0);
    guard.tick(ms(SETTLED));
    assert!(!guard.is_marked(BAD));
}

/// Guards against an answer long ago that hides a crash, for example of a version that has just started.
#[test]
fn an_answer_explains_no_losses_some_seconds_later() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guard = CrashGuard::default();
    guard.record_answer(answer(BAD, KIND, 100), &mut rng);
    for (number, target) in ["t1", "t2", "t3"].iter().enumerate() {
        record(&mut guard, BAD, loss(target, KIND, 4000 + 10 * number as u64));
    }
    guard.tick(ms(5000));
    assert!(guard.is_marked(BAD));
}

/// Guards against marks of requests that an outage has lost. Each request is another one, and one of them loses many targets.
#[test]
fn a_failure_domain_that_goes_down_marks_nothing() {
    let mut guards: Vec<CrashGuard> = (0..30).map(|_| CrashGuard::default()).collect();
    for (number, guard) in guards.iter_mut().enumerate() {
        for target in 0..5 {
            let kind = ReplicaKind { pool: target, version: 1 };
            let lost = loss(&format!("t{}", (number as u32 * 5 + target) % 60), kind, 100);
            record(guard, 100 + number as u64, lost);
        }
    }
    for now in [250, 350, 450, SETTLED, SETTLED + 500] {
        exchange(&mut guards, now);
    }
    assert!(guards.iter().all(|guard| guard.marks().next().is_none()));
}

/// Guards against a fleet that each tries a marked request once its mark has ended.
#[test]
fn trials_after_a_mark_are_few_for_hours() {
    let mut guard = CrashGuard::default();
    for (number, target) in ["t1", "t2", "t3"].iter().enumerate() {
        record(&mut guard, BAD, loss(target, KIND, 100 + 10 * number as u64));
    }
    guard.tick(ms(SETTLED));
    let mut trials = Vec::new();
    for second in 1..24 * 3600 {
        let now = ms(SETTLED) + Duration::from_secs(second);
        guard.tick(now);
        if let CrashDecision::Trial(mark) = guard.admit(BAD, now) {
            guard.start_trial(CrashGuard::trial_mark(mark, now));
            trials.push(second);
        }
    }
    assert_eq!(trials, [10, 170, 2730, 43690]);
}

#[test]
fn a_trial_that_is_answered_clears_the_mark_at_all_hosts() {
    let mut guards: [CrashGuard; 2] = Default::default();
    for (number, target) in ["t1", "t2", "t3"].iter().enumerate() {
        record(&mut guards[0], BAD, loss(target, KIND, 100 + 10 * number as u64));
    }
    exchange(&mut guards, 300);
    exchange(&mut guards, SETTLED);
    let CrashDecision::Trial(mark) = guards[1].admit(BAD, ms(20_000)) else {
        panic!("no trial is due")
    };
    guards[1].start_trial(CrashGuard::trial_mark(mark, ms(20_000)));
    exchange(&mut guards, 20_010);
    assert_eq!(guards[0].admit(BAD, ms(20_020)), CrashDecision::Refuse);
    guards[1].end_trial(BAD, ms(20_050));
    exchange(&mut guards, 20_060);
    let decisions = guards.iter().map(|guard| guard.admit(BAD, ms(20_070)));
    assert!(decisions.into_iter().all(|decision| decision == CrashDecision::Normal));
    // The losses before don't count again.
    assert!(guards.iter().all(|guard| guard.crash_count(BAD) == 0));
    // A host that hasn't heard of it doesn't set the mark again.
    guards[0].merge(CrashNews { marks: vec![mark], ..CrashNews::default() }, ms(20_080));
    assert!(!guards[0].is_marked(BAD));
}

/// Guards against a wrong mark of a popular request that stays although hosts have answers to it.
#[test]
fn a_mark_whose_losses_are_explained_is_cleared() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guards: [CrashGuard; 2] = Default::default();
    guards[1].record_answer(answer(BAD, KIND, 100), &mut rng);
    for (number, target) in ["t1", "t2", "t3"].iter().enumerate() {
        record(&mut guards[0], BAD, loss(target, KIND, 100 + 10 * number as u64));
    }
    guards[0].tick(ms(300));
    guards[0].tick(ms(600));
    assert!(guards[0].is_marked(BAD), "the answer is known to the other host alone");
    exchange(&mut guards, 700);
    exchange(&mut guards, 800);
    assert!(guards.iter().all(|guard| !guard.is_marked(BAD)));
}

#[test]
fn a_mark_of_an_earlier_version_applies_for_its_time() {
    let mut guard = CrashGuard::default();
    let mark = guard.plain_mark(BAD, ms(0));
    guard.merge(CrashNews { marks: vec![mark], ..CrashNews::default() }, ms(0));
    assert_eq!(guard.admit(BAD, ms(59_000)), CrashDecision::Refuse);
    assert!(matches!(guard.admit(BAD, ms(60_000)), CrashDecision::Trial(_)));
}

/// Evidence and marks as hosts could tell them.
fn news() -> impl Strategy<Value = CrashNews> {
    let losses = (1_u64..4, 0_u32..6, 0_u64..3000).prop_map(|(print, target, lost)| {
        let kind = ReplicaKind { pool: target % 2, version: 1 };
        (print, loss(&format!("t{target}"), kind, 10 + lost))
    });
    let answers = (1_u64..4, 0_u32..2, 0_u64..3000)
        .prop_map(|(print, pool, at)| answer(print, ReplicaKind { pool, version: 1 }, at));
    let stages = [MarkStage::Marked, MarkStage::Probing, MarkStage::Cleared];
    let marks = (1_u64..4, 1_u32..3, 0_usize..3, 0_u64..9000).prop_map(
        move |(fingerprint, generation, stage, until)| CrashMark {
            fingerprint,
            generation,
            until_ms: 1_000_000_000 + until,
            stage: stages[stage],
            mark_count: 1,
        },
    );
    let losses = prop::collection::vec(losses, 0..4);
    (losses, prop::collection::vec(answers, 0..2), prop::collection::vec(marks, 0..2))
        .prop_map(|(losses, answers, marks)| CrashNews { losses, answers, marks })
}

proptest! {
    #[test]
    fn what_hosts_tell_merges_in_any_order(
        told in prop::collection::vec(news(), 1..6),
        seed in any::<u64>(),
    ) {
        let mut other = [told.clone(), told.clone()].concat();
        other.shuffle(&mut SmallRng::seed_from_u64(seed));
        let mut guards: [CrashGuard; 2] = Default::default();
        for (guard, told) in guards.iter_mut().zip([told, other]) {
            told.into_iter().for_each(|news| drop(guard.merge(news, ms(4000))));
        }
        for print in 1..4 {
            prop_assert_eq!(guards[0].crash_count(print), guards[1].crash_count(print));
            prop_assert_eq!(guards[0].is_marked(print), guards[1].is_marked(print));
        }
    }
}
