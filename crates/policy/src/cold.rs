//! Cold starts of one target: detection, allowance, growth and relapse.
//!
//! A cold target bears only its allowance, over all entry hosts together, so only its owner sends to it
//! ([`crate::shares::cold_owner`]). The limit grows from the allowance to the slots over the ramp of the contract, and
//! no faster than successes confirm. A relapse sets it back to the allowance at once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::contract::TargetContract;
use vanillapick_model::host::IncarnationNumber;

use crate::shares::cold_owner;
use crate::shares::cold_share;

/// Successes in a row that each further slot of a cold target takes.
pub const SUCCESSES_PER_SLOT: u32 = 10;

/// Factor over the usual latency, of the pool and of the target itself, from which a reply counts towards a step.
pub const LATENCY_STEP_FACTOR: u32 = 4;

/// Replies in a row that make a latency step. One slow reply is a straggler and not a cold start.
pub const LATENCY_STEP_REPLIES: u32 = 5;

/// Weight of a new reply in the target's usual latency is one in this number.
const USUAL_WEIGHT: u32 = 16;

/// Ramps after the last news at which a host that is not the owner takes the target for warm.
const SILENT_RAMPS: u32 = 2;

/// What hosts tell each other about a target's cold starts. The later of two is the one in force: merging takes the
/// maximum by incarnation, then epoch, then phase, because an epoch only passes from cold to warm.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ColdStatus {
    /// Incarnation of the target's process.
    pub incarnation: IncarnationNumber,
    /// Number of cold starts and relapses seen within the incarnation.
    pub epoch: u32,
    /// Whether the target has warmed up since.
    pub phase: ColdPhase,
}

/// Whether a target is in a cold start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ColdPhase {
    /// Bears only a part of its slots.
    Cold,
    /// Bears all slots.
    #[default]
    Warm,
}

/// For how long this host has owned a target in its own view.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdOwnership {
    owned_since: Option<Duration>,
}

impl ColdOwnership {
    /// Applies a membership view. A host that owned the target before and still does keeps its full share, because in
    /// views one change apart no other host can be the owner.
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

/// Cold state and ownership of one target.
#[derive(Clone, Debug)]
pub struct ColdStart {
    /// Whether the target is cold, and what it bears.
    pub tracker: ColdTracker,
    /// For how long this host has owned the target's cold starts.
    pub ownership: ColdOwnership,
}

impl ColdStart {
    /// A target that is taken for warm and that this host does not own.
    pub fn new(contract: &TargetContract) -> Self {
        Self { tracker: ColdTracker::new(contract), ownership: ColdOwnership::default() }
    }
}

/// Cold state of one target as one host sees it.
#[derive(Clone, Debug)]
pub struct ColdTracker {
    slots: u32,
    allowance: u32,
    ramp: Duration,
    /// Incarnation 0 stands for a target that no reply has been seen of.
    status: ColdStatus,
    /// When this host noticed or heard of the present epoch.
    cold_since: Duration,
    /// The last reply carried the cold mark, or another host told of a cold start since.
    marked: bool,
    /// Successes since the start of the epoch.
    successes: u32,
    usual_latency: Option<Duration>,
    slow_replies: u32,
    /// The present epoch began with a latency step alone. A straggler shows the same step, so each host keeps one
    /// request at a time; to leave the target to its owner could leave a shard without a replica.
    by_step: bool,
}

impl ColdTracker {
    /// Tracker of a target that is taken for warm until a sign says otherwise.
    pub fn new(contract: &TargetContract) -> Self {
        let slots = contract.slots.max(1);
        Self {
            slots,
            allowance: contract.cold_allowance.clamp(1, slots),
            ramp: contract.cold_ramp,
            status: ColdStatus::default(),
            cold_since: Duration::ZERO,
            marked: false,
            successes: 0,
            usual_latency: None,
            slow_replies: 0,
            by_step: false,
        }
    }

    /// Requests that this host may run at the target at `now`, by its time as the target's owner. While the target is
    /// warm the limit is soft and equal to the slots.
    pub fn host_limit(&self, owned_for: Option<Duration>, now: Duration) -> u32 {
        if !self.is_cold(now) {
            return self.slots;
        }
        cold_share(self.limit(now), owned_for).max(u32::from(self.by_step))
    }

    /// Whether the allowance is in force. A host that neither sends to the target nor hears of it takes it for warm
    /// again after [`SILENT_RAMPS`] ramps.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.status.phase == ColdPhase::Cold && now < self.cold_since + self.ramp * SILENT_RAMPS
    }

    /// Requests that the target bears at `now` over all hosts: grows with the time since the cold start, and with
    /// successes.
    pub fn limit(&self, now: Duration) -> u32 {
        if !self.is_cold(now) {
            return self.slots;
        }
        let elapsed = now.saturating_sub(self.cold_since).as_secs_f64();
        let part = (elapsed / self.ramp.as_secs_f64().max(0.001)).min(1.0);
        // Whole slots only: a part of a slot cannot run a request. At most `slots`, so the cast loses nothing.
        let by_time = (f64::from(self.slots - self.allowance) * part).floor() as u32;
        let by_success = self.successes / SUCCESSES_PER_SLOT;
        self.allowance + by_time.min(by_success)
    }

