//! Decides which requests may run, from the evidence of all hosts that a request crashes the targets which run it.
//!
//! A request that crashes [`CRASH_LIMIT`] targets without an answer is marked, and no host sends it any more. Marks are
//! [`CrashMark`]s, of which the greater one takes precedence. A mark ends by evidence alone: a trial at one target that is
//! answered, or answers that explain the losses. That a store no longer has a mark says nothing.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
pub use vanillapick_model::crash_mark::CrashMark;
pub use vanillapick_model::crash_mark::MarkStage;
pub use vanillapick_model::crash_mark::RequestFingerprint;

pub use crate::crash_evidence::CRASH_LIMIT;
use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::LOSS_RETENTION;
pub use crate::crash_evidence::ReplicaKind;
pub use crate::crash_evidence::RequestAnswer;
pub use crate::crash_evidence::TargetLoss;
pub use crate::crash_evidence::WallTime;

/// Time between reaching [`CRASH_LIMIT`] and the mark, in which answers can explain the losses.
const EVALUATION_DELAY: Duration = Duration::from_millis(400);

/// Time after a loss in which a second attempt can explain it before other hosts are told.
const SHARE_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay before other hosts are told of an answer that explains losses, so that the first of many hosts which see
/// one saves the others from telling it.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(300);

/// Time from the mark to the first trial.
const FIRST_TRIAL_PAUSE: Duration = Duration::from_secs(10);

/// Growth of the time between trials. The pauses are 10 s, 160 s, 43 min and 11 h, so that fewer than four targets are risked
/// in the hours after a mark.
const TRIAL_PAUSE_FACTOR: u32 = 16;

/// Upper bound of the time between trials.
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// Time for which a mark of an earlier version of the program applies, which states none.
const PLAIN_MARK_TIME: Duration = Duration::from_secs(60);

/// Time for which a cleared mark is remembered, so that hosts which have not heard of it don't set it again.
const CLEARED_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of marks; the one that ends first is evicted first.
const MAX_MARKS: usize = 512;

/// Maximum number of losses of one request that this host tells others; enough for a mark.
const MAX_SHARED_PER_REQUEST: usize = CRASH_LIMIT + 1;

/// Maximum number of losses that this host tells others, and of answers; the first ones are evicted first.
const MAX_SHARED: usize = 32;

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashDecision {
    /// Without restriction.
    Normal,
    /// Only as the trial after this mark, once all other hosts are kept from one.
    Trial(CrashMark),
    /// Not at all.
    Refuse,
}

/// Evidence and marks that hosts tell each other.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashNews {
    pub losses: Vec<(RequestFingerprint, TargetLoss)>,
    pub answers: Vec<RequestAnswer>,
    pub marks: Vec<CrashMark>,
}

impl CrashNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.answers.is_empty() && self.marks.is_empty()
    }
}

/// Change of a mark, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MarkChange {
    pub mark: CrashMark,
    pub reason: MarkReason,
    /// Losses that are known of the request.
    pub losses: Vec<TargetLoss>,
}

/// Why a mark has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MarkReason {
    /// The request has crashed [`CRASH_LIMIT`] targets.
    Crashes,
    /// A host has claimed the trial.
    Trial,
    /// A target has survived the trial.
    TrialAnswered,
    /// Answers explain the losses.
    LossesExplained,
    /// Another host has changed it.
    OtherHost,
}

impl MarkReason {
    /// Label of log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Crashes => "crashes",
            Self::Trial => "trial",
            Self::TrialAnswered => "trial_answered",
            Self::LossesExplained => "losses_explained",
            Self::OtherHost => "other_host",
        }
    }
}

