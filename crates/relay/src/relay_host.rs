//! What the tasks of one host share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use vanillapick_dispatch::config_document::ConfigVersion;
use vanillapick_dispatch::crash_guard::CrashGuard;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_settings::RelaySettings;

use crate::change_log::ChangeLog;
use crate::decision_log::DecisionLog;
use crate::link_table::LinkTable;
use crate::move_keeper::MoveKeeper;
use crate::relay_server::place_of;
use crate::wire::PlatformWire;

/// Most lateness of wakes that answers are sent earlier for. Beyond it a host is overloaded, and haste does not help.
const MOST_LATENESS: Duration = Duration::from_millis(20);

/// State of one host. Requests read the view by read-copy-update.
pub struct RelayHost {
    /// Settings at the start of the process.
    pub settings: RelaySettings,
    /// What is spoken.
    pub wire: PlatformWire,
    /// Limits the lines about requests.
    pub log: DecisionLog,
    /// Whether callers of another region may be sent to this host.
    pub has_far_callers: bool,
    /// Moves of pools to another version.
    pub moves: MoveKeeper,
    /// Changes of the store for other hosts.
    pub(crate) changes: ChangeLog,
    view: ArcSwapOption<RelayView>,
    started: Instant,
    phase: watch::Sender<HostPhase>,
    running: AtomicUsize,
    connections: AtomicUsize,
    has_served: AtomicBool,
    has_store_watch: AtomicBool,
    loop_delay_us: AtomicU64,
    wake_lateness_us: AtomicU64,
    crashes: Mutex<CrashGuard>,
    /// Fingerprints that other hosts are to be told of.
    crash_prints: UnboundedSender<RequestFingerprint>,
    /// Name of this process in evidence on moves.
    evidence_source: OnceLock<String>,
    seed: AtomicU64,
}

/// What requests are served from.
pub(crate) struct RelayView {
    pub(crate) serving: Arc<ServingView>,
    pub(crate) links: LinkTable,
}

/// Phase of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostPhase {
    /// Requests are served as far as a configuration is known.
    Serving,
    /// The host is not ready for the balancer and still serves: the balancer lags.
    Leaving,
    /// Connections end after the request that runs on them.
    Closing,
    /// No connection is accepted any more.
    Draining,
}

