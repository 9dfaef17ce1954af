//! The shards of one search or read: how their attempts end. `scatter_send` sends, `scatter_time` hedges and gives up.

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
use crate::attempt::AttemptOrder;
use crate::attempt::AttemptPurpose;
use crate::attempt::AttemptResult;
use crate::attempt::SessionAction;
use crate::attempt_log::AttemptLog;
use crate::counters::DropReason;
use crate::crash_probe::CrashProbe;
use crate::gather::HitMerge;
use crate::gather::check_tag;
use crate::host_state::HostState;
use crate::request_plan::RequestPlan;
use crate::scatter_scope::ScatterPlace;
use crate::scatter_scope::ScatterScope;
use crate::shard_progress::AttemptFailure;
use crate::shard_progress::BASELINE_ATTEMPTS;
use crate::shard_progress::MOST_ATTEMPTS;
use crate::shard_progress::PendingSend;
use crate::shard_progress::RETRY_DELAY;
use crate::shard_progress::RetryCost;
use crate::shard_progress::ShardProgress;
use crate::shard_progress::ShardState;

/// All shards of one request with their attempts. Shards are counted from [`ScatterPlace::base`].
#[derive(Debug)]
pub(crate) struct ShardScatter {
    pub(crate) host: Arc<HostState>,
    pub(crate) plan: RequestPlan,
    pub(crate) scope: ScatterScope,
    pub(crate) place: ScatterPlace,
    request_id: RequestId,
    /// Number of the first attempt at the present pin.
    pub(crate) first_number: u32,
    pub(crate) repinned: bool,
    pub(crate) shards: Vec<ShardProgress>,
    /// Shards that are neither answered nor given up.
    pub(crate) open: usize,
    pub(crate) log: AttemptLog,
    pub(crate) merge: HitMerge,
    /// The counted reply to a read.
    reply: Option<Bytes>,
    pub(crate) crash: CrashProbe,
    pub(crate) fingerprint: RequestFingerprint,
    /// Attempts whose connection was lost.
    pub(crate) lost: u32,
    /// Whether any attempt has answered, at any pin.
    pub(crate) succeeded: bool,
    /// Whether any attempt may have been run by a target.
    may_have_run: bool,
    pub(crate) started: Duration,
}

