//! The attempts of one request: first sends, hedges, retries, and when it is answered.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::attempt::AttemptNumber;
use crate::attempt::AttemptOutcome;
use crate::attempt::NotRunCause;
use crate::attempt::SendCause;
use crate::attempt::SendCommand;
use crate::config_document::RepeatRule;
use crate::config_document::RouteContract;
use crate::config_document::RoutePools;
use crate::host_quota::cold_request_quota;
use crate::pool_state::RouteState;
use crate::serving_view::PoolView;
use crate::serving_view::ServingView;
use crate::target_pick::PickContext;
use crate::target_pick::expected_latency;
use crate::target_pick::expected_latency_with_connect;
use crate::target_pick::has_capacity;
use crate::target_pick::is_overloaded;
use crate::target_pick::pick_target;
use crate::target_pick::queued_latency;
use crate::target_state::TargetState;
use crate::version_split::VersionSplit;

/// Sends of one shard at most, those that were not run included.
const MOST_SENDS: usize = 4;

/// An attempt is not hedged before this many times its expected latency: most late ones answer by then. Where targets
/// of other regions have no open connection, later hedges return after the aim.
const EARLIEST_HEDGE: f64 = 1.5;

/// A hedge is sent while this many times the expected latency of its target is left of the aim.
const HEDGE_ROOM: f64 = 1.4;

/// Shortest time before a hedge.
const SHORTEST_HEDGE: Duration = Duration::from_millis(10);

/// Pause before a target that did not run a request is tried again, if there is no other.
const SAME_TARGET_PAUSE: Duration = Duration::from_millis(20);

/// A shard is left out if its fastest target is expected to take this many times the time to the aim.
const OVERLOAD_FACTOR: f64 = 1.0;

/// Draw that takes the usual version while a pool moves: what failed at the new version is repeated at the old one.
const USUAL_VERSION: f64 = 1.0;

/// Times of one request, since the start of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTimes {
    /// When the request had been read.
    pub arrived: Duration,
    /// Latest time at which an answer leaves in time.
    pub soft_deadline: Duration,
    /// Time at which the request is given up.
    pub deadline: Duration,
}

/// How a request ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanVerdict {
    /// These attempts answered, one a shard; `missing` shards did not.
    Answered {
        /// Attempts whose replies make the answer.
        attempts: Vec<AttemptNumber>,
        /// Shards without an answer.
        missing: usize,
    },
    /// The only reply is a failure of the target, which is passed on.
    TargetFailed(AttemptNumber),
    /// No target has run the request, and none will.
    NotRun(RefusalCause),
    /// The request may have run, and there is no answer.
    Unknown(FailureCause),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// No target is in service.
    NoTarget,
    /// All targets were full or could not be reached.
    TargetsFull,
}

/// Why a request that may have run has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// Its time is over.
    Deadline,
    /// Attempts were lost, and no more are allowed.
    AttemptsLost,
    /// Too few shards answered.
    TooFewShards,
}

/// Attempts of one request.
#[derive(Debug)]
pub struct DispatchPlan {
    route: Arc<RouteContract>,
    route_state: Arc<RouteState>,
    view: Arc<ServingView>,
    times: RequestTimes,
    shards: Vec<ShardPlan>,
    attempts: Vec<AttemptPlan>,
    least: usize,
    /// Random number that decides between versions of a pool, one for the whole request.
    draw: f64,
    is_closed: bool,
}

#[derive(Debug)]
struct ShardPlan {
    pool: Option<Arc<PoolView>>,
    sends: usize,
    in_flight: usize,
    /// Attempts that have run or may have.
    runs: u32,
    answer: Option<AttemptNumber>,
    failure: Option<AttemptNumber>,
    /// Time of the hedge of the latest attempt, or of the next try of a request that was not run.
    wake: Option<Duration>,
}

#[derive(Debug)]
struct AttemptPlan {
    shard: usize,
    target: Arc<TargetState>,
    cause: SendCause,
    sent: Duration,
    is_over: bool,
}

