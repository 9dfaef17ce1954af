//! State machine of one request: first attempts, hedges, retries and the decision when to respond.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use self::crash_plan::HeldAttempt;
use self::group_plan::retry_budget_share;
use crate::attempt::AttemptNumber;
use crate::attempt::AttemptOutcome;
use crate::attempt::NotRunCause;
use crate::attempt::SendCause;
use crate::attempt::SendCommand;
use crate::config_document::PoolId;
use crate::config_document::RepeatRule;
use crate::config_document::RouteContract;
use crate::config_document::RoutePools;
use crate::host_quota::ColdAllowance;
use crate::pool_state::RouteState;
use crate::serving_view::PoolView;
use crate::serving_view::ServingView;
use crate::shard_groups::ShardGroup;
use crate::shard_groups::is_divided;
use crate::target_pick::PickContext;
use crate::target_pick::expected_latency;
use crate::target_pick::expected_latency_with_connect;
use crate::target_pick::has_capacity;
use crate::target_pick::is_overloaded;
use crate::target_pick::pick_target;
use crate::target_pick::queued_latency;
use crate::target_state::TargetState;

mod crash_plan;
mod group_plan;
mod limit_plan;

/// Maximum number of attempts per shard, including those that were not executed.
const MAX_SENDS_PER_SHARD: usize = 4;

/// Minimum hedge delay as a multiple of the expected latency of the attempt: most late attempts are answered by then.
/// With a higher value, hedges to targets of other regions without an open connection return after the soft deadline.
const MIN_HEDGE_DELAY_FACTOR: f64 = 1.5;

/// Time before the soft deadline at which a hedge is sent, as a multiple of the expected latency of its target. The
/// minimum hedge delay takes precedence.
const HEDGE_HEADROOM_FACTOR: f64 = 1.4;

/// Lower bound of the hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);

/// Delay before a target that shed a request is tried again, if there is no other target.
const SAME_TARGET_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A shard is skipped if its fastest target is expected to take longer than this multiple of the time to the soft
/// deadline.
const OVERLOAD_FACTOR: f64 = 1.0;

/// Value of `version_draw` that selects the old version while a pool moves, so that a request which failed on the new
/// version, or did not reach it, is retried on the old one.
const OLD_VERSION_DRAW: f64 = 1.0;

/// Times of one request, since the start of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTimes {
    /// When the host had read the request.
    pub arrived: Duration,
    /// Latest time to send a response that meets the latency objective of the route.
    pub soft_deadline: Duration,
    /// Time at which the request fails without a response.
    pub deadline: Duration,
}

/// Final result of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanVerdict {
    /// Enough shards answered.
    Answered {
        /// Attempts whose replies form the response, one for each shard that answered.
        attempts: Vec<AttemptNumber>,
        /// Number of shards without an answer.
        missing: usize,
    },
    /// The only reply is an error of the target, which is forwarded to the caller.
    TargetFailed(AttemptNumber),
    /// No target has executed the request, and none will.
    NotRun(RefusalCause),
    /// The request may have been executed, but there is no answer.
    Unknown(FailureCause),
}

/// Why a request was not executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// No target is in service.
    NoTarget,
    /// All targets were at capacity or unreachable.
    TargetsFull,
    /// All targets of too many shards are at the limits that they name, or want no requests for some time.
    TargetsLimited,
}

/// Why a request that may have been executed has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// The deadline has passed.
    Deadline,
    /// Attempts were lost, and no more are allowed.
    AttemptsLost,
    /// Fewer shards answered than the route requires.
    TooFewShards,
}

