//! State shared by all tasks of an entry host.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::sync::watch;
use vanillapick_dispatch::config_document::ConfigVersion;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_dispatch::silent_attempts::InstanceState;
use vanillapick_dispatch::target_reach::TargetReach;
use vanillapick_dispatch::target_record::TargetRecord;
use vanillapick_platform::reply_memory::ReplyMemory;
use vanillapick_policy::micros::micros;
use vanillapick_settings::RelaySettings;

use crate::change_log::ChangeLog;
use crate::connection_table::ConnectionTable;
use crate::crash_state::CrashState;
use crate::log_limiter::LogLimiter;
use crate::move_tracker::MoveTracker;
use crate::part_peers::PartPeerTable;
use crate::parts_confirmation::ExpectedConfirmations;
use crate::relay_server::host_location;
use crate::wire::PlatformWire;
use crate::wire::StoreEra;

/// Upper limit of the wake-up lateness that responses compensate for. A host that is later than this is overloaded, and
/// responding earlier does not help.
const MAX_WAKE_LATENESS: Duration = Duration::from_millis(20);

/// Time before the exit of the process at which responses are sent, so that they reach their callers.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Shared state of one host. Requests read the current view by read-copy-update.
pub struct RelayHost {
    /// Fixed for the lifetime of the process.
    pub settings: RelaySettings,
    /// Protocols of callers, targets and the store.
    pub wire: PlatformWire,
    /// Limits the rate of log lines about requests.
    pub log_limiter: LogLimiter,
    /// Whether callers of another region may connect to this host.
    pub has_remote_callers: bool,
    /// Running moves of pools to another version of their targets.
    pub moves: MoveTracker,
    /// Recent changes of the store, served to other hosts of the failure domain.
    pub(crate) changes: ChangeLog,
    /// Whether this host reaches targets.
    pub(crate) reach: TargetReach,
    /// Requests that crash targets.
    pub(crate) crash_state: CrashState,
    pub(crate) confirmations: ExpectedConfirmations,
    /// Notified after a connection to a target could not be opened.
    pub(crate) target_unreachable: Notify,
    /// Memory for the bodies of targets' replies.
    pub(crate) reply_memory: Arc<ReplyMemory>,
    view: ArcSwapOption<RelayView>,
    started: Instant,
    phase: watch::Sender<HostPhase>,
    /// When the process exits, in microseconds since its start; the maximum unless it is shutting down.
    exit_us: AtomicU64,
    running: AtomicUsize,
    connections: AtomicUsize,
    has_served: AtomicBool,
    has_store_watch: AtomicBool,
    is_behind: AtomicBool,
    /// Whether the store lacks the registration of this host, according to the latest list or change.
    is_unregistered: watch::Sender<bool>,
    /// Era of the store that this host has listed last; 0 before the first list.
    store_era: watch::Sender<StoreEra>,
    /// Notifies requests of changes of [`Self::reach`].
    cut_off: watch::Sender<bool>,
    /// Time until which a restored store may lack orders that its operators have not written again yet.
    restored_until_us: AtomicU64,
    attempts: AtomicU64,
    loop_delay_us: AtomicU64,
    /// When the timer that measures the delay is due.
    loop_due_us: AtomicU64,
    wake_lateness_us: AtomicU64,
    /// Identifies this process in the evidence that it publishes on moves.
    evidence_source: OnceLock<String>,
    seed: AtomicU64,
}

/// Immutable snapshot that a request is served from.
pub(crate) struct RelayView {
    pub(crate) serving: Arc<ServingView>,
    pub(crate) connections: ConnectionTable,
    /// Hosts that gather parts of searches for this one.
    pub(crate) part_peers: PartPeerTable,
}

impl RelayView {
    /// What the registration of a target says now, as far as its pool shows.
    pub(crate) fn instance_state(&self, record: &TargetRecord) -> InstanceState {
        let pool = self.serving.pools.get(&record.pool);
        let mut targets = pool.iter().flat_map(|pool| &pool.targets);
        let registered = targets.find(|target| target.record.id == record.id);
        InstanceState::of(registered.map(|target| &target.record))
    }
}

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostPhase {
    /// Requests are served once a configuration is known.
    Serving,
    /// The host reports not ready and keeps serving until the balancer has noticed.
    Leaving,
    /// Each connection is closed after its current request.
    Closing,
    /// New connections are no longer accepted.
    Draining,
}

