//! Counters of sessions: one entry for each reason of a refusal, a retry, a dropped reply and a denied budget.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use derive_more::Display;
use vanillapick_model::answer::RefusalCode;

use crate::attempt::RetryReason;

/// Why a reply does not count.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// The reply names another request.
    WrongRequest,
    /// The reply names another attempt.
    WrongAttempt,
    /// The reply names another shard.
    WrongShard,
    /// The reply is cut by another shard map.
    WrongShardMap,
    /// The reply was computed from another snapshot.
    WrongSnapshot,
    /// The body is not a list of hits.
    BadBody,
    /// The attempt is unknown or has ended before.
    Duplicate,
    /// Another attempt has answered for the shard.
    HedgeLost,
    /// The search has been pinned to another snapshot since.
    OldPin,
    /// The caller has been answered.
    AfterFinish,
}

/// What a denied budget was asked for.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum BudgetUse {
    /// A hedge.
    Hedge,
    /// A retry.
    Retry,
    /// A second pin of a search.
    Repin,
}

/// How much of the data an answer covers.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum AnswerKind {
    /// All shards; also every reply to a read or a write.
    Full,
    /// Not all shards.
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

/// Counters of all sessions of one host since the start of the process.
#[derive(Debug, Default)]
pub struct SessionCounters {
    attempts: AtomicU64,
    firsts: AtomicU64,
    hedges: AtomicU64,
    refusals: [AtomicU64; REFUSAL_CODES.len()],
    retries: [AtomicU64; RETRY_REASONS.len()],
    drops: [AtomicU64; DROP_REASONS.len()],
    denied: [AtomicU64; BUDGET_USES.len()],
    answers: [AtomicU64; ANSWER_KINDS.len()],
}

impl SessionCounters {
    /// Counts a first attempt.
    pub fn record_first_attempt(&self) {
        self.attempts.fetch_add(1, Relaxed);
        self.firsts.fetch_add(1, Relaxed);
    }

    /// Counts a hedge.
    pub fn record_hedge(&self) {
        self.attempts.fetch_add(1, Relaxed);
        self.hedges.fetch_add(1, Relaxed);
    }

    /// Counts a retry.
    pub fn record_retry(&self, reason: RetryReason) {
        self.attempts.fetch_add(1, Relaxed);
        self.retries[reason as usize].fetch_add(1, Relaxed);
    }

    /// Counts a refusal; also for refusals that the server decides by itself.
    pub fn record_refusal(&self, code: RefusalCode) {
        self.refusals[code as usize].fetch_add(1, Relaxed);
    }

    /// Counts a dropped reply.
    pub fn record_dropped_reply(&self, reason: DropReason) {
        self.drops[reason as usize].fetch_add(1, Relaxed);
    }

    /// Counts an extra attempt that the budget did not cover.
    pub fn record_budget_denial(&self, purpose: BudgetUse) {
        self.denied[purpose as usize].fetch_add(1, Relaxed);
    }

    /// Counts an answer.
    pub fn record_answer(&self, kind: AnswerKind) {
        self.answers[kind as usize].fetch_add(1, Relaxed);
    }

    /// First attempts so far.
    pub fn first_attempts(&self) -> u64 {
        self.firsts.load(Relaxed)
    }

    /// Hedges and retries so far.
    pub fn extra_attempts(&self) -> u64 {
        self.attempts.load(Relaxed).saturating_sub(self.first_attempts())
    }

    /// Dropped replies for one reason.
    pub fn dropped_replies(&self, reason: DropReason) -> u64 {
        self.drops[reason as usize].load(Relaxed)
    }

    /// All counters as (metric name, reason, value); the reason is empty where the metric has none.
    pub fn entries(&self) -> Vec<(&'static str, String, u64)> {
        let mut entries = vec![
            ("vp_attempts_total", String::new(), self.attempts.load(Relaxed)),
            ("vp_first_attempts_total", String::new(), self.firsts.load(Relaxed)),
            ("vp_hedges_total", String::new(), self.hedges.load(Relaxed)),
        ];
        push(&mut entries, "vp_refusals_total", &REFUSAL_CODES, &self.refusals);
        push(&mut entries, "vp_retries_total", &RETRY_REASONS, &self.retries);
        push(&mut entries, "vp_dropped_replies_total", &DROP_REASONS, &self.drops);
        push(&mut entries, "vp_budget_denied_total", &BUDGET_USES, &self.denied);
        push(&mut entries, "vp_answers_total", &ANSWER_KINDS, &self.answers);
        entries
    }
}

fn push<R: ToString>(
    entries: &mut Vec<(&'static str, String, u64)>,
    name: &'static str,
    reasons: &[R],
    counts: &[AtomicU64],
) {
    for (reason, count) in reasons.iter().zip(counts) {
        entries.push((name, reason.to_string(), count.load(Relaxed)));
    }
}
