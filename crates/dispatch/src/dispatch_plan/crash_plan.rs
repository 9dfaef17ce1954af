//! The part of a plan that concerns requests which may crash the targets that run them: held attempts and trials.

use std::time::Duration;

use rand::Rng;

use super::DispatchPlan;
use crate::attempt::SendCause;
use crate::attempt::SendCommand;
use crate::config_document::PoolId;

/// Attempt of a shard that waits until any shard of the request has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HeldAttempt {
    /// The first attempt, in a trial at another shard.
    First,
    /// A second attempt after a loss.
    Repeat,
}

impl DispatchPlan {
    /// Has the request run at one target of `shard` alone, and at other shards only once that has answered.
    pub fn set_trial(&mut self, shard: usize) {
        self.trial_shard = Some(shard);
    }

    /// Whether second attempts after losses wait until any shard has answered, because the request is suspected to crash its
    /// targets.
    pub fn set_repeats_held(&mut self, are_held: bool) {
        self.are_repeats_held = are_held;
    }

    /// First shard whose pool satisfies `is_wanted`, or else the first one.
    pub fn find_shard(&self, is_wanted: impl Fn(&PoolId) -> bool) -> usize {
        let pools = self.shards.iter().map(|shard| shard.pool.as_ref());
        let mut pools = pools.map(|pool| pool.is_some_and(|pool| is_wanted(&pool.contract.id)));
        pools.position(|is_wanted| is_wanted).unwrap_or(0)
    }

    /// Whether the request runs at one target, without an answer so far.
    pub(super) fn is_in_trial(&self) -> bool {
        self.trial_shard.is_some() && self.answered_count() == 0
    }

    /// Whether a second attempt after a loss has to wait.
    pub(super) fn is_repeat_held(&self) -> bool {
        self.are_repeats_held && self.answered_count() == 0
    }

    /// Leaves only the shard of the trial among the shards to send, and holds the others.
    pub(super) fn hold_for_trial(&mut self, shards: Vec<usize>) -> Vec<usize> {
        let Some(trial_shard) = self.trial_shard else { return shards };
        let (sent, held): (Vec<usize>, Vec<usize>) =
            shards.into_iter().partition(|shard| *shard == trial_shard);
        held.into_iter().for_each(|shard| self.shards[shard].held = Some(HeldAttempt::First));
        sent
    }

    /// Has held attempts sent by the next [`DispatchPlan::on_wake`], because an answer shows that the request does not crash all of
    /// its targets.
    pub(super) fn release_held(&mut self) {
        for shard in self.shards.iter_mut().filter(|shard| shard.held.is_some()) {
            shard.wake = Some(Duration::ZERO);
        }
    }

    /// Sends a held attempt that was released.
    pub(super) fn send_held(
        &mut self,
        shard: usize,
        held: HeldAttempt,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<SendCommand> {
        match held {
            HeldAttempt::First => self.send_first(&[shard], now, rng),
            HeldAttempt::Repeat => {
                self.retry(shard, SendCause::Failure, now, rng).into_iter().collect()
            }
        }
    }

    /// Gives up held attempts, because no answer is to be expected.
    pub(super) fn drop_held(&mut self) {
        self.shards.iter_mut().for_each(|shard| shard.held = None);
    }

    /// Decides about held attempts once no attempt is in flight and none was answered: one of them is sent to tell an outage
    /// from a request that crashes its targets. If it fails too, the others are given up.
    pub(super) fn settle_held(&mut self, now: Duration, rng: &mut impl Rng) -> Option<SendCommand> {
        let is_waiting = self.shards.iter().any(|shard| {
            shard.in_flight > 0 || shard.wake.is_some() || shard.is_waiting_for_group()
        });
        if is_waiting || 0 < self.answered_count() {
            return None;
        }
        let held = self.shards.iter().position(|shard| shard.held == Some(HeldAttempt::Repeat));
        if let Some(shard) = held.filter(|_| !self.has_sent_probe && self.trial_shard.is_none()) {
            self.has_sent_probe = true;
            self.shards[shard].held = None;
            let command = self.retry(shard, SendCause::Failure, now, rng);
            if command.is_some() {
                return command;
            }
        }
        self.drop_held();
        None
    }
}
