//! Sending the attempts of a scatter: what is due, what the budget covers, which replica, and a second pin.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use vanillapick_model::answer::MissingReason;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::snapshot::ShardIndex;

use crate::attempt::AttemptOrder;
use crate::attempt::AttemptPurpose;
use crate::attempt::RetryReason;
use crate::attempt::SessionAction;
use crate::counters::BudgetUse;
use crate::crash_probe::CrashProbe;
use crate::pick::PickFailure;
use crate::pick::PickRule;
use crate::pick::ProbeRule;
use crate::pick::pick;
use crate::scatter::ShardScatter;
use crate::scatter::count;
use crate::serving_view::PoolView;
use crate::shard_progress::BUSY_DELAY;
use crate::shard_progress::PendingSend;
use crate::shard_progress::RETRY_DELAY;
use crate::shard_progress::ShardProgress;

/// What became of an attempt that was due.
enum SendResult {
    Done,
    /// The request was pinned anew and all its shards are due again.
    Repinned,
}

impl ShardScatter {
    /// Sends all attempts that are due.
    pub fn pump(&mut self, now: Duration, rng: &mut ChaCha8Rng, actions: &mut Vec<SessionAction>) {
        if self.answer_by() <= now {
            return;
        }
        while let SendResult::Repinned = self.pump_once(now, rng, actions) {}
    }

    fn pump_once(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<SessionAction>,
    ) -> SendResult {
        let pool = self.plan.pool.clone();
        for shard in 0..count(self.shards.len()) {
            let pending = self.shards[shard as usize].pending;
            if pending.is_none_or(|pending| now < pending.not_before) {
                continue;
            }
            if self.shards[shard as usize].lost_at.is_some() {
                self.decide_loss_retry(shard, now);
                if self.shards[shard as usize].lost_at.is_some() {
                    continue;
                }
            }
            let Some(pending) = self.shards[shard as usize].pending else { continue };
            if now < pending.not_before {
                continue;
            }
            let result = self.send_pending(&pool, shard, pending, now, rng, actions);
            if let SendResult::Repinned = result {
                return result;
            }
        }
        SendResult::Done
    }

    fn send_pending(
        &mut self,
        pool: &PoolView,
        shard: ShardIndex,
        pending: PendingSend,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<SessionAction>,
    ) -> SendResult {
        if !pending.cost.pay(&self.host, now) {
            self.wait(shard, pending, RETRY_DELAY, now);
            return SendResult::Done;
        }
        let tried = match pending.purpose {
            AttemptPurpose::Retry(_) if !pending.again => self.tried(shard),
            _ => Vec::new(),
        };
        let probe = ProbeRule::First;
        let failure = match self.send(pool, shard, pending.purpose, &tried, probe, now, rng) {
            Ok(action) => {
                actions.push(action);
                let progress = &mut self.shards[shard as usize];
                progress.sent_at = now;
                progress.pending = None;
                return SendResult::Done;
            }
            Err(failure) => failure,
        };
        pending.cost.give_back(&self.host);
        if self.lacks_snapshot(shard, failure) && self.try_repin(now, actions) {
            return SendResult::Repinned;
        }
        self.fail_pick(shard, pending, failure, now);
        SendResult::Done
    }

    fn wait(&mut self, shard: ShardIndex, pending: PendingSend, delay: Duration, now: Duration) {
        let later = PendingSend { not_before: now + delay, ..pending };
        self.shards[shard as usize].pending = Some(later);
    }

    /// Whether the present snapshot is the reason that no replica was picked. Replicas that have refused for it are not
    /// among those picked from, so the shard's own failure counts as well.
    fn lacks_snapshot(&self, shard: ShardIndex, failure: PickFailure) -> bool {
        let refused = self.shards[shard as usize].failure == Some(MissingReason::SnapshotMissing);
        failure == PickFailure::SnapshotMissing || (failure == PickFailure::NoReplica && refused)
    }

