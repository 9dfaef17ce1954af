//! Sending of due attempts: budget checks, replica selection and a change of the snapshot.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use vanillapick_model::answer::MissingReason;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::snapshot::ShardIndex;

use crate::attempt::AttemptPurpose;
use crate::attempt::AttemptSpec;
use crate::attempt::RetryReason;
use crate::attempt::SessionAction;
use crate::counters::BudgetUse;
use crate::crash_probe::CrashProbe;
use crate::pick::PickCriteria;
use crate::pick::PickFailure;
use crate::pick::ProbePolicy;
use crate::pick::pick_replica;
use crate::scatter::ShardScatter;
use crate::scatter::count;
use crate::serving_view::PoolView;
use crate::shard_progress::BUSY_DELAY;
use crate::shard_progress::PendingSend;
use crate::shard_progress::RETRY_DELAY;
use crate::shard_progress::ShardProgress;

/// Result of handling a due attempt.
enum SendResult {
    Done,
    /// The request was pinned to another snapshot, and all its shards are due again.
    Repinned,
}

impl ShardScatter {
    /// Sends all attempts that are due.
    pub fn send_due(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<SessionAction>,
    ) {
        if self.answer_by() <= now {
            return;
        }
        while let SendResult::Repinned = self.send_due_once(now, rng, actions) {}
    }

    fn send_due_once(
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
            if self.shards[shard as usize].lost_target.is_some() {
                self.decide_loss_retry(shard, now);
                if self.shards[shard as usize].lost_target.is_some() {
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
        if !pending.cost.charge(&self.host, now) {
            self.postpone(shard, pending, RETRY_DELAY, now);
            return SendResult::Done;
        }
        let tried = match pending.purpose {
            AttemptPurpose::Retry(_) if !pending.allow_tried => self.tried(shard),
            _ => Vec::new(),
        };
        let probe = ProbePolicy::First;
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
        pending.cost.refund(&self.host);
        if self.lacks_snapshot(shard, failure) && self.try_repin(now, actions) {
            return SendResult::Repinned;
        }
        self.handle_pick_failure(shard, pending, failure, now);
        SendResult::Done
    }

    fn postpone(
        &mut self,
        shard: ShardIndex,
        pending: PendingSend,
        delay: Duration,
        now: Duration,
    ) {
        let later = PendingSend { not_before: now + delay, ..pending };
        self.shards[shard as usize].pending = Some(later);
    }

    /// Returns whether no replica was picked because of the current snapshot. Replicas that refused because of it are
    /// excluded from selection, so the shard's previous failure is considered as well.
    fn lacks_snapshot(&self, shard: ShardIndex, failure: PickFailure) -> bool {
        let refused = self.shards[shard as usize].failure == Some(MissingReason::SnapshotMissing);
        failure == PickFailure::SnapshotMissing || (failure == PickFailure::NoReplica && refused)
    }

    fn handle_pick_failure(
        &mut self,
        shard: ShardIndex,
        pending: PendingSend,
        failure: PickFailure,
        now: Duration,
    ) {
        let waits = self.plan.contract.preference == AnswerPreference::Coverage;
        let progress = &self.shards[shard as usize];
        match failure {
            PickFailure::Busy => return self.postpone(shard, pending, BUSY_DELAY, now),
            PickFailure::Lost | PickFailure::NoShare if waits => {
                let reason = progress.failure.unwrap_or(missing_reason(failure));
                self.shards[shard as usize].failure = Some(reason);
                return self.postpone(shard, pending, RETRY_DELAY, now);
            }
            _ if waits && 0 < progress.sent && !pending.allow_tried => {
                let retry = PendingSend { allow_tried: true, ..pending };
                return self.postpone(shard, retry, RETRY_DELAY, now);
            }
            _ => {}
        }
        let reason = progress.failure.unwrap_or(missing_reason(failure));
        self.give_up(shard, reason, now);
    }

    /// Returns the replicas of a shard that were already called at the current pin.
    pub(crate) fn tried(&self, shard: ShardIndex) -> Vec<usize> {
        self.log.tried(self.placement.first_shard + shard, self.first_attempt)
    }

    #[expect(clippy::too_many_arguments, reason = "each one is a part of the attempt")]
    pub(crate) fn send(
        &mut self,
        pool: &PoolView,
        shard: ShardIndex,
        purpose: AttemptPurpose,
        tried: &[usize],
        probe: ProbePolicy,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Result<SessionAction, PickFailure> {
        let pin = self.pin();
        let number = self.placement.first_shard + shard;
        let view = pool.shard(pin.shard_map, number).ok_or(PickFailure::NoReplica)?;
        let baseline = self.host.profile.baseline;
        let criteria = PickCriteria {
            kind: self.kind(),
            class: self.plan.contract.class,
            pin,
            tried,
            probe,
            baseline,
        };
        let replica = pick_replica(view, &criteria, now, self.host.wall_time(now), rng)?;
        let attempt = AttemptSpec {
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
        progress.sent += 1;
        Ok(self.log.add(&self.host, attempt, replica, &view.replicas[replica], now))
    }

    /// Pins the request to a different snapshot with sufficient coverage, at most once and only while at least half of
    /// its time is left. All previous replies are discarded, so that the answer is computed from a single snapshot.
    fn try_repin(&mut self, now: Duration, actions: &mut Vec<SessionAction>) -> bool {
        let spent = now.saturating_sub(self.started);
        let left = self.plan.answer_by.saturating_sub(now);
        if self.repinned || left < spent {
            return false;
        }
        // The latest view may contain a shard map that was added after the request started.
        let newest = self.host.view().pool(&self.plan.pool.name).cloned();
        let pool = newest.unwrap_or_else(|| self.plan.pool.clone());
        let Some(placement) = self.scope.choose_placement(&pool, now) else { return false };
        let choice = placement.choice;
        if choice.pin == self.pin() || choice.fraction() < self.plan.contract.least_coverage {
            return false;
        }
        if !self.host.profile.baseline && !self.host.budget.take_with_debt(choice.total) {
            self.host.counters.record_budget_denial(BudgetUse::Repin);
            return false;
        }
        self.log.cancel_all(now, actions);
        self.plan.pool = pool;
        self.placement = placement;
        self.repinned = true;
        self.first_attempt = self.log.next_number();
        self.merge.clear();
        let purpose = AttemptPurpose::Retry(RetryReason::Repinned);
        self.open_shards = choice.total as usize;
        self.shards = vec![ShardProgress::new(purpose, now); self.open_shards];
        // A crash test that has not passed continues at the new pin.
        let is_suspect = !self.may_hedge();
        self.start_crash_probe(if is_suspect {
            CrashProbe::Probing(0)
        } else {
            CrashProbe::Unrestricted
        });
        true
    }
}

/// Returns the reason to report for a shard if no replica could be picked.
fn missing_reason(failure: PickFailure) -> MissingReason {
    match failure {
        PickFailure::SnapshotMissing => MissingReason::SnapshotMissing,
        PickFailure::Lost => MissingReason::Lost,
        PickFailure::NoReplica | PickFailure::NoShare | PickFailure::Busy => {
            MissingReason::NoReplica
        }
    }
}
