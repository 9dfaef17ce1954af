//! Cold starts of one target: detection, initial limit, ramp and reset.
//!
//! A cold target can serve only its allowance, counted over all entry hosts, so only one host, its owner, sends to it
//! ([`crate::shares::cold_owner`]). The limit grows from the allowance to the number of slots during the ramp time of
//! the contract, but no faster than successful replies confirm. Another sign of a cold start resets it to the
//! allowance.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::contract::TargetContract;
use vanillapick_model::host::IncarnationNumber;

use crate::shares::cold_owner;
use crate::shares::cold_share;

/// Successful replies required for each slot above the allowance.
pub const SUCCESSES_PER_SLOT: u32 = 10;

/// A reply counts as slow when its latency exceeds both the median of the pool and the typical latency of the target by
/// this factor.
pub const LATENCY_STEP_FACTOR: u32 = 4;

/// Consecutive slow replies that indicate a cold start. A single slow reply is a straggler.
pub const LATENCY_STEP_REPLIES: u32 = 5;

/// The weight of a new sample in the moving average of a target's latency is 1 divided by this number.
const TYPICAL_LATENCY_WEIGHT: u32 = 16;

/// Ramp times without an update after which a host considers the target warm.
const STALE_RAMPS: u32 = 2;

/// Cold-start status of a target, exchanged between hosts. Merging takes the maximum by incarnation, then epoch, then
/// phase, because an epoch only changes from cold to warm.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ColdStatus {
    /// Incarnation of the target's process, or 0 before the first reply.
    pub incarnation: IncarnationNumber,
    /// Number of times that the ramp has started within the incarnation.
    pub epoch: u32,
    /// Whether the target has warmed up in this epoch.
    pub phase: ColdPhase,
}

/// Phase of the latest epoch of a target.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ColdPhase {
    /// Only a part of the slots can be used.
    Cold,
    /// All slots can be used.
    #[default]
    Warm,
}

/// How long this host has been the owner of a target's cold starts according to its own membership view.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdOwnership {
    owned_since: Option<Duration>,
}

impl ColdOwnership {
    /// Applies a membership view. A host that remains the owner keeps its start time and thus its full share, because
    /// no other host can be the owner in a view that differs by one change.
    pub fn apply_view<'a>(
        &mut self,
        target: &str,
        hosts: impl IntoIterator<Item = &'a str>,
        host: &str,
        now: Duration,
    ) {
        let owns = cold_owner(target, hosts) == Some(host);
        self.owned_since = owns.then(|| self.owned_since.unwrap_or(now));
    }

    /// Time since this host became the owner; `None` when it is not.
    pub fn owned_for(&self, now: Duration) -> Option<Duration> {
        self.owned_since.map(|since| now.saturating_sub(since))
    }
}

/// Cold-start state of one target together with its ownership.
#[derive(Clone, Debug)]
pub struct ColdStart {
    /// Detection of cold starts and the resulting limit.
    pub tracker: ColdTracker,
    /// Whether and since when this host is the owner.
    pub ownership: ColdOwnership,
}

impl ColdStart {
    /// Creates the state of a target that is assumed to be warm and is not owned by this host.
    pub fn new(contract: &TargetContract) -> Self {
        Self { tracker: ColdTracker::new(contract), ownership: ColdOwnership::default() }
    }
}

/// Detects the cold starts of one target as seen by one host and limits requests to it.
#[derive(Clone, Debug)]
pub struct ColdTracker {
    slots: u32,
    allowance: u32,
    ramp: Duration,
    status: ColdStatus,
    /// Time at which this host detected or received the present epoch.
    cold_since: Duration,
    /// Whether the last reply carried the cold mark, or another host has reported a cold start since then.
    last_marked_cold: bool,
    /// Successful replies since the start of the epoch.
    successes: u32,
    typical_latency: Option<Duration>,
    consecutive_slow_replies: u32,
    /// Whether slow replies alone started the present epoch. A straggler looks the same, so each host may still run one
    /// request at a time. If only the owner could send to the target, a shard could be left without a replica.
    is_latency_step: bool,
}

