//! Moves between versions: moves to good versions must finish in time, and moves to bad versions must be taken back
//! after few requests.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::route::MoveRow;
use vanillapick_model::route::MoveState;
use vanillapick_policy::version_move::MoveDecision;
use vanillapick_policy::version_move::bucket_at;
use vanillapick_policy::version_move::evidence::MoveEvidence;
use vanillapick_policy::version_move::evidence::MoveVersion;
use vanillapick_policy::version_move::evidence::VersionResult;
use vanillapick_policy::version_move::move_status;
use vanillapick_policy::version_move::picks_new_pool;

const MOVE_SECONDS: u64 = 1800;

/// Returns the shares of failed and slow requests at a version, given the elapsed fraction of the move and its share of
/// traffic.
type VersionBehaviour = fn(f64, f64) -> (f64, f64);

const GOOD: VersionBehaviour = |_, _| (0.005, 0.05);
const FAULTS: [(&str, VersionBehaviour); 5] = [
    ("fails at once", |_, _| (0.30, 0.05)),
    ("slows at once", |_, _| (0.005, 0.40)),
    ("fails later", |elapsed, _| if elapsed < 0.6 { (0.005, 0.05) } else { (0.20, 0.05) }),
    ("slows under load", |_, share| (0.005, if share < 0.5 { 0.05 } else { 0.40 })),
    ("fails on one route", |_, _| (0.10, 0.05)),
];

struct MoveRun {
    lines: Vec<String>,
    decision: MoveDecision,
    /// Number of requests at the new version while it behaved worse than a good version.
    exposed: u64,
}

fn move_row(id: &str) -> MoveRow {
    let start_ms = 1_000_000;
    let finish_by_ms = start_ms + MOVE_SECONDS * 1000;
    let progress = MoveState::Running;
    MoveRow { id: id.into(), to: "new".into(), start_ms, finish_by_ms, progress }
}

/// Simulates the move of one route with `rate` requests per second over six hosts, whose evidence is one second old.
fn run_move(id: &str, seed: u64, rate: u32, behaviour: VersionBehaviour) -> MoveRun {
    let row = move_row(id);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut evidence = MoveEvidence::default();
    let mut run = MoveRun { lines: Vec::new(), decision: MoveDecision::Running, exposed: 0 };
    let mut last_share = -1.0;
    for second in 0..MOVE_SECONDS {
        let wall = UNIX_EPOCH + Duration::from_millis(row.start_ms + second * 1000);
        let status = move_status(&row, wall, &evidence);
        if status.share != last_share || status.decision != run.decision {
            let percent = status.share * 100.0;
            let (summary, decision) = (&status.summary, &status.decision);
            run.lines.push(format!("{second:>4} s {percent:>3}% {summary}\n    {decision:?}"));
        }
        (last_share, run.decision) = (status.share, status.decision);
        if matches!(run.decision, MoveDecision::TakenBack(_)) {
            break;
        }
        let bucket = bucket_at(&row, wall);
        let elapsed = second as f64 / MOVE_SECONDS as f64;
        for number in 0..rate {
            let is_new = picks_new_pool(id, &format!("{seed}-{second}-{number}"), last_share);
            let (failed, slow) =
                if is_new { behaviour(elapsed, last_share) } else { GOOD(elapsed, last_share) };
            run.exposed += u64::from(is_new && (failed, slow) != GOOD(elapsed, last_share));
            let result = match rng.random::<f64>() {
                draw if draw < failed => VersionResult::Failed,
                draw if draw < failed + slow => VersionResult::Slow,
                _ => VersionResult::Served,
            };
            let version = if is_new { MoveVersion::New } else { MoveVersion::Old };
            evidence.record(&format!("host-{}/1", number % 6), bucket, version, result);
        }
    }
    run
}

/// A move to a good version must not be rolled back, and must be done by its finish-by time.
#[test]
fn good_versions_are_done_in_time() {
    for rate in [1, 100] {
        for seed in 0..10 {
            let run = run_move("move", seed, rate, GOOD);
            assert_eq!(run.decision, MoveDecision::Done, "{rate}/s, seed {seed}: {:?}", run.lines);
        }
        let lines = run_move("move", 0, rate, GOOD).lines.join("\n");
        insta::assert_snapshot!(format!("good_{rate}_a_second"), lines);
    }
}

/// A move to a bad version must be rolled back, after few requests at the new version.
#[test]
fn bad_versions_are_taken_back() {
    let mut lines = Vec::new();
    for (name, behaviour) in FAULTS {
        let runs: Vec<_> = (0..10).map(|seed| run_move("move", seed, 100, behaviour)).collect();
        let is_taken_back = |run: &&MoveRun| matches!(run.decision, MoveDecision::TakenBack(_));
        assert_eq!(runs.iter().filter(is_taken_back).count(), 10, "{name}");
        let mut exposed: Vec<_> = runs.iter().map(|run| run.exposed).collect();
        exposed.sort_unstable();
        lines.push(format!("{name}: {} to {} requests exposed", exposed[0], exposed[9]));
        lines.extend(runs[0].lines.iter().cloned());
    }
    // In the last fault, another route that moves to the same pool is not affected.
    assert_eq!(run_move("other", 0, 100, GOOD).decision, MoveDecision::Done);
    insta::assert_snapshot!(lines.join("\n"));
}