    /// Notes what the target says about itself in a refusal or at its status endpoint. A mark that is still set when the
    /// ramp is over starts the ramp again. Returns what the other hosts have to hear at once.
    pub fn record_marks(&mut self, marks: &TargetMarks, now: Duration) -> Option<ColdStatus> {
        if marks.incarnation < self.status.incarnation {
            return None;
        }
        if marks.incarnation > self.status.incarnation {
            return self.start_incarnation(marks, now);
        }
        let mark_returned = marks.cold && !self.marked;
        let mark_cleared = !marks.cold && self.marked;
        let ramp_is_over = now >= self.cold_since + self.ramp;
        let overdue = marks.cold && ramp_is_over;
        self.marked = marks.cold;
        if mark_cleared && ramp_is_over {
            // Hosts that do not own the target get no replies from it, and learn from the mark alone.
            self.status.phase = ColdPhase::Warm;
            return Some(self.status);
        }
        (mark_returned || overdue).then(|| self.fall(now))
    }

    /// Notes a usable reply. `pool_latency` is the median latency of the pool, where it is known. Returns what the
    /// other hosts have to hear at once.
    pub fn record_reply(
        &mut self,
        marks: &TargetMarks,
        latency: Duration,
        pool_latency: Option<Duration>,
        now: Duration,
    ) -> Option<ColdStatus> {
        let known_before = self.status.incarnation;
        let told = self.record_marks(marks, now);
        if told.is_some() || marks.incarnation != known_before {
            return told;
        }
        if self.record_latency(latency, pool_latency) {
            let news = self.fall(now);
            self.by_step = true;
            return Some(news);
        }
        if self.status.phase == ColdPhase::Warm {
            return None;
        }
        self.successes = self.successes.saturating_add(1);
        self.finish_ramp(now)
    }

    /// Notes that the target refused a call because it is cold: it bears less than was sent.
    pub fn record_cold_refusal(&mut self, now: Duration) -> ColdStatus {
        self.fall(now)
    }

    /// Notes an attempt that was lost or timed out. A cold target falls back to its allowance. A warm one stays warm until
    /// a reply shows a new incarnation.
    pub fn record_failure(&mut self, now: Duration) -> Option<ColdStatus> {
        self.is_cold(now).then(|| self.fall(now))
    }

    /// Merges what another host tells.
    pub fn merge(&mut self, news: ColdStatus, now: Duration) {
        if news <= self.status {
            return;
        }
        self.status = news;
        self.cold_since = now;
        self.successes = 0;
        self.slow_replies = 0;
        // A mark in the next reply belongs to the cold start that the other host told of, and is no relapse.
        self.marked = news.phase == ColdPhase::Cold;
    }

    /// What this host knows, for the exchange with others.
    pub fn status(&self) -> ColdStatus {
        self.status
    }

    /// A new process starts cold even when its reply lacks the mark. The first process seen by a fresh host is taken
    /// for warm unless it is marked, since most targets run for long.
    fn start_incarnation(&mut self, marks: &TargetMarks, now: Duration) -> Option<ColdStatus> {
        let first_seen = self.status.incarnation == 0;
        self.status =
            ColdStatus { incarnation: marks.incarnation, epoch: 0, phase: ColdPhase::Warm };
        self.marked = marks.cold;
        self.usual_latency = None;
        if first_seen && !marks.cold {
            return None;
        }
        Some(self.fall(now))
    }

    fn fall(&mut self, now: Duration) -> ColdStatus {
        self.status.epoch = self.status.epoch.saturating_add(1);
        self.status.phase = ColdPhase::Cold;
        self.cold_since = now;
        self.successes = 0;
        self.slow_replies = 0;
        self.by_step = false;
        self.status
    }

    /// Ends the cold start when the ramp has passed, successes confirm all slots, and the target no longer marks
    /// itself.
    fn finish_ramp(&mut self, now: Duration) -> Option<ColdStatus> {
        if self.marked || now < self.cold_since + self.ramp || self.limit(now) < self.slots {
            return None;
        }
        self.status.phase = ColdPhase::Warm;
        Some(self.status)
    }

    /// Whether this reply completes a latency step: [`LATENCY_STEP_REPLIES`] in a row far slower than both the pool and the
    /// target's own usual latency. A target that has always been slow has no step, and neither has a pool that is slow
    /// as a whole. Slow replies do not move the usual latency.
    fn record_latency(&mut self, latency: Duration, pool_latency: Option<Duration>) -> bool {
        let Some(usual) = self.usual_latency else {
            self.usual_latency = Some(latency);
            return false;
        };
        let is_slow = latency > usual * LATENCY_STEP_FACTOR
            && pool_latency.is_some_and(|pool| latency > pool * LATENCY_STEP_FACTOR);
        if !is_slow {
            self.slow_replies = 0;
            self.usual_latency = Some((usual * (USUAL_WEIGHT - 1) + latency) / USUAL_WEIGHT);
            return false;
        }
        self.slow_replies += 1;
        if self.slow_replies < LATENCY_STEP_REPLIES {
            return false;
        }
        // The step becomes the usual latency, so that a target that stays slow does not fall again and again.
        self.usual_latency = Some(latency);
        true
    }
}