impl ShardScatter {
    /// Shards of a request at `place`, with their first attempts due at `now`.
    pub fn new(
        host: Arc<HostState>,
        plan: RequestPlan,
        (request_id, fingerprint): (RequestId, RequestFingerprint),
        scope: ScatterScope,
        place: ScatterPlace,
        purpose: AttemptPurpose,
        now: Duration,
    ) -> Self {
        let total = place.choice.total as usize;
        Self {
            host,
            plan,
            scope,
            place,
            request_id,
            first_number: 0,
            repinned: false,
            shards: vec![ShardProgress::new(purpose, now); total],
            open: total,
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

    /// Decision time at which the caller is answered at the latest.
    pub fn answer_by(&self) -> Duration {
        self.plan.answer_by
    }

    /// Contract of the route.
    pub fn contract(&self) -> &RouteContract {
        &self.plan.contract
    }

    /// The present pin.
    pub fn pin(&self) -> SnapshotPin {
        self.place.choice.pin
    }

    /// Kind of the request.
    pub fn kind(&self) -> RouteKind {
        self.scope.kind()
    }

    /// The counted reply to a read.
    pub fn take_reply(&mut self) -> Option<Bytes> {
        self.reply.take()
    }

    /// Shards by index.
    pub fn shards(&self) -> &[ShardProgress] {
        &self.shards
    }

    /// The best hits, best first.
    pub fn take_hits(&mut self) -> Vec<SearchHit> {
        self.merge.take(self.plan.contract.merge_size)
    }

    /// Whether every shard is answered or given up.
    pub fn is_settled(&self) -> bool {
        self.open == 0
    }

    /// Whether all attempts have ended.
    pub fn is_idle(&self) -> bool {
        self.log.is_idle()
    }

    /// Time that the targets took until now.
    pub fn service_time(&self, now: Duration) -> Duration {
        self.log.service_time(now)
    }

    /// Whether a target may have run the request.
    pub fn run_outcome(&self) -> RunOutcome {
        if self.may_have_run || !self.log.is_idle() {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    /// Ends an attempt after the caller has been answered.
    pub fn end_late(&mut self, event: &AttemptEvent, now: Duration) {
        let record = self.log.end(&self.host.counters, &self.request_id, event, now);
        let Some(record) = record else { return };
        match event.result {
            AttemptResult::Reply { .. } => {
                self.host.counters.record_dropped_reply(DropReason::AfterFinish)
            }
            AttemptResult::Lost
                if !record.cancelled && !record.expected_loss && !self.host.profile.baseline =>
            {
                self.host.crash_table().record_loss(self.fingerprint, &record.order.target, now);
            }
            _ => {}
        }
    }

    /// Asks the targets to cancel all running attempts.
    pub fn cancel_all(&mut self, now: Duration, actions: &mut Vec<SessionAction>) {
        self.log.cancel_all(now, actions);
    }

    /// Takes the end of an attempt.
    pub fn on_event(
        &mut self,
        event: &AttemptEvent,
        now: Duration,
        actions: &mut Vec<SessionAction>,
    ) {
        let record = self.log.end(&self.host.counters, &self.request_id, event, now);
        let Some(record) = record else { return };
        let order = record.order.clone();
        let latency = now.saturating_sub(record.sent_at);
        let cancelled = record.cancelled;
        let expected_loss = record.expected_loss;
        if !matches!(event.result, AttemptResult::Refused { .. } | AttemptResult::NotSent) {
            self.may_have_run = true;
        }
        if order.number < self.first_number {
            return self.note_drop(event, DropReason::OldPin);
        }
        let progress = &mut self.shards[(order.shard - self.place.base) as usize];
        if !cancelled {
            progress.running -= 1;
        }
        if !progress.is_open() {
            return self.note_drop(event, DropReason::HedgeLost);
        }
        match &event.result {
            AttemptResult::Reply { tag, body, .. } => {
                let checked = check_tag(&order, &self.request_id, tag);
                match checked.and_then(|()| self.gather(body)) {
                    Ok(()) => self.answer(&order, latency, now, actions),
                    Err(reason) => {
                        self.host.counters.record_dropped_reply(reason);
                        self.fail(&order, AttemptFailure::bad_reply(), now);
                    }
                }
            }
            AttemptResult::Refused { reason, .. } => {
                self.fail(&order, AttemptFailure::refused(*reason), now);
            }
            AttemptResult::NotSent => self.fail(&order, AttemptFailure::not_sent(), now),
            AttemptResult::Lost if expected_loss => self.fail(&order, AttemptFailure::lost(), now),
            AttemptResult::Lost => self.handle_lost_attempt(&order, now),
            AttemptResult::Malformed => self.fail(&order, AttemptFailure::bad_reply(), now),
            AttemptResult::TimedOut => self.fail(&order, AttemptFailure::timed_out(), now),
        }
        self.decide_loss_retries(now);
    }

    fn gather(&mut self, body: &Bytes) -> Result<(), DropReason> {
        match self.scope {
            ScatterScope::All => self.merge.add(body, self.plan.contract.merge_size),
            ScatterScope::One(_) => {
                self.reply = Some(body.clone());
                Ok(())
            }
        }
    }

    fn note_drop(&self, event: &AttemptEvent, reason: DropReason) {
        if matches!(event.result, AttemptResult::Reply { .. }) {
            self.host.counters.record_dropped_reply(reason);
        }
    }

    fn answer(
        &mut self,
        order: &AttemptOrder,
        latency: Duration,
        now: Duration,
        actions: &mut Vec<SessionAction>,
    ) {
        let shard = self.index(order);
        self.note_latency(shard, latency, now);
        self.settle(shard, ShardState::Answered);
        self.log.cancel_others(order, now, actions);
        self.end_crash_probe(now);
    }

    pub(crate) fn index(&self, order: &AttemptOrder) -> ShardIndex {
        order.shard - self.place.base
    }

    /// Notes the latency of a counted reply, or the age of an attempt that was given up.
    pub(crate) fn note_latency(&self, shard: ShardIndex, latency: Duration, now: Duration) {
        let kind = self.kind();
        self.plan.pool.windows.get(kind).record(latency, now);
        if let Some(view) = self.plan.pool.shard(self.pin().shard_map, self.place.base + shard) {
            view.windows.get(kind).record(latency, now);
        }
    }

    pub(crate) fn settle(&mut self, shard: ShardIndex, state: ShardState) {
        let progress = &mut self.shards[shard as usize];
        if progress.is_open() {
            progress.state = state;
            progress.pending = None;
            self.open -= 1;
        }
    }

    pub(crate) fn fail(&mut self, order: &AttemptOrder, failure: AttemptFailure, now: Duration) {
        let most = if self.host.profile.baseline { BASELINE_ATTEMPTS } else { MOST_ATTEMPTS };
        let shard = self.index(order);
        let prefers_coverage = self.plan.contract.preference == AnswerPreference::Coverage;
        let patient = prefers_coverage && !self.host.profile.baseline;
        let progress = &mut self.shards[shard as usize];
        progress.failure = Some(failure.missing);
        if 0 < progress.running {
            // The remaining attempt has become the only one, so it may be hedged.
            progress.hedged = false;
            progress.sent_at = now;
            return;
        }
        if progress.pending.is_some() {
            return;
        }
        match failure.retry {
            Some((reason, cost)) if progress.sends < most => {
                let cost = if self.host.profile.baseline { RetryCost::Free } else { cost };
                let purpose = AttemptPurpose::Retry(reason);
                progress.pending = Some(PendingSend::new(purpose, cost, now));
            }
            // A route that prefers coverage tries until its deadline, as far as the budget allows, and at a pace that
            // does not hammer targets that refuse.
            Some((reason, _)) if patient => {
                let purpose = AttemptPurpose::Retry(reason);
                let pending = PendingSend::new(purpose, RetryCost::Token, now + RETRY_DELAY);
                progress.pending = Some(PendingSend { again: true, ..pending });
            }
            _ => self.give_up(shard, failure.missing, now),
        }
    }

    /// Gives up one shard. When it was the one that is probed, another takes its place.
    pub(crate) fn give_up(&mut self, shard: ShardIndex, reason: MissingReason, now: Duration) {
        self.settle(shard, ShardState::Missing(reason));
        if self.crash != CrashProbe::Probing(shard) {
            return;
        }
        let held = |progress: &ShardProgress| {
            progress.pending.is_some_and(|pending| pending.not_before == Duration::MAX)
        };
        let Some(next) = self.shards.iter().position(held) else {
            self.crash = CrashProbe::Unrestricted;
            return;
        };
        self.crash = CrashProbe::Probing(count(next));
        if let Some(pending) = &mut self.shards[next].pending {
            pending.not_before = now;
        }
    }
}

/// A number of shards in the type of shard indexes.
pub(crate) fn count(shards: usize) -> u32 {
    u32::try_from(shards).unwrap_or(u32::MAX)
}
