//! Moves between versions: the share of new traffic as a pure function of the table row, the wall time and merged
//! evidence.
//!
//! Every host computes the same share and decision from the same inputs, so a move needs no leader. The new version is
//! checked by a sequential probability-ratio test on merged counts, over the whole move and over each recent window, so
//! that a long healthy history does not hide a later fault.

pub mod evidence;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use vanillapick_model::hash::rendezvous_weight;
use vanillapick_model::route::MoveRow;
use vanillapick_model::route::MoveState;

use self::evidence::MoveEvidence;
use self::evidence::PairCounts;
use self::evidence::VersionCounts;

/// One step of a move. It begins at `earliest` if there is enough evidence, and at `latest` in any case, unless the new version has
/// not answered what it was sent at the step before.
#[derive(Clone, Copy, Debug)]
pub struct MoveStep {
    /// Share of new traffic that goes to the new pool.
    pub share: f64,
    /// Fraction of the time from start to finish-by.
    pub earliest: f64,
    /// Fraction of the time from start to finish-by.
    pub latest: f64,
    /// Number of requests at the new version that suffices as evidence.
    pub requests: u64,
}

/// Steps of every move. With 200 requests and 1% failures, the sequential test reaches its accepting bound for an error
/// of 1%. The last step begins well before finish-by, so that a fault that occurs only at full load is detected in
/// time.
pub const MOVE_STEPS: [MoveStep; 5] = [
    MoveStep { share: 0.01, earliest: 0.0, latest: 0.0, requests: 0 },
    MoveStep { share: 0.05, earliest: 0.05, latest: 0.40, requests: 200 },
    MoveStep { share: 0.20, earliest: 0.15, latest: 0.55, requests: 500 },
    MoveStep { share: 0.50, earliest: 0.30, latest: 0.70, requests: 1000 },
    MoveStep { share: 1.00, earliest: 0.50, latest: 0.85, requests: 2000 },
];

/// Fraction of the time from start to finish-by after which a move at full share is done.
pub const DONE_FRACTION: f64 = 0.95;

/// Time for which a move that grows by time alone is at full share before it is done, as a fraction of the time before.
const FULL_SHARE_TIME_RATIO: f64 = {
    let last_step = MOVE_STEPS[MOVE_STEPS.len() - 1];
    (DONE_FRACTION - last_step.latest) / last_step.latest
};

/// Number of time buckets between start and finish-by.
pub const BUCKETS_PER_MOVE: u32 = 200;

/// Minimum length of a time bucket, because hosts exchange evidence once a second.
pub const MIN_BUCKET_LENGTH: Duration = Duration::from_secs(1);

/// Probability of a false rollback by the test over the whole move. Six consecutive failures reach the bound (5^6 =
/// 15,625).
const WHOLE_MOVE_FALSE_ROLLBACK_RISK: f64 = 0.65e-4;

/// Probability of a false rollback by the tests over all windows. Together with [`WHOLE_MOVE_FALSE_ROLLBACK_RISK`] it
/// is 1 in 10,000.
const WINDOWS_FALSE_ROLLBACK_RISK: f64 = 0.35e-4;

/// Number of failures without any success from which a version counts as failing outright. At 1% failures, this happens
/// once in 10^10 windows.
const MIN_OUTRIGHT_FAILURES: u64 = 5;

/// Failure share of the old version from which an outright failure of the new version is not held against it.
const MAX_OLD_FAILURE_SHARE: f64 = 0.5;

/// Expected number of requests at the new version without any answer from which it is not sent a larger share, and not taken for
/// done. With fewer, a service may simply have too few requests to learn anything.
const MIN_EXPECTED_REQUESTS: f64 = 5.0;

/// The same for requests since the last answer. It is larger because every update of the share looks for such a gap: a version that
/// answers has one by chance once in three million updates.
const MIN_EXPECTED_SINCE_ANSWER: f64 = 15.0;