impl RelayHost {
    /// Host that knows no configuration yet, and the fingerprints that it will want to tell other hosts of.
    pub fn new(
        settings: RelaySettings,
        wire: PlatformWire,
    ) -> (Arc<Self>, UnboundedReceiver<RequestFingerprint>) {
        let (crash_prints, prints) = unbounded_channel();
        let host = Self {
            has_far_callers: place_of(&settings).accepts_remote_callers(),
            settings,
            wire,
            log: DecisionLog::default(),
            moves: MoveKeeper::default(),
            changes: ChangeLog::default(),
            view: ArcSwapOption::empty(),
            started: Instant::now(),
            phase: watch::Sender::new(HostPhase::Serving),
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            has_served: AtomicBool::new(false),
            has_store_watch: AtomicBool::new(false),
            loop_delay_us: AtomicU64::new(0),
            wake_lateness_us: AtomicU64::new(0),
            crashes: Mutex::default(),
            crash_prints,
            evidence_source: OnceLock::new(),
            seed: AtomicU64::new(rand::random()),
        };
        (Arc::new(host), prints)
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Random numbers of one request.
    pub(crate) fn rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.fetch_add(1, Relaxed))
    }

    /// Installs a newer view; links of targets that stay keep their connections.
    pub fn install(&self, serving: ServingView) {
        let before = self.view.load();
        let links = match before.as_ref() {
            Some(before) => before.links.renewed(&serving),
            None => LinkTable::default().renewed(&serving),
        };
        self.view.store(Some(Arc::new(RelayView { serving: Arc::new(serving), links })));
    }

    pub(crate) fn view(&self) -> Option<Arc<RelayView>> {
        self.view.load_full()
    }

    /// Version of the configuration in force; none before the first.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.view.load().as_ref().map(|view| view.serving.version)
    }

    /// Number of targets that requests may go to; none before the first configuration.
    pub fn usable_targets(&self) -> Option<usize> {
        let view = self.view.load();
        let pools = view.as_ref()?.serving.pools.values();
        Some(pools.map(|pool| pool.targets.len()).sum())
    }

    /// Whether the balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == HostPhase::Serving && self.view.load().is_some()
    }

    /// Phase of the process, and its changes.
    pub fn phase(&self) -> watch::Receiver<HostPhase> {
        self.phase.subscribe()
    }

    pub(crate) fn set_phase(&self, phase: HostPhase) {
        self.phase.send_replace(phase);
    }

    /// Requests that are being served.
    pub fn running(&self) -> usize {
        self.running.load(Relaxed)
    }

    /// Connections of callers that are open.
    pub fn connections(&self) -> usize {
        self.connections.load(Relaxed)
    }

    pub(crate) fn open_connection(self: &Arc<Self>) -> CallerConnection {
        self.connections.fetch_add(1, Relaxed);
        CallerConnection(Arc::clone(self))
    }

    /// Whether a request has come since the start of the process.
    pub fn has_served(&self) -> bool {
        self.has_served.load(Relaxed)
    }

    /// Whether the host watches the store itself, and does not hear of changes from another host.
    pub fn has_store_watch(&self) -> bool {
        self.has_store_watch.load(Relaxed)
    }

    /// Notes where changes come from; true if that is new.
    pub(crate) fn set_store_watch(&self, has_watch: bool) -> bool {
        self.has_store_watch.swap(has_watch, Relaxed) != has_watch
    }

    pub(crate) fn start_request(self: &Arc<Self>) -> RunningRequest {
        self.running.fetch_add(1, Relaxed);
        self.has_served.store(true, Relaxed);
        RunningRequest(Arc::clone(self))
    }

    /// Delay with which the serving loop gets to what is due.
    pub fn loop_delay(&self) -> Duration {
        Duration::from_micros(self.loop_delay_us.load(Relaxed))
    }

    pub(crate) fn set_loop_delay(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.loop_delay_us.store(delay, Relaxed);
    }

    /// Usual lateness with which requests are woken: the processor time of other requests.
    pub fn wake_lateness(&self) -> Duration {
        Duration::from_micros(self.wake_lateness_us.load(Relaxed)).min(MOST_LATENESS)
    }

    pub(crate) fn note_wake_lateness(&self, lateness: Duration) {
        let sample = u64::try_from(lateness.as_micros()).unwrap_or(u64::MAX);
        let before = self.wake_lateness_us.load(Relaxed);
        // Late wakes weigh more than timely ones, so that most answers leave in time and not only half of them.
        let weight = if sample > before { 4 } else { 16 };
        let next = before.saturating_sub(before / weight).saturating_add(sample / weight);
        self.wake_lateness_us.store(next, Relaxed);
    }

    pub(crate) fn set_evidence_source(&self, source: String) {
        // The first name stays; only one task sets it.
        let _ = self.evidence_source.set(source);
    }

    pub(crate) fn evidence_source(&self) -> &str {
        self.evidence_source.get().map_or(&*self.settings.host, String::as_str)
    }

    pub(crate) fn publish_crash(&self, print: RequestFingerprint) {
        // The receiver lives as long as the process; after its end nobody is left to tell.
        let _ = self.crash_prints.send(print);
    }

    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashGuard> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection of a caller, counted until it is dropped.
pub(crate) struct CallerConnection(Arc<RelayHost>);

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Relaxed);
    }
}

/// A request that is being served, counted until it is dropped.
pub(crate) struct RunningRequest(Arc<RelayHost>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Relaxed);
    }
}
