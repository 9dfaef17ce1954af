//! Shard state of a search or read, and handling of attempt results. Sending is in `scatter_send`; timeouts and hedging
//! are in `scatter_time`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use vanillapick_model::answer::MissingReason;
use vanillapick_model::answer::RunOutcome;
use vanillapick_model::answer::SearchHit;
use vanillapick_model::call::RequestId;
use vanillapick_model::contract::AnswerPreference;
use vanillapick_model::contract::RouteContract;
use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::SnapshotPin;

use crate::attempt::AttemptEvent;
use crate::attempt::AttemptPurpose;
use crate::attempt::AttemptResult;
use crate::attempt::AttemptSpec;
use crate::attempt::SessionAction;
use crate::attempt_log::AttemptLog;
use crate::counters::DropReason;
use crate::crash_probe::CrashProbe;
use crate::gather::HitMerge;
use crate::gather::check_tag;
use crate::host_state::HostState;
use crate::request_plan::RequestPlan;
use crate::scatter_scope::ScatterPlacement;
use crate::scatter_scope::ScatterScope;
use crate::shard_progress::AttemptFailure;
use crate::shard_progress::BASELINE_ATTEMPTS;
use crate::shard_progress::MAX_ATTEMPTS;
use crate::shard_progress::PendingSend;
use crate::shard_progress::RETRY_DELAY;
use crate::shard_progress::RetryCost;
use crate::shard_progress::ShardProgress;
use crate::shard_progress::ShardState;

/// Shards of a request and their attempts. Shard indexes are relative to [`ScatterPlacement::first_shard`].
#[derive(Debug)]
pub(crate) struct ShardScatter {
    pub(crate) host: Arc<HostState>,
    pub(crate) plan: RequestPlan,
    pub(crate) scope: ScatterScope,
    pub(crate) placement: ScatterPlacement,
    request_id: RequestId,
    /// Number of the first attempt at the current pin.
    pub(crate) first_attempt: u32,
    pub(crate) repinned: bool,
    pub(crate) shards: Vec<ShardProgress>,
    /// Number of shards that are neither answered nor abandoned.
    pub(crate) open_shards: usize,
    pub(crate) log: AttemptLog,
    pub(crate) merge: HitMerge,
    /// Accepted reply to a read.
    reply: Option<Bytes>,
    pub(crate) crash: CrashProbe,
    pub(crate) fingerprint: RequestFingerprint,
    /// Number of attempts whose connection was lost.
    pub(crate) lost: u32,
    /// Whether any attempt has returned a usable reply, at any pin.
    pub(crate) succeeded: bool,
    /// Whether any attempt may have been executed by a target.
    may_have_run: bool,
    pub(crate) started: Duration,
}

impl ShardScatter {
    /// Creates the shards of a request at `placement`, with first attempts due at `now`.
    pub fn new(
        host: Arc<HostState>,
        plan: RequestPlan,
        (request_id, fingerprint): (RequestId, RequestFingerprint),
        scope: ScatterScope,
        placement: ScatterPlacement,
        purpose: AttemptPurpose,
        now: Duration,
    ) -> Self {
        let total = placement.choice.total as usize;
        Self {
            host,
            plan,
            scope,
            placement,
            request_id,
            first_attempt: 0,
            repinned: false,
            shards: vec![ShardProgress::new(purpose, now); total],
            open_shards: total,
            log: AttemptLog::with_capacity(total + total / 8),
            merge: HitMerge::default(),
            reply: None,
            crash: CrashProbe::default(),
            fingerprint,
            lost: 0,
            succeeded: false,
            may_have_run: false,
            started: now,
        }
    }

    /// Returns the latest time at which the caller is answered.
    pub fn answer_by(&self) -> Duration {
        self.plan.answer_by
    }

    pub fn contract(&self) -> &RouteContract {
        &self.plan.contract
    }

    /// Returns the current shard map and snapshot.
    pub fn pin(&self) -> SnapshotPin {
        self.placement.choice.pin
    }

    /// Returns whether the request is a search or a read.
    pub fn kind(&self) -> RouteKind {
        self.scope.kind()
    }

    /// Takes the accepted reply to a read.
    pub fn take_reply(&mut self) -> Option<Bytes> {
        self.reply.take()
    }

