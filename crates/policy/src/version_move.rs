//! Moves between versions: the share of new traffic, as a pure function of the row, the wall time and merged evidence.
//!
//! Every host computes the same share and the same decision from the same inputs, so a move has no leader. The test
//! against the new version is a sequential probability-ratio test on merged counts, once over the whole move and once
//! for each recent window, so that a long healthy history does not hide a later fault.

pub mod evidence;

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use vanillapick_model::hash::rendezvous_weight;
use vanillapick_model::route::MoveRow;
use vanillapick_model::route::MoveState;

use self::evidence::MoveEvidence;
use self::evidence::PairCounts;
use self::evidence::VersionCounts;

/// One step of a move. It begins at `earliest` when the evidence suffices, and at `latest` in any case.
#[derive(Clone, Copy, Debug)]
pub struct MoveStep {
    /// Share of new traffic for the new pool.
    pub share: f64,
    /// Part of the time from start to finish-by.
    pub earliest: f64,
    /// Part of the time from start to finish-by.
    pub latest: f64,
    /// Requests that the new version must have served before.
    pub requests: u64,
}

/// Steps of every move. 200 requests at 1% failures reach the accepting bound of the test for an error of 1%. The last
/// step begins well before finish-by, so that a fault that shows only at full load is seen in time.
pub const MOVE_STEPS: [MoveStep; 5] = [
    MoveStep { share: 0.01, earliest: 0.0, latest: 0.0, requests: 0 },
    MoveStep { share: 0.05, earliest: 0.05, latest: 0.40, requests: 200 },
    MoveStep { share: 0.20, earliest: 0.15, latest: 0.55, requests: 500 },
    MoveStep { share: 0.50, earliest: 0.30, latest: 0.70, requests: 1000 },
    MoveStep { share: 1.00, earliest: 0.50, latest: 0.85, requests: 2000 },
];

/// Part of the time from start to finish-by at which a move at full share is done.
pub const DONE_FRACTION: f64 = 0.95;

/// Time buckets that a move is cut into from start to finish-by.
pub const BUCKETS_PER_MOVE: u32 = 200;

/// Shortest time bucket. Hosts exchange evidence once a second.
pub const MIN_BUCKET_LENGTH: Duration = Duration::from_secs(1);

/// Probability of a false rollback by the test over the whole move. Six failures in a row reach it (5^6 = 15,625).
const WHOLE_MOVE_RISK: f64 = 0.65e-4;

/// Probability of a false rollback by all windows together. With the above it makes one in 10,000.
const WINDOWS_RISK: f64 = 0.35e-4;

/// Failures with no success between that show a version that fails outright; at 1% it happens once in 10^10 windows.
const OUTRIGHT_FAILURES: u64 = 5;

/// Old version's share of bad requests from which it cannot serve as the measure for an outright failure.
const OLD_FAILS_AS_WELL: f64 = 0.5;

/// Requests of the old version that a window needs to show the old version's own share.
const OLD_REQUESTS_IN_WINDOW: u64 = 50;

/// What the sequential test counts, and the shares it tells apart.
struct BadShare {
    word: &'static str,
    /// Share of bad requests that is taken for granted.
    usual: f64,
    /// Least distance from the expected share to the share of a bad version.
    gap: f64,
    /// Number of bad requests, and of all that could have been.
    count: fn(&VersionCounts) -> (u64, u64),
}

/// Failures: 1% against 5%.
const FAILED: BadShare = BadShare {
    word: "failed",
    usual: 0.01,
    gap: 0.04,
    count: |counts| (counts.failures.min(counts.requests), counts.requests),
};

/// Replies slower than the old pool's 95th percentile: 5% against 15%. A failed request has no latency to compare.
const SLOW: BadShare = BadShare {
    word: "slow",
    usual: 0.05,
    gap: 0.10,
    count: |counts| {
        let replies = counts.requests.saturating_sub(counts.failures);
        (counts.slow.min(replies), replies)
    },
};