/// Reason to take a move back that has had no answer from the new version until its end.
const UNANSWERED: &str = "the new version has not answered any request";

/// Reason to take a move back whose new version answers nothing at its end.
const NO_LONGER_ANSWERED: &str = "the new version no longer answers requests";

/// Minimum number of requests at the old version for which its share of bad requests is taken from the same window.
const MIN_OLD_REQUESTS: u64 = 50;

/// Parameters of the sequential test for one kind of bad request.
struct BadRequestTest {
    label: &'static str,
    /// Share of bad requests that is always expected.
    baseline_share: f64,
    /// Minimum difference between the expected share and the share of a bad version.
    min_gap: f64,
    /// Returns the number of bad requests, and the number of requests that could be bad.
    count: fn(&VersionCounts) -> (u64, u64),
}

/// Test for failed requests: 1% expected, 5% for a bad version.
const FAILED: BadRequestTest = BadRequestTest {
    label: "failed",
    baseline_share: 0.01,
    min_gap: 0.04,
    count: |counts| (counts.failures.min(counts.requests), counts.requests),
};

/// Test for replies slower than the 95th percentile of the old pool: 5% expected, 15% for a bad version. Failed
/// requests have no latency and are not counted.
const SLOW: BadRequestTest = BadRequestTest {
    label: "slow",
    baseline_share: 0.05,
    min_gap: 0.10,
    count: |counts| {
        let replies = counts.requests.saturating_sub(counts.failures);
        (counts.slow.min(replies), replies)
    },
};

/// Decision on a move at one time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveDecision {
    /// The move has not started yet, or its share is still growing.
    Running,
    /// All traffic goes to the new pool, which is still monitored.
    Done,
    /// All traffic goes back to the old pool for the given reason. The host that decides this must record it in the
    /// evidence.
    TakenBack(String),
}

/// Traffic share, evidence and decision of a move at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveStatus {
    /// Share of new traffic that goes to the new pool, from 0 to 1.
    pub share: f64,
    /// Whether the current step was reached by time, with fewer requests than it requires.
    pub thin_evidence: bool,
    /// One-line summary of the evidence for operators.
    pub summary: String,
    pub decision: MoveDecision,
}

/// Computes the status of the move `row` at `wall` from the merged evidence of all hosts.
pub fn move_status(row: &MoveRow, wall: SystemTime, evidence: &MoveEvidence) -> MoveStatus {
    let total = evidence.total();
    let recent = evidence.recent();
    let gap = AnswerGap::new(&recent, &total);
    let elapsed = elapsed_fraction(row, wall);
    let step = elapsed.map(|elapsed| current_step(elapsed, &total, &gap));
    let thin_evidence = step.is_some_and(|step| total.new.requests < step.requests);
    let suffix = if thin_evidence { "; thin evidence" } else { "" };
    let summary = format!("new {}; old {}{suffix}", summarize(&total.new), summarize(&total.old));

    let known = match &row.progress {
        MoveState::TakenBack { reason } => Some(reason.clone()),
        _ => evidence.taken_back.clone(),
    };
    let reason = known.or_else(|| find_rollback_reason(row, &recent, &total));
    if let Some(reason) = reason {
        let decision = MoveDecision::TakenBack(reason);
        return MoveStatus { share: 0.0, thin_evidence, summary, decision };
    }
    if row.progress == MoveState::Done {
        return MoveStatus { share: 1.0, thin_evidence, summary, decision: MoveDecision::Done };
    }
    let share = step.map_or(0.0, |step| step.share);
    let has_elapsed = |fraction: f64| elapsed.is_some_and(|elapsed| fraction <= elapsed);
    let is_overdue = gap.is_overdue(share);
    if is_overdue && has_elapsed(1.0) {
        let reason = if gap.has_answered { NO_LONGER_ANSWERED } else { UNANSWERED };
        let decision = MoveDecision::TakenBack(reason.to_owned());
        return MoveStatus { share: 0.0, thin_evidence, summary, decision };
    }
    let is_done = share >= 1.0 && !is_overdue && has_elapsed(DONE_FRACTION);
    let decision = if is_done { MoveDecision::Done } else { MoveDecision::Running };
    MoveStatus { share, thin_evidence, summary, decision }
}

