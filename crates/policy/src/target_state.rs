//! What one host knows about one target. A pick reads atomics alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use arc_swap::Guard;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::contract::TargetContract;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::SnapshotId;
use vanillapick_model::target::TargetId;

use crate::cold::ColdStart;
use crate::latency_estimate::LatencyEstimate;
use crate::micros::micros;
use crate::per_kind::PerKind;
use crate::sticky_flag::StickyFlag;

/// Time between two probes of a lost target by the host that owns its cold starts.
pub const OWNER_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two probes of a lost target by any other host. A lost target usually comes back cold, so the others
/// wait for word of it; they probe at all because the owner may not reach the target.
pub const NON_OWNER_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Failures in a row after which a target counts as lost. One alone may be an idle connection that the target closed.
pub const FAILURES_UNTIL_LOST: u32 = 2;

/// Time for which a draining mark holds against one that denies it. Replies sent before the drain began may arrive
/// after the first one that shows it.
pub const DRAINING_HOLD_TIME: Duration = Duration::from_secs(2);

/// Pause after a refusal by load shedding that names no retry delay.
pub const DEFAULT_SHED_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause after a refusal by load shedding, whatever retry delay it names.
pub const MAX_SHED_PAUSE: Duration = Duration::from_secs(1);

/// Time for which marks are taken for complete. A roll-out of an index reaches a target between two of its replies, and
/// hosts hear of targets they do not call once a second or later.
pub const MAX_MARKS_AGE: Duration = Duration::from_millis(250);

/// Time after a refusal by load shedding in which lower classes leave a place of the limit free. Longer than the queue of
/// a target takes to empty, so that pressure is not forgotten between two refusals.
pub const SHED_PRESSURE_TIME: Duration = Duration::from_secs(2);

/// State of one target as this host sees it; shared by all views that hold the target.
#[derive(Debug)]
pub struct TargetState {
    /// Id of the target.
    pub id: TargetId,
    /// Address of the target; another address is another state.
    pub address: SocketAddr,
    in_flight: AtomicU32,
    running_limit: AtomicU32,
    connection_limit: AtomicU32,
    /// Requests that this host may run while the target is cold. Follows `cold_start`.
    cold_limit: AtomicU32,
    /// Follows `cold_start`, so that a pick reads no lock.
    cold: AtomicBool,
    /// Held for one decision at a time and never over a call.
    cold_start: Mutex<ColdStart>,
    draining_mark: StickyFlag,
    /// Left the tables, or its failure domain is out; set for all views at once so that running sessions see it.
    retired: AtomicBool,
    shed_until_us: AtomicU64,
    /// End of the time in which lower classes leave a place free.
    pressed_until_us: AtomicU64,
    lost: AtomicBool,
    failures: AtomicU32,
    /// Time of the first of the failures in a row; 0 without one.
    failing_since_us: AtomicU64,
    next_probe_us: AtomicU64,
    latency: PerKind<LatencyEstimate>,
    marks: ArcSwapOption<TargetMarks>,
    /// Time of the latest word of the target about itself.
    marks_at_us: AtomicU64,
}

impl TargetState {
    /// State of a target that has not replied yet. The limits are the whole contract until [`Self::set_limits`].
    pub fn new(id: TargetId, address: SocketAddr, contract: &TargetContract) -> Self {
        Self {
            id,
            address,
            in_flight: AtomicU32::new(0),
            running_limit: AtomicU32::new(contract.connections),
            connection_limit: AtomicU32::new(contract.connections),
            cold_limit: AtomicU32::new(contract.cold_allowance),
            cold: AtomicBool::new(false),
            cold_start: Mutex::new(ColdStart::new(contract)),
            draining_mark: StickyFlag::default(),
            retired: AtomicBool::new(false),
            shed_until_us: AtomicU64::new(0),
            pressed_until_us: AtomicU64::new(0),
            lost: AtomicBool::new(false),
            failures: AtomicU32::new(0),
            failing_since_us: AtomicU64::new(0),
            next_probe_us: AtomicU64::new(0),
            latency: PerKind::default(),
            marks: ArcSwapOption::empty(),
            marks_at_us: AtomicU64::new(0),
        }
    }

    /// Sets this host's share of running requests and of connections.
    pub fn set_limits(&self, running: u32, connections: u32) {
        self.running_limit.store(running, Relaxed);
        self.connection_limit.store(connections, Relaxed);
    }