/// What to do with a move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveDecision {
    /// Traffic is moving over, or waits for the start.
    Running,
    /// All traffic is at the new pool. Monitoring goes on.
    Done,
    /// All traffic goes to the old pool, for this reason. The host that decides it flags it in the evidence.
    TakenBack(String),
}

/// State of a move at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveStatus {
    /// Share of new traffic for the new pool, from 0 to 1.
    pub share: f64,
    /// Whether the present step was reached by time and not by evidence.
    pub thin_evidence: bool,
    /// Evidence in one line, for operators.
    pub summary: String,
    /// What to do.
    pub decision: MoveDecision,
}

/// State of the move `row` at `wall`, from evidence merged over hosts.
pub fn move_status(row: &MoveRow, wall: SystemTime, evidence: &MoveEvidence) -> MoveStatus {
    let total = evidence.total();
    let elapsed = elapsed_part(row, wall);
    let step = elapsed.map(|elapsed| current_step(elapsed, &total.new));
    let thin_evidence = step.is_some_and(|step| total.new.requests < step.requests);
    let word = if thin_evidence { "; thin evidence" } else { "" };
    let summary = format!("new {}; old {}{word}", describe(&total.new), describe(&total.old));

    let known = match &row.progress {
        MoveState::TakenBack { reason } => Some(reason.clone()),
        _ => evidence.taken_back.clone(),
    };
    let reason = known.or_else(|| find_fault(row, evidence, &total));
    if let Some(reason) = reason {
        let decision = MoveDecision::TakenBack(reason);
        return MoveStatus { share: 0.0, thin_evidence, summary, decision };
    }
    if row.progress == MoveState::Done {
        return MoveStatus { share: 1.0, thin_evidence, summary, decision: MoveDecision::Done };
    }
    let share = step.map_or(0.0, |step| step.share);
    let is_done = share >= 1.0 && elapsed.is_some_and(|elapsed| elapsed >= DONE_FRACTION);
    let decision = if is_done { MoveDecision::Done } else { MoveDecision::Running };
    MoveStatus { share, thin_evidence, summary, decision }
}

/// Whether a request goes to the new pool. All hosts decide alike, and a request that went to the new pool at a smaller
/// share goes there at a larger one.
pub fn picks_new_pool(move_id: &str, request_id: &str, share: f64) -> bool {
    // 53 bits fit a float without rounding, so a share of 1 takes every request.
    let weight = rendezvous_weight(move_id, request_id) >> 11;
    (weight as f64) < share * (1_u64 << 53) as f64
}

/// Length of the evidence buckets of a move.
pub fn bucket_length(row: &MoveRow) -> Duration {
    (whole_time(row) / BUCKETS_PER_MOVE).max(MIN_BUCKET_LENGTH)
}

/// Number of the evidence bucket that `wall` falls into; 0 before the start.
pub fn bucket_at(row: &MoveRow, wall: SystemTime) -> u64 {
    let elapsed = wall.duration_since(start_of(row)).unwrap_or_default();
    let index = elapsed.as_millis() / bucket_length(row).as_millis();
    u64::try_from(index).unwrap_or(u64::MAX)
}

fn start_of(row: &MoveRow) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(row.start_ms)
}

fn whole_time(row: &MoveRow) -> Duration {
    Duration::from_millis(row.finish_by_ms.saturating_sub(row.start_ms).max(1))
}

/// Part of the time from start to finish-by that has passed; `None` before the start.
fn elapsed_part(row: &MoveRow, wall: SystemTime) -> Option<f64> {
    let elapsed = wall.duration_since(start_of(row)).ok()?;
    Some(elapsed.as_secs_f64() / whole_time(row).as_secs_f64())
}

