//! Targets lost under requests and answers to the same requests, as all hosts have seen them.
//!
//! Losses are a set that only grows, and answers keep their latest time, so evidence merges in any order and a loss that
//! arrives twice counts once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_policy::micros::micros;
use xxhash_rust::xxh3::xxh3_64;

use crate::target_record::TargetId;
use crate::target_record::TargetRecord;

/// Time since the Unix epoch, which hosts agree on up to the error of their clocks.
pub type WallTime = Duration;

/// Number of crashes, without an answer, at which a request counts as their cause. It is more than 1 because a request can
/// also lose targets that crash for other reasons.
pub const CRASH_LIMIT: usize = 3;

/// Time for which losses count. Callers may repeat a request after minutes.
pub const LOSS_RETENTION: Duration = Duration::from_secs(600);

/// Time after an answer in which a loss of the same request at the same kind of replica is not put down to the request.
const ANSWER_TRUST: Duration = Duration::from_secs(3);

/// Time around a loss in which losses of other requests show an outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(1);

/// Number of targets that other requests have lost from which an outage explains a loss.
const MIN_OUTAGE_TARGETS: usize = 4;

/// Maximum number of losses; those of the request with the least recent one are evicted first.
const MAX_LOSSES: usize = 4096;

/// Maximum number of losses kept for one request, enough for a search over hundreds of shards; the least recent is evicted
/// first.
const MAX_LOSSES_PER_REQUEST: usize = 256;

/// Interval between removals of losses that no longer count.
const CLEANUP_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of answers that are remembered; the first one is evicted first.
const MAX_ANSWERS: usize = 8192;

/// Replicas that a request can be expected to affect alike: those of one pool, with the same software and data.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaKind {
    /// Hash of the pool's id.
    pub pool: u32,
    /// Hash of the version of the software.
    pub version: u32,
}

impl ReplicaKind {
    /// Kind that a target belongs to by its registration.
    pub fn of(record: &TargetRecord) -> Self {
        Self { pool: hash(&record.pool), version: hash(&record.version) }
    }

    /// Whether targets of this pool are of this kind, in some version.
    pub fn is_of_pool(&self, pool: &str) -> bool {
        self.pool == hash(pool)
    }
}

fn hash(name: &str) -> u32 {
    // The lower half of a 64-bit hash is as good as a 32-bit one.
    xxh3_64(name.as_bytes()) as u32
}

/// An attempt whose target was lost.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TargetLoss {
    /// When the loss was seen; not before `sent`.
    pub lost: WallTime,
    pub sent: WallTime,
    pub target: TargetId,
    pub kind: ReplicaKind,
}

impl TargetLoss {
    /// Loss of an attempt at a target.
    pub fn new(record: &TargetRecord, sent: WallTime, lost: WallTime) -> Self {
        let target = TargetId::clone(&record.id);
        Self { lost: lost.max(sent), sent, target, kind: ReplicaKind::of(record) }
    }

    /// The loss as hosts tell it each other, so that it is known when it comes back.
    pub fn rounded(self) -> Self {
        let rounded = |time: WallTime| Duration::from_micros(micros(time));
        Self { lost: rounded(self.lost), sent: rounded(self.sent), ..self }
    }

    /// Whether both attempts may have ended with one crash of the target: they ran at the same time.
    fn is_same_crash(&self, other: &Self) -> bool {
        self.target == other.target && self.sent < other.lost && other.sent < self.lost
    }
}

/// An answer of a target to a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestAnswer {
    pub fingerprint: RequestFingerprint,
    pub kind: ReplicaKind,
    pub at: WallTime,
}

/// Losses and answers known to one host.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    /// Losses by request, in order of time; at most [`MAX_LOSSES_PER_REQUEST`] of each.
    losses: BTreeMap<RequestFingerprint, BTreeSet<TargetLoss>>,
    /// Number of all losses; at most [`MAX_LOSSES`].
    loss_count: usize,
    next_cleanup: WallTime,
    /// Latest answer by request and kind of replica.
    answers: HashMap<(RequestFingerprint, ReplicaKind), WallTime>,
    /// Keys of `answers` in the order in which they were first recorded.
    answer_order: VecDeque<(RequestFingerprint, ReplicaKind)>,
}

