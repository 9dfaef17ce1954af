//! State shared by the tasks of an entry host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_model::failure_domain::DomainState;
use vanillapick_model::host::HostEntry;
use vanillapick_model::pool::PoolRow;
use vanillapick_model::wall_clock::unix_ms;
use vanillapick_platform::client::PlatformClient;
use vanillapick_platform::reply_memory::ReplyMemory;
use vanillapick_policy::host_state::HostProfile;
use vanillapick_policy::host_state::HostState;
use vanillapick_settings::entry_settings::EntrySettings;

use crate::admission_gate::AdmissionGate;
use crate::crash_guard::CrashGuard;
use crate::host_lifecycle::HostLifecycle;
use crate::idempotency_claim::ClaimLease;
use crate::link_rule::LinkRule;
use crate::move_tracker::MoveTracker;
use crate::peer_link::PeerLink;
use crate::running_calls::RunningCalls;
use crate::session_recorder::TraceSlot;
use crate::target_client::TargetClient;

/// State, clients and background services of a running entry host.
pub struct EntryHost {
    pub settings: EntrySettings,
    /// Entry of this host in the host list of its peers, with the bound address.
    pub me: HostEntry,
    /// Decision state of the request path.
    pub policy: Arc<HostState>,
    /// Queue of requests that wait for admission.
    pub gate: AdmissionGate,
    pub targets: TargetClient,
    /// State exchange with other entry hosts.
    pub peers: PeerLink,
    /// Crash marks: requests that crash targets.
    pub crashes: CrashGuard,
    /// Moves between versions.
    pub moves: MoveTracker,
    /// Calls to the platform's service.
    pub platform: PlatformClient,
    /// Lease shared by new idempotency claims.
    pub claim_lease: ClaimLease,
    /// Simulated condition of the links to other processes.
    pub rule: LinkRule,
    /// Running requests, which callers can cancel.
    pub running: Arc<RunningCalls>,
    /// Receiver of session traces; set only in the lab.
    pub traces: TraceSlot,
    pub lifecycle: HostLifecycle,
    /// Origin of decision time.
    started: Instant,
    seeds: AtomicU64,
}

impl EntryHost {
    /// Creates the state of a host that listens on `me.address`.
    pub fn new(settings: EntrySettings, me: HostEntry, rule: LinkRule) -> Self {
        let started_ms = unix_ms(SystemTime::now());
        let profile = HostProfile {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            links: settings.links.clone(),
            baseline: settings.baseline,
            extra_load_percent: settings.extra_load_percent,
            concurrency: settings.concurrency,
            queue: settings.queue,
            started_ms,
        };
        let memory = ReplyMemory::new(settings.memory_mb << 20);
        Self {
            policy: Arc::new(HostState::new(profile)),
            gate: AdmissionGate::default(),
            targets: TargetClient::new(settings.domain.clone(), rule.clone(), memory),
            peers: PeerLink::new(me.clone(), &settings.peers, rand::random()),
            platform: PlatformClient::new(settings.platform, settings.platform_timeout),
            claim_lease: ClaimLease::default(),
            rule,
            crashes: CrashGuard::default(),
            moves: MoveTracker::default(),
            running: Arc::default(),
            traces: TraceSlot::new(),
            lifecycle: HostLifecycle::default(),
            started: Instant::now(),
            seeds: AtomicU64::new(rand::random()),
            settings,
            me,
        }
    }

    /// Current decision time, which is the time since the host started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts the decision time `at` to an [`Instant`].
    pub fn instant(&self, at: Duration) -> Instant {
        self.started + at
    }

    /// Wall time of this host, milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        unix_ms(self.policy.wall_time(self.now()))
    }

    /// Result of the readiness check of the balancer.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_ready() && !self.is_withdrawn()
    }

    /// Whether operators have taken this host's failure domain out in every pool while another domain serves. The
    /// balancer should then send callers to the other domain.
    fn is_withdrawn(&self) -> bool {
        let view = self.policy.view();
        let pools = &view.table().pools;
        let is_out = |pool: &PoolRow, domain: &str| pool.domain_state(domain) == DomainState::Out;
        let serves_elsewhere =
            |pool: &PoolRow| pool.targets.iter().any(|target| !is_out(pool, &target.domain));
        !pools.is_empty()
            && pools.values().all(|pool| is_out(pool, &self.me.domain))
            && pools.values().any(serves_elsewhere)
    }

    /// Creates a random number generator for one session.
    pub fn rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seeds.fetch_add(1, Ordering::Relaxed))
    }
}

/// Locks a mutex and ignores poisoning; its data must stay valid if a holder panics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