/// Whether a request goes to the new pool. All hosts decide identically, and a request that goes to the new pool at
/// some share also goes there at any larger share.
pub fn picks_new_pool(move_id: &str, request_id: &str, share: f64) -> bool {
    // An f64 represents 53 bits exactly, so a share of 1 selects every request.
    let weight = rendezvous_weight(move_id, request_id) >> 11;
    (weight as f64) < share * (1_u64 << 53) as f64
}

/// Length of the time buckets in which the evidence of a move is counted.
pub fn bucket_length(row: &MoveRow) -> Duration {
    (total_duration(row) / BUCKETS_PER_MOVE).max(MIN_BUCKET_LENGTH)
}

/// Number of the time bucket that contains `wall`; 0 before the start of the move.
pub fn bucket_at(row: &MoveRow, wall: SystemTime) -> u64 {
    let elapsed = wall.duration_since(start_time(row)).unwrap_or_default();
    let index = elapsed.as_millis() / bucket_length(row).as_millis();
    u64::try_from(index).unwrap_or(u64::MAX)
}

fn start_time(row: &MoveRow) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(row.start_ms)
}

fn total_duration(row: &MoveRow) -> Duration {
    Duration::from_millis(row.finish_by_ms.saturating_sub(row.start_ms).max(1))
}

/// Elapsed fraction of the time from start to finish-by; above 1 after finish-by, and `None` before the start.
fn elapsed_fraction(row: &MoveRow, wall: SystemTime) -> Option<f64> {
    let elapsed = wall.duration_since(start_time(row)).ok()?;
    Some(elapsed.as_secs_f64() / total_duration(row).as_secs_f64())
}

fn current_step(elapsed: f64, total: &PairCounts, gap: &AnswerGap) -> MoveStep {
    let mut current = MOVE_STEPS[0];
    for step in &MOVE_STEPS[1..] {
        let by_evidence = elapsed >= step.earliest && total.new.requests >= step.requests;
        let by_time = elapsed >= step.latest;
        if gap.is_overdue(current.share) || !by_evidence && !by_time {
            break;
        }
        current = *step;
    }
    current
}

/// Requests without an answer of the new version, measured by those at the old version.
struct AnswerGap {
    /// Whether the new version has ever answered.
    has_answered: bool,
    /// Requests at the old version since the last answer of the new one, or since the start of the move.
    old_requests: u64,
}

impl AnswerGap {
    fn new(recent: &BTreeMap<u64, PairCounts>, total: &PairCounts) -> Self {
        if answers(&total.new) == 0 {
            return Self { has_answered: false, old_requests: total.old.requests };
        }
        let since = recent.values().rev().take_while(|counts| answers(&counts.new) == 0);
        Self { has_answered: true, old_requests: since.map(|counts| counts.old.requests).sum() }
    }

    /// Whether the new version has answered nothing, although at this share of the requests some answers were to be expected.
    fn is_overdue(&self, share: f64) -> bool {
        // At full share the old version gets no more requests, so the expected number follows from the time of the last step.
        let ratio = if share < 1.0 { share / (1.0 - share) } else { FULL_SHARE_TIME_RATIO };
        let min_expected =
            if self.has_answered { MIN_EXPECTED_SINCE_ANSWER } else { MIN_EXPECTED_REQUESTS };
        min_expected <= self.old_requests as f64 * ratio
    }
}

fn answers(counts: &VersionCounts) -> u64 {
    counts.requests.saturating_sub(counts.failures)
}

fn summarize(counts: &VersionCounts) -> String {
    let VersionCounts { requests, failures, slow } = counts;
    format!("{requests} requests, {failures} failed, {slow} slow")
}

