//! What one host knows of one target from its own attempts. A pick reads atomics alone.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use vanillapick_policy::micros::micros;

use crate::attempt::AttemptOutcome;
use crate::attempt::NotRunCause;
use crate::config_document::RegionId;
use crate::target_record::TargetRecord;

/// How far a target is from this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TargetDistance {
    /// In the failure domain of this host.
    Domain,
    /// In another failure domain of the region.
    Region,
    /// In another region.
    Remote,
}

/// Largest step of the relative_latency for one reply, as parts of its value. A pause delays a few replies and must not
/// make a target look slow for long; a target that stays slow shows within some 15 replies.
const STEP_UP: f64 = 0.15;

/// See [`STEP_UP`]; a target that has recovered is trusted sooner.
const STEP_DOWN: f64 = 0.25;

/// What the largest step grows by for each second since the last reply: a host that seldom asks a target has to learn
/// from few replies.
const STEP_GROWTH: f64 = 0.5;

/// Bound on the growth.
const MOST_GROWTH: f64 = 0.75;

/// Time in which the excess of an unsampled relative_latency halves, so that a target that was slow is tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of one attempt in the share of failed attempts.
const FAILURE_WEIGHT: f64 = 0.1;

/// Time in which the share of failed attempts halves while nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// First time for which a lost target is avoided; it doubles with each loss in a row.
const SHORTEST_AVOIDANCE: Duration = Duration::from_millis(250);

/// Longest time for which a lost target is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(4);

/// Time for which a target that was full is avoided: a few requests' work.
const SHED_AVOIDANCE: Duration = Duration::from_millis(30);

/// State of one start of a target.
#[derive(Debug)]
pub struct TargetState {
    /// Its entry in the registry. Draining and cold times change by [`crate::registry`]; the rest is fixed.
    pub record: TargetRecord,
    /// Distance from this host.
    pub distance: TargetDistance,
    /// Region of its failure domain, if that is known.
    pub region: Option<RegionId>,
    in_flight: AtomicU32,
    /// Time of the last reply, or at which the first attempt in flight was sent.
    progress_us: AtomicU64,
    /// Latency relative to what is usual, as bits of a float; 1 is usual.
    relative_latency: AtomicU64,
    /// Share of failed attempts, as bits of a float.
    failures: AtomicU64,
    sampled_us: AtomicU64,
    avoided_until_us: AtomicU64,
    losses_in_row: AtomicU32,
    idle_connections: AtomicU32,
    cold_until_us: AtomicU64,
    /// Start of the second in which `cold_sent` counts.
    cold_second: AtomicU64,
    cold_sent: AtomicU32,
}

impl TargetState {
    /// State of a target about which nothing is known but its record, read at `now`.
    pub fn new(
        record: TargetRecord,
        distance: TargetDistance,
        region: Option<RegionId>,
        now: Duration,
    ) -> Self {
        let cold_until = micros(now + record.cold_remaining);
        Self {
            record,
            distance,
            region,
            in_flight: AtomicU32::new(0),
            progress_us: AtomicU64::new(0),
            relative_latency: AtomicU64::new(1.0_f64.to_bits()),
            failures: AtomicU64::new(0.0_f64.to_bits()),
            sampled_us: AtomicU64::new(micros(now)),
            avoided_until_us: AtomicU64::new(0),
            losses_in_row: AtomicU32::new(0),
            idle_connections: AtomicU32::new(0),
            cold_until_us: AtomicU64::new(cold_until),
            cold_second: AtomicU64::new(0),
            cold_sent: AtomicU32::new(0),
        }
    }

    /// Attempts in flight from this host.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Notes that an attempt is on its way.
    pub fn record_sent(&self, now: Duration) {
        if self.in_flight.fetch_add(1, Relaxed) == 0 {
            self.progress_us.store(micros(now), Relaxed);
        }
        if self.is_cold(now) {
            self.cold_sent.fetch_add(1, Relaxed);
        }
    }