impl ColdTracker {
    /// Creates the tracker of a target that is assumed to be warm until a cold start is detected.
    pub fn new(contract: &TargetContract) -> Self {
        let slots = contract.slots.max(1);
        Self {
            slots,
            allowance: contract.cold_allowance.clamp(1, slots),
            ramp: contract.cold_ramp,
            status: ColdStatus::default(),
            cold_since: Duration::ZERO,
            last_marked_cold: false,
            successes: 0,
            typical_latency: None,
            consecutive_slow_replies: 0,
            is_latency_step: false,
        }
    }

    /// Number of requests that this host may run at the target. `owned_for` is the time since this host became the
    /// owner. While the target is warm, the limit is the number of slots and is not divided between hosts.
    pub fn host_limit(&self, owned_for: Option<Duration>, now: Duration) -> u32 {
        if !self.is_cold(now) {
            return self.slots;
        }
        cold_share(self.limit(now), owned_for).max(u32::from(self.is_latency_step))
    }

    /// Whether the target is in a cold start. A host that neither sends to the target nor receives updates about it
    /// considers it warm after [`STALE_RAMPS`] ramp times.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.status.phase == ColdPhase::Cold && now < self.cold_since + self.ramp * STALE_RAMPS
    }

    /// Number of requests that all hosts together may run at the target. It grows with the time since the cold start
    /// and with the number of successful replies.
    pub fn limit(&self, now: Duration) -> u32 {
        if !self.is_cold(now) {
            return self.slots;
        }
        let elapsed = now.saturating_sub(self.cold_since).as_secs_f64();
        let part = (elapsed / self.ramp.as_secs_f64().max(0.001)).min(1.0);
        // Only a whole slot can run a request. The value is at most `slots`, so the cast does not truncate.
        let by_time = (f64::from(self.slots - self.allowance) * part).floor() as u32;
        let by_success = self.successes / SUCCESSES_PER_SLOT;
        self.allowance + by_time.min(by_success)
    }

    /// Records the marks that the target sent in a refusal or at its status endpoint. A cold mark that is still set
    /// when the ramp time is over restarts the ramp. Returns the new status if it must be sent to the other hosts at
    /// once.
    pub fn record_marks(&mut self, marks: &TargetMarks, now: Duration) -> Option<ColdStatus> {
        if marks.incarnation < self.status.incarnation {
            return None;
        }
        if marks.incarnation > self.status.incarnation {
            return self.start_incarnation(marks, now);
        }
        let mark_returned = marks.cold && !self.last_marked_cold;
        let mark_cleared = !marks.cold && self.last_marked_cold;
        let ramp_is_over = now >= self.cold_since + self.ramp;
        let still_marked = marks.cold && ramp_is_over;
        self.last_marked_cold = marks.cold;
        if mark_cleared && ramp_is_over {
            // Hosts that do not own the target receive no replies from it, so they depend on the mark.
            self.status.phase = ColdPhase::Warm;
            return Some(self.status);
        }
        (mark_returned || still_marked).then(|| self.restart_ramp(now))
    }

    /// Records a usable reply. `pool_latency` is the median latency of the pool, if known. Returns the new status if it
    /// must be sent to the other hosts at once.
    pub fn record_reply(
        &mut self,
        marks: &TargetMarks,
        latency: Duration,
        pool_latency: Option<Duration>,
        now: Duration,
    ) -> Option<ColdStatus> {
        let known_before = self.status.incarnation;
        let change = self.record_marks(marks, now);
        if change.is_some() || marks.incarnation != known_before {
            return change;
        }
        if self.record_latency(latency, pool_latency) {
            let status = self.restart_ramp(now);
            self.is_latency_step = true;
            return Some(status);
        }
        if self.status.phase == ColdPhase::Warm {
            return None;
        }
        self.successes = self.successes.saturating_add(1);
        self.finish_ramp(now)
    }

    /// Records that the target refused a call because it is cold, so the limit was too high.
    pub fn record_cold_refusal(&mut self, now: Duration) -> ColdStatus {
        self.restart_ramp(now)
    }

    /// Records an attempt that was lost or timed out. It resets the limit of a cold target to the allowance. A warm
    /// target remains warm until a reply shows a new incarnation.
    pub fn record_failure(&mut self, now: Duration) -> Option<ColdStatus> {
        self.is_cold(now).then(|| self.restart_ramp(now))
    }

    /// Merges the status received from another host.
    pub fn merge(&mut self, status: ColdStatus, now: Duration) {
        if status <= self.status {
            return;
        }
        self.status = status;
        self.cold_since = now;
        self.successes = 0;
        self.consecutive_slow_replies = 0;
        // A cold mark in the next reply belongs to the cold start that the other host reported, not to a further one.
        self.last_marked_cold = status.phase == ColdPhase::Cold;
    }

    /// Current status, to be sent to other hosts.
    pub fn status(&self) -> ColdStatus {
        self.status
    }

    /// A new process is considered cold even if its reply lacks the cold mark. The first process that a host sees is
    /// considered warm unless marked cold, because most targets have been running for a long time.
    fn start_incarnation(&mut self, marks: &TargetMarks, now: Duration) -> Option<ColdStatus> {
        let first_seen = self.status.incarnation == 0;
        self.status =
            ColdStatus { incarnation: marks.incarnation, epoch: 0, phase: ColdPhase::Warm };
        self.last_marked_cold = marks.cold;
        self.typical_latency = None;
        if first_seen && !marks.cold {
            return None;
        }
        Some(self.restart_ramp(now))
    }

    fn restart_ramp(&mut self, now: Duration) -> ColdStatus {
        self.status.epoch = self.status.epoch.saturating_add(1);
        self.status.phase = ColdPhase::Cold;
        self.cold_since = now;
        self.successes = 0;
        self.consecutive_slow_replies = 0;
        self.is_latency_step = false;
        self.status
    }

    /// Ends the cold start when the ramp time has passed, enough replies were successful to use all slots, and the
    /// target no longer sends the cold mark.
    fn finish_ramp(&mut self, now: Duration) -> Option<ColdStatus> {
        if self.last_marked_cold
            || now < self.cold_since + self.ramp
            || self.limit(now) < self.slots
        {
            return None;
        }
        self.status.phase = ColdPhase::Warm;
        Some(self.status)
    }

    /// Whether this reply is the last of [`LATENCY_STEP_REPLIES`] consecutive replies that are slow compared to both
    /// the pool and the target's own typical latency. A target that has always been slow and a pool that is slow as a
    /// whole do not qualify. Slow replies do not change the typical latency.
    fn record_latency(&mut self, latency: Duration, pool_latency: Option<Duration>) -> bool {
        let Some(typical) = self.typical_latency else {
            self.typical_latency = Some(latency);
            return false;
        };
        let is_slow = latency > typical * LATENCY_STEP_FACTOR
            && pool_latency.is_some_and(|pool| latency > pool * LATENCY_STEP_FACTOR);
        if !is_slow {
            self.consecutive_slow_replies = 0;
            self.typical_latency =
                Some((typical * (TYPICAL_LATENCY_WEIGHT - 1) + latency) / TYPICAL_LATENCY_WEIGHT);
            return false;
        }
        self.consecutive_slow_replies += 1;
        if self.consecutive_slow_replies < LATENCY_STEP_REPLIES {
            return false;
        }
        // A target that remains slow must not restart the ramp repeatedly, so its new latency becomes the typical one.
        self.typical_latency = Some(latency);
        true
    }
}