    /// Takes the live hosts that share the target, for the ownership of its cold starts. `host` is this host.
    pub fn apply_hosts<'a>(
        &self,
        hosts: impl IntoIterator<Item = &'a str>,
        host: &str,
        now: Duration,
    ) {
        let mut start = self.cold_start();
        start.ownership.apply_view(&self.id, hosts, host, now);
        self.follow_cold_start(&start, now);
    }

    /// Brings the limit of a cold start up to date, which grows with time; called several times a second.
    pub fn refresh(&self, now: Duration) {
        if self.is_cold() {
            self.follow_cold_start(&self.cold_start(), now);
        }
    }

    /// Whether this host sends the first work to the target after it was lost or cold.
    pub fn is_owned(&self, now: Duration) -> bool {
        self.cold_start().ownership.owned_for(now).is_some()
    }

    fn cold_start(&self) -> MutexGuard<'_, ColdStart> {
        self.cold_start.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn follow_cold_start(&self, start: &ColdStart, now: Duration) {
        let owned_for = start.ownership.owned_for(now);
        self.cold_limit.store(start.tracker.host_limit(owned_for, now), Relaxed);
        self.cold.store(start.tracker.is_cold(now), Relaxed);
    }

    /// This host's share of running requests.
    pub fn running_limit(&self) -> u32 {
        self.running_limit.load(Relaxed)
    }

    /// Connections that this host may hold open to the target.
    pub fn connection_limit(&self) -> u32 {
        self.connection_limit.load(Relaxed)
    }

    /// Requests that this host may run at the target now.
    pub fn limit(&self) -> u32 {
        let limit = self.running_limit.load(Relaxed).min(self.connection_limit.load(Relaxed));
        if self.is_cold() { limit.min(self.cold_limit.load(Relaxed)) } else { limit }
    }

    /// Requests of this host that run at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Whether another request would be above the limit.
    pub fn is_at_limit(&self) -> bool {
        self.limit() <= self.in_flight()
    }

    /// Counts one more running request unless the limit is reached. While the target sheds load, classes after the
    /// first leave one place of the limit free.
    pub fn try_start(&self, class: u8, now: Duration) -> bool {
        let mut limit = self.limit();
        if 0 < class && micros(now) < self.pressed_until_us.load(Relaxed) {
            limit = limit.min(limit.saturating_sub(1).max(1));
        }
        let more = |running: u32| (running < limit).then(|| running + 1);
        self.in_flight.fetch_update(Relaxed, Relaxed, more).is_ok()
    }

    /// Counts one more running request above any limit; for the baseline only.
    pub fn start_unlimited(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    /// Counts one running request less.
    pub fn end(&self) {
        let before = self.in_flight.fetch_sub(1, Relaxed);
        debug_assert!(0 < before, "each end follows one begin");
    }

    /// Whether the target is in a cold start.
    pub fn is_cold(&self) -> bool {
        self.cold.load(Relaxed)
    }

    /// Notes that the target refused a call because it is cold.
    pub fn record_cold_refusal(&self, now: Duration) {
        let mut start = self.cold_start();
        start.tracker.record_cold_refusal(now);
        self.follow_cold_start(&start, now);
    }

    /// Notes a usable reply for the detection of cold starts; its marks are noted besides. `usual` is the median
    /// latency of the pool.
    pub fn record_usable_reply(
        &self,
        marks: &TargetMarks,
        latency: Duration,
        usual: Option<Duration>,
        now: Duration,
    ) {
        let mut start = self.cold_start();
        start.tracker.record_reply(marks, latency, usual, now);
        self.follow_cold_start(&start, now);
    }

    /// Whether the target takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining_mark.is_set()
    }

    /// Notes that the target said it drains.
    pub fn record_draining(&self, now: Duration) {
        self.draining_mark.set(now);
    }

    /// Whether the target takes no new work because it leaves, left the tables, or stands in a domain that is out.
    pub fn is_retired(&self) -> bool {
        self.retired.load(Relaxed)
    }

    /// Takes the target out of service for new work, or back.
    pub fn set_retired(&self, retired: bool) {
        self.retired.store(retired, Relaxed);
    }

    /// Notes a refusal by load shedding; the target gets no new work for `pause`.
    pub fn record_shed(&self, pause: Option<Duration>, now: Duration) {
        let pause = pause.unwrap_or(DEFAULT_SHED_PAUSE).min(MAX_SHED_PAUSE);
        self.shed_until_us.store(micros(now + pause), Relaxed);
        self.pressed_until_us.store(micros(now + SHED_PRESSURE_TIME), Relaxed);
    }

    /// Whether the pause after a refusal by load shedding still lasts.
    pub fn is_shedding(&self, now: Duration) -> bool {
        micros(now) < self.shed_until_us.load(Relaxed)
    }

    /// Whether the target is lost.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Relaxed)
    }

    /// Time of the next probe while the target is lost.
    pub fn next_probe(&self) -> Duration {
        Duration::from_micros(self.next_probe_us.load(Relaxed))
    }

    /// Whether a lost target is due for a probe.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.is_lost() && self.next_probe_us.load(Relaxed) <= micros(now)
    }

    /// Takes the probe that is due; true for one caller per interval.
    pub fn claim_probe(&self, now: Duration) -> bool {
        let due = self.next_probe_us.load(Relaxed);
        if micros(now) < due {
            return false;
        }
        let next = micros(now + self.probe_interval(now));
        self.next_probe_us.compare_exchange(due, next, Relaxed, Relaxed).is_ok()
    }

    /// Notes an attempt that ended without any reply.
    pub fn record_failure(&self, now: Duration) {
        let failures = self.failures.fetch_add(1, Relaxed).saturating_add(1);
        if failures == 1 {
            self.failing_since_us.store(micros(now).max(1), Relaxed);
        }
        if FAILURES_UNTIL_LOST <= failures && !self.lost.swap(true, Relaxed) {
            self.next_probe_us.store(micros(now + self.probe_interval(now)), Relaxed);
        }
        if self.is_cold() {
            let mut start = self.cold_start();
            start.tracker.record_failure(now);
            self.follow_cold_start(&start, now);
        }
    }

    /// Whether the target had failed, and not replied since, before an attempt was sent at `sent_at`. The loss of such
    /// an attempt says nothing about the request.
    pub fn was_failing(&self, sent_at: Duration) -> bool {
        let since = self.failing_since_us.load(Relaxed);
        since != 0 && since < micros(sent_at)
    }

    fn probe_interval(&self, now: Duration) -> Duration {
        if self.is_owned(now) { OWNER_PROBE_INTERVAL } else { NON_OWNER_PROBE_INTERVAL }
    }

    /// Notes that the target replied, whatever the reply says.
    pub fn record_reply(&self) {
        self.failures.store(0, Relaxed);
        self.failing_since_us.store(0, Relaxed);
        self.lost.store(false, Relaxed);
    }

    /// Notes the time of a whole reply to a call of `kind`, without the time on the link.
    pub fn record_latency(&self, kind: RouteKind, sample: Duration, now: Duration) {
        self.latency.get(kind).record(sample, now);
    }

    /// Notes an attempt that has not ended after `elapsed`; lower than the estimate it says nothing.
    pub fn record_latency_at_least(&self, kind: RouteKind, elapsed: Duration, now: Duration) {
        self.latency.get(kind).record_at_least(elapsed, now);
    }

    /// Notes an attempt that was overtaken after `elapsed` by a hedge sent later.
    pub fn record_overtaken(&self, kind: RouteKind, elapsed: Duration, now: Duration) {
        self.latency.get(kind).record_overtaken(elapsed, now);
    }

    /// Latency estimate for calls of `kind` at `now`, without the time on the link; `usual` without samples.
    pub fn latency(&self, kind: RouteKind, usual: Duration, now: Duration) -> Duration {
        self.latency.get(kind).at(usual, now)
    }

    /// The latest marks, if the target has ever been heard of.
    pub fn marks(&self) -> Guard<Option<Arc<TargetMarks>>> {
        self.marks.load()
    }

    /// Takes over what the target says about itself. Marks of an earlier incarnation are ignored.
    pub fn record_marks(&self, marks: &TargetMarks, now: Duration) {
        let last = self.marks.load();
        let mut restarted = false;
        if let Some(last) = last.as_ref() {
            if marks.incarnation < last.incarnation {
                return;
            }
            restarted = last.incarnation < marks.incarnation;
        }
        self.marks_at_us.store(micros(now), Relaxed);
        let mut start = self.cold_start();
        start.tracker.record_marks(marks, now);
        self.follow_cold_start(&start, now);
        drop(start);
        self.draining_mark.record(marks.draining, restarted, now);
        if last.as_ref().is_some_and(|last| **last == *marks) {
            return;
        }
        if restarted {
            // The new process may be well although the old one was lost, so it is probed without waiting.
            self.next_probe_us.store(micros(now), Relaxed);
            self.failures.store(0, Relaxed);
            self.failing_since_us.store(0, Relaxed);
            self.latency.for_each(LatencyEstimate::reset);
        }
        self.marks.store(Some(Arc::new(marks.clone())));
    }

    /// Whether the target may by now hold `snapshot`, which is newer than all that it held when it was last heard of.
    pub fn may_hold_snapshot(&self, snapshot: SnapshotId, now: Duration) -> bool {
        let marks = self.marks.load();
        let Some(marks) = marks.as_ref() else { return false };
        let newest = marks.snapshots.iter().max().copied().unwrap_or_default();
        let heard_at = self.marks_at_us.load(Relaxed);
        newest < snapshot && heard_at.saturating_add(micros(MAX_MARKS_AGE)) < micros(now)
    }

    /// Notes that the target no longer holds `snapshot`, until its next marks.
    pub fn drop_snapshot(&self, snapshot: SnapshotId) {
        let last = self.marks.load();
        let Some(last) = last.as_ref() else { return };
        let mut marks = TargetMarks::clone(last);
        marks.snapshots.retain(|held| *held != snapshot);
        self.marks.store(Some(Arc::new(marks)));
    }
}