impl CrashEvidence {
    /// Adds a loss; returns whether it was unknown and still counts.
    pub fn add_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        loss: TargetLoss,
        now: WallTime,
    ) -> bool {
        self.forget_old_losses(now);
        if loss.lost + LOSS_RETENTION <= now {
            return false;
        }
        let losses = self.losses.entry(fingerprint).or_default();
        if !losses.insert(loss) {
            return false;
        }
        if losses.len() > MAX_LOSSES_PER_REQUEST {
            losses.pop_first();
        } else {
            self.loss_count += 1;
        }
        if self.loss_count > MAX_LOSSES {
            self.evict_request();
        }
        true
    }

    /// Adds an answer; returns whether it explains losses that were unexplained before.
    pub fn add_answer(&mut self, answer: RequestAnswer) -> bool {
        let RequestAnswer { fingerprint, kind, at } = answer;
        let before = self.unexplained(fingerprint).count();
        let known = self.answers.entry((fingerprint, kind)).or_insert_with(|| {
            self.answer_order.push_back((fingerprint, kind));
            at
        });
        *known = at.max(*known);
        if self.answer_order.len() > MAX_ANSWERS {
            self.answer_order.pop_front().map(|oldest| self.answers.remove(&oldest));
        }
        self.unexplained(fingerprint).count() < before
    }

    /// Losses that no answer of the same kind of replica explains.
    pub fn unexplained(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = &TargetLoss> {
        let losses = self.losses.get(&fingerprint).into_iter().flatten();
        losses.filter(move |loss| !self.is_explained(fingerprint, loss))
    }

    /// Whether an answer of the same kind of replica explains a loss.
    pub fn is_explained(&self, fingerprint: RequestFingerprint, loss: &TargetLoss) -> bool {
        let answer = self.answers.get(&(fingerprint, loss.kind));
        answer.is_some_and(|at| loss.lost <= *at + ANSWER_TRUST)
    }

    /// Losses of a request, explained or not.
    pub fn losses(&self, fingerprint: RequestFingerprint) -> impl Iterator<Item = &TargetLoss> {
        self.losses.get(&fingerprint).into_iter().flatten()
    }

    /// Number of crashes among the unexplained losses after `since`.
    pub fn crash_count(&self, fingerprint: RequestFingerprint, since: WallTime) -> usize {
        count_crashes(self.unexplained(fingerprint).filter(|loss| since < loss.lost))
    }

    /// Like [`Self::crash_count`], without losses in an outage that other requests have seen.
    pub fn crash_count_beside_outages(
        &self,
        fingerprint: RequestFingerprint,
        since: WallTime,
    ) -> usize {
        let losses = self.unexplained(fingerprint).filter(|loss| since < loss.lost);
        count_crashes(losses.filter(|loss| !self.is_in_outage(fingerprint, loss)))
    }

    /// Whether other requests have lost other targets at about the same time. A request that crashes its targets takes others
    /// with it only at the same ones.
    pub fn is_in_outage(&self, fingerprint: RequestFingerprint, loss: &TargetLoss) -> bool {
        let own: BTreeSet<&TargetId> = self.losses(fingerprint).map(|own| &own.target).collect();
        let others = self.losses.iter().filter(|(other, _)| **other != fingerprint);
        let mut targets: BTreeSet<&TargetId> = BTreeSet::new();
        // Few losses are enough in an outage, which has many.
        others.flat_map(|(_, losses)| losses).any(|other| {
            let is_near = other.lost.abs_diff(loss.lost) <= OUTAGE_WINDOW;
            is_near && !own.contains(&other.target) && {
                targets.insert(&other.target);
                MIN_OUTAGE_TARGETS <= targets.len()
            }
        })
    }

    /// Requests with losses.
    pub fn requests(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.losses.keys().copied()
    }

    fn evict_request(&mut self) {
        let latest = |losses: &BTreeSet<TargetLoss>| losses.last().map(|loss| loss.lost);
        let oldest = self.losses.iter().min_by_key(|(_, losses)| latest(losses));
        let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
        let evicted = oldest.and_then(|oldest| self.losses.remove(&oldest));
        self.loss_count -= evicted.map_or(0, |losses| losses.len());
    }

    fn forget_old_losses(&mut self, now: WallTime) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_PERIOD;
        let since = now.saturating_sub(LOSS_RETENTION);
        self.losses.retain(|_, losses| {
            while losses.first().is_some_and(|loss| loss.lost <= since) {
                losses.pop_first();
            }
            !losses.is_empty()
        });
        self.loss_count = self.losses.values().map(BTreeSet::len).sum();
    }
}

/// Number of crashes that losses stand for; losses of one target at the same time are one.
fn count_crashes<'a>(losses: impl Iterator<Item = &'a TargetLoss>) -> usize {
    let mut crashes: Vec<&TargetLoss> = Vec::new();
    for loss in losses {
        if !crashes.iter().any(|known| known.is_same_crash(loss)) {
            crashes.push(loss);
        }
    }
    crashes.len()
}