impl RelayHost {
    /// Creates a host without a configuration.
    pub fn new(settings: RelaySettings, wire: PlatformWire) -> Arc<Self> {
        let host = Self {
            reply_memory: ReplyMemory::new(settings.machine.memory_mb << 20),
            has_remote_callers: host_location(&settings).accepts_remote_callers(),
            settings,
            wire,
            log_limiter: LogLimiter::default(),
            moves: MoveTracker::default(),
            changes: ChangeLog::default(),
            reach: TargetReach::default(),
            crash_state: CrashState::default(),
            confirmations: ExpectedConfirmations::default(),
            target_unreachable: Notify::new(),
            view: ArcSwapOption::empty(),
            started: Instant::now(),
            phase: watch::Sender::new(HostPhase::Serving),
            exit_us: AtomicU64::new(u64::MAX),
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            has_served: AtomicBool::new(false),
            has_store_watch: AtomicBool::new(false),
            is_behind: AtomicBool::new(false),
            is_unregistered: watch::Sender::new(false),
            store_era: watch::Sender::new(0),
            cut_off: watch::Sender::new(false),
            restored_until_us: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            loop_delay_us: AtomicU64::new(0),
            loop_due_us: AtomicU64::new(u64::MAX),
            wake_lateness_us: AtomicU64::new(0),
            evidence_source: OnceLock::new(),
            seed: AtomicU64::new(rand::random()),
        };
        Arc::new(host)
    }

