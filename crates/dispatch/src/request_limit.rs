//! Limit on requests per second that a target names in its replies and that applies to all hosts together.
//!
//! A host has a share of the rate, and gets a turn each time its share adds up to one request. Turns begin at a random time
//! of their interval, so that the hosts do not use them together, and a turn that is not used for some time is lost. So the
//! requests of all hosts stay within the limit even if it allows a host far less than one request in a window.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use rand::Rng;

/// Fraction of the limit that is used, because hosts see changes of their number at different times.
const USED_FRACTION: f64 = 0.9;

/// Requests per second of all hosts to a target that names a lower limit, so that they learn when the limit ends.
const MIN_RATE: f64 = 0.25;

/// Time whose turns a host may use at once. A target that names a limit has no use for a burst after a silence.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Time after which an unused turn is lost. Together with the window of the platform it bounds the requests of many hosts
/// that each have kept a turn.
const TURN_VALIDITY: Duration = Duration::from_millis(1500);

/// Part of a turn's interval for which it is left to requests that are one level more urgent.
const PRIORITY_STEP: f64 = 0.25;

/// Lowest level of urgency with a delay of its own; larger numbers are treated like it.
const LOWEST_LEVEL: u8 = 3;

/// Bounds of the retry-after time of a request for which no target has a turn.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(2000));

/// Limit that one target names, as far as this host knows, and the turns of this host.
#[derive(Debug, Default)]
pub struct RequestLimit {
    /// Whether the target names a limit, so that requests to other targets take no lock.
    is_named: AtomicBool,
    turns: Mutex<RequestTurns>,
}

#[derive(Debug, Default)]
struct RequestTurns {
    /// Requests per second of all hosts; `None` if the target names no limit.
    rate: Option<f64>,
    /// When the limit was first named.
    since: Duration,
    /// Turns that have come up since then, and the elapsed part of the next one.
    issued: f64,
    /// Turns that were used or lost; a whole number, at most `issued`.
    used: f64,
    updated: Duration,
}

/// Change of a limit with a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target names a limit of this many requests per second, and named none before.
    Learnt(f64),
    /// The target names another limit.
    Changed {
        /// Requests per second before the reply.
        before: f64,
        /// Requests per second from now on.
        after: f64,
    },
    /// The target no longer names its limit.
    Ended {
        /// Requests per second before the reply.
        before: f64,
    },
}

/// Claim of one request on the turns of this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnClaim {
    /// This host's part of the rate, from 0 to 1.
    pub share: f64,
    /// Levels of urgency above that of the request; 0 for the most urgent ones.
    pub level: u8,
}

impl RequestLimit {
    /// Records what a reply names, in requests per second, to a request sent at `sent`. `random` returns a number from 0 to 1.
    ///
    /// A reply that names no limit ends it, unless the request was sent before the limit was known: such replies may have been
    /// written before the first one that named it.
    pub fn record_reply(
        &self,
        rate: Option<f64>,
        sent: Duration,
        now: Duration,
        random: impl FnOnce() -> f64,
    ) -> Option<LimitChange> {
        if rate.is_none() && !self.is_named.load(Relaxed) {
            return None;
        }
        let mut turns = self.turns();
        let change = match (turns.rate, rate) {
            (None, Some(rate)) => {
                *turns = RequestTurns {
                    since: now,
                    issued: random(),
                    updated: now,
                    ..RequestTurns::default()
                };
                LimitChange::Learnt(rate)
            }
            (Some(before), Some(after)) if before != after => {
                LimitChange::Changed { before, after }
            }
            (Some(before), None) if turns.since <= sent => LimitChange::Ended { before },
            _ => return None,
        };
        turns.rate = rate;
        self.is_named.store(rate.is_some(), Relaxed);
        Some(change)
    }

    /// Requests per second of all hosts that the target names.
    pub fn rate(&self) -> Option<f64> {
        if self.is_named.load(Relaxed) { self.turns().rate } else { None }
    }

    /// Whether the target names a limit.
    pub fn is_named(&self) -> bool {
        self.is_named.load(Relaxed)
    }

    /// Time until the request may be sent: zero if a turn is there or the target names no limit.
    pub fn turn_delay(&self, claim: TurnClaim, now: Duration) -> Duration {
        if !self.is_named() {
            return Duration::ZERO;
        }
        self.turns().delay(claim, now)
    }

    /// Uses a turn of this host, if the target names a limit; returns false if there is none.
    pub fn try_take(&self, claim: TurnClaim, now: Duration) -> bool {
        if !self.is_named() {
            return true;
        }
        let mut turns = self.turns();
        let has_turn = turns.delay(claim, now).is_zero();
        if has_turn && turns.rate.is_some() {
            turns.used += 1.0;
        }
        has_turn
    }

    fn turns(&self) -> MutexGuard<'_, RequestTurns> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RequestTurns {
    fn delay(&mut self, claim: TurnClaim, now: Duration) -> Duration {
        let Some(rate) = self.rate else { return Duration::ZERO };
        let turn_rate = rate.max(MIN_RATE) * USED_FRACTION * claim.share;
        if turn_rate <= 0.0 {
            return Duration::MAX;
        }
        self.advance(turn_rate, now);
        let level = f64::from(claim.level.min(LOWEST_LEVEL));
        let valid = (turn_rate * TURN_VALIDITY.as_secs_f64()).min(1.0);
        let missing = 1.0 + level * PRIORITY_STEP * valid - (self.issued - self.used);
        if missing <= 0.0 { Duration::ZERO } else { duration(missing / turn_rate) }
    }

    /// Adds the turns that have come up, and drops those that were not used.
    fn advance(&mut self, turn_rate: f64, now: Duration) {
        self.issued += turn_rate * now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let issued = self.issued.floor();
        let kept = (turn_rate * BURST_TIME.as_secs_f64()).floor().max(1.0);
        let newest_age = duration((self.issued - issued) / turn_rate);
        let is_valid = newest_age <= TURN_VALIDITY;
        self.used = self.used.max(if is_valid { issued - kept } else { issued });
    }
}

/// Time after which a request may be sent again that came `delay` before the next turn. It is spread over the time that
/// requests of its urgency have to wait, so that they do not return together and more urgent ones return first.
pub fn retry_after(delay: Duration, level: u8, rng: &mut impl Rng) -> Duration {
    let (min, max) = RETRY_AFTER_RANGE;
    let level = level.min(LOWEST_LEVEL);
    let spread = 1.0 + f64::from(level) + rng.random::<f64>();
    delay.clamp(min, max / (2 + u32::from(level))).mul_f64(spread)
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
