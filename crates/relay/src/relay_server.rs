//! Starts and stops the sockets and background tasks of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinHandle;
use vanillapick_dispatch::config_document::RegionId;
use vanillapick_dispatch::registry::HostLocation;
use vanillapick_dispatch::registry::StoreRegistry;
use vanillapick_dispatch::retry_budget::RetryBudgetLimits;
use vanillapick_platform::reply_memory::ReplyMemory;
use vanillapick_platform::transport::StoreTransport;
use vanillapick_settings::RelaySettings;

use crate::admin_endpoints::serve_metrics;
use crate::admin_endpoints::serve_readiness;
use crate::budget_report::report_budgets;
use crate::caller_server::accept_callers;
use crate::caller_server::listen;
use crate::crash_exchange::gossip_crash_evidence;
use crate::crash_exchange::publish_crash_evidence;
use crate::crash_exchange::watch_crash_evidence;
use crate::graceful_shutdown::shut_down;
use crate::host_registration::maintain_registration;
use crate::loop_delay::measure_loop_delay;
use crate::move_tracker::run_moves;
use crate::parts_server::serve_parts;
use crate::peer_changes::serve_changes;
use crate::reach_monitor::watch_target_reach;
use crate::refusal_exchange::share_refusals;
use crate::relay_host::RelayHost;
use crate::store_client::StoreClient;
use crate::store_follower::follow_store;
use crate::wire::PlatformWire;

/// Timeout of one store call; the store usually replies within milliseconds.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between log lines that report how many lines were dropped.
const DROPPED_LINES_REPORT_PERIOD: Duration = Duration::from_secs(10);

/// A running host. Dropping it aborts its tasks.
pub struct RelayServer {
    host: Arc<RelayHost>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl RelayServer {
    /// Starts a host on the current runtime. It is ready once it has read a configuration from the store.
    pub fn start(settings: RelaySettings, wire: PlatformWire) -> std::io::Result<Self> {
        let registry = StoreRegistry::new(host_location(&settings), retry_budget_limits(&settings));
        let lease = Arc::clone(registry.host_lease());
        let memory = ReplyMemory::for_control(settings.machine.memory_mb << 20);
        let transport = StoreTransport::new(settings.store, STORE_TIMEOUT).with_memory(memory);
        let store = StoreClient::new(transport, STORE_TIMEOUT, &wire.store);
        let host = RelayHost::new(settings, wire);
        host.crash_state.set_store(store.clone());
        let (urgent, urgent_marks) = unbounded_channel();
        let (gossip, crash_news) = unbounded_channel();
        let listener = listen(&host)?;
        let address = listener.local_addr()?;
        serve_changes(&host);
        tracing::info!(
            host = host.settings.host,
            domain = host.settings.domain,
            callers = %address,
            store = %host.settings.store,
            "host started"
        );
        let tasks = vec![
            tokio::spawn(follow_store(Arc::clone(&host), store.clone(), registry)),
            tokio::spawn(accept_callers(Arc::clone(&host), listener)),
            tokio::spawn(serve_parts(Arc::clone(&host))),
            tokio::spawn(maintain_registration(Arc::clone(&host), store.clone(), lease)),
            tokio::spawn(watch_crash_evidence(Arc::clone(&host), urgent, gossip)),
            tokio::spawn(publish_crash_evidence(Arc::clone(&host), store.clone(), urgent_marks)),
            tokio::spawn(gossip_crash_evidence(Arc::clone(&host), crash_news)),
            tokio::spawn(share_refusals(Arc::clone(&host), store.clone())),
            tokio::spawn(run_moves(Arc::clone(&host), store)),
            tokio::spawn(measure_loop_delay(Arc::clone(&host))),
            tokio::spawn(report_dropped_lines(Arc::clone(&host))),
            tokio::spawn(report_budgets(Arc::clone(&host))),
            tokio::spawn(watch_target_reach(Arc::clone(&host))),
        ];
        Ok(Self { host, address, tasks })
    }

    /// Serves the readiness and metrics endpoints until the process ends.
    pub fn serve_admin_endpoints(&self, metrics: PrometheusHandle) {
        serve_readiness(&self.host);
        serve_metrics(&self.host, metrics);
    }

    /// State that the tasks of the host share.
    pub fn host(&self) -> &Arc<RelayHost> {
        &self.host
    }

    /// Address on which callers connect, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: keeps serving until callers use other hosts and all requests are answered.
    pub async fn stop(self) {
        shut_down(&self.host).await;
    }
}

impl Drop for RelayServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn report_dropped_lines(host: Arc<RelayHost>) {
    loop {
        tokio::time::sleep(DROPPED_LINES_REPORT_PERIOD).await;
        let dropped = host.log_limiter.take_dropped();
        if dropped > 0 {
            tracing::info!(dropped, "log lines about requests were dropped by the rate limit");
        }
    }
}

pub(crate) fn host_location(settings: &RelaySettings) -> HostLocation {
    let regions = settings.regions.iter();
    let regions = regions.map(|(domain, region)| (domain.clone(), RegionId::from(region.as_str())));
    HostLocation {
        host: Arc::from(settings.host.as_str()),
        domain: settings.domain.clone(),
        regions: regions.collect(),
    }
}

fn retry_budget_limits(settings: &RelaySettings) -> RetryBudgetLimits {
    let limits = &settings.limits;
    let window = limits.extra_window;
    RetryBudgetLimits {
        ratio: limits.extra_ratio,
        slack: limits.extra_slack,
        window,
        slack_from: if settings.initial_start { Duration::ZERO } else { window },
    }
}
