//! Belief of a host whether its own links to all targets are cut, while callers, the store and other hosts still reach it.
//!
//! Silence of all targets alone does not show it: the targets may be down or busy. So a silent host probes targets by new
//! connections and asks other hosts, and counts as cut off only if no probe succeeds and some other host reaches targets.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use vanillapick_policy::micros::micros;
use xxhash_rust::xxh3::xxh3_64;

use crate::target_record::TargetRecord;

/// Interval between ticks of [`ReachMonitor`].
pub const REACH_TICK: Duration = Duration::from_millis(50);

/// Time without any reply after which a host suspects that it is cut off. Pauses of single targets are shorter or leave the
/// other targets replying.
const SUSPICION_TIME: Duration = Duration::from_millis(200);

/// Minimum number of targets that must be silent, if the view has that many.
const MIN_SILENT_TARGETS: usize = 3;

/// Minimum number of pools that must be silent, if the view has that many.
const MIN_SILENT_POOLS: usize = 2;

/// Time between verifications while no other host confirms that targets are reachable.
const VERIFY_PERIOD: Duration = Duration::from_millis(250);

/// Interval between probes while the host is cut off.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// Time since the last reply up to which a host tells others that it reaches targets. It is shorter than the time to a
/// suspicion, so that hosts which lose all targets together do not take each other for reaching them.
const RECENT_REPLY: Duration = Duration::from_millis(100);

/// Evidence from the attempts of this host. The counters are atomics, so that recording takes no lock.
#[derive(Debug, Default)]
pub struct TargetReach {
    /// Number of replies of any target.
    replies: AtomicU64,
    /// Time of the last reply in microseconds; 0 before the first.
    last_reply_us: AtomicU64,
    /// Targets and pools that were sent to since the last reply, as one bit of a hash each.
    silent_targets: AtomicU64,
    silent_pools: AtomicU64,
    is_cut_off: AtomicBool,
}

/// What a host knows about its links to targets, as it tells other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// A target has replied lately.
    Reaching,
    /// No target has replied lately, and the host does not know why.
    Unknown,
    /// The host is cut off from all targets.
    CutOff,
}

/// Size of the view that a host serves by.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReachableView {
    pub targets: usize,
    /// Number of pools that have targets.
    pub pools: usize,
}

/// Next action of a host after a tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachStep {
    /// Nothing to do.
    Wait,
    /// Probe targets and ask other hosts; report with [`ReachMonitor::on_verified`].
    Verify,
    /// Probe targets; report with [`ReachMonitor::on_probed`].
    Probe,
}

/// Result of probes and of the answers of other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReachEvidence {
    /// Whether a new connection to a target was opened.
    pub reaches_target: bool,
    /// Number of other hosts that reach targets.
    pub reaching_hosts: usize,
    /// Number of other hosts that were asked.
    pub asked_hosts: usize,
}

/// Change of the belief.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// The host is cut off; no target has replied for this long.
    CutOff(Duration),
    /// A target is reachable again after this long.
    Restored(Duration),
}

/// State machine that turns evidence into the belief of one host.
#[derive(Debug, Default)]
pub struct ReachMonitor {
    last_tick: Option<Duration>,
    seen_replies: u64,
    /// Time without a reply while attempts were sent.
    silence: Duration,
    /// When to verify or to probe next.
    next_check: Duration,
    cut_off_since: Option<Duration>,
}

impl TargetReach {
    /// Records that an attempt is sent to a target.
    pub fn record_sent(&self, target: &TargetRecord) {
        self.silent_targets.fetch_or(hash_bit(&target.id), Relaxed);
        self.silent_pools.fetch_or(hash_bit(&target.pool), Relaxed);
    }

    /// Records a reply of any target, whatever it says.
    pub fn record_reply(&self, now: Duration) {
        self.replies.fetch_add(1, Relaxed);
        self.last_reply_us.store(micros(now).max(1), Relaxed);
        self.silent_targets.store(0, Relaxed);
        self.silent_pools.store(0, Relaxed);
    }

