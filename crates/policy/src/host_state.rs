//! Everything that the requests of one host share.

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

/// What a host knows about itself from its settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostProfile {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain the host stands in.
    pub domain: DomainId,
    /// Delays between failure domains; a pair that is not named counts as 0.
    pub links: Vec<LinkDelay>,
    /// Random replica, one fixed retry, no hedge, no limits, no admission; for measurements only.
    pub baseline: bool,
    /// Hedges and retries in percent of first attempts.
    pub extra_load_percent: u32,
    /// Requests that run at the same time before the limit has adapted; at least 1.
    pub concurrency: u32,
    /// Requests that wait for a place.
    pub queue: u32,
    /// Wall time at decision time 0, milliseconds since 1970.
    pub started_ms: u64,
}

impl HostProfile {
    /// Round trip between this host's failure domain and `domain`.
    pub fn round_trip(&self, domain: &str) -> Duration {
        let joins = |link: &&LinkDelay| {
            (link.from == self.domain && link.to == domain)
                || (link.to == self.domain && link.from == domain)
        };
        let one_way = self.links.iter().find(joins).map(|link| link.delay).unwrap_or_default();
        one_way * 2
    }
}

/// Shared state of one host. All of it is atomic or replaced as a whole, but for admission, whose mutex is held for
/// one decision at a time.
#[derive(Debug)]
pub struct HostState {
    /// Settings of the host.
    pub profile: HostProfile,
    /// Budget of extra load.
    pub budget: RetryBudget,
    /// Counters of all sessions.
    pub counters: SessionCounters,
    /// Queue and concurrency limit of requests.
    pub admission: Mutex<AdmissionControl>,
    crash: Mutex<CrashTable>,
    view: ArcSwap<ServingView>,
}

impl HostState {
    /// State of a host without a configuration.
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

    /// Puts a configuration into force; target states and latency windows are kept. A revision lower than the one in
    /// force is ignored. Calls must not overlap.
    pub fn install(&self, table: Arc<ConfigTable>) {
        let previous = self.view();
        if table.revision < previous.revision() {
            return;
        }
        let view = Arc::new(ServingView::build(table, &self.profile, &previous));
        self.view.store(view.clone());
        view.retire_targets(&previous);
    }

    /// Requests that crash targets, for one decision at a time. Sessions ask it after a loss and once for each request
    /// that succeeds.
    pub fn crash_table(&self) -> MutexGuard<'_, CrashTable> {
        self.crash.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The view in force.
    pub fn view(&self) -> Arc<ServingView> {
        self.view.load_full()
    }

    /// Takes over what a target, or a peer that heard from it, says about it. An unknown target is ignored.
    pub fn record_marks(&self, target: &str, marks: &TargetMarks, now: Duration) {
        if let Some(target) = self.view.load().target(target) {
            target.record_marks(marks, now);
        }
    }

    /// Wall time at decision time `now`.
    pub fn wall_time(&self, now: Duration) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.profile.started_ms) + now
    }
}
