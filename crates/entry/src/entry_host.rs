//! Everything that the tasks of one entry host share.

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
use vanillapick_policy::host_state::HostProfile;
use vanillapick_policy::host_state::HostState;
use vanillapick_settings::entry_settings::EntrySettings;

use crate::admission_gate::AdmissionGate;
use crate::claim_keeper::ClaimLease;
use crate::crash_keeper::CrashKeeper;
use crate::host_lifecycle::HostLifecycle;
use crate::link_rule::LinkRule;
use crate::move_keeper::MoveKeeper;
use crate::peer_link::PeerLink;
use crate::running_calls::RunningCalls;
use crate::session_recorder::TraceSlot;
use crate::target_client::TargetClient;

/// One entry host.
pub struct EntryHost {
    /// As read from the settings file.
    pub settings: EntrySettings,
    /// This host as its peers see it, with the address it really listens on.
    pub me: HostEntry,
    /// Decisions on the path of a request.
    pub policy: Arc<HostState>,
    /// Queue of requests that wait for a place.
    pub gate: AdmissionGate,
    /// Calls to targets.
    pub targets: TargetClient,
    /// Exchange with other entry hosts.
    pub peers: PeerLink,
    /// Requests that crash targets.
    pub crashes: CrashKeeper,
    /// Moves between versions.
    pub moves: MoveKeeper,
    /// Calls to the platform's service.
    pub platform: PlatformClient,
    /// Lease of new idempotency claims.
    pub claim_lease: ClaimLease,
    /// Links to everything outside this process.
    pub rule: LinkRule,
    /// Requests that can be cancelled.
    pub running: Arc<RunningCalls>,
    /// Where traces of sessions go; empty but in the lab.
    pub traces: TraceSlot,
    /// Starting, ready, stopping.
    pub lifecycle: HostLifecycle,
    /// Decision time is counted from here.
    started: Instant,
    seeds: AtomicU64,
}

impl EntryHost {
    /// A host that listens on `me.address`.
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
        Self {
            policy: Arc::new(HostState::new(profile)),
            gate: AdmissionGate::default(),
            targets: TargetClient::new(settings.domain.clone(), rule.clone()),
            peers: PeerLink::new(me.clone(), &settings.peers, rand::random()),
            platform: PlatformClient::new(settings.platform, settings.platform_timeout),
            claim_lease: ClaimLease::default(),
            rule,
            crashes: CrashKeeper::default(),
            moves: MoveKeeper::default(),
            running: Arc::default(),
            traces: TraceSlot::new(),
            lifecycle: HostLifecycle::default(),
            started: Instant::now(),
            seeds: AtomicU64::new(rand::random()),
            settings,
            me,
        }
    }

    /// Decision time.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time of the clock of this process at decision time `at`.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started + at
    }

    /// Wall time of this host, milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        unix_ms(self.policy.wall_time(self.now()))
    }

    /// What the balancer's readiness check is told.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_ready() && !self.is_withdrawn()
    }

    /// Whether operators have taken this host's failure domain out in every pool while another domain serves, so that the
    /// balancer sends callers there.
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

    /// A generator for one session.
    pub fn rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seeds.fetch_add(1, Ordering::Relaxed))
    }
}

/// Locks a mutex whose data stays valid even if another holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