/// Attempts of one request and their state.
#[derive(Debug)]
pub struct DispatchPlan {
    route: Arc<RouteContract>,
    route_state: Arc<RouteState>,
    view: Arc<ServingView>,
    times: RequestTimes,
    shards: Vec<ShardState>,
    attempts: Vec<AttemptState>,
    min_shards: usize,
    /// Number of shards that may be left out from the start because their targets are overloaded.
    skippable_shards: usize,
    /// Random number from 0 to 1 that selects the version of a moving pool for all attempts of the request; set to
    /// [`OLD_VERSION_DRAW`] after a failed or lost attempt.
    version_draw: f64,
    /// Part of the slack of each pool's retry budget that this plan may use.
    budget_share: f64,
    /// Whether the plan is for another host.
    is_group: bool,
    /// Whether another host has counted the request for the retry budgets of its pools.
    is_counted: bool,
    /// Whether searches of the route are divided into groups.
    is_divided: bool,
    /// Number of shards that were left out at the start because of the limits of their targets.
    limited: usize,
    /// Shard at which the request is tried alone, because it has crashed targets.
    trial_shard: Option<usize>,
    /// Whether second attempts after losses wait for an answer.
    are_repeats_held: bool,
    /// Whether one of the held attempts was sent although there is no answer.
    has_sent_probe: bool,
    is_closed: bool,
}

#[derive(Debug)]
struct ShardState {
    pool: Option<Arc<PoolView>>,
    sends: usize,
    in_flight: usize,
    /// Number of attempts that were or may have been executed, including one for a shard that another host gathers.
    executions: u32,
    gathering: RemoteGathering,
    answer: Option<AttemptNumber>,
    failure: Option<AttemptNumber>,
    /// When to hedge the latest attempt, or to retry a request that was not executed.
    wake: Option<Duration>,
    /// Attempt that waits for an answer of any shard.
    held: Option<HeldAttempt>,
}

/// Whether another host gathers the part of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RemoteGathering {
    None,
    Waiting,
    Answered,
}

#[derive(Debug)]
struct AttemptState {
    shard: usize,
    target: Arc<TargetState>,
    cause: SendCause,
    sent: Duration,
    is_over: bool,
}

impl DispatchPlan {
    /// Plan of a request on `route`, with the shards and targets of `view`.
    pub fn new(
        route: &Arc<RouteContract>,
        view: &Arc<ServingView>,
        times: RequestTimes,
        rng: &mut impl Rng,
    ) -> Self {
        let (pools, min_shards) = match &route.pools {
            RoutePools::Single(pool) => (vec![pool.clone()], 1),
            RoutePools::Weighted(weighted) => {
                let total: f64 = weighted.iter().map(|entry| entry.weight).sum();
                let mut draw = rng.random::<f64>() * total;
                let chosen = weighted.iter().find(|entry| {
                    draw -= entry.weight;
                    draw < 0.0
                });
                (
                    chosen
                        .or(weighted.last())
                        .map(|entry| entry.pool.clone())
                        .into_iter()
                        .collect(),
                    1,
                )
            }
            RoutePools::Sharded(sharded) => (sharded.pools.clone(), sharded.min_shards()),
        };
        let skippable = pools.len() - min_shards.min(pools.len());
        Self::with_shards(route, view, times, &pools, min_shards, skippable, rng)
    }

    fn with_shards(
        route: &Arc<RouteContract>,
        view: &Arc<ServingView>,
        times: RequestTimes,
        pools: &[PoolId],
        min_shards: usize,
        skippable_shards: usize,
        rng: &mut impl Rng,
    ) -> Self {
        let shards =
            pools.iter().map(|pool| ShardState::new(view.pools.get(pool).cloned())).collect();
        let route_state = view.routes.get(&route.id).cloned().unwrap_or_default();
        Self {
            route: Arc::clone(route),
            route_state,
            view: Arc::clone(view),
            times,
            shards,
            attempts: Vec::new(),
            min_shards,
            skippable_shards,
            version_draw: rng.random(),
            budget_share: retry_budget_share(view, false, times.arrived),
            is_group: false,
            is_counted: false,
            is_divided: is_divided(route.shard_count(), &view.part_hosts),
            limited: 0,
            trial_shard: None,
            are_repeats_held: false,
            has_sent_probe: false,
            is_closed: false,
        }
    }

