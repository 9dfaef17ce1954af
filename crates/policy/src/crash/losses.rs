//! Connections lost within the last minute, by request and by target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_model::target::TargetId;

/// Time window in which the losses of a fingerprint are counted.
pub const LOSS_WINDOW: Duration = Duration::from_secs(60);

/// Time window in which losses of other targets indicate a wider outage.
pub const OUTAGE_WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of fingerprints with losses; the fingerprint with the oldest latest loss is dropped.
pub const MAX_FINGERPRINTS: usize = 4096;

/// Maximum number of lost targets of one fingerprint; the oldest loss is dropped.
pub const MAX_TARGETS_PER_FINGERPRINT: usize = 64;

/// Maximum number of losses of all fingerprints within [`OUTAGE_WINDOW`]; the oldest loss is dropped.
pub const MAX_RECENT_LOSSES: usize = 1024;

#[derive(Clone, Debug)]
struct LostCall {
    at: Duration,
    target: TargetId,
    fingerprint: RequestFingerprint,
}

/// Bounded table of recently lost connections. A success of a request removes its losses.
#[derive(Clone, Debug, Default)]
pub(super) struct LossTable {
    /// Time of the latest loss by target, for each fingerprint.
    losses_by_request: BTreeMap<RequestFingerprint, BTreeMap<TargetId, Duration>>,
    /// Losses in order of time, within [`OUTAGE_WINDOW`] before the latest one.
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
        let losses = self.losses_by_request.entry(fingerprint).or_default();
        losses.insert(target.to_owned(), now);
        if losses.len() > MAX_TARGETS_PER_FINGERPRINT {
            let first = losses.iter().min_by_key(|(_, time)| **time).map(|(id, _)| id.clone());
            first.map(|id| losses.remove(&id));
        }
        if self.losses_by_request.len() > MAX_FINGERPRINTS {
            let oldest =
                self.losses_by_request.iter().min_by_key(|(_, losses)| losses.values().max());
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|fingerprint| self.losses_by_request.remove(&fingerprint));
        }
    }

    pub(super) fn forget(&mut self, fingerprint: RequestFingerprint) {
        self.losses_by_request.remove(&fingerprint);
    }

    /// Number of targets at which the request was lost within [`LOSS_WINDOW`].
    pub(super) fn targets_lost(&self, fingerprint: RequestFingerprint, now: Duration) -> usize {
        let since = now.saturating_sub(LOSS_WINDOW);
        let losses = self.losses_by_request.get(&fingerprint);
        losses.map_or(0, |losses| losses.values().filter(|time| **time >= since).count())
    }

    pub(super) fn lost_at(
        &self,
        fingerprint: RequestFingerprint,
        target: &str,
    ) -> Option<Duration> {
        self.losses_by_request.get(&fingerprint)?.get(target).copied()
    }

    /// Number of other requests lost at the target within [`OUTAGE_WINDOW`] before the latest loss of any request.
    pub(super) fn other_requests_lost_at(
        &self,
        fingerprint: RequestFingerprint,
        target: &str,
    ) -> usize {
        let others: BTreeSet<_> = self
            .recent
            .iter()
            .filter(|call| call.target == target && call.fingerprint != fingerprint)
            .map(|call| call.fingerprint)
            .collect();
        others.len()
    }

    /// Number of targets at which other requests, but not this one, were lost within [`OUTAGE_WINDOW`].
    pub(super) fn lost_by_others_only(
        &self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> usize {
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

    /// Other requests that were lost at every target where this one was lost.
    pub(super) fn lost_at_same_targets(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = RequestFingerprint> {
        let own = self.losses_by_request.get(&fingerprint);
        let covers = move |targets: &BTreeMap<TargetId, Duration>| {
            own.is_some_and(|own| own.keys().all(|target| targets.contains_key(target)))
        };
        self.losses_by_request
            .iter()
            .filter(move |(other, targets)| **other != fingerprint && covers(targets))
            .map(|(other, _)| *other)
    }
}