    /// Notes that an attempt is over, in whatever way. Follows each [`Self::record_sent`] once.
    pub fn record_finished(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Notes how an attempt ended after `latency`, where `usual` is usual for its route at this distance.
    pub fn record_outcome(
        &self,
        end: AttemptOutcome,
        latency: Duration,
        usual: Duration,
        now: Duration,
    ) {
        let has_failed =
            matches!(end, AttemptOutcome::Failed | AttemptOutcome::NotRun(NotRunCause::Shed));
        match end {
            AttemptOutcome::Answered => {
                self.progress_us.store(micros(now), Relaxed);
                self.losses_in_row.store(0, Relaxed);
                let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(1e-6);
                let before = self.relative_latency(now);
                let growth = (self.unsampled(now).as_secs_f64() * STEP_GROWTH).min(MOST_GROWTH);
                let up = (STEP_UP + growth) * before;
                let down = (STEP_DOWN + growth).min(MOST_GROWTH) * before;
                let step = (ratio - before).clamp(-down, up);
                self.relative_latency.store((before + step).to_bits(), Relaxed);
            }
            AttemptOutcome::Failed => self.progress_us.store(micros(now), Relaxed),
            AttemptOutcome::NotRun(NotRunCause::Shed) => self.avoid(SHED_AVOIDANCE, now),
            AttemptOutcome::NotRun(NotRunCause::Misdirected) => self.avoid(LONGEST_AVOIDANCE, now),
            AttemptOutcome::NotRun(NotRunCause::Unsent) => return,
            AttemptOutcome::Lost | AttemptOutcome::NotRun(NotRunCause::Unreachable) => {
                let losses = self.losses_in_row.fetch_add(1, Relaxed).min(8);
                self.avoid((SHORTEST_AVOIDANCE * (1 << losses)).min(LONGEST_AVOIDANCE), now);
            }
        }
        let before = self.failure_rate(now);
        let sample = f64::from(u8::from(has_failed));
        self.failures.store((before + (sample - before) * FAILURE_WEIGHT).to_bits(), Relaxed);
        self.sampled_us.store(micros(now), Relaxed);
    }

    /// Whether an attempt finds a connection that is open already.
    pub fn has_idle_connection(&self) -> bool {
        self.idle_connections.load(Relaxed) > 0
    }

    /// Notes how many connections are open and idle.
    pub fn set_idle_connections(&self, count: usize) {
        self.idle_connections.store(u32::try_from(count).unwrap_or(u32::MAX), Relaxed);
    }

    /// Latency relative to what is usual.
    pub fn relative_latency(&self, now: Duration) -> f64 {
        let value = f64::from_bits(self.relative_latency.load(Relaxed));
        if value <= 1.0 { value } else { 1.0 + (value - 1.0) * self.decay(SLOWNESS_HALF_LIFE, now) }
    }

    /// Share of attempts that fail or are shed.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        f64::from_bits(self.failures.load(Relaxed)) * self.decay(FAILURE_HALF_LIFE, now)
    }

    /// Time since the last reply while attempts are in flight; zero without any.
    pub fn stalled_for(&self, now: Duration) -> Duration {
        if self.in_flight() == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros(micros(now).saturating_sub(self.progress_us.load(Relaxed)))
    }

    /// Whether the target is avoided after a loss.
    pub fn is_in_backoff(&self, now: Duration) -> bool {
        micros(now) < self.avoided_until_us.load(Relaxed)
    }

    /// Whether the target said that it is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        micros(now) < self.cold_until_us.load(Relaxed)
    }

    /// Takes the remaining cold time of a newer record, read at `now`.
    pub fn set_cold(&self, cold_remaining: Duration, now: Duration) {
        self.cold_until_us.store(micros(now + cold_remaining), Relaxed);
    }

    /// Whether a cold target may be sent one more request in this second, at `allowed` a second from this host.
    pub fn has_cold_capacity(&self, allowed: u32, now: Duration) -> bool {
        let second = now.as_secs();
        if self.cold_second.swap(second, Relaxed) != second {
            self.cold_sent.store(0, Relaxed);
        }
        self.cold_sent.load(Relaxed) < allowed
    }

    fn avoid(&self, time: Duration, now: Duration) {
        self.avoided_until_us.fetch_max(micros(now + time), Relaxed);
    }

    fn decay(&self, half_life: Duration, now: Duration) -> f64 {
        (-self.unsampled(now).as_secs_f64() / half_life.as_secs_f64()).exp2()
    }

    fn unsampled(&self, now: Duration) -> Duration {
        Duration::from_micros(micros(now).saturating_sub(self.sampled_us.load(Relaxed)))
    }
}
