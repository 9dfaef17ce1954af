//! Lost connections by request and by target, of the last minute.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_model::target::TargetId;

/// Time within which the losses of one fingerprint are added up.
pub const LOSS_WINDOW: Duration = Duration::from_secs(60);

/// Time in which losses of other targets count as a wider outage.
pub const OUTAGE_WINDOW: Duration = Duration::from_secs(2);

/// Fingerprints with losses that are kept; the one that has lost nothing for the longest time is dropped.
pub const MAX_FINGERPRINTS: usize = 4096;

/// Lost targets that are kept of one fingerprint; the oldest loss is dropped.
pub const MAX_TARGETS_PER_FINGERPRINT: usize = 64;

/// Losses of all fingerprints that are kept for [`OUTAGE_WINDOW`]; the oldest is dropped.
pub const MAX_RECENT_LOSSES: usize = 1024;

#[derive(Clone, Debug)]
struct LostCall {
    at: Duration,
    target: TargetId,
    fingerprint: RequestFingerprint,
}

/// Lost connections. A success of a fingerprint removes its losses.
#[derive(Clone, Debug, Default)]
pub(super) struct LossTable {
    /// Time of the last loss by target, for each fingerprint.
    losers: BTreeMap<RequestFingerprint, BTreeMap<TargetId, Duration>>,
    /// In the order of time; covers [`OUTAGE_WINDOW`] before the last loss.
    recent: VecDeque<LostCall>,
}

impl LossTable {
    pub(super) fn record(&mut self, fingerprint: RequestFingerprint, target: &str, now: Duration) {
        self.recent.push_back(LostCall { at: now, target: target.to_owned(), fingerprint });
        let oldest = now.saturating_sub(OUTAGE_WINDOW);
        let is_old = |call: &LostCall| call.at < oldest;
        while self.recent.len() > MAX_RECENT_LOSSES || self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        let losses = self.losers.entry(fingerprint).or_default();
        losses.insert(target.to_owned(), now);
        if losses.len() > MAX_TARGETS_PER_FINGERPRINT {
            let first = losses.iter().min_by_key(|(_, time)| **time).map(|(id, _)| id.clone());
            first.map(|id| losses.remove(&id));
        }
        if self.losers.len() > MAX_FINGERPRINTS {
            let oldest = self.losers.iter().min_by_key(|(_, losses)| losses.values().max());
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|fingerprint| self.losers.remove(&fingerprint));
        }
    }

    pub(super) fn forget(&mut self, fingerprint: RequestFingerprint) {
        self.losers.remove(&fingerprint);
    }

    /// Different targets that the request lost within [`LOSS_WINDOW`].
    pub(super) fn targets_lost(&self, fingerprint: RequestFingerprint, now: Duration) -> usize {
        let since = now.saturating_sub(LOSS_WINDOW);
        let losses = self.losers.get(&fingerprint);
        losses.map_or(0, |losses| losses.values().filter(|time| **time >= since).count())
    }

    pub(super) fn lost_at(
        &self,
        fingerprint: RequestFingerprint,
        target: &str,
    ) -> Option<Duration> {
        self.losers.get(&fingerprint)?.get(target).copied()
    }

    /// Other requests that were lost at the target at about the same time.
    pub(super) fn others_lost_at(&self, fingerprint: RequestFingerprint, target: &str) -> usize {
        let others: BTreeSet<_> = self
            .recent
            .iter()
            .filter(|call| call.target == target && call.fingerprint != fingerprint)
            .map(|call| call.fingerprint)
            .collect();
        others.len()
    }

    /// Targets lost within [`OUTAGE_WINDOW`] by other requests alone.
    pub(super) fn lost_without(&self, fingerprint: RequestFingerprint, now: Duration) -> usize {
        let since = now.saturating_sub(OUTAGE_WINDOW);
        let has_lost = |target: &str| self.lost_at(fingerprint, target).is_some();
        let targets: BTreeSet<_> = self
            .recent
            .iter()
            .filter(|call| call.at >= since && !has_lost(&call.target))
            .map(|call| call.target.as_str())
            .collect();
        targets.len()
    }

    /// Other requests that were lost at each target where this one was lost.
    pub(super) fn lost_alike(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = RequestFingerprint> {
        let own = self.losers.get(&fingerprint);
        let covers = move |targets: &BTreeMap<TargetId, Duration>| {
            own.is_some_and(|own| own.keys().all(|target| targets.contains_key(target)))
        };
        self.losers
            .iter()
            .filter(move |(other, targets)| **other != fingerprint && covers(targets))
            .map(|(other, _)| *other)
    }
}
