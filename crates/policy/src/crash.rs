//! Requests that crash targets: which attempts stop, and when such a request is let through again.
//!
//! A connection that is lost has one of two causes. A target that died loses whatever ran there, and each of those
//! requests may be retried once elsewhere. A request that crashes each target that runs it loses one target after the
//! other and must not be retried. A success of any attempt shows that the request is not of the second kind.

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
use self::mark::MOST_MARKS;
use self::mark::MarkTable;

/// Time from suspicion to judgement, in which a success of another attempt or the losses of other requests can come.
/// Well above the usual latency of a search, well below the time in which a caller usually sends again.
pub const JUDGEMENT_DELAY: Duration = Duration::from_millis(200);

/// Time for which a suspicion holds a request back: the judgement and its way to the other hosts.
pub const SUSPICION_TIME: Duration = Duration::from_millis(300);

/// Length of the first mark; doubled with each further one.
pub const MARK_TIME: Duration = Duration::from_secs(60);

/// Doublings of [`MARK_TIME`] at most: 16 minutes.
const MOST_DOUBLINGS: u32 = 4;

/// Time that the one attempt after a mark may take before another host tries.
pub const PROBE_TIME: Duration = Duration::from_secs(10);

/// Time after the end of a confirmed mark in which crashes count as recent.
pub const RECENT_TAIL: Duration = Duration::from_secs(30);

/// Time after a loss in which the losses of other requests at the same target become known.
pub const CAUSE_WAIT: Duration = Duration::from_millis(50);

/// Other requests that a target loses at the same time as a given one when it is the target that died.
pub const OTHERS_LOST: usize = 2;

/// Time after a success in which a request is not suspected.
pub const FRESH_SUCCESS: Duration = Duration::from_secs(10);

/// Fingerprints whose success is remembered; the one that first succeeded is dropped.
pub const MOST_SUCCESSES: usize = 65_536;

/// How far a request has come, as its session knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestProgress {
    /// Attempts with a usable reply.
    pub answered: u32,
    /// Attempts that still run.
    pub running: u32,
    /// Attempts that were lost, all at different targets.
    pub lost: u32,
    /// The request runs on one shard of several, as a probe.
    pub is_probe: bool,
}

/// What a session does with a shard whose attempt was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryVerdict {
    /// Try another replica of the shard, once.
    Retry,
    /// Try a replica of another shard, so that no shard loses two replicas to the request.
    ProbeOtherShard,
    /// Ask again at this time, or after the next event of the request if that is earlier.
    Wait {
        /// Decision time.
        until: Duration,
    },
    /// Do not try again.
    Stop,
}

/// How a new request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Without restriction.
    Normal,
    /// First on one shard, and on the others after that has succeeded.
    ProbeOneShard,
    /// As `ProbeOneShard`; lost targets stand against the request, so nothing is retried before the success.
    SingleTarget,
    /// Whether the request crashes targets is about to be told; ask again at this time.
    Hold {
        /// Decision time.
        until: Duration,
    },
    /// Refuse as `crashing_request`, not run.
    Refuse {
        /// Time after which it can be sent again.
        retry_after: Duration,
    },
}

/// Lost connections, successes and marks as one host knows them.
#[derive(Clone, Debug)]
pub struct CrashTable {
    started: SystemTime,
    losses: LossTable,
    successes: HashMap<RequestFingerprint, Duration>,
    success_order: VecDeque<RequestFingerprint>,
    marks: MarkTable,
    /// Time of judgement of this host's own suspicions.
    suspects: BTreeMap<RequestFingerprint, Duration>,
    outbox: Vec<CrashMark>,
}

impl CrashTable {
    /// Empty table of a process that started at `started`; end times of marks are wall times.
    pub fn new(started: SystemTime) -> Self {
        Self {
            started,
            losses: LossTable::default(),
            successes: HashMap::new(),
            success_order: VecDeque::new(),
            marks: MarkTable::default(),
            suspects: BTreeMap::new(),
            outbox: Vec::new(),
        }
    }