    /// Has the request not counted for retry budgets, because the host that forwarded it has done so.
    pub fn set_counted(&mut self) {
        self.is_counted = true;
    }

    /// First attempts of all shards but those that other hosts gather; none if too few shards have a target to meet the
    /// minimum of the route.
    ///
    /// Shards in `groups` wait for [`Self::on_gathered`] if [`Self::is_gathered`] says so afterwards.
    pub fn start(
        &mut self,
        groups: &[ShardGroup],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<SendCommand> {
        let served = self.shards.iter().filter(|shard| self.has_target(shard, now)).count();
        if served < self.min_shards {
            return Vec::new();
        }
        for shard in groups.iter().flat_map(|group| &group.shards) {
            let state = &mut self.shards[*shard];
            state.gathering = RemoteGathering::Waiting;
            state.sends = 1;
            state.executions = 1;
        }
        let limited = self.limited_shards(now);
        self.limited = limited.len();
        if served - limited.len() < self.min_shards {
            return Vec::new();
        }
        let own = (0..self.shards.len()).filter(|shard| !self.is_gathered(*shard));
        let (first, repeated): (Vec<usize>, Vec<usize>) =
            own.partition(|shard| self.shards[*shard].sends == 0);
        let first = self.hold_for_trial(first);
        let mut commands = self.send_first(&first, now, rng);
        for shard in repeated {
            commands.extend(self.retry(shard, SendCause::Failure, now, rng));
        }
        if commands.is_empty() {
            self.drop_held();
        }
        commands
    }

    fn send_first(
        &mut self,
        shards: &[usize],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<SendCommand> {
        if shards.is_empty() {
            return Vec::new();
        }
        for shard in shards {
            if let Some(pool) = self.shards[*shard].pool.as_ref().filter(|_| !self.is_counted) {
                pool.state.retry_budget.record_request(&self.view.retry_limits, now);
            }
        }
        let skipped = self.overloaded_shards(now);
        let sent = shards.iter().filter(|shard| !skipped.contains(shard));
        sent.filter_map(|shard| self.send(*shard, SendCause::First, now, rng)).collect()
    }

    /// Handles the outcome of an attempt; returns the retry that it causes, if any.
    pub fn on_outcome(
        &mut self,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SendCommand> {
        if self.attempts[attempt].is_over {
            return None;
        }
        let command = self.record_outcome(attempt, outcome, now, rng);
        command.or_else(|| self.settle_held(now, rng))
    }

    fn record_outcome(
        &mut self,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SendCommand> {
        let AttemptState { shard, ref target, sent, .. } = self.attempts[attempt];
        let latency = now.saturating_sub(sent);
        target.record_outcome(
            outcome,
            latency,
            self.route_state.typical_latency(target.distance),
            now,
        );
        if outcome == AttemptOutcome::Answered {
            self.route_state.record_latency(target.distance, latency);
        }
        self.attempts[attempt].is_over = true;
        let state = &mut self.shards[shard];
        state.in_flight -= 1;
        if state.answer.is_some() {
            return None;
        }
        if state.in_flight == 0 {
            // The pending hedge was for an attempt that has now ended.
            state.wake = None;
        }
        match outcome {
            AttemptOutcome::Answered => {
                state.answer = Some(attempt);
                self.release_held();
                None
            }
            AttemptOutcome::Failed => {
                state.failure = Some(attempt);
                self.version_draw = OLD_VERSION_DRAW;
                self.retry(shard, SendCause::Failure, now, rng)
            }
            AttemptOutcome::Lost => {
                self.version_draw = OLD_VERSION_DRAW;
                if self.is_repeat_held() {
                    self.shards[shard].held = Some(HeldAttempt::Repeat);
                    return None;
                }
                self.retry(shard, SendCause::Failure, now, rng)
            }
            AttemptOutcome::NotRun(cause) => {
                state.executions -= 1;
                if matches!(cause, NotRunCause::Misdirected | NotRunCause::Unreachable) {
                    self.version_draw = OLD_VERSION_DRAW;
                }
                let command = self.retry_not_run(shard, cause, now, rng);
                let is_idle = command.is_none() && self.shards[shard].in_flight == 0;
                if is_idle && cause == NotRunCause::Shed && self.may_send(shard) {
                    self.shards[shard].wake = Some(now + SAME_TARGET_RETRY_DELAY);
                }
                command
            }
        }
    }

    /// Hedges and retries that are due at `now`.
    pub fn on_wake(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<SendCommand> {
        let due: Vec<usize> = (0..self.shards.len())
            .filter(|shard| {
                let state = &self.shards[*shard];
                state.answer.is_none() && state.wake.is_some_and(|wake| wake <= now)
            })
            .collect();
        let mut commands = Vec::new();
        for shard in due {
            let state = &mut self.shards[shard];
            state.wake = None;
            if let Some(held) = state.held.take() {
                commands.extend(self.send_held(shard, held, now, rng));
                continue;
            }
            if state.in_flight > 0 && self.is_repeat_held() {
                continue;
            }
            let state = &self.shards[shard];
            let cause = if state.in_flight > 0 { SendCause::Hedge } else { SendCause::Shed };
            commands.extend(self.retry(shard, cause, now, rng));
        }
        commands
    }

    /// Next time to call [`Self::on_wake`] and [`Self::verdict`].
    pub fn next_wake(&self, now: Duration) -> Duration {
        let wakes = self
            .shards
            .iter()
            .filter(|shard| shard.answer.is_none())
            .filter_map(|shard| shard.wake);
        let soft_deadline = Some(self.times.soft_deadline)
            .filter(|time| self.min_shards < self.shards.len() && now < *time);
        wakes
            .chain(soft_deadline)
            .chain(Some(self.times.deadline))
            .min()
            .unwrap_or(self.times.deadline)
    }

    /// The final result, once waiting cannot improve it.
    ///
    /// At the soft deadline a sharded request is answered if it has the minimum of shards, because a late answer is
    /// worth less to the caller than a partial one that states how many shards are missing. Below the minimum it
    /// continues until enough shards have answered or the deadline has passed.
    pub fn verdict(&self, now: Duration) -> Option<PlanVerdict> {
        let answered = self.answered_count();
        let open = self.shards.iter().filter(|shard| shard.is_open()).count();
        let may_answer_partially = self.times.soft_deadline <= now && self.min_shards <= answered;
        let is_past_deadline = self.times.deadline <= now;
        let cannot_reach_minimum = answered + open < self.min_shards && self.shards.len() > 1;
        if open > 0 && !may_answer_partially && !is_past_deadline && !cannot_reach_minimum {
            return None;
        }
        if self.min_shards <= answered {
            let attempts = self.shards.iter().filter_map(|shard| shard.answer).collect();
            return Some(PlanVerdict::Answered { attempts, missing: self.shards.len() - answered });
        }
        Some(self.failure(is_past_deadline))
    }

    /// Ends the plan after its verdict: outcomes of pending attempts are still recorded, but nothing more is sent.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Records pending attempts as lost, because they are cancelled without a reply.
    pub fn record_unanswered(&self, now: Duration) {
        for attempt in self.attempts.iter().filter(|attempt| !attempt.is_over) {
            let typical = self.route_state.typical_latency(attempt.target.distance);
            let waited = now.saturating_sub(attempt.sent);
            attempt.target.record_outcome(AttemptOutcome::Lost, waited, typical, now);
        }
    }

    /// Target that an attempt was sent to.
    pub fn target(&self, attempt: AttemptNumber) -> &Arc<TargetState> {
        &self.attempts[attempt].target
    }

    /// Shard that an attempt was made for.
    pub fn shard(&self, attempt: AttemptNumber) -> usize {
        self.attempts[attempt].shard
    }

    /// Whether the reply to an attempt is the one that counts for its shard.
    pub fn is_answer(&self, attempt: AttemptNumber) -> bool {
        self.shards[self.attempts[attempt].shard].answer == Some(attempt)
    }

    /// Number of attempts sent so far, over all shards.
    pub fn sent_count(&self) -> usize {
        self.attempts.len()
    }

    /// Target, cause and age of each pending attempt whose shard has no answer, separated by spaces, for the log.
    pub fn describe_pending_attempts(&self, now: Duration) -> String {
        let waiting = self
            .attempts
            .iter()
            .filter(|attempt| !attempt.is_over && self.shards[attempt.shard].answer.is_none());
        let entries = waiting.map(|attempt| {
            let (id, cause) = (&attempt.target.record.id, attempt.cause.label());
            format!("{id}:{cause}:{}ms", now.saturating_sub(attempt.sent).as_millis())
        });
        entries.collect::<Vec<_>>().join(" ")
    }

    /// Whether the request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.repeat == RepeatRule::Idempotent
    }

    /// Number of shards of the route; 1 if it is not sharded.
    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// Number of shards that have answered so far.
    pub fn answered_count(&self) -> usize {
        self.shards.iter().filter(|shard| shard.is_answered()).count()
    }

    /// Number of shards that may still be answered.
    pub fn open_count(&self) -> usize {
        self.shards.iter().filter(|shard| shard.is_open()).count()
    }

    /// Whether all attempts of the shard are over without an answer.
    pub fn has_failed(&self, shard: usize) -> bool {
        let state = &self.shards[shard];
        !state.is_answered() && !state.is_open()
    }

    fn failure(&self, is_past_deadline: bool) -> PlanVerdict {
        if let [shard] = self.shards.as_slice()
            && let Some(failure) = shard.failure
            && shard.in_flight == 0
        {
            return PlanVerdict::TargetFailed(failure);
        }
        let may_have_run = self.shards.iter().any(|shard| shard.executions > 0);
        if !may_have_run {
            let was_sent = self.shards.iter().any(|shard| shard.sends > 0);
            let cause = match (was_sent, self.limited) {
                (true, _) => RefusalCause::TargetsFull,
                (false, 0) => RefusalCause::NoTarget,
                (false, _) => RefusalCause::TargetsLimited,
            };
            return PlanVerdict::NotRun(cause);
        }
        if is_past_deadline {
            return PlanVerdict::Unknown(FailureCause::Deadline);
        }
        let is_sharded = self.shards.len() > 1;
        PlanVerdict::Unknown(if is_sharded {
            FailureCause::TooFewShards
        } else {
            FailureCause::AttemptsLost
        })
    }

    /// Shards that are not expected to answer by the soft deadline, as far as the route can be answered without them.
    ///
    /// If the targets of a shard are offered more load than they can serve, their queues stay full and every request is
    /// answered late. Skipping the shard for some requests lets the remaining ones be answered in time.
    fn overloaded_shards(&self, now: Duration) -> Vec<usize> {
        let spare = self.skippable_shards.saturating_sub(self.limited);
        if spare == 0 {
            return Vec::new();
        }
        let limit = self.times.soft_deadline.saturating_sub(now).mul_f64(OVERLOAD_FACTOR);
        let mut slow: Vec<(Duration, usize)> = (0..self.shards.len())
            .filter_map(|shard| Some((self.min_queued_latency(shard, limit, now)?, shard)))
            .filter(|(latency, _)| limit < *latency)
            .collect();
        slow.sort_unstable();
        slow.into_iter().rev().take(spare).map(|(_, shard)| shard).collect()
    }

    /// Expected time until enough shards have answered, with the attempts that this host has in flight.
    pub fn expected_time(&self, now: Duration) -> Duration {
        let mut times: Vec<Duration> = Vec::with_capacity(self.shards.len());
        for pool in self.shards.iter().filter_map(|shard| shard.pool.as_ref()) {
            let context = self.context(pool, now);
            let targets = pool.targets.iter();
            let allowed = targets.filter(|target| self.route.allows_region(target.region.as_ref()));
            times.extend(allowed.map(|target| queued_latency(target, &context)).min());
        }
        times.sort_unstable();
        times.get(self.min_shards.saturating_sub(1)).copied().unwrap_or_default()
    }

    /// Lowest expected latency among the targets of a shard, including the queue of this host's attempts in flight.
    /// `None` if a target has capacity for an attempt that is answered within `limit`.
    fn min_queued_latency(&self, shard: usize, limit: Duration, now: Duration) -> Option<Duration> {
        let pool = self.shards[shard].pool.as_ref()?;
        let context = self.context(pool, now);
        let targets = || {
            let allowed =
                |target: &&Arc<TargetState>| self.route.allows_region(target.region.as_ref());
            pool.targets.iter().filter(allowed)
        };
        if targets().any(|target| has_capacity(target, &context, limit)) {
            return None;
        }
        targets().map(|target| queued_latency(target, &context)).min()
    }

    fn has_target(&self, shard: &ShardState, now: Duration) -> bool {
        let mut targets = shard.pool.iter().flat_map(|pool| &pool.targets);
        targets.any(|target| {
            let is_usable = !target.is_misdirected(now) && !target.has_left(now);
            is_usable && self.route.allows_region(target.region.as_ref())
        })
    }

    /// Whether the limits on sends and executions allow another attempt of the shard.
    fn may_send(&self, shard: usize) -> bool {
        let state = &self.shards[shard];
        let limit = if self.is_idempotent() { self.route.max_attempts.max(1) } else { 1 };
        !self.is_closed
            && state.pool.is_some()
            && state.sends < MAX_SENDS_PER_SHARD
            && state.executions < limit
            && !(self.is_in_trial() && state.executions > 0)
    }

    fn retry_not_run(
        &mut self,
        shard: usize,
        cause: NotRunCause,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SendCommand> {
        if cause == NotRunCause::Withdrawn {
            return None;
        }
        // An attempt that did not reach its target is replaced without using the retry budget.
        if cause.has_reached_target() {
            return self.retry(shard, SendCause::NotRun, now, rng);
        }
        if self.may_send(shard) { self.send(shard, SendCause::NotRun, now, rng) } else { None }
    }

    fn retry(
        &mut self,
        shard: usize,
        cause: SendCause,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SendCommand> {
        if !self.may_send(shard) || self.times.deadline <= now {
            return None;
        }
        let target = self.pick(shard, cause, now, rng)?;
        let state = &self.shards[shard];
        let pool = state.pool.as_ref()?;
        let is_first = state.sends == 0;
        if !is_first
            && !pool.state.retry_budget.try_take(&self.view.retry_limits, self.budget_share, now)
        {
            return None;
        }
        self.send_to(shard, target, cause, now)
    }

    fn send(
        &mut self,
        shard: usize,
        cause: SendCause,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SendCommand> {
        let target = self.pick(shard, cause, now, rng)?;
        self.send_to(shard, target, cause, now)
    }

    fn send_to(
        &mut self,
        shard: usize,
        target: Arc<TargetState>,
        cause: SendCause,
        now: Duration,
    ) -> Option<SendCommand> {
        if !target.request_limit.try_take(self.turn_claim(shard, &target), now) {
            return None;
        }
        let wake = self.hedge_time(shard, &target, now);
        let state = &mut self.shards[shard];
        state.sends += 1;
        state.executions += 1;
        state.in_flight += 1;
        state.wake = wake;
        let attempt = self.attempts.len();
        self.attempts.push(AttemptState {
            shard,
            target: Arc::clone(&target),
            cause,
            sent: now,
            is_over: false,
        });
        Some(SendCommand { attempt, shard, target, cause })
    }

    fn pick(
        &self,
        shard: usize,
        cause: SendCause,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Arc<TargetState>> {
        let pool = self.shards[shard].pool.as_ref()?;
        let context = self.context(pool, now);
        let was_tried = |target: &TargetState| {
            let mut attempts = self.attempts.iter().filter(|attempt| attempt.shard == shard);
            attempts.any(|attempt| std::ptr::eq(&raw const *attempt.target, target))
        };
        let is_disallowed = |target: &TargetState| {
            !self.route.allows_region(target.region.as_ref())
                || target.is_misdirected(now)
                || target.has_left(now)
                || !self.has_turn(shard, target, now)
                || !pool.version_split.allows(
                    target,
                    self.version_draw,
                    pool.state.new_version_share(),
                )
        };
        // A hedge to an overloaded target would return late and use capacity that a first attempt needs.
        let left = self.times.soft_deadline.saturating_sub(now);
        let is_useless_hedge = |target: &TargetState| {
            cause == SendCause::Hedge && is_overloaded(target, &context, left)
        };
        let untried = pick_target(&pool.targets, &context, rng, |target| {
            was_tried(target) || is_disallowed(target) || is_useless_hedge(target)
        });
        if let Some(target) = untried {
            return Some(Arc::clone(target));
        }
        // All targets were tried. One that shed the request may have capacity by now.
        if cause != SendCause::Shed {
            return None;
        }
        pick_target(&pool.targets, &context, rng, is_disallowed).map(Arc::clone)
    }

    fn context(&self, pool: &PoolView, now: Duration) -> PickContext<'_> {
        PickContext {
            route: &self.route_state,
            cold_allowance: ColdAllowance::new(
                pool.contract.cold_requests_per_s,
                self.view.host_count,
                self.view.host_rank,
            ),
            now,
        }
    }

    /// When to hedge an attempt that is sent now: as late as another target can still answer by the soft deadline,
    /// because most late attempts are answered without a hedge.
    fn hedge_time(
        &self,
        shard: usize,
        target: &Arc<TargetState>,
        now: Duration,
    ) -> Option<Duration> {
        if !self.is_idempotent() || self.route.max_attempts < 2 || self.is_in_trial() {
            return None;
        }
        let pool = self.shards[shard].pool.as_ref()?;
        let context = self.context(pool, now);
        let others = pool.targets.iter().filter(|other| {
            !Arc::ptr_eq(other, target) && self.route.allows_region(other.region.as_ref())
        });
        let other = others.map(|other| expected_latency_with_connect(other, &context)).min()?;
        let earliest =
            expected_latency(target, &context).mul_f64(MIN_HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY);
        let latest = self.times.soft_deadline.saturating_sub(other.mul_f64(HEDGE_HEADROOM_FACTOR));
        Some(latest.max(now + earliest))
    }
}

impl ShardState {
    fn new(pool: Option<Arc<PoolView>>) -> Self {
        Self {
            pool,
            sends: 0,
            in_flight: 0,
            executions: 0,
            gathering: RemoteGathering::None,
            answer: None,
            failure: None,
            wake: None,
            held: None,
        }
    }

    fn is_answered(&self) -> bool {
        self.answer.is_some() || self.gathering == RemoteGathering::Answered
    }

    /// Whether an answer may still arrive.
    fn is_open(&self) -> bool {
        let is_waiting = self.in_flight > 0
            || self.wake.is_some()
            || self.held.is_some()
            || self.is_waiting_for_group();
        !self.is_answered() && is_waiting
    }

    fn is_waiting_for_group(&self) -> bool {
        self.gathering == RemoteGathering::Waiting
    }
}