impl DispatchPlan {
    /// Plan of a request on `route`. The shards are those of the version of `view`.
    pub fn new(
        route: &Arc<RouteContract>,
        view: &Arc<ServingView>,
        times: RequestTimes,
        rng: &mut impl Rng,
    ) -> Self {
        let (pools, least) = match &route.pools {
            RoutePools::Single(pool) => (vec![pool.clone()], 1),
            RoutePools::Weighted(parts) => {
                let whole: f64 = parts.iter().map(|part| part.weight).sum();
                let mut draw = rng.random::<f64>() * whole;
                let chosen = parts.iter().find(|part| {
                    draw -= part.weight;
                    draw < 0.0
                });
                (chosen.or(parts.last()).map(|part| part.pool.clone()).into_iter().collect(), 1)
            }
            RoutePools::Sharded(sharded) => (sharded.pools.clone(), sharded.min_shards()),
        };
        let shards =
            pools.iter().map(|pool| ShardPlan::new(view.pools.get(pool).cloned())).collect();
        let route_state = view.routes.get(&route.id).cloned().unwrap_or_default();
        Self {
            route: Arc::clone(route),
            route_state,
            view: Arc::clone(view),
            times,
            shards,
            attempts: Vec::new(),
            least,
            draw: rng.random(),
            is_closed: false,
        }
    }