/// Returns the reason to take the move back if the test fails over the whole move or over any window that ends now.
///
/// Each possible window start has its own sequential test. The risk of a false rollback is divided among all starts in
/// shares of 1 / (n (n + 1)), which sum to 1, so the end of monitoring need not be known.
fn find_rollback_reason(
    row: &MoveRow,
    recent: &BTreeMap<u64, PairCounts>,
    total: &PairCounts,
) -> Option<String> {
    for test in [&FAILED, &SLOW] {
        if exceeds_expected(test, total, total, WHOLE_MOVE_FALSE_ROLLBACK_RISK) {
            return Some(rollback_reason(test, total, "over the whole move"));
        }
    }
    let last = recent.last_key_value().map_or(0, |(bucket, _)| *bucket);
    let mut window = PairCounts::default();
    for (bucket, counts) in recent.iter().rev() {
        window.add(counts);
        // An f64 avoids an overflow of the product, and its precision suffices for a probability.
        let number = *bucket as f64 + 1.0;
        let risk = WINDOWS_FALSE_ROLLBACK_RISK / (number * (number + 1.0));
        let found =
            [&FAILED, &SLOW].into_iter().find(|test| exceeds_expected(test, &window, total, risk));
        let outright = fails_outright(&window, total).then_some(&FAILED);
        if let Some(test) = found.or(outright) {
            let seconds = (last - bucket + 1) * bucket_length(row).as_secs();
            return Some(rollback_reason(test, &window, &format!("in the last {seconds} s")));
        }
    }
    None
}

/// Sequential probability-ratio test of the new version's share of bad requests against the expected share. Returns
/// whether the version is bad with an error probability of at most `risk`.
fn exceeds_expected(
    test: &BadRequestTest,
    window: &PairCounts,
    total: &PairCounts,
    risk: f64,
) -> bool {
    let (count, all) = (test.count)(&window.new);
    let expected = expected_share(test, reference_counts(&window.old, total));
    let faulty = (expected + test.min_gap.max(expected)).min(f64::midpoint(1.0, expected));
    let ratio = count as f64 * (faulty / expected).ln()
        + (all - count) as f64 * ((1.0 - faulty) / (1.0 - expected)).ln();
    ratio >= -risk.ln()
}

/// Counts of the old version in the window, or over the whole move if the window has fewer than
/// [`MIN_OLD_REQUESTS`] of its requests.
fn reference_counts<'a>(old: &'a VersionCounts, total: &'a PairCounts) -> &'a VersionCounts {
    if old.requests >= MIN_OLD_REQUESTS { old } else { &total.old }
}

/// Share of bad requests that the new version may have: the larger of the baseline share and the old version's share
/// plus two standard errors. A fault of something that both versions use is thus not held against the new one.
fn expected_share(test: &BadRequestTest, old: &VersionCounts) -> f64 {
    let (count, all) = (test.count)(old);
    if all == 0 {
        return test.baseline_share;
    }
    let share = count as f64 / all as f64;
    let error = (share * (1.0 - share) / all as f64).sqrt();
    (share + 2.0 * error).clamp(test.baseline_share, 0.9)
}

fn fails_outright(window: &PairCounts, total: &PairCounts) -> bool {
    let VersionCounts { requests, failures, .. } = window.new;
    let old = reference_counts(&window.old, total);
    failures >= MIN_OUTRIGHT_FAILURES
        && failures >= requests
        && expected_share(&FAILED, old) < MAX_OLD_FAILURE_SHARE
}

fn rollback_reason(test: &BadRequestTest, window: &PairCounts, span: &str) -> String {
    let (new, new_all) = (test.count)(&window.new);
    let (old, old_all) = (test.count)(&window.old);
    let label = test.label;
    format!("{label}: {new} of {new_all} at the new version, {old} of {old_all} at the old, {span}")
}
