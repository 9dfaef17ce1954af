//! Counters of request sessions, with one entry for each reason of a refusal, retry, dropped reply and budget denial.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use derive_more::Display;
use vanillapick_model::answer::RefusalCode;

use crate::attempt::RetryReason;

/// Why a reply is not used for the answer.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// The reply names another request.
    WrongRequest,
    /// The reply names another attempt.
    WrongAttempt,
    /// The reply names another shard.
    WrongShard,
    /// The reply is for another shard map.
    WrongShardMap,
    /// The reply was computed from another snapshot.
    WrongSnapshot,
    /// The body is not a list of hits.
    BadBody,
    /// The attempt is unknown or has already ended.
    Duplicate,
    /// Another attempt for the shard answered first.
    HedgeLost,
    /// The search was pinned to another snapshot after the attempt was sent.
    OldPin,
    /// The caller has already been answered.
    AfterFinish,
}

/// Use of an extra attempt that the retry budget can deny.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum BudgetUse {
    Hedge,
    Retry,
    /// A second pin of a search to a snapshot.
    Repin,
}

/// Whether an answer covers all shards.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum AnswerKind {
    /// The answer covers all shards. Every reply to a read or a write counts as full.
    Full,
    /// At least one shard is missing.
    Partial,
}

const REFUSAL_CODES: [RefusalCode; 22] = [
    RefusalCode::UnknownRoute,
    RefusalCode::WrongKind,
    RefusalCode::BodyTooLarge,
    RefusalCode::DeadlineMissing,
    RefusalCode::DeadlineInvalid,
    RefusalCode::DeadlineUnmeetable,
    RefusalCode::RequestIdInvalid,
    RefusalCode::IdempotencyKeyInvalid,
    RefusalCode::HeaderDuplicated,
    RefusalCode::Overloaded,
    RefusalCode::QueueTimeout,
    RefusalCode::CoverageTooLow,
    RefusalCode::NoReplica,
    RefusalCode::CrashingRequest,
    RefusalCode::ClaimUnavailable,
    RefusalCode::ClaimInProgress,
    RefusalCode::OutcomeUnknown,
    RefusalCode::Cancelled,
    RefusalCode::NotReady,
    RefusalCode::Stopping,
    RefusalCode::DeadlineExceeded,
    RefusalCode::BadReply,
];

const RETRY_REASONS: [RetryReason; 6] = [
    RetryReason::Refused,
    RetryReason::NotSent,
    RetryReason::Lost,
    RetryReason::BadReply,
    RetryReason::Repinned,
    RetryReason::OldVersion,
];

const DROP_REASONS: [DropReason; 10] = [
    DropReason::WrongRequest,
    DropReason::WrongAttempt,
    DropReason::WrongShard,
    DropReason::WrongShardMap,
    DropReason::WrongSnapshot,
    DropReason::BadBody,
    DropReason::Duplicate,
    DropReason::HedgeLost,
    DropReason::OldPin,
    DropReason::AfterFinish,
];

const BUDGET_USES: [BudgetUse; 3] = [BudgetUse::Hedge, BudgetUse::Retry, BudgetUse::Repin];

const ANSWER_KINDS: [AnswerKind; 2] = [AnswerKind::Full, AnswerKind::Partial];

/// Counters of all sessions of one host since the process started.
#[derive(Debug, Default)]
pub struct SessionCounters {
    attempts: AtomicU64,
    first_attempts: AtomicU64,
    hedges: AtomicU64,
    refusals: [AtomicU64; REFUSAL_CODES.len()],
    retries: [AtomicU64; RETRY_REASONS.len()],
    dropped_replies: [AtomicU64; DROP_REASONS.len()],
    budget_denials: [AtomicU64; BUDGET_USES.len()],
    answers: [AtomicU64; ANSWER_KINDS.len()],
}

impl SessionCounters {
    /// Counts the first attempt at a shard.
    pub fn record_first_attempt(&self) {
        self.attempts.fetch_add(1, Relaxed);
        self.first_attempts.fetch_add(1, Relaxed);
    }

    /// Counts a hedge, which is also an attempt.
    pub fn record_hedge(&self) {
        self.attempts.fetch_add(1, Relaxed);
        self.hedges.fetch_add(1, Relaxed);
    }

    /// Counts a retry, which is also an attempt.
    pub fn record_retry(&self, reason: RetryReason) {
        self.attempts.fetch_add(1, Relaxed);
        self.retries[reason as usize].fetch_add(1, Relaxed);
    }

    /// Counts a refusal by a session or by the server itself.
    pub fn record_refusal(&self, code: RefusalCode) {
        self.refusals[code as usize].fetch_add(1, Relaxed);
    }

    /// Counts a reply that is not used for the answer.
    pub fn record_dropped_reply(&self, reason: DropReason) {
        self.dropped_replies[reason as usize].fetch_add(1, Relaxed);
    }

    /// Counts an extra attempt that the retry budget did not cover.
    pub fn record_budget_denial(&self, purpose: BudgetUse) {
        self.budget_denials[purpose as usize].fetch_add(1, Relaxed);
    }

    /// Counts an answer sent to a caller.
    pub fn record_answer(&self, kind: AnswerKind) {
        self.answers[kind as usize].fetch_add(1, Relaxed);
    }

    /// Number of first attempts since the process started.
    pub fn first_attempts(&self) -> u64 {
        self.first_attempts.load(Relaxed)
    }

    /// Number of hedges and retries since the process started.
    pub fn extra_attempts(&self) -> u64 {
        self.attempts.load(Relaxed).saturating_sub(self.first_attempts())
    }

    /// Number of replies dropped for `reason`.
    pub fn dropped_replies(&self, reason: DropReason) -> u64 {
        self.dropped_replies[reason as usize].load(Relaxed)
    }

    /// All counters as (metric name, reason, value). The reason is empty for a metric without reasons.
    pub fn entries(&self) -> Vec<(&'static str, String, u64)> {
        let mut entries = vec![
            ("vp_attempts_total", String::new(), self.attempts.load(Relaxed)),
            ("vp_first_attempts_total", String::new(), self.first_attempts.load(Relaxed)),
            ("vp_hedges_total", String::new(), self.hedges.load(Relaxed)),
        ];
        push_with_reasons(&mut entries, "vp_refusals_total", &REFUSAL_CODES, &self.refusals);
        push_with_reasons(&mut entries, "vp_retries_total", &RETRY_REASONS, &self.retries);
        push_with_reasons(
            &mut entries,
            "vp_dropped_replies_total",
            &DROP_REASONS,
            &self.dropped_replies,
        );
        push_with_reasons(
            &mut entries,
            "vp_budget_denied_total",
            &BUDGET_USES,
            &self.budget_denials,
        );
        push_with_reasons(&mut entries, "vp_answers_total", &ANSWER_KINDS, &self.answers);
        entries
    }
}

fn push_with_reasons<R: ToString>(
    entries: &mut Vec<(&'static str, String, u64)>,
    name: &'static str,
    reasons: &[R],
    counts: &[AtomicU64],
) {
    for (reason, count) in reasons.iter().zip(counts) {
        entries.push((name, reason.to_string(), count.load(Relaxed)));
    }
}
