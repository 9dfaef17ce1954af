//! Detection of requests that crash targets, and the decision when such a request may run again.
//!
//! A connection is lost for one of two reasons. A target that dies loses all requests that run on it, and each of these
//! may be retried once on another target. A request that crashes every target that runs it loses one target after
//! another and must not be retried. If any attempt succeeds, the request does not crash targets.

pub mod losses;
pub mod mark;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::MarkStage;
use vanillapick_model::crash_mark::RequestFingerprint;

use self::losses::LossTable;
use self::mark::MAX_MARKS;
use self::mark::MarkTable;

/// Time between suspecting a request and confirming it, in which another attempt can succeed and losses of other
/// requests can be seen. It is well above the typical latency of a search and well below the typical resend time of
/// callers.
pub const EVALUATION_DELAY: Duration = Duration::from_millis(200);

/// Time for which a suspected request is delayed. It covers [`EVALUATION_DELAY`] and sending the result to the other
/// hosts.
pub const SUSPICION_HOLD_TIME: Duration = Duration::from_millis(300);

/// Duration of the first mark of a request; it doubles with each further mark.
pub const FIRST_MARK_TIME: Duration = Duration::from_secs(60);

/// Maximum number of times that [`FIRST_MARK_TIME`] is doubled, which gives 16 minutes.
const MAX_DOUBLINGS: u32 = 4;

/// Time that the single attempt after a mark may take before another host may try.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the end of a confirmed mark during which crashes count as recent.
pub const RECENT_CRASH_TIME: Duration = Duration::from_secs(30);

/// Time to wait after a loss for losses of other requests at the same target.
pub const LOSS_CORRELATION_TIME: Duration = Duration::from_millis(50);

/// Number of other requests lost at the same target from which the target is considered to have died.
pub const MIN_CORRELATED_LOSSES: usize = 2;

/// Time after a success during which a request is not suspected.
pub const SUCCESS_TRUST_TIME: Duration = Duration::from_secs(10);

/// Maximum number of fingerprints whose success is remembered; the fingerprint that succeeded first is dropped.
pub const MAX_SUCCESSES: usize = 65_536;

/// State of a request's attempts as its session knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestProgress {
    /// Attempts with a usable reply.
    pub answered: u32,
    /// Attempts that are still running.
    pub running: u32,
    /// Attempts whose connection was lost, each at a different target.
    pub lost: u32,
    /// Whether the request runs on only one of several shards, as a probe.
    pub is_probe: bool,
}

/// What a session must do with a shard whose attempt was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossRetryDecision {
    /// Retry once on another replica of the shard.
    Retry,
    /// Probe a replica of another shard, so that the request cannot crash two replicas of one shard.
    ProbeOtherShard,
    /// Ask again at `until`, or after the next event of the request if that is earlier.
    Wait {
        /// Decision time.
        until: Duration,
    },
    /// Do not retry.
    Stop,
}

/// Whether and how a new request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashDecision {
    /// Run without restriction.
    Normal,
    /// Run on one shard first, and on the others after it has succeeded.
    ProbeOneShard,
    /// As `ProbeOneShard`, but without any retry before the first success, because the request has lost targets.
    SingleTarget,
    /// The request is suspected and will be evaluated shortly; ask again at `until`.
    Hold {
        /// Decision time.
        until: Duration,
    },
    /// Refuse the request as `crashing_request`, not run.
    Refuse {
        /// Time after which the caller may send the request again.
        retry_after: Duration,
    },
}

/// Lost connections, successful requests and marks known to one host.
#[derive(Clone, Debug)]
pub struct CrashTable {
    started: SystemTime,
    losses: LossTable,
    successes: HashMap<RequestFingerprint, Duration>,
    success_order: VecDeque<RequestFingerprint>,
    marks: MarkTable,
    /// Requests suspected by this host, with the time at which each is evaluated.
    pending_suspects: BTreeMap<RequestFingerprint, Duration>,
    pending_updates: Vec<CrashMark>,
}

