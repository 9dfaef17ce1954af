//! State of one target as observed by this host's own attempts. The statistics are atomics, so that picking takes no
//! lock, except for a cold target.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use vanillapick_policy::micros::micros;

use crate::attempt::AttemptOutcome;
use crate::attempt::NotRunCause;
use crate::config_document::RegionId;
use crate::request_limit::RequestLimit;
use crate::target_record::TargetRecord;

/// Network distance of a target from this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TargetDistance {
    /// In the failure domain of this host.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region.
    Remote,
}

/// Maximum increase of the relative latency for one reply, as a fraction of its value. A pause that delays a few
/// replies must not mark a target as slow for long; a target that stays slow is recognized within about 15 replies.
const MAX_STEP_UP: f64 = 0.15;

/// Like [`MAX_STEP_UP`] for decreases; larger, so that a recovered target gets requests again sooner.
const MAX_STEP_DOWN: f64 = 0.25;

/// Growth of the maximum step per second since the last sample, because a host that rarely uses a target has to learn
/// from few replies.
const STEP_GROWTH_PER_S: f64 = 0.5;

/// Upper bound of the growth, and of the decrease for one reply including the growth.
const MAX_STEP_GROWTH: f64 = 0.75;

/// Half-life of the excess of the relative latency over 1 while there are no samples, so that a slow target is retried.
const RELATIVE_LATENCY_HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of one attempt in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Half-life of the failure rate while there are no samples.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Backoff after the first loss; doubles with each consecutive loss.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Upper bound of the backoff after losses.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Backoff after a target shed a request: the time to execute a few requests.
const SHED_BACKOFF: Duration = Duration::from_millis(30);

/// Time for which a target isn't used after another one answered at its address. A host that the store doesn't answer learns
/// only so that the target is gone; each further call would be a useless one for the target that has the address now.
const MISDIRECTED_EXCLUSION: Duration = Duration::from_secs(10);

/// Time for which a target that says it is leaving is still used if there is no other. It serves for longer, but must not get
/// requests for much longer than the store would take to say so.
const LEAVING_USE: Duration = Duration::from_secs(1);

/// Time in which the requests to a cold target are limited.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a target that refused a connection may start again before its registration says so. It is longer than the longest
/// backoff, after which the target is tried again.
const RESTART_SUSPICION: Duration = Duration::from_secs(5);

/// Time for which the store tells all hosts that a target refused a connection. It is longer than [`RESTART_SUSPICION`], so that one
/// write serves for several refusals.
pub const SHARED_REFUSAL_TIME: Duration = Duration::from_secs(8);

/// State of one target instance; a restart creates a new one.
#[derive(Debug)]
pub struct TargetState {
    /// Registration of the target when it was first seen. Later changes of draining and cold time are applied by
    /// [`crate::registry`].
    pub record: TargetRecord,
    pub distance: TargetDistance,
    /// Region of the failure domain, if known.
    pub region: Option<RegionId>,
    /// Limit on requests that the target names.
    pub request_limit: RequestLimit,
    in_flight: AtomicU32,
    /// Time of the last reply, or of the first send since the target was idle.
    last_progress_us: AtomicU64,
    /// Latency relative to the typical latency of the route, as the bits of an `f64`; 1 is typical.
    relative_latency: AtomicU64,
    /// Moving average of failed attempts, as the bits of an `f64`.
    failure_rate: AtomicU64,
    last_sample_us: AtomicU64,
    backoff_until_us: AtomicU64,
    misdirected_until_us: AtomicU64,
    /// Time until which the target wants no requests of this host.
    paused_until_us: AtomicU64,
    /// When the target first said that it is leaving; 0 if it has not.
    leaving_since_us: AtomicU64,
    consecutive_losses: AtomicU32,
    idle_connections: AtomicU32,
    cold_until_us: AtomicU64,
    /// Time until which the target may have started again since it refused a connection.
    restart_suspected_until_us: AtomicU64,
    /// Time until which the store tells all hosts that the target refused a connection.
    refusal_shared_until_us: AtomicU64,
    /// When requests were sent to the target while it was cold, for [`COLD_WINDOW`].
    cold_sends: Mutex<VecDeque<Duration>>,
}