/// Evidence and marks known to one host, and what it has to tell other hosts.
#[derive(Debug, Default)]
pub struct CrashGuard {
    evidence: CrashEvidence,
    /// Latest mark of each request; at most [`MAX_MARKS`].
    marks: BTreeMap<RequestFingerprint, CrashMark>,
    /// Requests that have reached [`CRASH_LIMIT`], with the time of their evaluation.
    suspects: BTreeMap<RequestFingerprint, WallTime>,
    /// Losses of this host that may still be explained before others are told, with the time at which they are.
    unshared_losses: Vec<(WallTime, RequestFingerprint, TargetLoss)>,
    /// Answers of this host that explain losses, with the time at which others are told.
    unshared_answers: Vec<(WallTime, RequestAnswer)>,
    /// Losses of this host that others are told of; at most [`MAX_SHARED`].
    own_losses: VecDeque<(RequestFingerprint, TargetLoss)>,
    /// Answers of this host that others are told of; at most [`MAX_SHARED`].
    own_answers: VecDeque<RequestAnswer>,
    news: CrashNews,
    changes: Vec<MarkChange>,
}

impl CrashGuard {
    /// Decides how a request may run that arrives at `now`.
    pub fn admit(&self, fingerprint: RequestFingerprint, now: WallTime) -> CrashDecision {
        match self.active_mark(fingerprint) {
            None => CrashDecision::Normal,
            Some(mark) if wall_ms(now) < mark.until_ms => CrashDecision::Refuse,
            Some(mark) => CrashDecision::Trial(*mark),
        }
    }

    /// Whether no attempt may be sent but that of a trial.
    pub fn is_marked(&self, fingerprint: RequestFingerprint) -> bool {
        self.active_mark(fingerprint).is_some()
    }