impl CrashTable {
    /// Creates an empty table. `started` is the wall time at decision time 0, because marks end at wall times.
    pub fn new(started: SystemTime) -> Self {
        Self {
            started,
            losses: LossTable::default(),
            successes: HashMap::new(),
            success_order: VecDeque::new(),
            marks: MarkTable::default(),
            pending_suspects: BTreeMap::new(),
            pending_updates: Vec::new(),
        }
    }

    /// Decides how a request that arrives at `now` may run.
    pub fn admit(&mut self, fingerprint: RequestFingerprint, now: Duration) -> CrashDecision {
        self.evaluate_suspects(now);
        if let Some(mark) = self.marks.get(fingerprint).copied() {
            let left = Duration::from_millis(mark.until_ms.saturating_sub(self.wall_ms(now)));
            if mark.is_in_force(self.wall_ms(now)) {
                return match mark.stage {
                    MarkStage::Suspected => CrashDecision::Hold { until: now + left },
                    _ => CrashDecision::Refuse { retry_after: left },
                };
            }
            if mark.is_confirmed() {
                self.set_mark(fingerprint, MarkStage::Probing, PROBE_TIMEOUT, now);
                return CrashDecision::SingleTarget;
            }
        }
        match self.unexplained_losses(fingerprint, now) {
            0 if self.has_succeeded(fingerprint) || !self.has_recent_crashes(now) => {
                CrashDecision::Normal
            }
            0 | 1 => CrashDecision::ProbeOneShard,
            // The request is not suspected here, because an outage that explains the losses may have ended since.
            _ => CrashDecision::SingleTarget,
        }
    }