impl TargetState {
    /// State of a target without any samples; `record` was read at `now`.
    pub fn new(
        record: TargetRecord,
        distance: TargetDistance,
        region: Option<RegionId>,
        now: Duration,
    ) -> Self {
        let cold_until = micros(now.saturating_add(record.cold_remaining));
        Self {
            record,
            distance,
            region,
            request_limit: RequestLimit::default(),
            in_flight: AtomicU32::new(0),
            last_progress_us: AtomicU64::new(0),
            relative_latency: AtomicU64::new(1.0_f64.to_bits()),
            failure_rate: AtomicU64::new(0.0_f64.to_bits()),
            last_sample_us: AtomicU64::new(micros(now)),
            backoff_until_us: AtomicU64::new(0),
            misdirected_until_us: AtomicU64::new(0),
            paused_until_us: AtomicU64::new(0),
            leaving_since_us: AtomicU64::new(0),
            consecutive_losses: AtomicU32::new(0),
            idle_connections: AtomicU32::new(0),
            cold_until_us: AtomicU64::new(cold_until),
            restart_suspected_until_us: AtomicU64::new(0),
            refusal_shared_until_us: AtomicU64::new(0),
            cold_sends: Mutex::default(),
        }
    }

    /// Number of attempts of this host that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Counts an attempt that is being sent.
    pub fn record_sent(&self, now: Duration) {
        if self.in_flight.fetch_add(1, Relaxed) == 0 {
            self.last_progress_us.store(micros(now), Relaxed);
        }
        if self.is_cold(now) {
            self.cold_sends(now).push_back(now);
        }
    }

    /// Counts the end of an attempt with any outcome; must be called once for each [`Self::record_sent`].
    pub fn record_finished(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Updates the statistics with an attempt that ended after `latency`; `typical` is the typical latency of its route
    /// at this distance.
    pub fn record_outcome(
        &self,
        outcome: AttemptOutcome,
        latency: Duration,
        typical: Duration,
        now: Duration,
    ) {
        let has_failed =
            matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::NotRun(NotRunCause::Shed));
        match outcome {
            AttemptOutcome::Answered => {
                self.last_progress_us.store(micros(now), Relaxed);
                self.consecutive_losses.store(0, Relaxed);
                let ratio = latency.as_secs_f64() / typical.as_secs_f64().max(1e-6);
                let before = self.relative_latency(now);
                let growth = (self.since_last_sample(now).as_secs_f64() * STEP_GROWTH_PER_S)
                    .min(MAX_STEP_GROWTH);
                let up = (MAX_STEP_UP + growth) * before;
                let down = (MAX_STEP_DOWN + growth).min(MAX_STEP_GROWTH) * before;
                let step = (ratio - before).clamp(-down, up);
                self.relative_latency.store((before + step).to_bits(), Relaxed);
            }
            AttemptOutcome::Failed => self.last_progress_us.store(micros(now), Relaxed),
            AttemptOutcome::NotRun(NotRunCause::Shed) => self.back_off(SHED_BACKOFF, now),
            AttemptOutcome::NotRun(NotRunCause::Misdirected) => {
                self.misdirected_until_us.fetch_max(micros(now + MISDIRECTED_EXCLUSION), Relaxed);
            }
            AttemptOutcome::NotRun(NotRunCause::Unsent | NotRunCause::Withdrawn) => return,
            AttemptOutcome::Lost | AttemptOutcome::NotRun(NotRunCause::Unreachable) => {
                let losses = self.consecutive_losses.fetch_add(1, Relaxed).min(8);
                self.back_off((MIN_BACKOFF * (1 << losses)).min(MAX_BACKOFF), now);
            }
        }
        let before = self.failure_rate(now);
        let sample = f64::from(u8::from(has_failed));
        self.failure_rate.store((before + (sample - before) * FAILURE_WEIGHT).to_bits(), Relaxed);
        self.last_sample_us.store(micros(now), Relaxed);
    }

    /// Whether an attempt can reuse an open connection.
    pub fn has_idle_connection(&self) -> bool {
        self.idle_connections.load(Relaxed) > 0
    }

    /// Sets the number of open connections without an attempt.
    pub fn set_idle_connections(&self, count: usize) {
        self.idle_connections.store(u32::try_from(count).unwrap_or(u32::MAX), Relaxed);
    }

    /// Latency relative to the typical latency of the route; an excess over 1 decays while there are no samples.
    pub fn relative_latency(&self, now: Duration) -> f64 {
        let value = f64::from_bits(self.relative_latency.load(Relaxed));
        if value <= 1.0 {
            value
        } else {
            1.0 + (value - 1.0) * self.decay(RELATIVE_LATENCY_HALF_LIFE, now)
        }
    }