    /// How a request may run that arrives at `now`.
    pub fn admit(&mut self, fingerprint: RequestFingerprint, now: Duration) -> CrashVerdict {
        self.judge(now);
        if let Some(mark) = self.marks.get(fingerprint).copied() {
            let left = Duration::from_millis(mark.until_ms.saturating_sub(self.wall_ms(now)));
            if mark.is_in_force(self.wall_ms(now)) {
                return match mark.stage {
                    MarkStage::Suspected => CrashVerdict::Hold { until: now + left },
                    _ => CrashVerdict::Refuse { retry_after: left },
                };
            }
            if mark.is_confirmed() {
                self.put_mark(fingerprint, MarkStage::Probing, PROBE_TIME, now);
                return CrashVerdict::SingleTarget;
            }
        }
        match self.open_losses(fingerprint, now) {
            0 if self.is_known_good(fingerprint) || !self.are_crashes_recent(now) => {
                CrashVerdict::Normal
            }
            0 | 1 => CrashVerdict::ProbeOneShard,
            // Not suspected here: an outage that explains the losses may be over by now.
            _ => CrashVerdict::SingleTarget,
        }
    }

    /// Notes that the connection of an attempt was lost after the call may have been sent. A mark that comes of it is
    /// returned and is part of the next [`Self::take_news`] as well.
    pub fn note_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        target: &str,
        now: Duration,
    ) -> Option<CrashMark> {
        self.judge(now);
        self.losses.note(fingerprint, target, now);
        let is_probed =
            self.marks.get(fingerprint).is_some_and(|mark| mark.stage == MarkStage::Probing);
        if is_probed {
            return self.confirm(fingerprint, now);
        }
        self.suspect(fingerprint, now)
    }

    /// Notes a usable reply of any attempt. It ends suspicion, and a mark on all hosts; the cleared mark is part of the
    /// next [`Self::take_news`].
    pub fn note_success(&mut self, fingerprint: RequestFingerprint, now: Duration) {
        if self.successes.insert(fingerprint, now).is_none() {
            self.success_order.push_back(fingerprint);
        }
        if self.success_order.len() > MOST_SUCCESSES {
            self.success_order.pop_front().map(|oldest| self.successes.remove(&oldest));
        }
        self.losses.forget(fingerprint);
        self.suspects.remove(&fingerprint);
        self.clear_mark(fingerprint, now);
    }

    /// Whether a shard may be tried again after its attempt at `target` was lost and noted.
    ///
    /// While other attempts run, the first of them to answer or to be lost tells the causes apart without risk to
    /// another target. When all attempts of a request were lost, it is told already. Only a request with a single
    /// attempt is retried to find out.
    pub fn may_retry_after_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        progress: RequestProgress,
        target: &str,
        now: Duration,
    ) -> RetryVerdict {
        self.judge(now);
        let wall_ms = self.wall_ms(now);
        let mark = self.marks.get(fingerprint).filter(|mark| mark.is_in_force(wall_ms));
        if mark.is_some_and(CrashMark::is_confirmed) {
            return RetryVerdict::Stop;
        }
        if progress.answered > 0 {
            return RetryVerdict::Retry;
        }
        if progress.running == 0 && progress.lost > 1 {
            return RetryVerdict::Stop;
        }
        if let Some(mark) = mark {
            let left = Duration::from_millis(mark.until_ms - wall_ms);
            return RetryVerdict::Wait { until: now + left };
        }
        if progress.running > 0 {
            return RetryVerdict::Wait { until: now + CAUSE_WAIT };
        }
        if self.open_losses(fingerprint, now) > 1 {
            return RetryVerdict::Stop;
        }
        let lost_at = self.losses.lost_at(fingerprint, target);
        let known_at = lost_at.unwrap_or(now) + CAUSE_WAIT;
        if now < known_at && self.losses.others_lost_at(fingerprint, target) < OTHERS_LOST {
            return RetryVerdict::Wait { until: known_at };
        }
        if progress.is_probe { RetryVerdict::ProbeOtherShard } else { RetryVerdict::Retry }
    }

    /// Whether attempts of the request that still run are to be cancelled, because it has been found to crash targets.
    pub fn must_stop(&self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let wall_ms = self.wall_ms(now);
        let mark = self.marks.get(fingerprint);
        mark.is_some_and(|mark| mark.stage == MarkStage::Marked && mark.is_in_force(wall_ms))
    }

    /// Whether an attempt that still runs may be hedged: a second replica of a shard is not put at risk by a request that
    /// has lost targets, or has never succeeded while crashes are recent, before one of its attempts has answered.
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
        let is_trusted = self.is_known_good(fingerprint) || !self.are_crashes_recent(now);
        is_trusted && progress.lost == 0 && self.open_losses(fingerprint, now) == 0
    }

    /// Time of the next judgement; [`Self::take_news`] is due then.
    pub fn next_judgement(&self) -> Option<Duration> {
        self.suspects.values().min().copied()
    }

    /// Marks that are new or changed since the last call, to be pushed to other hosts at once.
    pub fn take_news(&mut self, now: Duration) -> Vec<CrashMark> {
        self.judge(now);
        std::mem::take(&mut self.outbox)
    }

    /// All marks, for the exchange with other hosts.
    pub fn export(&self) -> Vec<CrashMark> {
        self.marks.iter().copied().collect()
    }

    /// Merges a mark of another host and says whether it was new. A host that has just had a success of the request
    /// clears the mark.
    pub fn import(&mut self, mark: CrashMark, now: Duration) -> bool {
        let is_new = self.marks.merge(mark, self.wall_ms(now));
        if is_new && self.has_fresh_success(mark.fingerprint, now) {
            self.clear_mark(mark.fingerprint, now);
        }
        is_new
    }

    /// Whether requests crash targets at present or did so shortly before, as far as this host knows.
    pub fn are_crashes_recent(&self, now: Duration) -> bool {
        let since_ms = self.wall_ms(now.saturating_sub(RECENT_TAIL));
        self.marks.iter().any(|mark| mark.is_confirmed() && mark.until_ms > since_ms)
    }

    /// Ends the delay of suspicions: confirmed where they still hold, dropped where not.
    fn judge(&mut self, now: Duration) {
        let due: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(suspect, due)| (*suspect, *due))
            .collect();
        for (fingerprint, due) in due {
            self.suspects.remove(&fingerprint);
            // As of the time it was due: a late call must not see the outage as over.
            if self.is_blamed(fingerprint, due) {
                self.confirm(fingerprint, now);
            }
        }
    }

    fn confirm(&mut self, fingerprint: RequestFingerprint, now: Duration) -> Option<CrashMark> {
        let mark_count = self.marks.get(fingerprint).map_or(0, |mark| mark.mark_count);
        let length = MARK_TIME * (1 << mark_count.min(MOST_DOUBLINGS));
        self.put_mark(fingerprint, MarkStage::Marked, length, now)
    }

    fn suspect(&mut self, fingerprint: RequestFingerprint, now: Duration) -> Option<CrashMark> {
        let wall_ms = self.wall_ms(now);
        let is_marked = self.marks.get(fingerprint).is_some_and(|mark| mark.is_in_force(wall_ms));
        if is_marked
            || self.suspects.contains_key(&fingerprint)
            || !self.is_blamed(fingerprint, now)
        {
            return None;
        }
        self.suspects.insert(fingerprint, now + JUDGEMENT_DELAY);
        self.put_mark(fingerprint, MarkStage::Suspected, SUSPICION_TIME, now)
    }

    /// Whether the losses of a request are its own doing: several targets, no success, no outage that takes as many
    /// other targets, and no other request that was lost at all of these targets as well.
    fn is_blamed(&self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let lost = self.open_losses(fingerprint, now);
        if lost < 2 || self.losses.lost_without(fingerprint, now) >= lost {
            return false;
        }
        self.losses.lost_alike(fingerprint).all(|other| self.has_fresh_success(other, now))
    }

    /// Different targets that the request lost lately, unless it has just succeeded.
    fn open_losses(&self, fingerprint: RequestFingerprint, now: Duration) -> usize {
        let is_good = self.has_fresh_success(fingerprint, now);
        if is_good { 0 } else { self.losses.targets_lost(fingerprint, now) }
    }

    fn is_known_good(&self, fingerprint: RequestFingerprint) -> bool {
        self.successes.contains_key(&fingerprint)
    }

    fn has_fresh_success(&self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let success = self.successes.get(&fingerprint);
        success.is_some_and(|time| now.saturating_sub(*time) < FRESH_SUCCESS)
    }

    fn clear_mark(&mut self, fingerprint: RequestFingerprint, now: Duration) {
        if self.marks.get(fingerprint).is_some_and(|mark| mark.stage != MarkStage::Cleared) {
            self.put_mark(fingerprint, MarkStage::Cleared, MARK_TIME, now);
        }
    }

    fn put_mark(
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
        if self.outbox.len() >= MOST_MARKS {
            self.outbox.remove(0);
        }
        self.outbox.push(mark);
        Some(mark)
    }

    fn wall_ms(&self, now: Duration) -> u64 {
        let wall = self.started.duration_since(UNIX_EPOCH).unwrap_or_default() + now;
        u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
    }
}