/// A fault of something that both versions use must not be held against the new version, and a version that fails
/// outright must be taken back.
#[test]
fn failures_against_those_of_the_old_version() {
    // Failed and served requests at the old version, then at the new version, and whether the move is taken back.
    let cases = [
        ([0, 0, 4, 0], false),
        ([0, 0, 5, 0], true),
        ([0, 0, 6, 0], true),
        ([120, 280, 120, 280], false),
        ([0, 400, 120, 280], true),
    ];
    for (counts, expected) in cases {
        let mut evidence = MoveEvidence::default();
        for (index, count) in counts.into_iter().enumerate() {
            let version = if index < 2 { MoveVersion::Old } else { MoveVersion::New };
            let result = [VersionResult::Failed, VersionResult::Served][index % 2];
            (0..count).for_each(|_| evidence.record("a/1", 0, version, result));
        }
        let status =
            move_status(&move_row("move"), UNIX_EPOCH + Duration::from_secs(1001), &evidence);
        assert_eq!(status.share == 0.0, expected, "{counts:?}: {status:?}");
    }
}

/// Guards against a version that is done although it no longer answers: its share grew by time, or by evidence from before.
#[test]
fn a_share_falls_while_a_version_that_has_answered_no_longer_does() {
    let row = move_row("ended");
    let mut lines = Vec::new();
    for (before, name) in [(3, "few answers"), (5000, "many answers")] {
        let mut evidence = MoveEvidence::default();
        let mut describe = |evidence: &MoveEvidence, fraction: f64, event: &str| {
            let elapsed = Duration::from_secs(MOVE_SECONDS).mul_f64(fraction);
            let wall = UNIX_EPOCH + Duration::from_millis(row.start_ms) + elapsed;
            let status = move_status(&row, wall, evidence);
            let (percent, decision) = (status.share * 100.0, status.decision);
            lines.push(format!("{name}, at {fraction}: {percent}% {decision:?} {event}"));
            bucket_at(&row, wall)
        };
        let bucket = describe(&evidence, 0.88, "before");
        for _ in 0..before {
            evidence.record("h1", bucket, MoveVersion::New, VersionResult::Served);
            evidence.record("h1", bucket, MoveVersion::Old, VersionResult::Served);
        }
        describe(&evidence, 0.88, "it has answered");
        for (requests, fraction) in [(10, 0.885), (10, 0.89), (60, 0.9), (300, 0.91), (2000, 0.92)]
        {
            for _ in 0..requests {
                evidence.record("h2", bucket + 1, MoveVersion::Old, VersionResult::Served);
            }
            describe(&evidence, fraction, &format!("{requests} more at the old version"));
        }
        describe(&evidence, 0.96, "the end of a good move");
        let mut answered = evidence.clone();
        answered.record("h1", bucket + 1, MoveVersion::New, VersionResult::Served);
        describe(&answered, 0.96, "it answers again");
        describe(&evidence, 1.0, "it never does");
    }
    insta::assert_snapshot!(lines.join("\n"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    /// Hosts must agree on the evidence regardless of the order in which they receive it, and of repetitions.
    #[test]
    fn evidence_merges_in_any_order(
        notes in vec((0_u64..200, 0..3, any::<bool>()), 1..80), cut in 0_usize..80,
    ) {
        let mut copies = vec![MoveEvidence::default(); 3];
        copies[2].take_back("other reason");
        for (index, (bucket, host, failed)) in notes.into_iter().enumerate() {
            let result = if failed { VersionResult::Failed } else { VersionResult::Slow };
            copies[1].record(&format!("host-{host}/1"), bucket, MoveVersion::New, result);
            if index == cut {
                copies[0] = copies[1].clone();
            }
        }
        copies[1].take_back("reason");
        let merged = |order: [usize; 4]| {
            let mut all = MoveEvidence::default();
            order.iter().for_each(|index| all.merge(&copies[*index]));
            all
        };
        assert_eq!(merged([0, 1, 2, 2]), merged([2, 1, 0, 1]));
        assert_eq!(merged([0, 1, 2, 0]).hosts, copies[1].hosts);
    }
}

/// Guards against a version that is done without a single answer, because its share grew by time alone. A service with few requests
/// moves all the same.
#[test]
fn a_share_grows_by_time_only_if_answers_are_not_overdue() {
    let row = move_row("unanswered");
    let mut lines = Vec::new();
    for old_requests in [3, 40, 100_000] {
        let mut evidence = MoveEvidence::default();
        for _ in 0..old_requests {
            evidence.record("h1", 0, MoveVersion::Old, VersionResult::Served);
        }
        for fraction in [0.3, 0.5, 0.6, 0.8, 0.9, 0.96, 1.0] {
            let elapsed = Duration::from_secs(MOVE_SECONDS).mul_f64(fraction);
            let wall = UNIX_EPOCH + Duration::from_millis(row.start_ms) + elapsed;
            let status = move_status(&row, wall, &evidence);
            let percent = status.share * 100.0;
            lines.push(format!(
                "{old_requests} at the old version, at {fraction}: {percent}% {:?}",
                status.decision
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}