    /// Records that the connection of an attempt was lost after the call may have been sent. Returns the resulting
    /// mark, if any, which is also part of the next [`Self::take_updates`].
    pub fn record_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        target: &str,
        now: Duration,
    ) -> Option<CrashMark> {
        self.evaluate_suspects(now);
        self.losses.record(fingerprint, target, now);
        let is_probed =
            self.marks.get(fingerprint).is_some_and(|mark| mark.stage == MarkStage::Probing);
        if is_probed {
            return self.confirm_suspicion(fingerprint, now);
        }
        self.suspect(fingerprint, now)
    }

    /// Records a usable reply to any attempt. It ends a suspicion, and clears a mark on all hosts: the cleared mark is
    /// part of the next [`Self::take_updates`].
    pub fn record_success(&mut self, fingerprint: RequestFingerprint, now: Duration) {
        if self.successes.insert(fingerprint, now).is_none() {
            self.success_order.push_back(fingerprint);
        }
        if self.success_order.len() > MAX_SUCCESSES {
            self.success_order.pop_front().map(|oldest| self.successes.remove(&oldest));
        }
        self.losses.forget(fingerprint);
        self.pending_suspects.remove(&fingerprint);
        self.clear_mark(fingerprint, now);
    }

    /// Decides whether a shard may be retried after its attempt at `target` was lost and recorded.
    ///
    /// While other attempts run, the first of them to succeed or to be lost shows the cause without risk to another
    /// target. If all of several attempts were lost, the request is considered the cause. Only a request with a single
    /// attempt is retried to find the cause.
    pub fn may_retry_after_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        progress: RequestProgress,
        target: &str,
        now: Duration,
    ) -> LossRetryDecision {
        self.evaluate_suspects(now);
        let wall_ms = self.wall_ms(now);
        let mark = self.marks.get(fingerprint).filter(|mark| mark.is_in_force(wall_ms));
        if mark.is_some_and(CrashMark::is_confirmed) {
            return LossRetryDecision::Stop;
        }
        if progress.answered > 0 {
            return LossRetryDecision::Retry;
        }
        if progress.running == 0 && progress.lost > 1 {
            return LossRetryDecision::Stop;
        }
        if let Some(mark) = mark {
            let left = Duration::from_millis(mark.until_ms - wall_ms);
            return LossRetryDecision::Wait { until: now + left };
        }
        if progress.running > 0 {
            return LossRetryDecision::Wait { until: now + LOSS_CORRELATION_TIME };
        }
        if self.unexplained_losses(fingerprint, now) > 1 {
            return LossRetryDecision::Stop;
        }
        let lost_at = self.losses.lost_at(fingerprint, target);
        let known_at = lost_at.unwrap_or(now) + LOSS_CORRELATION_TIME;
        if now < known_at
            && self.losses.other_requests_lost_at(fingerprint, target) < MIN_CORRELATED_LOSSES
        {
            return LossRetryDecision::Wait { until: known_at };
        }
        if progress.is_probe {
            LossRetryDecision::ProbeOtherShard
        } else {
            LossRetryDecision::Retry
        }
    }

    /// Whether running attempts of the request must be cancelled because it is marked as crashing targets.
    pub fn must_stop(&self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let wall_ms = self.wall_ms(now);
        let mark = self.marks.get(fingerprint);
        mark.is_some_and(|mark| mark.stage == MarkStage::Marked && mark.is_in_force(wall_ms))
    }

    /// Whether a running attempt may be hedged. Until one of its attempts has succeeded, a request must not run on a
    /// second replica of a shard if it has lost targets, or if it has never succeeded and crashes are recent.
    pub fn may_hedge(
        &self,
        fingerprint: RequestFingerprint,
        progress: RequestProgress,
        now: Duration,
    ) -> bool {
        let wall_ms = self.wall_ms(now);
        if self.marks.get(fingerprint).is_some_and(|mark| mark.is_in_force(wall_ms)) {
            return false;
        }
        if progress.answered > 0 {
            return true;
        }
        let is_trusted = self.has_succeeded(fingerprint) || !self.has_recent_crashes(now);
        is_trusted && progress.lost == 0 && self.unexplained_losses(fingerprint, now) == 0
    }

    /// Time of the next evaluation of a suspicion, at which [`Self::take_updates`] must be called.
    pub fn next_evaluation(&self) -> Option<Duration> {
        self.pending_suspects.values().min().copied()
    }

    /// Returns the marks that are new or have changed since the last call. They must be sent to the other hosts at
    /// once.
    pub fn take_updates(&mut self, now: Duration) -> Vec<CrashMark> {
        self.evaluate_suspects(now);
        std::mem::take(&mut self.pending_updates)
    }

    /// All known marks, for the periodic exchange with other hosts.
    pub fn export(&self) -> Vec<CrashMark> {
        self.marks.iter().copied().collect()
    }

    /// Merges a mark received from another host and returns whether it was new. The mark is cleared if the request has
    /// recently succeeded on this host.
    pub fn import(&mut self, mark: CrashMark, now: Duration) -> bool {
        let is_new = self.marks.merge(mark, self.wall_ms(now));
        if is_new && self.has_recent_success(mark.fingerprint, now) {
            self.clear_mark(mark.fingerprint, now);
        }
        is_new
    }

    /// Whether this host knows of a confirmed mark that is in force or ended within [`RECENT_CRASH_TIME`].
    pub fn has_recent_crashes(&self, now: Duration) -> bool {
        let since_ms = self.wall_ms(now.saturating_sub(RECENT_CRASH_TIME));
        self.marks.iter().any(|mark| mark.is_confirmed() && mark.until_ms > since_ms)
    }

    /// Evaluates the suspicions that are due. Each is confirmed if the losses still point to the request, and dropped
    /// otherwise.
    fn evaluate_suspects(&mut self, now: Duration) {
        let due: Vec<_> = self
            .pending_suspects
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(suspect, due)| (*suspect, *due))
            .collect();
        for (fingerprint, due) in due {
            self.pending_suspects.remove(&fingerprint);
            // Evaluated as of its due time, because a late call could miss an outage that has ended since.
            if self.is_likely_cause(fingerprint, due) {
                self.confirm_suspicion(fingerprint, now);
            }
        }
    }

    fn confirm_suspicion(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> Option<CrashMark> {
        let mark_count = self.marks.get(fingerprint).map_or(0, |mark| mark.mark_count);
        let length = FIRST_MARK_TIME * (1 << mark_count.min(MAX_DOUBLINGS));
        self.set_mark(fingerprint, MarkStage::Marked, length, now)
    }

    fn suspect(&mut self, fingerprint: RequestFingerprint, now: Duration) -> Option<CrashMark> {
        let wall_ms = self.wall_ms(now);
        let is_marked = self.marks.get(fingerprint).is_some_and(|mark| mark.is_in_force(wall_ms));
        if is_marked
            || self.pending_suspects.contains_key(&fingerprint)
            || !self.is_likely_cause(fingerprint, now)
        {
            return None;
        }
        self.pending_suspects.insert(fingerprint, now + EVALUATION_DELAY);
        self.set_mark(fingerprint, MarkStage::Suspected, SUSPICION_HOLD_TIME, now)
    }

    /// Whether the request is the likely cause of its losses: it lost several targets without a recent success, other
    /// requests did not lose as many other targets in an outage, and no other request was lost at all of its targets.
    fn is_likely_cause(&self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let lost = self.unexplained_losses(fingerprint, now);
        if lost < 2 || self.losses.lost_by_others_only(fingerprint, now) >= lost {
            return false;
        }
        self.losses
            .lost_at_same_targets(fingerprint)
            .all(|other| self.has_recent_success(other, now))
    }

    /// Number of targets at which the request was recently lost; 0 if it has recently succeeded.
    fn unexplained_losses(&self, fingerprint: RequestFingerprint, now: Duration) -> usize {
        let is_good = self.has_recent_success(fingerprint, now);
        if is_good { 0 } else { self.losses.targets_lost(fingerprint, now) }
    }

    fn has_succeeded(&self, fingerprint: RequestFingerprint) -> bool {
        self.successes.contains_key(&fingerprint)
    }

    fn has_recent_success(&self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let success = self.successes.get(&fingerprint);
        success.is_some_and(|time| now.saturating_sub(*time) < SUCCESS_TRUST_TIME)
    }

    fn clear_mark(&mut self, fingerprint: RequestFingerprint, now: Duration) {
        if self.marks.get(fingerprint).is_some_and(|mark| mark.stage != MarkStage::Cleared) {
            self.set_mark(fingerprint, MarkStage::Cleared, FIRST_MARK_TIME, now);
        }
    }

    fn set_mark(
        &mut self,
        fingerprint: RequestFingerprint,
        stage: MarkStage,
        length: Duration,
        now: Duration,
    ) -> Option<CrashMark> {
        let known = self.marks.get(fingerprint);
        let (generation, mark_count) =
            known.map_or((0, 0), |mark| (mark.generation, mark.mark_count));
        let was_cleared = known.is_some_and(|mark| mark.stage == MarkStage::Cleared);
        let is_cleared = stage == MarkStage::Cleared;
        let mark = CrashMark {
            fingerprint,
            generation: generation.saturating_add(u32::from(was_cleared || is_cleared)),
            until_ms: self.wall_ms(now + length),
            stage,
            mark_count: if is_cleared {
                0
            } else {
                mark_count + u32::from(stage == MarkStage::Marked)
            },
        };
        if !self.marks.merge(mark, self.wall_ms(now)) {
            return None;
        }
        if self.pending_updates.len() >= MAX_MARKS {
            self.pending_updates.remove(0);
        }
        self.pending_updates.push(mark);
        Some(mark)
    }

    fn wall_ms(&self, now: Duration) -> u64 {
        let wall = self.started.duration_since(UNIX_EPOCH).unwrap_or_default() + now;
        u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
    }
}