    /// Whether this host believes to be cut off from all targets.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Relaxed)
    }

    /// What to tell other hosts.
    pub fn link_state(&self, now: Duration) -> LinkState {
        let last_reply = self.last_reply_us.load(Relaxed);
        if self.is_cut_off() {
            LinkState::CutOff
        } else if last_reply > 0 && micros(now).saturating_sub(last_reply) < micros(RECENT_REPLY) {
            LinkState::Reaching
        } else {
            LinkState::Unknown
        }
    }

    fn has_reply_since(&self, since: Duration) -> bool {
        micros(since) < self.last_reply_us.load(Relaxed)
    }

    /// Whether enough targets of a view are silent to suspect the links of this host.
    fn has_silent(&self, view: ReachableView) -> bool {
        let targets = self.silent_targets.load(Relaxed).count_ones() as usize;
        let pools = self.silent_pools.load(Relaxed).count_ones() as usize;
        0 < targets
            && MIN_SILENT_TARGETS.min(view.targets) <= targets
            && MIN_SILENT_POOLS.min(view.pools) <= pools
    }
}

impl ReachMonitor {
    /// Advances the monitor; called every [`REACH_TICK`].
    ///
    /// A tick that is late counts like one in time, because a process that was stopped finds its replies only afterwards.
    pub fn tick(&mut self, reach: &TargetReach, view: ReachableView, now: Duration) -> ReachStep {
        let since = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        let replies = reach.replies.load(Relaxed);
        let has_reply = std::mem::replace(&mut self.seen_replies, replies) != replies;
        if self.cut_off_since.is_some() {
            return self.due(PROBE_PERIOD, now, ReachStep::Probe);
        }
        if has_reply || !reach.has_silent(view) {
            self.silence = Duration::ZERO;
            return ReachStep::Wait;
        }
        self.silence += since.min(REACH_TICK);
        if self.silence < SUSPICION_TIME {
            return ReachStep::Wait;
        }
        self.due(VERIFY_PERIOD, now, ReachStep::Verify)
    }

    fn due(&mut self, period: Duration, now: Duration, step: ReachStep) -> ReachStep {
        if now < self.next_check {
            return ReachStep::Wait;
        }
        self.next_check = now + period;
        step
    }

    /// Handles the result of a verification.
    pub fn on_verified(
        &mut self,
        reach: &TargetReach,
        evidence: ReachEvidence,
        now: Duration,
    ) -> Option<ReachChange> {
        let has_reply = reach.replies.load(Relaxed) != self.seen_replies;
        if evidence.reaches_target || has_reply {
            self.silence = Duration::ZERO;
            return None;
        }
        if evidence.reaching_hosts == 0 || self.cut_off_since.is_some() {
            return None;
        }
        self.cut_off_since = Some(now);
        self.next_check = now + PROBE_PERIOD;
        reach.is_cut_off.store(true, Relaxed);
        Some(ReachChange::CutOff(self.silence))
    }

    /// Handles the result of a probe while the host is cut off. A reply to an attempt that was still open counts like a
    /// successful probe.
    pub fn on_probed(
        &mut self,
        reach: &TargetReach,
        reaches_target: bool,
        now: Duration,
    ) -> Option<ReachChange> {
        let has_reply = reach.has_reply_since(self.cut_off_since?);
        if !reaches_target && !has_reply {
            return None;
        }
        let since = self.cut_off_since.take()?;
        self.silence = Duration::ZERO;
        reach.silent_targets.store(0, Relaxed);
        reach.silent_pools.store(0, Relaxed);
        reach.is_cut_off.store(false, Relaxed);
        Some(ReachChange::Restored(now.saturating_sub(since)))
    }
}

fn hash_bit(id: &str) -> u64 {
    1 << (xxh3_64(id.as_bytes()) % 64)
}