    /// Whether a request has lost so many targets that it must not be repeated before it has an answer.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.is_marked(fingerprint) || CRASH_LIMIT <= self.crash_count(fingerprint)
    }

    /// Number of targets that the request has crashed since it was last cleared, as far as this host knows.
    pub fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.evidence.crash_count(fingerprint, self.cleared_at(fingerprint))
    }

    /// Where the request has lost targets, with repetitions.
    pub fn crashed_kinds(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = ReplicaKind> {
        self.evidence.losses(fingerprint).map(|loss| loss.kind)
    }

    /// Records that a target was lost under a request of this host; returns the number of crashes that are now known.
    pub fn record_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        loss: TargetLoss,
        now: WallTime,
    ) -> usize {
        let loss = loss.rounded();
        if self.evidence.add_loss(fingerprint, loss.clone(), now) {
            self.unshared_losses.push((now + SHARE_DELAY, fingerprint, loss));
            self.suspect(fingerprint, now);
        }
        self.crash_count(fingerprint)
    }

    /// Records an answer to a request of this host; returns whether it explains losses.
    pub fn record_answer(&mut self, answer: RequestAnswer, rng: &mut impl Rng) -> bool {
        let is_told = self.is_loss_told(answer.fingerprint, answer.kind);
        let is_explanation = self.evidence.add_answer(answer);
        if is_explanation && is_told {
            let due = answer.at + MAX_ANSWER_DELAY.mul_f64(rng.random());
            self.unshared_answers.push((due, answer));
        }
        is_explanation
    }

    /// Merges what another host tells, or has written to the store; what was unknown becomes news for further hosts. Returns
    /// the losses that were unknown.
    pub fn merge(
        &mut self,
        told: CrashNews,
        now: WallTime,
    ) -> Vec<(RequestFingerprint, TargetLoss)> {
        let mut unknown = Vec::new();
        for answer in told.answers {
            if self.evidence.add_answer(answer) {
                self.news.answers.push(answer);
            }
        }
        for (fingerprint, loss) in told.losses {
            if self.evidence.add_loss(fingerprint, loss.clone(), now) {
                // In an outage each host tells its own losses to some others, which is enough for all to notice it. Passing them on
                // would flood the hosts.
                if !self.evidence.is_in_outage(fingerprint, &loss) {
                    self.news.losses.push((fingerprint, loss.clone()));
                }
                self.suspect(fingerprint, now);
                unknown.push((fingerprint, loss));
            }
        }
        for mark in told.marks {
            self.set_mark(mark, MarkReason::OtherHost);
        }
        unknown
    }

    /// Takes over what an earlier process of this host has told others, so that writing the losses of this one doesn't remove
    /// them.
    pub fn adopt(&mut self, told: &CrashNews) {
        for (fingerprint, loss) in &told.losses {
            self.push_own_loss(*fingerprint, loss.clone());
        }
        for answer in &told.answers {
            self.push_own_answer(*answer);
        }
    }

    /// Mark for an entry of an earlier version of the program, which holds nothing but the fingerprint.
    pub fn plain_mark(&self, fingerprint: RequestFingerprint, now: WallTime) -> CrashMark {
        let known = self.active_mark(fingerprint).copied();
        known.unwrap_or(CrashMark {
            fingerprint,
            generation: self.next_generation(fingerprint),
            until_ms: wall_ms(now + PLAIN_MARK_TIME),
            stage: MarkStage::Marked,
            mark_count: 1,
        })
    }

    /// Does what is due at `now`: marks requests, lifts marks whose losses are explained, and selects what others are told.
    pub fn tick(&mut self, now: WallTime) {
        let due: Vec<RequestFingerprint> =
            self.suspects.iter().filter(|(_, due)| **due <= now).map(|(print, _)| *print).collect();
        for fingerprint in due {
            self.suspects.remove(&fingerprint);
            self.evaluate(fingerprint, now);
        }
        let explained: Vec<RequestFingerprint> = self
            .marks
            .values()
            .filter(|mark| self.is_refuted(mark))
            .map(|mark| mark.fingerprint)
            .collect();
        for fingerprint in explained {
            self.clear(fingerprint, MarkReason::LossesExplained, now);
        }
        self.share_losses(now);
        self.share_answers(now);
        self.marks.retain(|_, mark| {
            mark.stage != MarkStage::Cleared || now < wall_time(mark.until_ms) + CLEARED_RETENTION
        });
    }

    /// Time at which [`Self::tick`] has something to do; `None` if nothing is due.
    pub fn next_due(&self) -> Option<WallTime> {
        let suspects = self.suspects.values().copied();
        let losses = self.unshared_losses.iter().map(|(due, ..)| *due);
        let answers = self.unshared_answers.iter().map(|(due, _)| *due);
        suspects.chain(losses).chain(answers).min()
    }

    /// Takes what other hosts have to be told since the last call.
    pub fn take_news(&mut self) -> CrashNews {
        std::mem::take(&mut self.news)
    }

    /// Takes the changes of marks since the last call.
    pub fn take_changes(&mut self) -> Vec<MarkChange> {
        std::mem::take(&mut self.changes)
    }

    /// What a host needs that has missed earlier messages: unexplained losses, as many of each request as a mark needs, and all
    /// marks.
    pub fn export(&self) -> CrashNews {
        let losses = self.evidence.requests().flat_map(|fingerprint| {
            let losses = self.evidence.unexplained(fingerprint).take(MAX_SHARED_PER_REQUEST);
            losses.map(move |loss| (fingerprint, loss.clone()))
        });
        CrashNews { losses: losses.collect(), answers: Vec::new(), marks: self.marks().collect() }
    }

    /// Whether this host has lost a target under the request itself.
    pub fn has_own_loss(&self, fingerprint: RequestFingerprint) -> bool {
        let shared = self.own_losses.iter().any(|(known, _)| *known == fingerprint);
        shared || self.unshared_losses.iter().any(|(_, known, _)| *known == fingerprint)
    }

    /// What this host has seen itself and tells others.
    ///
    /// Losses that were explained since stay in what was written before, which does no harm. Those in an outage are left out,
    /// because hundreds of hosts would write them at once.
    pub fn own_evidence(&self) -> CrashNews {
        let losses = self.own_losses.iter();
        let losses = losses.filter(|(print, loss)| !self.evidence.is_in_outage(*print, loss));
        CrashNews {
            losses: losses.cloned().collect(),
            answers: self.own_answers.iter().copied().collect(),
            marks: Vec::new(),
        }
    }

    /// Latest mark of each request, cleared ones included.
    pub fn marks(&self) -> impl Iterator<Item = CrashMark> {
        self.marks.values().copied()
    }

    /// Mark that a host sets before it lets a request run as the trial after `mark`. It lasts until the next trial, so that a trial
    /// without an answer needs no further message.
    pub fn trial_mark(mark: CrashMark, now: WallTime) -> CrashMark {
        let pause = trial_pause(mark.mark_count);
        CrashMark {
            until_ms: wall_ms(now + pause),
            stage: MarkStage::Probing,
            mark_count: mark.mark_count.saturating_add(1),
            ..mark
        }
    }

    /// Records that this host has claimed a trial by this mark.
    pub fn start_trial(&mut self, mark: CrashMark) {
        self.set_mark(mark, MarkReason::Trial);
    }

    /// Records that a trial was answered.
    pub fn end_trial(&mut self, fingerprint: RequestFingerprint, now: WallTime) {
        self.clear(fingerprint, MarkReason::TrialAnswered, now);
    }

    /// Whether other hosts may know of a loss of the request at this kind of replica.
    fn is_loss_told(&self, fingerprint: RequestFingerprint, kind: ReplicaKind) -> bool {
        let mut losses = self.evidence.losses(fingerprint).filter(|loss| loss.kind == kind);
        losses.any(|loss| !self.unshared_losses.iter().any(|(_, _, unshared)| unshared == loss))
    }

    fn active_mark(&self, fingerprint: RequestFingerprint) -> Option<&CrashMark> {
        self.marks.get(&fingerprint).filter(|mark| mark.stage != MarkStage::Cleared)
    }

    /// Time up to which losses of a request don't count, because it was cleared.
    fn cleared_at(&self, fingerprint: RequestFingerprint) -> WallTime {
        let mark = self.marks.get(&fingerprint);
        let cleared = mark.filter(|mark| mark.stage == MarkStage::Cleared);
        cleared.map_or(Duration::ZERO, |mark| wall_time(mark.until_ms))
    }

    fn next_generation(&self, fingerprint: RequestFingerprint) -> u32 {
        self.marks.get(&fingerprint).map_or(1, |mark| mark.generation.saturating_add(1))
    }

    fn suspect(&mut self, fingerprint: RequestFingerprint, now: WallTime) {
        if CRASH_LIMIT <= self.crash_count(fingerprint) && !self.is_marked(fingerprint) {
            self.suspects.entry(fingerprint).or_insert(now + EVALUATION_DELAY);
        }
    }

    /// Marks a suspected request, unless its losses are explained by now.
    fn evaluate(&mut self, fingerprint: RequestFingerprint, now: WallTime) {
        let since = self.cleared_at(fingerprint);
        let crashes = self.evidence.crash_count_beside_outages(fingerprint, since);
        if crashes < CRASH_LIMIT || self.is_marked(fingerprint) {
            return;
        }
        let mark = CrashMark {
            fingerprint,
            generation: self.next_generation(fingerprint),
            until_ms: wall_ms(now + FIRST_TRIAL_PAUSE),
            stage: MarkStage::Marked,
            mark_count: 1,
        };
        self.set_mark(mark, MarkReason::Crashes);
    }

    /// Whether answers explain the losses behind a mark. A host that doesn't know these can't tell.
    fn is_refuted(&self, mark: &CrashMark) -> bool {
        let losses = self.evidence.losses(mark.fingerprint).count();
        mark.stage != MarkStage::Cleared
            && CRASH_LIMIT <= losses
            && self.evidence.unexplained(mark.fingerprint).next().is_none()
    }

    fn clear(&mut self, fingerprint: RequestFingerprint, reason: MarkReason, now: WallTime) {
        if !self.is_marked(fingerprint) {
            return;
        }
        let mark = CrashMark {
            fingerprint,
            generation: self.next_generation(fingerprint),
            until_ms: wall_ms(now),
            stage: MarkStage::Cleared,
            mark_count: 0,
        };
        self.set_mark(mark, reason);
    }

    /// Stores a mark if it is greater than the known one.
    fn set_mark(&mut self, mark: CrashMark, reason: MarkReason) {
        if self.marks.get(&mark.fingerprint).is_some_and(|known| mark <= *known) {
            return;
        }
        self.marks.insert(mark.fingerprint, mark);
        if self.marks.len() > MAX_MARKS {
            let first = self.marks.values().min_by_key(|mark| mark.until_ms).copied();
            first.map(|mark| self.marks.remove(&mark.fingerprint));
        }
        let losses = self.evidence.losses(mark.fingerprint).cloned().collect();
        self.changes.push(MarkChange { mark, reason, losses });
        self.news.marks.push(mark);
    }

    /// Selects losses that are not explained in time.
    fn share_losses(&mut self, now: WallTime) {
        let unshared = std::mem::take(&mut self.unshared_losses);
        let (due, later): (Vec<_>, Vec<_>) =
            unshared.into_iter().partition(|(due, ..)| *due <= now);
        self.unshared_losses = later;
        self.forget_own_losses(now);
        for (_, fingerprint, loss) in due {
            if self.evidence.is_explained(fingerprint, &loss) {
                continue;
            }
            if self.push_own_loss(fingerprint, loss.clone()) {
                self.news.losses.push((fingerprint, loss));
            }
        }
    }

    /// Forgets losses of this host that have lost their meaning.
    fn forget_own_losses(&mut self, now: WallTime) {
        let mut own_losses = std::mem::take(&mut self.own_losses);
        own_losses.retain(|(fingerprint, loss)| {
            let is_recent = now < loss.lost + LOSS_RETENTION;
            let is_counted = self.cleared_at(*fingerprint) < loss.lost;
            is_recent && is_counted && !self.evidence.is_explained(*fingerprint, loss)
        });
        self.own_losses = own_losses;
    }

    /// Returns whether others are to be told.
    fn push_own_loss(&mut self, fingerprint: RequestFingerprint, loss: TargetLoss) -> bool {
        if self.own_losses.iter().any(|(known, own)| *known == fingerprint && *own == loss) {
            return false;
        }
        let shared = self.own_losses.iter().filter(|(known, _)| *known == fingerprint);
        if MAX_SHARED_PER_REQUEST <= shared.count() {
            return false;
        }
        self.own_losses.push_back((fingerprint, loss));
        if self.own_losses.len() > MAX_SHARED {
            self.own_losses.pop_front();
        }
        true
    }

    /// Selects answers that explain losses which others know of.
    fn share_answers(&mut self, now: WallTime) {
        let unshared = std::mem::take(&mut self.unshared_answers);
        let (due, later): (Vec<_>, Vec<_>) = unshared.into_iter().partition(|(due, _)| *due <= now);
        self.unshared_answers = later;
        for (_, answer) in due {
            self.push_own_answer(answer);
            self.news.answers.push(answer);
        }
    }

    fn push_own_answer(&mut self, answer: RequestAnswer) {
        if self.own_answers.contains(&answer) {
            return;
        }
        self.own_answers.push_back(answer);
        if self.own_answers.len() > MAX_SHARED {
            self.own_answers.pop_front();
        }
    }
}

/// Time between a mark with this count and the trial after the next one.
fn trial_pause(mark_count: u32) -> Duration {
    let factor = TRIAL_PAUSE_FACTOR.checked_pow(mark_count).unwrap_or(u32::MAX);
    FIRST_TRIAL_PAUSE.saturating_mul(factor).min(MAX_TRIAL_PAUSE)
}

fn wall_ms(time: WallTime) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn wall_time(ms: u64) -> WallTime {
    Duration::from_millis(ms)
}
