//! What a scatter does as time passes: hedge, give up, and say when it is due again.

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
use crate::pick::ProbeRule;
use crate::scatter::ShardScatter;
use crate::scatter::count;
use crate::shard_progress::RETRY_DELAY;
use crate::shard_progress::ShardProgress;
use crate::shard_progress::ShardState;

/// Multiple of the shard's high quantile after which a route that prefers latency gives the shard up. A hedge sent at
/// the quantile has then had seven times as long. At a multiple of 4, stragglers that take turns cost one search in a
/// thousand a shard.
const GIVE_UP_FACTOR: u32 = 8;

/// Share of the request's time after which an attempt is hedged while the shard's latency is unknown.
const UNKNOWN_SHARE: f64 = 0.33;

/// Multiple of the pool's high quantile above which a shard's own quantile is not used. A shard whose only fast
/// replica is gone would otherwise be hedged too late.
const POOL_FACTOR: u32 = 2;

impl ShardScatter {
    /// Hedges the shards that are due, those that wait longest first.
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
            let again_at = now + RETRY_DELAY.max(self.high(shard) / 4);
            if !may_hedge {
                self.shards[shard as usize].hedge_not_before = again_at;
                continue;
            }
            if !self.host.budget.try_take(now) {
                self.host.counters.record_budget_denial(BudgetUse::Hedge);
                self.shards[shard as usize].hedge_not_before = again_at;
                continue;
            }
            let tried = self.tried(shard);
            let purpose = AttemptPurpose::Hedge;
            match self.send(&pool, shard, purpose, &tried, ProbeRule::Never, now, rng) {
                Ok(action) => {
                    actions.push(action);
                    self.shards[shard as usize].hedged = true;
                    self.log.note_late(self.place.base + shard, now);
                }
                Err(_) => {
                    self.host.budget.refund();
                    self.shards[shard as usize].hedge_not_before = again_at;
                }
            }
        }
    }

    /// Gives up the shards that are far slower than usual, when the route prefers latency and the rest suffices.
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

    /// Gives up all open shards.
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

    /// Gives up a shard whose attempt still runs. Its age enters the latency window: if only replies did, a shard
    /// that has become slow for good would be given up on every request.
    fn give_up_late(&mut self, shard: ShardIndex, reason: MissingReason, now: Duration) {
        let progress = &self.shards[shard as usize];
        if 0 < progress.running {
            self.note_latency(shard, now.saturating_sub(progress.sent_at), now);
        }
        self.give_up(shard, reason, now);
    }

    /// Decision time at which something is due.
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
        self.shards[shard as usize].sent_at + self.high(shard) * GIVE_UP_FACTOR
    }

    fn hedge_at(&self, shard: ShardIndex) -> Option<Duration> {
        let progress = &self.shards[shard as usize];
        let waits = progress.is_open() && 0 < progress.running && progress.pending.is_none();
        let allowed = !self.host.profile.baseline && self.may_hedge();
        if !waits || !allowed || progress.hedged {
            return None;
        }
        let delay = hedge_delay(self.high(shard), self.open, self.shards.len());
        Some((progress.sent_at + delay).max(progress.hedge_not_before))
    }

    fn high(&self, shard: ShardIndex) -> Duration {
        let view = self.plan.pool.shard(self.pin().shard_map, self.place.base + shard);
        let own = view.and_then(|view| view.windows.get(self.kind()).high_quantile());
        let usual = self.plan.pool.windows.get(self.kind()).high_quantile();
        match (own, usual) {
            (Some(own), Some(usual)) => own.min(usual * POOL_FACTOR),
            (Some(high), None) | (None, Some(high)) => high,
            (None, None) => scaled(self.answer_by().saturating_sub(self.started), UNKNOWN_SHARE),
        }
    }
}
