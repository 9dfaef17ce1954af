//! State shared by all requests of one entry host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostId;
use vanillapick_model::link::LinkDelay;
use vanillapick_model::table::ConfigTable;

use crate::admission::AdmissionControl;
use crate::budget::RetryBudget;
use crate::counters::SessionCounters;
use crate::crash::CrashTable;
use crate::serving_view::ServingView;

/// Settings of a host that its decisions depend on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostProfile {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain in which the host runs.
    pub domain: DomainId,
    /// Delays between failure domains. The delay of a pair that is not listed is 0.
    pub links: Vec<LinkDelay>,
    /// Use a random replica and one fixed retry, without hedges, limits and admission; for measurements only.
    pub baseline: bool,
    /// Budget of hedges and retries, in percent of first attempts.
    pub extra_load_percent: u32,
    /// Initial limit of concurrent requests, before it adapts to latency; at least 1.
    pub concurrency: u32,
    /// Maximum number of requests that wait for admission.
    pub queue: u32,
    /// Wall time at decision time 0, milliseconds since 1970.
    pub started_ms: u64,
}

impl HostProfile {
    /// Round-trip time between this host's failure domain and `domain`.
    pub fn round_trip(&self, domain: &str) -> Duration {
        let connects = |link: &&LinkDelay| {
            (link.from == self.domain && link.to == domain)
                || (link.to == self.domain && link.from == domain)
        };
        let one_way = self.links.iter().find(connects).map(|link| link.delay).unwrap_or_default();
        one_way * 2
    }
}

/// Shared state of one host. It is atomic or replaced as a whole, except for admission and the crash table, whose
/// mutexes are held for one decision at a time.
#[derive(Debug)]
pub struct HostState {
    pub profile: HostProfile,
    /// Limit of hedges and retries.
    pub budget: RetryBudget,
    /// Counters exported as metrics.
    pub counters: SessionCounters,
    /// Queue and concurrency limit.
    pub admission: Mutex<AdmissionControl>,
    crash: Mutex<CrashTable>,
    view: ArcSwap<ServingView>,
}

impl HostState {
    /// Creates the state of a host that has no configuration yet.
    pub fn new(profile: HostProfile) -> Self {
        Self {
            budget: RetryBudget::new(profile.extra_load_percent),
            counters: SessionCounters::default(),
            admission: Mutex::new(AdmissionControl::new(profile.concurrency, profile.queue)),
            crash: Mutex::new(CrashTable::new(
                UNIX_EPOCH + Duration::from_millis(profile.started_ms),
            )),
            view: ArcSwap::from_pointee(ServingView::default()),
            profile,
        }
    }

    /// Replaces the configuration and keeps target states and latency windows. A revision lower than the current one is
    /// ignored. Calls must not overlap.
    pub fn install(&self, table: Arc<ConfigTable>) {
        let previous = self.view();
        if table.revision < previous.revision() {
            return;
        }
        let view = Arc::new(ServingView::build(table, &self.profile, &previous));
        self.view.store(view.clone());
        view.retire_targets(&previous);
    }

    /// Locks the table of requests that crash targets. The lock must be held for one decision at a time. Sessions use
    /// the table after a loss and once for each request that succeeds.
    pub fn crash_table(&self) -> MutexGuard<'_, CrashTable> {
        self.crash.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// View of the current configuration.
    pub fn view(&self) -> Arc<ServingView> {
        self.view.load_full()
    }

    /// Records the marks of a target, received from the target itself or from a peer. An unknown target is ignored.
    pub fn record_marks(&self, target: &str, marks: &TargetMarks, now: Duration) {
        if let Some(target) = self.view.load().target(target) {
            target.record_marks(marks, now);
        }
    }

    /// Wall time that corresponds to decision time `now`.
    pub fn wall_time(&self, now: Duration) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.profile.started_ms) + now
    }
}
