//! Limits the number of targets that one search or read can crash.

use std::time::Duration;

use vanillapick_model::answer::MissingReason;
use vanillapick_model::snapshot::ShardIndex;

use crate::attempt::AttemptPurpose;
use crate::attempt::AttemptSpec;
use crate::attempt::RetryReason;
use crate::crash::LossRetryDecision;
use crate::crash::RequestProgress;
use crate::scatter::ShardScatter;
use crate::scatter::count;
use crate::shard_progress::AttemptFailure;
use crate::shard_progress::PendingSend;
use crate::shard_progress::RetryCost;
use crate::shard_progress::ShardState;

/// Which shards a request may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum CrashProbe {
    /// All shards of the request.
    #[default]
    Unrestricted,
    /// Only this shard; the others wait until it has answered.
    Probing(ShardIndex),
}

impl ShardScatter {
    /// Sets which shards the request may use at its start, and holds back the attempts at the others.
    pub fn start_crash_probe(&mut self, probe: CrashProbe) {
        self.crash = probe;
        let CrashProbe::Probing(probed) = probe else { return };
        for shard in (0..count(self.shards.len())).filter(|shard| *shard != probed) {
            self.hold_pending_send(shard);
        }
    }

    /// Handles an attempt whose connection was lost. The decision on a retry considers all losses known to this host.
    pub(crate) fn handle_lost_attempt(&mut self, attempt: &AttemptSpec, now: Duration) {
        let shard = self.shard_index(attempt);
        if self.host.profile.baseline {
            return self.handle_failure(attempt, AttemptFailure::lost(), now);
        }
        self.lost += 1;
        self.host.crash_table().record_loss(self.fingerprint, &attempt.target, now);
        if 0 < self.shards[shard as usize].running {
            return self.handle_failure(attempt, AttemptFailure::lost(), now);
        }
        let progress = &mut self.shards[shard as usize];
        progress.failure = Some(MissingReason::Lost);
        progress.lost_target = Some(attempt.target.clone());
        self.decide_loss_retry(shard, now);
    }

    /// Decides whether a shard whose attempt was lost is retried.
    pub(crate) fn decide_loss_retry(&mut self, shard: ShardIndex, now: Duration) {
        let Some(target) = self.shards[shard as usize].lost_target.clone() else { return };
        let progress = self.progress();
        let decision =
            self.host.crash_table().may_retry_after_loss(self.fingerprint, progress, &target, now);
        match decision {
            LossRetryDecision::Retry => {
                self.shards[shard as usize].lost_target = None;
                self.schedule_loss_retry(shard, now);
            }
            LossRetryDecision::Wait { until } => self.schedule_loss_retry(shard, until),
            LossRetryDecision::ProbeOtherShard => self.probe_other_shard(shard, now),
            LossRetryDecision::Stop => self.give_up_idle_shards(now),
        }
    }

    /// Repeats the retry decision for all shards that wait for one, after any attempt of the request has ended.
    pub(crate) fn decide_loss_retries(&mut self, now: Duration) {
        if self.lost == 0 {
            return;
        }
        for shard in 0..count(self.shards.len()) {
            let progress = &self.shards[shard as usize];
            if progress.is_open() && progress.running == 0 {
                self.decide_loss_retry(shard, now);
            }
        }
    }

    /// Records a usable reply, which shows that the request does not crash targets, and releases the other shards.
    pub(crate) fn end_crash_probe(&mut self, now: Duration) {
        if !self.succeeded {
            self.succeeded = true;
            self.host.crash_table().record_success(self.fingerprint, now);
        }
        if self.crash != CrashProbe::Unrestricted {
            self.crash = CrashProbe::Unrestricted;
            for progress in &mut self.shards {
                if let Some(pending) = &mut progress.pending {
                    pending.not_before = pending.not_before.min(now);
                }
            }
        }
    }

    /// Whether hedges may be sent. Before the first success, they are allowed only without a probe and without a loss.
    pub(crate) fn may_hedge(&self) -> bool {
        self.succeeded || (self.crash == CrashProbe::Unrestricted && self.lost == 0)
    }

    /// State of the request's attempts, as input for decisions of the crash table.
    pub(crate) fn progress(&self) -> RequestProgress {
        let answered =
            self.shards.iter().filter(|shard| shard.state == ShardState::Answered).count();
        let running: u32 = self.shards.iter().map(|shard| shard.running).sum();
        RequestProgress {
            answered: count(answered),
            running,
            lost: self.lost,
            is_probe: self.crash != CrashProbe::Unrestricted && 1 < self.shards.len(),
        }
    }

    fn schedule_loss_retry(&mut self, shard: ShardIndex, not_before: Duration) {
        let purpose = AttemptPurpose::Retry(RetryReason::Lost);
        let pending = PendingSend::new(purpose, RetryCost::Token, not_before);
        self.shards[shard as usize].pending = Some(pending);
    }

    /// Moves the probe to another shard, so that the request cannot crash two replicas of one shard.
    fn probe_other_shard(&mut self, shard: ShardIndex, now: Duration) {
        self.shards[shard as usize].lost_target = None;
        self.schedule_loss_retry(shard, Duration::MAX);
        let unsent = |progress: &crate::shard_progress::ShardProgress| {
            progress.is_open() && progress.sent == 0 && progress.pending.is_some()
        };
        let Some(next) = self.shards.iter().position(unsent) else {
            return self.give_up_idle_shards(now);
        };
        self.crash = CrashProbe::Probing(count(next));
        if let Some(pending) = &mut self.shards[next].pending {
            pending.not_before = now;
        }
    }

    pub(crate) fn hold_pending_send(&mut self, shard: ShardIndex) {
        if let Some(pending) = &mut self.shards[shard as usize].pending {
            pending.not_before = Duration::MAX;
        }
    }

    /// Gives up all shards without a running attempt. Running attempts are not cancelled.
    fn give_up_idle_shards(&mut self, now: Duration) {
        for shard in 0..count(self.shards.len()) {
            let progress = &self.shards[shard as usize];
            if progress.is_open() && progress.running == 0 {
                self.give_up(shard, MissingReason::CrashingRequest, now);
            }
        }
    }
}