    /// First attempts of all shards. A request that too few shards can serve is not sent at all.
    pub fn start(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<SendCommand> {
        let served = self.shards.iter().filter(|shard| self.has_target(shard)).count();
        if served < self.least {
            return Vec::new();
        }
        for shard in &self.shards {
            if let Some(pool) = &shard.pool {
                pool.state.retry_budget.record_request(&self.view.retry_limits, now);
            }
        }
        let left_out = self.overloaded_shards(now);
        (0..self.shards.len())
            .filter(|shard| !left_out.contains(shard))
            .filter_map(|shard| self.send(shard, SendCause::First, now, rng))
            .collect()
    }

    /// Takes in the end of an attempt; returns the attempt that follows from it.
    pub fn on_outcome(
        &mut self,
        attempt: AttemptNumber,
        end: AttemptOutcome,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SendCommand> {
        let AttemptPlan { shard, ref target, sent, is_over, .. } = self.attempts[attempt];
        if is_over {
            return None;
        }
        let latency = now.saturating_sub(sent);
        target.record_outcome(end, latency, self.route_state.typical_latency(target.distance), now);
        if end == AttemptOutcome::Answered {
            self.route_state.record_latency(target.distance, latency);
        }
        self.attempts[attempt].is_over = true;
        let state = &mut self.shards[shard];
        state.in_flight -= 1;
        if state.answer.is_some() {
            return None;
        }
        if state.in_flight == 0 {
            // The hedge time was that of an attempt which has ended.
            state.wake = None;
        }
        match end {
            AttemptOutcome::Answered => {
                state.answer = Some(attempt);
                None
            }
            AttemptOutcome::Failed => {
                state.failure = Some(attempt);
                self.draw = USUAL_VERSION;
                self.retry(shard, SendCause::Failure, now, rng)
            }
            AttemptOutcome::Lost => {
                self.draw = USUAL_VERSION;
                self.retry(shard, SendCause::Failure, now, rng)
            }
            AttemptOutcome::NotRun(cause) => {
                state.runs -= 1;
                let order = self.retry_not_run(shard, cause, now, rng);
                let is_idle = order.is_none() && self.shards[shard].in_flight == 0;
                if is_idle && cause == NotRunCause::Shed && self.may_send(shard) {
                    self.shards[shard].wake = Some(now + SAME_TARGET_PAUSE);
                }
                order
            }
        }
    }

    /// Hedges and retries that are due.
    pub fn on_wake(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<SendCommand> {
        let due: Vec<usize> = (0..self.shards.len())
            .filter(|shard| {
                let state = &self.shards[*shard];
                state.answer.is_none() && state.wake.is_some_and(|wake| wake <= now)
            })
            .collect();
        let mut orders = Vec::new();
        for shard in due {
            let state = &mut self.shards[shard];
            state.wake = None;
            let cause = if state.in_flight > 0 { SendCause::Hedge } else { SendCause::Shed };
            orders.extend(self.retry(shard, cause, now, rng));
        }
        orders
    }

    /// Next time at which [`Self::on_wake`] or [`Self::verdict`] has something new.
    pub fn next_wake(&self, now: Duration) -> Duration {
        let hedges = self
            .shards
            .iter()
            .filter(|shard| shard.answer.is_none())
            .filter_map(|shard| shard.wake);
        let aim = Some(self.times.soft_deadline)
            .filter(|aim| self.least < self.shards.len() && now < *aim);
        hedges.chain(aim).chain(Some(self.times.deadline)).min().unwrap_or(self.times.deadline)
    }

    /// The end of the request, once waiting cannot improve it.
    ///
    /// A search with enough shards goes out when its aim comes: a late answer is worth less to the caller than one that
    /// says which shards are missing. One with too few goes on until it has enough or its time is over.
    pub fn verdict(&self, now: Duration) -> Option<PlanVerdict> {
        let answered = self.shards.iter().filter(|shard| shard.answer.is_some()).count();
        let open = self.shards.iter().filter(|shard| shard.is_open()).count();
        let is_aim_over = self.times.soft_deadline <= now && self.least <= answered;
        let is_time_over = self.times.deadline <= now;
        let is_out_of_reach = answered + open < self.least && self.shards.len() > 1;
        if open > 0 && !is_aim_over && !is_time_over && !is_out_of_reach {
            return None;
        }
        if self.least <= answered {
            let attempts = self.shards.iter().filter_map(|shard| shard.answer).collect();
            return Some(PlanVerdict::Answered { attempts, missing: self.shards.len() - answered });
        }
        Some(self.failure(is_time_over))
    }

    /// Ends the plan after its verdict: attempts that are still running are noted, and nothing more is sent.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Notes that the attempts which are still running are cancelled because their targets are silent.
    pub fn record_unanswered(&self, now: Duration) {
        for attempt in self.attempts.iter().filter(|attempt| !attempt.is_over) {
            let usual = self.route_state.typical_latency(attempt.target.distance);
            let waited = now.saturating_sub(attempt.sent);
            attempt.target.record_outcome(AttemptOutcome::Lost, waited, usual, now);
        }
    }

    /// Target of an attempt.
    pub fn target(&self, attempt: AttemptNumber) -> &Arc<TargetState> {
        &self.attempts[attempt].target
    }

    /// Time at which an attempt was sent.
    pub fn sent_at(&self, attempt: AttemptNumber) -> Duration {
        self.attempts[attempt].sent
    }

    /// Whether the pool of an attempt moves to another version.
    pub fn is_pool_moving(&self, attempt: AttemptNumber) -> bool {
        let pool = self.shards[self.attempts[attempt].shard].pool.as_ref();
        pool.is_some_and(|pool| pool.version_split != VersionSplit::Single)
    }

    /// Number of attempts sent.
    pub fn sent_count(&self) -> usize {
        self.attempts.len()
    }

    /// Attempts without a reply whose shards have no answer: target, cause and age of each, separated by blanks.
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

    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.repeat == RepeatRule::Idempotent
    }

    /// Number of shards.
    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// Number of shards that have answered.
    pub fn answered_count(&self) -> usize {
        self.shards.iter().filter(|shard| shard.answer.is_some()).count()
    }

    fn failure(&self, is_time_over: bool) -> PlanVerdict {
        if let [shard] = self.shards.as_slice()
            && let Some(failure) = shard.failure
            && shard.in_flight == 0
        {
            return PlanVerdict::TargetFailed(failure);
        }
        let may_have_run = self.shards.iter().any(|shard| shard.runs > 0);
        if !may_have_run {
            let was_sent = self.shards.iter().any(|shard| shard.sends > 0);
            let cause = if was_sent { RefusalCause::TargetsFull } else { RefusalCause::NoTarget };
            return PlanVerdict::NotRun(cause);
        }
        if is_time_over {
            return PlanVerdict::Unknown(FailureCause::Deadline);
        }
        let is_sharded = self.shards.len() > 1;
        PlanVerdict::Unknown(if is_sharded {
            FailureCause::TooFewShards
        } else {
            FailureCause::AttemptsLost
        })
    }

    /// Shards that are not expected to answer anywhere near the aim, as far as the route can do without them.
    ///
    /// This answers a load beyond what a shard's targets can serve. Sending them all requests keeps their queues full, so
    /// that no request gets an answer in time; with fewer requests, those that are sent do.
    fn overloaded_shards(&self, now: Duration) -> Vec<usize> {
        let spare = self.shards.len() - self.least;
        if spare == 0 {
            return Vec::new();
        }
        let limit = self.times.soft_deadline.saturating_sub(now).mul_f64(OVERLOAD_FACTOR);
        let mut slow: Vec<(Duration, usize)> = (0..self.shards.len())
            .filter_map(|shard| Some((self.least_queued_latency(shard, limit, now)?, shard)))
            .filter(|(latency, _)| limit < *latency)
            .collect();
        slow.sort_unstable();
        slow.into_iter().rev().take(spare).map(|(_, shard)| shard).collect()
    }

    /// Expected latency of the least loaded target of a shard, behind what this host has in flight there. `None` if one
    /// has room for an attempt that answers within `limit`.
    fn least_queued_latency(
        &self,
        shard: usize,
        limit: Duration,
        now: Duration,
    ) -> Option<Duration> {
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

    fn has_target(&self, shard: &ShardPlan) -> bool {
        let mut targets = shard.pool.iter().flat_map(|pool| &pool.targets);
        targets.any(|target| self.route.allows_region(target.region.as_ref()))
    }

    /// Whether another send of the shard is within the limits of its route.
    fn may_send(&self, shard: usize) -> bool {
        let state = &self.shards[shard];
        let limit = if self.is_idempotent() { self.route.max_attempts.max(1) } else { 1 };
        !self.is_closed && state.pool.is_some() && state.sends < MOST_SENDS && state.runs < limit
    }

    fn retry_not_run(
        &mut self,
        shard: usize,
        cause: NotRunCause,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SendCommand> {
        // An attempt that never arrived is replaced at no cost.
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
            && !pool.state.retry_budget.try_take(&self.view.retry_limits, self.view.host_count, now)
        {
            return None;
        }
        Some(self.send_to(shard, target, cause, now))
    }

    fn send(
        &mut self,
        shard: usize,
        cause: SendCause,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<SendCommand> {
        let target = self.pick(shard, cause, now, rng)?;
        Some(self.send_to(shard, target, cause, now))
    }

    fn send_to(
        &mut self,
        shard: usize,
        target: Arc<TargetState>,
        cause: SendCause,
        now: Duration,
    ) -> SendCommand {
        let wake = self.hedge_time(shard, &target, now);
        let state = &mut self.shards[shard];
        state.sends += 1;
        state.runs += 1;
        state.in_flight += 1;
        state.wake = wake;
        let attempt = self.attempts.len();
        self.attempts.push(AttemptPlan {
            shard,
            target: Arc::clone(&target),
            cause,
            sent: now,
            is_over: false,
        });
        SendCommand { attempt, shard, target, cause }
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
        let is_tried = |target: &TargetState| {
            let mut attempts = self.attempts.iter().filter(|attempt| attempt.shard == shard);
            attempts.any(|attempt| std::ptr::eq(&raw const *attempt.target, target))
        };
        let is_barred = |target: &TargetState| {
            !self.route.allows_region(target.region.as_ref())
                || !pool.version_split.allows(target, self.draw, pool.state.new_version_share())
        };
        // A hedge to such a target returns late, and takes the place of a first attempt.
        let left = self.times.soft_deadline.saturating_sub(now);
        let is_vain = |target: &TargetState| {
            cause == SendCause::Hedge && is_overloaded(target, &context, left)
        };
        let fresh = pick_target(&pool.targets, &context, rng, |target| {
            is_tried(target) || is_barred(target) || is_vain(target)
        });
        if let Some(target) = fresh {
            return Some(Arc::clone(target));
        }
        // All targets were tried. One that shed the request may have room by now.
        if cause != SendCause::Shed {
            return None;
        }
        pick_target(&pool.targets, &context, rng, is_barred).map(Arc::clone)
    }

    fn context(&self, pool: &PoolView, now: Duration) -> PickContext<'_> {
        PickContext {
            route: &self.route_state,
            cold_allowance: cold_request_quota(
                pool.contract.cold_requests_per_s,
                self.view.host_count,
            ),
            now,
        }
    }

    /// Time at which an attempt that is sent now is hedged: as late as another target can still answer within the aim,
    /// because most late attempts need no hedge.
    fn hedge_time(
        &self,
        shard: usize,
        target: &Arc<TargetState>,
        now: Duration,
    ) -> Option<Duration> {
        if !self.is_idempotent() || self.route.max_attempts < 2 {
            return None;
        }
        let pool = self.shards[shard].pool.as_ref()?;
        let context = self.context(pool, now);
        let others = pool.targets.iter().filter(|other| {
            !Arc::ptr_eq(other, target) && self.route.allows_region(other.region.as_ref())
        });
        let other = others.map(|other| expected_latency_with_connect(other, &context)).min()?;
        let earliest =
            expected_latency(target, &context).mul_f64(EARLIEST_HEDGE).max(SHORTEST_HEDGE);
        let latest = self.times.soft_deadline.saturating_sub(other.mul_f64(HEDGE_ROOM));
        Some(latest.max(now + earliest))
    }
}

impl ShardPlan {
    fn new(pool: Option<Arc<PoolView>>) -> Self {
        Self { pool, sends: 0, in_flight: 0, runs: 0, answer: None, failure: None, wake: None }
    }

    /// Whether an answer may still come.
    fn is_open(&self) -> bool {
        self.answer.is_none() && (self.in_flight > 0 || self.wake.is_some())
    }
}