    /// Returns all shards in index order.
    pub fn shards(&self) -> &[ShardProgress] {
        &self.shards
    }

    /// Takes the merged hits in rank order.
    pub fn take_hits(&mut self) -> Vec<SearchHit> {
        self.merge.take(self.plan.contract.merge_size)
    }

    /// Returns whether all shards are answered or abandoned.
    pub fn is_settled(&self) -> bool {
        self.open_shards == 0
    }

    /// Returns whether no attempt is running.
    pub fn is_idle(&self) -> bool {
        self.log.is_idle()
    }

    /// Returns the time that the targets have taken so far.
    pub fn service_time(&self, now: Duration) -> Duration {
        self.log.service_time(now)
    }

    /// Returns whether a target may have executed the request.
    pub fn run_outcome(&self) -> RunOutcome {
        if self.may_have_run || !self.log.is_idle() {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    /// Handles the end of an attempt after the caller has been answered.
    pub fn end_after_finish(&mut self, event: &AttemptEvent, now: Duration) {
        let record = self.log.end(&self.host.counters, &self.request_id, event, now);
        let Some(record) = record else { return };
        match event.result {
            AttemptResult::Reply { .. } => {
                self.host.counters.record_dropped_reply(DropReason::AfterFinish)
            }
            AttemptResult::Lost
                if !record.cancelled && !record.expected_loss && !self.host.profile.baseline =>
            {
                self.host.crash_table().record_loss(self.fingerprint, &record.spec.target, now);
            }
            _ => {}
        }
    }

    /// Requests cancellation of all running attempts.
    pub fn cancel_all(&mut self, now: Duration, actions: &mut Vec<SessionAction>) {
        self.log.cancel_all(now, actions);
    }

    /// Handles the end of an attempt.
    pub fn on_event(
        &mut self,
        event: &AttemptEvent,
        now: Duration,
        actions: &mut Vec<SessionAction>,
    ) {
        let record = self.log.end(&self.host.counters, &self.request_id, event, now);
        let Some(record) = record else { return };
        let attempt = record.spec.clone();
        let latency = now.saturating_sub(record.sent_at);
        let cancelled = record.cancelled;
        let expected_loss = record.expected_loss;
        if !matches!(event.result, AttemptResult::Refused { .. } | AttemptResult::NotSent) {
            self.may_have_run = true;
        }
        if attempt.number < self.first_attempt {
            return self.record_dropped_reply(event, DropReason::OldPin);
        }
        let progress = &mut self.shards[(attempt.shard - self.placement.first_shard) as usize];
        if !cancelled {
            progress.running -= 1;
        }
        if !progress.is_open() {
            return self.record_dropped_reply(event, DropReason::HedgeLost);
        }
        match &event.result {
            AttemptResult::Reply { tag, body, .. } => {
                let checked = check_tag(&attempt, &self.request_id, tag);
                match checked.and_then(|()| self.collect_reply(body)) {
                    Ok(()) => self.accept_reply(&attempt, latency, now, actions),
                    Err(reason) => {
                        self.host.counters.record_dropped_reply(reason);
                        self.handle_failure(&attempt, AttemptFailure::bad_reply(), now);
                    }
                }
            }
            AttemptResult::Refused { reason, .. } => {
                self.handle_failure(&attempt, AttemptFailure::refused(*reason), now);
            }
            AttemptResult::NotSent => {
                self.handle_failure(&attempt, AttemptFailure::not_sent(), now)
            }
            AttemptResult::Lost if expected_loss => {
                self.handle_failure(&attempt, AttemptFailure::lost(), now)
            }
            AttemptResult::Lost => self.handle_lost_attempt(&attempt, now),
            AttemptResult::Malformed => {
                self.handle_failure(&attempt, AttemptFailure::bad_reply(), now)
            }
            AttemptResult::TimedOut => {
                self.handle_failure(&attempt, AttemptFailure::timed_out(), now)
            }
        }
        self.decide_loss_retries(now);
    }

    fn collect_reply(&mut self, body: &Bytes) -> Result<(), DropReason> {
        match self.scope {
            ScatterScope::All => self.merge.add(body, self.plan.contract.merge_size),
            ScatterScope::One(_) => {
                self.reply = Some(body.clone());
                Ok(())
            }
        }
    }

    fn record_dropped_reply(&self, event: &AttemptEvent, reason: DropReason) {
        if matches!(event.result, AttemptResult::Reply { .. }) {
            self.host.counters.record_dropped_reply(reason);
        }
    }

    fn accept_reply(
        &mut self,
        attempt: &AttemptSpec,
        latency: Duration,
        now: Duration,
        actions: &mut Vec<SessionAction>,
    ) {
        let shard = self.shard_index(attempt);
        self.record_latency(shard, latency, now);
        self.settle(shard, ShardState::Answered);
        self.log.cancel_others(attempt, now, actions);
        self.end_crash_probe(now);
    }

    pub(crate) fn shard_index(&self, attempt: &AttemptSpec) -> ShardIndex {
        attempt.shard - self.placement.first_shard
    }

    /// Records the latency of an accepted reply, or the age of an abandoned attempt.
    pub(crate) fn record_latency(&self, shard: ShardIndex, latency: Duration, now: Duration) {
        let kind = self.kind();
        self.plan.pool.windows.get(kind).record(latency, now);
        if let Some(view) =
            self.plan.pool.shard(self.pin().shard_map, self.placement.first_shard + shard)
        {
            view.windows.get(kind).record(latency, now);
        }
    }

    pub(crate) fn settle(&mut self, shard: ShardIndex, state: ShardState) {
        let progress = &mut self.shards[shard as usize];
        if progress.is_open() {
            progress.state = state;
            progress.pending = None;
            self.open_shards -= 1;
        }
    }

    pub(crate) fn handle_failure(
        &mut self,
        attempt: &AttemptSpec,
        failure: AttemptFailure,
        now: Duration,
    ) {
        let max_attempts =
            if self.host.profile.baseline { BASELINE_ATTEMPTS } else { MAX_ATTEMPTS };
        let shard = self.shard_index(attempt);
        let prefers_coverage = self.plan.contract.preference == AnswerPreference::Coverage;
        let retries_until_deadline = prefers_coverage && !self.host.profile.baseline;
        let progress = &mut self.shards[shard as usize];
        progress.failure = Some(failure.missing);
        if 0 < progress.running {
            // Only one attempt is left, so it may be hedged.
            progress.hedged = false;
            progress.sent_at = now;
            return;
        }
        if progress.pending.is_some() {
            return;
        }
        match failure.retry {
            Some((reason, cost)) if progress.sent < max_attempts => {
                let cost = if self.host.profile.baseline { RetryCost::Free } else { cost };
                let purpose = AttemptPurpose::Retry(reason);
                progress.pending = Some(PendingSend::new(purpose, cost, now));
            }
            // Routes that prefer coverage keep retrying until the deadline, within the budget and with a delay that
            // protects refusing targets from a flood of retries.
            Some((reason, _)) if retries_until_deadline => {
                let purpose = AttemptPurpose::Retry(reason);
                let pending = PendingSend::new(purpose, RetryCost::Token, now + RETRY_DELAY);
                progress.pending = Some(PendingSend { allow_tried: true, ..pending });
            }
            _ => self.give_up(shard, failure.missing, now),
        }
    }

    /// Abandons a shard. If it was being probed, the probe continues at another shard.
    pub(crate) fn give_up(&mut self, shard: ShardIndex, reason: MissingReason, now: Duration) {
        self.settle(shard, ShardState::Missing(reason));
        if self.crash != CrashProbe::Probing(shard) {
            return;
        }
        let is_held = |progress: &ShardProgress| {
            progress.pending.is_some_and(|pending| pending.not_before == Duration::MAX)
        };
        let Some(next) = self.shards.iter().position(is_held) else {
            self.crash = CrashProbe::Unrestricted;
            return;
        };
        self.crash = CrashProbe::Probing(count(next));
        if let Some(pending) = &mut self.shards[next].pending {
            pending.not_before = now;
        }
    }
}

/// Converts a number of shards to the type of shard indexes.
pub(crate) fn count(shards: usize) -> u32 {
    u32::try_from(shards).unwrap_or(u32::MAX)
}
