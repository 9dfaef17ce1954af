//! State of one target as one host sees it. Choosing a replica reads only atomics.

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

/// Time between probes of a lost target by the host that owns its cold starts.
pub const OWNER_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between probes of a lost target by any other host. A lost target usually returns cold, so other hosts wait for
/// its status from the owner. They still probe, because the owner may be unable to reach the target.
pub const NON_OWNER_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of consecutive failures after which a target counts as lost. A single failure may be an idle connection that
/// the target has closed.
pub const FAILURES_UNTIL_LOST: u32 = 2;

/// Minimum time for which a target counts as draining after it has said so. Replies sent before it started to drain may
/// arrive after the first reply that reports it.
pub const DRAINING_HOLD_TIME: Duration = Duration::from_secs(2);

/// Pause after a refusal by load shedding without a retry delay.
pub const DEFAULT_SHED_PAUSE: Duration = Duration::from_millis(20);

/// Upper bound of the pause after a refusal by load shedding, whatever retry delay it contains.
pub const MAX_SHED_PAUSE: Duration = Duration::from_secs(1);

/// Age up to which the snapshots in marks are considered complete. A target can receive a new snapshot between two of
/// its replies, and if a host does not call a target, it receives the target's marks no more than once a second.
pub const MAX_MARKS_AGE: Duration = Duration::from_millis(250);

/// Time after a refusal by load shedding during which lower classes leave one request of the limit free. It is longer
/// than a target needs to empty its queue, so that the reservation lasts from one refusal to the next.
pub const SHED_PRESSURE_TIME: Duration = Duration::from_secs(2);

/// State of one target as this host sees it. All views that contain the target share it.
#[derive(Debug)]
pub struct TargetState {
    pub id: TargetId,
    /// A target whose address changes gets a new state.
    pub address: SocketAddr,
    in_flight: AtomicU32,
    running_limit: AtomicU32,
    connection_limit: AtomicU32,
    /// Requests that this host may run while the target is cold. Copied from `cold_start`.
    cold_limit: AtomicU32,
    /// Copied from `cold_start`, so that choosing a replica takes no lock.
    cold: AtomicBool,
    /// Locked for one decision at a time and never during a call.
    cold_start: Mutex<ColdStart>,
    draining_mark: StickyFlag,
    /// The target is leaving, was removed from the tables, or its failure domain is out. Shared by all views, so that
    /// running sessions see it.
    retired: AtomicBool,
    shed_until_us: AtomicU64,
    /// End of the time during which lower classes leave one request of the limit free.
    pressure_until_us: AtomicU64,
    lost: AtomicBool,
    consecutive_failures: AtomicU32,
    /// Time of the first of the consecutive failures; 0 without a failure.
    failing_since_us: AtomicU64,
    next_probe_us: AtomicU64,
    latency: PerKind<LatencyEstimate>,
    marks: ArcSwapOption<TargetMarks>,
    /// Time at which marks were last received.
    marks_at_us: AtomicU64,
}