fn current_step(elapsed: f64, new: &VersionCounts) -> MoveStep {
    let begun = |step: &&MoveStep| {
        let by_evidence = elapsed >= step.earliest && new.requests >= step.requests;
        by_evidence || elapsed >= step.latest
    };
    MOVE_STEPS.iter().rev().find(begun).copied().unwrap_or(MOVE_STEPS[0])
}

fn describe(counts: &VersionCounts) -> String {
    let VersionCounts { requests, failures, slow } = counts;
    format!("{requests} requests, {failures} failed, {slow} slow")
}

/// Reason to take the move back, from the whole move or from any window that ends now.
///
/// Each window start is a sequential test of its own. The risk of a false rollback is divided over all starts there can
/// be, in parts of 1 / (n (n + 1)), which sum to 1, so monitoring has no end that it must know.
fn find_fault(row: &MoveRow, evidence: &MoveEvidence, total: &PairCounts) -> Option<String> {
    for bad in [&FAILED, &SLOW] {
        if is_fault(bad, total, total, WHOLE_MOVE_RISK) {
            return Some(explain(bad, total, "over the whole move"));
        }
    }
    let recent = evidence.recent();
    let last = recent.last_key_value().map_or(0, |(bucket, _)| *bucket);
    let mut window = PairCounts::default();
    for (bucket, counts) in recent.iter().rev() {
        window.add(counts);
        // A float keeps the product from overflowing; the precision is enough for a risk.
        let number = *bucket as f64 + 1.0;
        let risk = WINDOWS_RISK / (number * (number + 1.0));
        let found = [&FAILED, &SLOW].into_iter().find(|bad| is_fault(bad, &window, total, risk));
        let outright = fails_outright(&window, total).then_some(&FAILED);
        if let Some(bad) = found.or(outright) {
            let seconds = (last - bucket + 1) * bucket_length(row).as_secs();
            return Some(explain(bad, &window, &format!("in the last {seconds} s")));
        }
    }
    None
}

/// Sequential probability-ratio test of the new version's share of bad requests against the expected one.
fn is_fault(bad: &BadShare, window: &PairCounts, total: &PairCounts, risk: f64) -> bool {
    let (count, all) = (bad.count)(&window.new);
    let expected = expected_share(bad, measure_of(&window.old, total));
    let at_fault = (expected + bad.gap.max(expected)).min(f64::midpoint(1.0, expected));
    let ratio = count as f64 * (at_fault / expected).ln()
        + (all - count) as f64 * ((1.0 - at_fault) / (1.0 - expected)).ln();
    ratio >= -risk.ln()
}

/// The old version in the same window; over the whole move when the window has too few of its requests.
fn measure_of<'a>(old: &'a VersionCounts, total: &'a PairCounts) -> &'a VersionCounts {
    if old.requests >= OLD_REQUESTS_IN_WINDOW { old } else { &total.old }
}

/// Share of bad requests that the new version may have: the usual one, or the old version's own with two standard
/// errors, so that a fault of what both versions use is not held against the new one.
fn expected_share(bad: &BadShare, old: &VersionCounts) -> f64 {
    let (count, all) = (bad.count)(old);
    if all == 0 {
        return bad.usual;
    }
    let share = count as f64 / all as f64;
    let error = (share * (1.0 - share) / all as f64).sqrt();
    (share + 2.0 * error).clamp(bad.usual, 0.9)
}

fn fails_outright(window: &PairCounts, total: &PairCounts) -> bool {
    let VersionCounts { requests, failures, .. } = window.new;
    let old = measure_of(&window.old, total);
    failures >= OUTRIGHT_FAILURES
        && failures >= requests
        && expected_share(&FAILED, old) < OLD_FAILS_AS_WELL
}

fn explain(bad: &BadShare, window: &PairCounts, span: &str) -> String {
    let (new, new_all) = (bad.count)(&window.new);
    let (old, old_all) = (bad.count)(&window.old);
    let word = bad.word;
    format!("{word}: {new} of {new_all} at the new version, {old} of {old_all} at the old, {span}")
}
