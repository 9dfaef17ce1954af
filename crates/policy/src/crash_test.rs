//! Keeps a request that may crash targets from risking more of them, within one search or read.

use std::time::Duration;

use vanillapick_model::answer::MissingReason;
use vanillapick_model::snapshot::ShardIndex;

use crate::attempt::AttemptPurpose;
use crate::attempt::AttemptSpec;
use crate::attempt::RetryReason;
use crate::crash::RequestProgress;
use crate::crash::RetryVerdict;
use crate::scatter::ShardScatter;
use crate::scatter::count;
use crate::shard_progress::AttemptFailure;
use crate::shard_progress::PendingSend;
use crate::shard_progress::RetryCost;
use crate::shard_progress::ShardState;

/// How a request started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum CrashTest {
    /// On all its shards.
    #[default]
    Clear,
    /// On this shard alone; the others wait until it has answered.
    Probing(ShardIndex),
}

impl ShardScatter {
    /// Sets how the request starts. A request that is probed sends to the probed shard alone.
    pub fn begin_crash_test(&mut self, test: CrashTest) {
        self.crash = test;
        let CrashTest::Probing(probed) = test else { return };
        for shard in (0..count(self.shards.len())).filter(|shard| *shard != probed) {
            self.hold(shard);
        }
    }

    /// Takes the loss of an attempt's connection. Whether the shard is tried again is decided over all losses that this
    /// host knows of.
    pub(crate) fn fail_lost(&mut self, order: &AttemptSpec, now: Duration) {
        let shard = self.shard_index(order);
        if self.host.profile.baseline {
            return self.handle_failure(order, AttemptFailure::lost(), now);
        }
        self.lost += 1;
        self.host.crash().note_loss(self.fingerprint, &order.target, now);
        if 0 < self.shards[shard as usize].running {
            return self.handle_failure(order, AttemptFailure::lost(), now);
        }
        let progress = &mut self.shards[shard as usize];
        progress.failure = Some(MissingReason::Lost);
        progress.lost_target = Some(order.target.clone());
        self.judge_loss(shard, now);
    }

    /// Decides whether a shard whose attempt was lost is tried again.
    pub(crate) fn judge_loss(&mut self, shard: ShardIndex, now: Duration) {
        let Some(target) = self.shards[shard as usize].lost_target.clone() else { return };
        let progress = self.progress();
        let verdict =
            self.host.crash().may_retry_after_loss(self.fingerprint, progress, &target, now);
        match verdict {
            RetryVerdict::Retry => {
                self.shards[shard as usize].lost_target = None;
                self.schedule_lost(shard, now);
            }
            RetryVerdict::Wait { until } => self.schedule_lost(shard, until),
            RetryVerdict::ProbeOtherShard => self.probe_another(shard, now),
            RetryVerdict::Stop => self.stop_crashing(now),
        }
    }

    /// Decides anew on all shards that wait for a verdict, because an attempt has ended.
    pub(crate) fn judge_losses(&mut self, now: Duration) {
        if self.lost == 0 {
            return;
        }
        for shard in 0..count(self.shards.len()) {
            let progress = &self.shards[shard as usize];
            if progress.is_open() && progress.running == 0 {
                self.judge_loss(shard, now);
            }
        }
    }

    /// Takes a usable reply: the request does not crash targets.
    pub(crate) fn pass_crash_test(&mut self, now: Duration) {
        if !self.succeeded {
            self.succeeded = true;
            self.host.crash().note_success(self.fingerprint, now);
        }
        if self.crash != CrashTest::Clear {
            self.crash = CrashTest::Clear;
            for progress in &mut self.shards {
                if let Some(pending) = &mut progress.pending {
                    pending.not_before = pending.not_before.min(now);
                }
            }
        }
    }

    /// Whether hedges may be sent while no attempt has answered.
    pub(crate) fn may_hedge(&self) -> bool {
        self.succeeded || (self.crash == CrashTest::Clear && self.lost == 0)
    }

    /// What the crash table is told of the request.
    pub(crate) fn progress(&self) -> RequestProgress {
        let answered =
            self.shards.iter().filter(|shard| shard.state == ShardState::Answered).count();
        let running: u32 = self.shards.iter().map(|shard| shard.running).sum();
        RequestProgress {
            answered: count(answered),
            running,
            lost: self.lost,
            is_probe: self.crash != CrashTest::Clear && 1 < self.shards.len(),
        }
    }

    fn schedule_lost(&mut self, shard: ShardIndex, not_before: Duration) {
        let purpose = AttemptPurpose::Retry(RetryReason::Lost);
        let pending = PendingSend::new(purpose, RetryCost::Token, not_before);
        self.shards[shard as usize].pending = Some(pending);
    }

    /// Moves the probe to another shard, so that no shard loses two replicas to the request.
    fn probe_another(&mut self, shard: ShardIndex, now: Duration) {
        self.shards[shard as usize].lost_target = None;
        self.schedule_lost(shard, Duration::MAX);
        let fresh = |progress: &crate::shard_progress::ShardProgress| {
            progress.is_open() && progress.sent == 0 && progress.pending.is_some()
        };
        let Some(next) = self.shards.iter().position(fresh) else {
            return self.stop_crashing(now);
        };
        self.crash = CrashTest::Probing(count(next));
        if let Some(pending) = &mut self.shards[next].pending {
            pending.not_before = now;
        }
    }

    pub(crate) fn hold(&mut self, shard: ShardIndex) {
        if let Some(pending) = &mut self.shards[shard as usize].pending {
            pending.not_before = Duration::MAX;
        }
    }

    /// Gives up all shards that no attempt runs for. Attempts that run already are left to end.
    fn stop_crashing(&mut self, now: Duration) {
        for shard in 0..count(self.shards.len()) {
            let progress = &self.shards[shard as usize];
            if progress.is_open() && progress.running == 0 {
                self.give_up(shard, MissingReason::CrashingRequest, now);
            }
        }
    }
}