    /// Monotonic time since the start of the process.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Creates the random number generator of one request or connection.
    pub(crate) fn rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.fetch_add(1, Relaxed))
    }

    /// Replaces the current view. Targets that are in both views and have not restarted keep their connections.
    pub fn install(&self, serving: ServingView) {
        let before = self.view.load();
        let own = &self.settings.host;
        let (connections, part_peers) = match before.as_ref() {
            Some(before) => {
                (before.connections.renewed(&serving), before.part_peers.renewed(&serving, own))
            }
            None => (
                ConnectionTable::default().renewed(&serving),
                PartPeerTable::default().renewed(&serving, own),
            ),
        };
        let serving = Arc::new(serving);
        self.view.store(Some(Arc::new(RelayView { serving, connections, part_peers })));
    }

    pub(crate) fn view(&self) -> Option<Arc<RelayView>> {
        self.view.load_full()
    }

    /// Version of the configuration in force; `None` before the first one.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.view.load().as_ref().map(|view| view.serving.version)
    }

    /// Number of targets that may receive requests; `None` before the first configuration.
    pub fn usable_targets(&self) -> Option<usize> {
        let view = self.view.load();
        let pools = view.as_ref()?.serving.pools.values();
        Some(pools.map(|pool| pool.targets.len()).sum())
    }

    /// Tells requests in progress that the belief of [`Self::is_cut_off`] has changed.
    pub(crate) fn notify_reach(&self) {
        self.cut_off.send_replace(self.is_cut_off());
    }

    /// Subscribes to changes of [`Self::is_cut_off`].
    pub(crate) fn cut_off(&self) -> watch::Receiver<bool> {
        self.cut_off.subscribe()
    }

    /// Whether this host believes to be cut off from all targets.
    pub fn is_cut_off(&self) -> bool {
        self.reach.is_cut_off()
    }

    /// Number of other hosts that gather parts of searches for this one.
    pub fn part_host_count(&self) -> usize {
        self.view.load().as_ref().map_or(0, |view| view.part_peers.len())
    }

    /// Number of attempts sent so far, for its own requests and for other hosts.
    pub fn attempts(&self) -> u64 {
        self.attempts.load(Relaxed)
    }

    pub(crate) fn count_attempt(&self, cause: &'static str) {
        self.attempts.fetch_add(1, Relaxed);
        metrics::counter!("vanillapick_attempts_total", "cause" => cause).increment(1);
    }

    /// Whether the balancer may send new connections to this host.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == HostPhase::Serving && self.view.load().is_some()
    }

    /// Subscribes to the current phase and its changes.
    pub fn phase(&self) -> watch::Receiver<HostPhase> {
        self.phase.subscribe()
    }

    pub(crate) fn set_phase(&self, phase: HostPhase) {
        self.phase.send_replace(phase);
    }

    /// Records when the process exits; called before [`HostPhase::Leaving`].
    pub(crate) fn set_exit(&self, at: Duration) {
        self.exit_us.store(micros(at), Relaxed);
    }

    /// Latest time at which a response can be sent before the process exits; `None` unless it is shutting down.
    pub(crate) fn last_response(&self) -> Option<Duration> {
        let exit = Some(self.exit_us.load(Relaxed)).filter(|exit| *exit < u64::MAX)?;
        Some(Duration::from_micros(exit).saturating_sub(LAST_RESPONSE_MARGIN))
    }

    /// Waits until responses must be sent, because the process exits.
    pub(crate) async fn wait_for_last_response(&self) {
        // An error does not occur, because the sender lives as long as the host.
        let _ = self.phase().wait_for(|phase| *phase != HostPhase::Serving).await;
        let at = self.last_response().unwrap_or(Duration::MAX);
        tokio::time::sleep(at.saturating_sub(self.now())).await;
    }

    /// Number of requests in progress.
    pub fn running(&self) -> usize {
        self.running.load(Relaxed)
    }

    /// Number of open caller connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Relaxed)
    }

    pub(crate) fn open_connection(self: &Arc<Self>) -> CallerConnection {
        self.connections.fetch_add(1, Relaxed);
        CallerConnection(Arc::clone(self))
    }

    /// Whether any request arrived since the start of the process.
    pub fn has_served(&self) -> bool {
        self.has_served.load(Relaxed)
    }

    /// Whether the host watches the store itself instead of receiving changes from another host.
    pub fn has_store_watch(&self) -> bool {
        self.has_store_watch.load(Relaxed)
    }

    /// Records whether the host watches the store itself; returns `true` if that changed.
    pub(crate) fn set_store_watch(&self, has_watch: bool) -> bool {
        self.has_store_watch.swap(has_watch, Relaxed) != has_watch
    }

    /// Records whether more changes of the store are waiting than this host has read.
    pub(crate) fn set_behind(&self, is_behind: bool) {
        self.is_behind.store(is_behind, Relaxed);
    }

    /// Records whether the store lacks the registration of this host.
    pub(crate) fn set_unregistered(&self, is_unregistered: bool) {
        self.is_unregistered
            .send_if_modified(|known| std::mem::replace(known, is_unregistered) != is_unregistered);
    }

    /// Subscribes to whether the store lacks the registration of this host.
    pub(crate) fn is_unregistered(&self) -> watch::Receiver<bool> {
        self.is_unregistered.subscribe()
    }

    /// Records the era of a list of the store.
    pub(crate) fn set_store_era(&self, era: StoreEra) {
        self.store_era.send_if_modified(|known| std::mem::replace(known, era) != era);
    }

    /// Subscribes to the era of the store.
    pub(crate) fn store_era(&self) -> watch::Receiver<StoreEra> {
        self.store_era.subscribe()
    }

    /// Records that the store was restored, and until when its operators may write again.
    pub(crate) fn set_restored_until(&self, until: Duration) {
        self.restored_until_us.fetch_max(micros(until), Relaxed);
    }

    /// Whether this host knows of no reason why its configuration could be old: the store has replied lately, holds what its
    /// operators wrote, and no changes are waiting.
    pub fn is_current(&self) -> bool {
        let now = self.now();
        let is_restored = micros(now) < self.restored_until_us.load(Relaxed);
        !is_restored && !self.is_behind.load(Relaxed) && self.changes.has_store(now)
    }

    pub(crate) fn start_request(self: &Arc<Self>) -> RunningRequest {
        self.running.fetch_add(1, Relaxed);
        self.has_served.store(true, Relaxed);
        RunningRequest(Arc::clone(self))
    }

    /// Scheduling delay of the event loop: how late due timers run.
    pub fn loop_delay(&self) -> Duration {
        Duration::from_micros(self.loop_delay_us.load(Relaxed))
    }

    pub(crate) fn set_loop_delay(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.loop_delay_us.store(delay, Relaxed);
    }

    pub(crate) fn set_loop_due(&self, due: Duration) {
        self.loop_due_us.store(micros(due), Relaxed);
    }

    /// Time for which data that is read now may have waited in its socket: the scheduling delay, including that of a timer which
    /// is due and has not run yet.
    pub(crate) fn read_lag(&self) -> Duration {
        let overdue = micros(self.now()).saturating_sub(self.loop_due_us.load(Relaxed));
        self.loop_delay().max(Duration::from_micros(overdue))
    }

    /// Smoothed lateness of request wake-ups, caused by the processor time of other requests.
    pub fn wake_lateness(&self) -> Duration {
        Duration::from_micros(self.wake_lateness_us.load(Relaxed)).min(MAX_WAKE_LATENESS)
    }

    pub(crate) fn record_wake_lateness(&self, lateness: Duration) {
        let sample = u64::try_from(lateness.as_micros()).unwrap_or(u64::MAX);
        let before = self.wake_lateness_us.load(Relaxed);
        // Increases weigh more than decreases, so that most responses leave in time and not only half of them.
        let weight = if sample > before { 4 } else { 16 };
        let next = before.saturating_sub(before / weight).saturating_add(sample / weight);
        self.wake_lateness_us.store(next, Relaxed);
    }

    pub(crate) fn set_evidence_source(&self, source: String) {
        // A second call is ignored; only one task sets the name.
        let _ = self.evidence_source.set(source);
    }

    pub(crate) fn evidence_source(&self) -> &str {
        self.evidence_source.get().map_or(&*self.settings.host, String::as_str)
    }
}

/// Guard that counts an open caller connection until it is dropped.
pub(crate) struct CallerConnection(Arc<RelayHost>);

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Relaxed);
    }
}

/// Guard that counts a request in progress until it is dropped.
pub(crate) struct RunningRequest(Arc<RelayHost>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Relaxed);
    }
}
