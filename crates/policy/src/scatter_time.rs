//! Time-based behavior of a scatter: hedging, abandoning slow shards, and wake-up times.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use vanillapick_model::answer::MissingReason;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::snapshot::ShardIndex;

use crate::attempt::AttemptPurpose;
use crate::attempt::SessionAction;
use crate::counters::BudgetUse;
use crate::hedge::hedge_delay;
use crate::micros::scaled;
use crate::pick::ProbePolicy;
use crate::scatter::ShardScatter;
use crate::scatter::count;
use crate::shard_progress::RETRY_DELAY;
use crate::shard_progress::ShardProgress;
use crate::shard_progress::ShardState;

/// Multiple of the shard's high latency quantile after which a route that prefers latency abandons the shard. A hedge
/// sent at the quantile has then had seven times the quantile to complete. With a multiple of 4, stragglers that
/// alternate between targets cost one search in a thousand a shard.
const GIVE_UP_FACTOR: u32 = 8;

/// Fraction of the request's time used as the high latency quantile if no samples are available.
const UNKNOWN_LATENCY_SHARE: f64 = 0.33;

/// Maximum ratio of a shard's high latency quantile to that of its pool. Without this limit, a shard that has lost its
/// only fast replica would be hedged too late.
const MAX_POOL_RATIO: u32 = 2;

impl ShardScatter {
    /// Hedges all due shards, starting with those that have waited longest.
    pub fn hedge_due(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<SessionAction>,
    ) {
        let pool = self.plan.pool.clone();
        let mut due: Vec<_> = (0..count(self.shards.len()))
            .filter(|shard| self.hedge_at(*shard).is_some_and(|at| at <= now))
            .collect();
        due.sort_by_key(|shard| self.shards[*shard as usize].sent_at);
        if due.is_empty() {
            return;
        }
        let progress = self.progress();
        let may_hedge = self.host.crash_table().may_hedge(self.fingerprint, progress, now);
        for shard in due {
            let retry_at = now + RETRY_DELAY.max(self.high_quantile(shard) / 4);
            if !may_hedge {
                self.shards[shard as usize].hedge_not_before = retry_at;
                continue;
            }
            if !self.host.budget.try_take(now) {
                self.host.counters.record_budget_denial(BudgetUse::Hedge);
                self.shards[shard as usize].hedge_not_before = retry_at;
                continue;
            }
            let tried = self.tried(shard);
            let purpose = AttemptPurpose::Hedge;
            match self.send(&pool, shard, purpose, &tried, ProbePolicy::Never, now, rng) {
                Ok(action) => {
                    actions.push(action);
                    self.shards[shard as usize].hedged = true;
                    self.log.record_late(self.placement.first_shard + shard, now);
                }
                Err(_) => {
                    self.host.budget.refund();
                    self.shards[shard as usize].hedge_not_before = retry_at;
                }
            }
        }
    }

    /// Abandons shards that are much slower than usual if the route prefers latency and the other shards provide enough
    /// coverage.
    pub fn give_up_due(&mut self, now: Duration) {
        if !self.may_give_up() {
            return;
        }
        for shard in 0..count(self.shards.len()) {
            let progress = &self.shards[shard as usize];
            if progress.is_open() && self.give_up_at(shard) <= now {
                self.give_up_late(shard, MissingReason::GivenUp, now);
            }
        }
    }

    /// Abandons all shards that are not answered yet.
    pub fn give_up_all(&mut self, now: Duration) {
        for shard in 0..count(self.shards.len()) {
            let progress = &self.shards[shard as usize];
            if !progress.is_open() {
                continue;
            }
            let failure = progress.failure.filter(|_| progress.running == 0);
            self.give_up_late(shard, failure.unwrap_or(MissingReason::Deadline), now);
        }
    }

    /// Abandons a shard and records the age of its running attempt as a latency sample. If only replies were recorded,
    /// a shard that has become permanently slow would be abandoned on every request.
    fn give_up_late(&mut self, shard: ShardIndex, reason: MissingReason, now: Duration) {
        let progress = &self.shards[shard as usize];
        if 0 < progress.running {
            self.record_latency(shard, now.saturating_sub(progress.sent_at), now);
        }
        self.give_up(shard, reason, now);
    }

    /// Returns the time of the next due attempt, hedge or abandonment, or the time to answer.
    pub fn next_wake(&self) -> Duration {
        let may_give_up = self.may_give_up();
        let mut next = self.answer_by();
        for shard in 0..count(self.shards.len()) {
            let progress = &self.shards[shard as usize];
            if !progress.is_open() {
                continue;
            }
            if let Some(pending) = progress.pending {
                next = next.min(pending.not_before);
            }
            if let Some(at) = self.hedge_at(shard) {
                next = next.min(at);
            }
            if may_give_up {
                next = next.min(self.give_up_at(shard));
            }
        }
        next
    }

    fn may_give_up(&self) -> bool {
        let contract = &self.plan.contract;
        if contract.preference != AnswerPreference::Latency || self.host.profile.baseline {
            return false;
        }
        let is_answered = |shard: &&ShardProgress| shard.state == ShardState::Answered;
        let answered = self.shards.iter().filter(is_answered).count();
        let fraction = answered as f64 / self.shards.len().max(1) as f64;
        0 < answered && contract.least_coverage <= fraction
    }

    fn give_up_at(&self, shard: ShardIndex) -> Duration {
        self.shards[shard as usize].sent_at + self.high_quantile(shard) * GIVE_UP_FACTOR
    }

    fn hedge_at(&self, shard: ShardIndex) -> Option<Duration> {
        let progress = &self.shards[shard as usize];
        let waits = progress.is_open() && 0 < progress.running && progress.pending.is_none();
        let allowed = !self.host.profile.baseline && self.may_hedge();
        if !waits || !allowed || progress.hedged {
            return None;
        }
        let delay = hedge_delay(self.high_quantile(shard), self.open_shards, self.shards.len());
        Some((progress.sent_at + delay).max(progress.hedge_not_before))
    }

    fn high_quantile(&self, shard: ShardIndex) -> Duration {
        let view = self.plan.pool.shard(self.pin().shard_map, self.placement.first_shard + shard);
        let own = view.and_then(|view| view.windows.get(self.kind()).high_quantile());
        let usual = self.plan.pool.windows.get(self.kind()).high_quantile();
        match (own, usual) {
            (Some(own), Some(usual)) => own.min(usual * MAX_POOL_RATIO),
            (Some(high), None) | (None, Some(high)) => high,
            (None, None) => {
                scaled(self.answer_by().saturating_sub(self.started), UNKNOWN_LATENCY_SHARE)
            }
        }
    }
}