impl TargetState {
    /// Creates the state of a target that has not replied yet. Its limits are those of the contract, undivided, until
    /// [`Self::set_limits`] is called.
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
            pressure_until_us: AtomicU64::new(0),
            lost: AtomicBool::new(false),
            consecutive_failures: AtomicU32::new(0),
            failing_since_us: AtomicU64::new(0),
            next_probe_us: AtomicU64::new(0),
            latency: PerKind::default(),
            marks: ArcSwapOption::empty(),
            marks_at_us: AtomicU64::new(0),
        }
    }

    /// Sets this host's share of concurrent requests and of connections.
    pub fn set_limits(&self, running: u32, connections: u32) {
        self.running_limit.store(running, Relaxed);
        self.connection_limit.store(connections, Relaxed);
    }

    /// Determines whether `host`, which is this host, owns the target's cold starts among the live `hosts`.
    pub fn apply_hosts<'a>(
        &self,
        hosts: impl IntoIterator<Item = &'a str>,
        host: &str,
        now: Duration,
    ) {
        let mut start = self.cold_start();
        start.ownership.apply_view(&self.id, hosts, host, now);
        self.update_cold_atomics(&start, now);
    }

    /// Updates the limit of a cold target, which grows with time. Must be called several times a second.
    pub fn refresh(&self, now: Duration) {
        if self.is_cold() {
            self.update_cold_atomics(&self.cold_start(), now);
        }
    }

    /// Whether this host owns the target's cold starts and sends the first requests after it was lost or cold.
    pub fn is_owned(&self, now: Duration) -> bool {
        self.cold_start().ownership.owned_for(now).is_some()
    }

    fn cold_start(&self) -> MutexGuard<'_, ColdStart> {
        self.cold_start.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_cold_atomics(&self, start: &ColdStart, now: Duration) {
        let owned_for = start.ownership.owned_for(now);
        self.cold_limit.store(start.tracker.host_limit(owned_for, now), Relaxed);
        self.cold.store(start.tracker.is_cold(now), Relaxed);
    }

    /// This host's share of concurrent requests while the target is warm.
    pub fn running_limit(&self) -> u32 {
        self.running_limit.load(Relaxed)
    }

    /// Connections that this host may hold open to the target.
    pub fn connection_limit(&self) -> u32 {
        self.connection_limit.load(Relaxed)
    }

    /// Number of requests that this host may run at the target at present.
    pub fn limit(&self) -> u32 {
        let limit = self.running_limit.load(Relaxed).min(self.connection_limit.load(Relaxed));
        if self.is_cold() { limit.min(self.cold_limit.load(Relaxed)) } else { limit }
    }

    /// Number of requests of this host that are running at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Whether another request would exceed the limit.
    pub fn is_at_limit(&self) -> bool {
        self.limit() <= self.in_flight()
    }

    /// Counts a request as running unless the limit is reached. For [`SHED_PRESSURE_TIME`] after the target has shed
    /// load, classes below the highest leave one request of the limit free.
    pub fn try_start(&self, class: u8, now: Duration) -> bool {
        let mut limit = self.limit();
        if 0 < class && micros(now) < self.pressure_until_us.load(Relaxed) {
            limit = limit.min(limit.saturating_sub(1).max(1));
        }
        let more = |running: u32| (running < limit).then(|| running + 1);
        self.in_flight.fetch_update(Relaxed, Relaxed, more).is_ok()
    }

    /// Counts a request as running regardless of the limit; for the baseline only.
    pub fn start_unlimited(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    /// Ends a request that was counted as running.
    pub fn end(&self) {
        let before = self.in_flight.fetch_sub(1, Relaxed);
        debug_assert!(0 < before, "each end follows one start");
    }

    /// Whether the target is in a cold start and has a reduced limit.
    pub fn is_cold(&self) -> bool {
        self.cold.load(Relaxed)
    }

    /// Records that the target refused a call because it is cold.
    pub fn record_cold_refusal(&self, now: Duration) {
        let mut start = self.cold_start();
        start.tracker.record_cold_refusal(now);
        self.update_cold_atomics(&start, now);
    }

    /// Records a usable reply for the detection of cold starts. Its marks must also be passed to
    /// [`Self::record_marks`]. `typical` is the median latency of the pool.
    pub fn record_usable_reply(
        &self,
        marks: &TargetMarks,
        latency: Duration,
        typical: Option<Duration>,
        now: Duration,
    ) {
        let mut start = self.cold_start();
        start.tracker.record_reply(marks, latency, typical, now);
        self.update_cold_atomics(&start, now);
    }

    /// Whether the target accepts no new requests because it is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_mark.is_set()
    }

    /// Records that the target has reported that it is draining.
    pub fn record_draining(&self, now: Duration) {
        self.draining_mark.set(now);
    }

    /// Whether the target gets no new requests because it is leaving, was removed from the tables, or is in a failure
    /// domain that is out.
    pub fn is_retired(&self) -> bool {
        self.retired.load(Relaxed)
    }

    /// Excludes the target from new requests, or includes it again.
    pub fn set_retired(&self, retired: bool) {
        self.retired.store(retired, Relaxed);
    }

    /// Records a refusal by load shedding. The target gets no new requests for `pause`, or for [`DEFAULT_SHED_PAUSE`].
    pub fn record_shed(&self, pause: Option<Duration>, now: Duration) {
        let pause = pause.unwrap_or(DEFAULT_SHED_PAUSE).min(MAX_SHED_PAUSE);
        self.shed_until_us.store(micros(now + pause), Relaxed);
        self.pressure_until_us.store(micros(now + SHED_PRESSURE_TIME), Relaxed);
    }

    /// Whether the pause after a refusal by load shedding has not ended yet.
    pub fn is_shedding(&self, now: Duration) -> bool {
        micros(now) < self.shed_until_us.load(Relaxed)
    }

    /// Whether the target counts as lost after [`FAILURES_UNTIL_LOST`] consecutive failures.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Relaxed)
    }

    /// Time of the next probe if the target is lost.
    pub fn next_probe(&self) -> Duration {
        Duration::from_micros(self.next_probe_us.load(Relaxed))
    }

    /// Whether a lost target is due for a probe.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.is_lost() && self.next_probe_us.load(Relaxed) <= micros(now)
    }

    /// Claims the probe that is due. Returns true for one caller per interval.
    pub fn claim_probe(&self, now: Duration) -> bool {
        let due = self.next_probe_us.load(Relaxed);
        if micros(now) < due {
            return false;
        }
        let next = micros(now + self.probe_interval(now));
        self.next_probe_us.compare_exchange(due, next, Relaxed, Relaxed).is_ok()
    }

    /// Records an attempt that ended without any reply.
    pub fn record_failure(&self, now: Duration) {
        let consecutive_failures =
            self.consecutive_failures.fetch_add(1, Relaxed).saturating_add(1);
        if consecutive_failures == 1 {
            self.failing_since_us.store(micros(now).max(1), Relaxed);
        }
        if FAILURES_UNTIL_LOST <= consecutive_failures && !self.lost.swap(true, Relaxed) {
            self.next_probe_us.store(micros(now + self.probe_interval(now)), Relaxed);
        }
        if self.is_cold() {
            let mut start = self.cold_start();
            start.tracker.record_failure(now);
            self.update_cold_atomics(&start, now);
        }
    }

    /// Whether the target had failed and not replied since when an attempt was sent at `sent_at`. The loss of such an
    /// attempt says nothing about the request.
    pub fn was_failing(&self, sent_at: Duration) -> bool {
        let since = self.failing_since_us.load(Relaxed);
        since != 0 && since < micros(sent_at)
    }

    fn probe_interval(&self, now: Duration) -> Duration {
        if self.is_owned(now) { OWNER_PROBE_INTERVAL } else { NON_OWNER_PROBE_INTERVAL }
    }

    /// Records that the target replied, regardless of the contents of the reply.
    pub fn record_reply(&self) {
        self.consecutive_failures.store(0, Relaxed);
        self.failing_since_us.store(0, Relaxed);
        self.lost.store(false, Relaxed);
    }

    /// Records the latency of a complete reply to a call of `kind`, excluding network time.
    pub fn record_latency(&self, kind: RouteKind, sample: Duration, now: Duration) {
        self.latency.get(kind).record(sample, now);
    }

    /// Raises the latency estimate to `elapsed`, the age of an attempt that has not ended. A lower value has no effect.
    pub fn record_latency_at_least(&self, kind: RouteKind, elapsed: Duration, now: Duration) {
        self.latency.get(kind).record_at_least(elapsed, now);
    }

    /// Raises the latency estimate after a hedge was answered before an attempt that was sent `elapsed` ago.
    pub fn record_overtaken(&self, kind: RouteKind, elapsed: Duration, now: Duration) {
        self.latency.get(kind).record_overtaken(elapsed, now);
    }

    /// Latency estimate for calls of `kind`, excluding network time, or `typical` without samples.
    pub fn latency(&self, kind: RouteKind, typical: Duration, now: Duration) -> Duration {
        self.latency.get(kind).at(typical, now)
    }

    /// Latest marks of the target, if any were received.
    pub fn marks(&self) -> Guard<Option<Arc<TargetMarks>>> {
        self.marks.load()
    }

    /// Records marks of the target. Marks of an earlier incarnation are ignored.
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
        self.update_cold_atomics(&start, now);
        drop(start);
        self.draining_mark.record(marks.draining, restarted, now);
        if last.as_ref().is_some_and(|last| **last == *marks) {
            return;
        }
        if restarted {
            // The new process may be reachable although the old one was lost, so a probe is due immediately.
            self.next_probe_us.store(micros(now), Relaxed);
            self.consecutive_failures.store(0, Relaxed);
            self.failing_since_us.store(0, Relaxed);
            self.latency.for_each(LatencyEstimate::reset);
        }
        self.marks.store(Some(Arc::new(marks.clone())));
    }

    /// Whether the target may have received `snapshot` since its last marks: all snapshots in them are older, and the
    /// marks are older than [`MAX_MARKS_AGE`].
    pub fn may_hold_snapshot(&self, snapshot: SnapshotId, now: Duration) -> bool {
        let marks = self.marks.load();
        let Some(marks) = marks.as_ref() else { return false };
        let newest = marks.snapshots.iter().max().copied().unwrap_or_default();
        let received_at = self.marks_at_us.load(Relaxed);
        newest < snapshot && received_at.saturating_add(micros(MAX_MARKS_AGE)) < micros(now)
    }

    /// Removes `snapshot` from the known marks because the target does not have it. The next marks replace the change.
    pub fn drop_snapshot(&self, snapshot: SnapshotId) {
        let last = self.marks.load();
        let Some(last) = last.as_ref() else { return };
        let mut marks = TargetMarks::clone(last);
        marks.snapshots.retain(|held| *held != snapshot);
        self.marks.store(Some(Arc::new(marks)));
    }
}