    fn fail_pick(
        &mut self,
        shard: ShardIndex,
        pending: PendingSend,
        failure: PickFailure,
        now: Duration,
    ) {
        let waits = self.plan.contract.preference == AnswerPreference::Coverage;
        let progress = &self.shards[shard as usize];
        match failure {
            PickFailure::Busy => return self.wait(shard, pending, BUSY_DELAY, now),
            PickFailure::Lost | PickFailure::NoShare if waits => {
                let reason = progress.failure.unwrap_or(missing_reason(failure));
                self.shards[shard as usize].failure = Some(reason);
                return self.wait(shard, pending, RETRY_DELAY, now);
            }
            _ if waits && 0 < progress.sends && !pending.again => {
                let again = PendingSend { again: true, ..pending };
                return self.wait(shard, again, RETRY_DELAY, now);
            }
            _ => {}
        }
        let reason = progress.failure.unwrap_or(missing_reason(failure));
        self.give_up(shard, reason, now);
    }

    /// Replicas of a shard that have been called at the present pin.
    pub(crate) fn tried(&self, shard: ShardIndex) -> Vec<usize> {
        self.log.tried(self.place.base + shard, self.first_number)
    }

    #[expect(clippy::too_many_arguments, reason = "each one is a part of the order")]
    pub(crate) fn send(
        &mut self,
        pool: &PoolView,
        shard: ShardIndex,
        purpose: AttemptPurpose,
        tried: &[usize],
        probe: ProbeRule,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Result<SessionAction, PickFailure> {
        let pin = self.pin();
        let number = self.place.base + shard;
        let view = pool.shard(pin.shard_map, number).ok_or(PickFailure::NoReplica)?;
        let baseline = self.host.profile.baseline;
        let rule = PickRule {
            kind: self.kind(),
            class: self.plan.contract.class,
            pin,
            tried,
            probe,
            baseline,
        };
        let replica = pick(view, &rule, now, self.host.wall_time(now), rng)?;
        let order = AttemptOrder {
            number: self.log.next_number(),
            kind: self.kind(),
            target: view.replicas[replica].entry.id.clone(),
            shard: number,
            pin,
            deadline: self.plan.answer_by,
            purpose,
        };
        let progress = &mut self.shards[shard as usize];
        progress.running += 1;
        progress.sends += 1;
        Ok(self.log.add(&self.host, order, replica, &view.replicas[replica], now))
    }

    /// Pins the request anew, once, while at least half of its time is left and another snapshot serves it better.
    /// All replies so far are given up, so that the answer comes from one snapshot.
    fn try_repin(&mut self, now: Duration, actions: &mut Vec<SessionAction>) -> bool {
        let spent = now.saturating_sub(self.started);
        let left = self.plan.answer_by.saturating_sub(now);
        if self.repinned || left < spent {
            return false;
        }
        // A newer view may hold a shard map that came after the request.
        let newest = self.host.view().pool(&self.plan.pool.name).cloned();
        let pool = newest.unwrap_or_else(|| self.plan.pool.clone());
        let Some(place) = self.scope.place(&pool, now) else { return false };
        let choice = place.choice;
        if choice.pin == self.pin() || choice.fraction() < self.plan.contract.least_coverage {
            return false;
        }
        if !self.host.profile.baseline && !self.host.budget.take_with_debt(choice.total) {
            self.host.counters.record_budget_denial(BudgetUse::Repin);
            return false;
        }
        self.log.cancel_all(now, actions);
        self.plan.pool = pool;
        self.place = place;
        self.repinned = true;
        self.first_number = self.log.next_number();
        self.merge.clear();
        let purpose = AttemptPurpose::Retry(RetryReason::Repinned);
        self.open = choice.total as usize;
        self.shards = vec![ShardProgress::new(purpose, now); self.open];
        // A test that has not passed goes on at the new pin.
        let is_suspect = !self.may_hedge();
        self.start_crash_probe(if is_suspect {
            CrashProbe::Probing(0)
        } else {
            CrashProbe::Unrestricted
        });
        true
    }
}

/// Reason in the coverage report for a shard to which nothing was sent.
fn missing_reason(failure: PickFailure) -> MissingReason {
    match failure {
        PickFailure::SnapshotMissing => MissingReason::SnapshotMissing,
        PickFailure::Lost => MissingReason::Lost,
        PickFailure::NoReplica | PickFailure::NoShare | PickFailure::Busy => {
            MissingReason::NoReplica
        }
    }
}