    /// Moving average of attempts that fail or are shed, from 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        f64::from_bits(self.failure_rate.load(Relaxed)) * self.decay(FAILURE_HALF_LIFE, now)
    }

    /// Time without a reply while attempts are in flight; zero if there are none.
    pub fn stalled_for(&self, now: Duration) -> Duration {
        if self.in_flight() == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(micros(now).saturating_sub(self.last_progress_us.load(Relaxed)))
    }

    /// Whether another target answered at the address of this one lately.
    pub fn is_misdirected(&self, now: Duration) -> bool {
        micros(now) < self.misdirected_until_us.load(Relaxed)
    }

    /// Records that the target wants no requests of this host until `until`; returns whether it wanted some before.
    pub fn pause(&self, until: Duration, now: Duration) -> bool {
        self.paused_until_us.fetch_max(micros(until), Relaxed) <= micros(now)
    }

    /// Time for which the target wants no more requests of this host.
    pub fn paused_for(&self, now: Duration) -> Duration {
        Duration::from_micros(self.paused_until_us.load(Relaxed).saturating_sub(micros(now)))
    }

    /// Records that the target says it is leaving; returns whether this is new.
    pub fn record_leaving(&self, now: Duration) -> bool {
        let now = micros(now).max(1);
        self.leaving_since_us.compare_exchange(0, now, Relaxed, Relaxed).is_ok()
    }

    /// Whether the target says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since_us.load(Relaxed) > 0
    }

    /// Whether the target must get no more requests, because it said some time ago that it is leaving.
    pub fn has_left(&self, now: Duration) -> bool {
        let since = self.leaving_since_us.load(Relaxed);
        since > 0 && since + micros(LEAVING_USE) <= micros(now)
    }

    /// Whether the target is in backoff after a lost or shed attempt.
    pub fn is_in_backoff(&self, now: Duration) -> bool {
        micros(now) < self.backoff_until_us.load(Relaxed)
    }

    /// Whether the target is cold according to its registration, or may have started again without one so far.
    pub fn is_cold(&self, now: Duration) -> bool {
        let until = self.cold_until_us.load(Relaxed);
        micros(now) < until.max(self.restart_suspected_until_us.load(Relaxed))
    }

    /// Records that nothing listens at the address of the target: its process has ended. If it starts again under its id, it is cold
    /// before it is registered so.
    pub fn record_refusal(&self, now: Duration) {
        self.restart_suspected_until_us.fetch_max(micros(now + RESTART_SUSPICION), Relaxed);
    }

    /// Records that the store tells all hosts of a refused connection from `now` on.
    pub fn record_shared_refusal(&self, now: Duration) {
        self.refusal_shared_until_us.fetch_max(micros(now + SHARED_REFUSAL_TIME), Relaxed);
    }

    /// Whether the target may have started again and the store does not tell all hosts for as long as this host takes it for so.
    pub fn has_unshared_refusal(&self, now: Duration) -> bool {
        let suspected_until = self.restart_suspected_until_us.load(Relaxed);
        micros(now) < suspected_until
            && self.refusal_shared_until_us.load(Relaxed) < suspected_until
    }

    /// Updates the remaining cold time from a newer record, read at `now`.
    pub fn set_cold(&self, cold_remaining: Duration, now: Duration) {
        self.cold_until_us.store(micros(now.saturating_add(cold_remaining)), Relaxed);
    }

    /// Whether this host may send another request now, at `allowed` requests in any second to a cold target.
    pub fn has_cold_capacity(&self, allowed: u32, now: Duration) -> bool {
        self.cold_sends(now).len() < allowed as usize
    }

    /// Sends while the target was cold, without those before the current window.
    fn cold_sends(&self, now: Duration) -> MutexGuard<'_, VecDeque<Duration>> {
        let mut sends = self.cold_sends.lock().unwrap_or_else(PoisonError::into_inner);
        while sends.front().is_some_and(|sent| *sent + COLD_WINDOW <= now) {
            sends.pop_front();
        }
        sends
    }

    fn back_off(&self, time: Duration, now: Duration) {
        self.backoff_until_us.fetch_max(micros(now + time), Relaxed);
    }

    fn decay(&self, half_life: Duration, now: Duration) -> f64 {
        (-self.since_last_sample(now).as_secs_f64() / half_life.as_secs_f64()).exp2()
    }

    fn since_last_sample(&self, now: Duration) -> Duration {
        Duration::from_micros(micros(now).saturating_sub(self.last_sample_us.load(Relaxed)))
    }
}
