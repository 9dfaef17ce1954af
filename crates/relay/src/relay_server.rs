//! One host as a whole: its sockets, its tasks and its stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::task::JoinHandle;
use vanillapick_dispatch::config_document::RegionId;
use vanillapick_dispatch::registry::HostLocation;
use vanillapick_dispatch::registry::StoreRegistry;
use vanillapick_dispatch::retry_budget::RetryBudgetLimits;
use vanillapick_platform::transport::StoreTransport;
use vanillapick_settings::RelaySettings;

use crate::admin_pages::serve_metrics;
use crate::admin_pages::serve_readiness;
use crate::caller_server::accept_callers;
use crate::caller_server::listen;
use crate::crash_marks::publish_marks;
use crate::host_registration::keep_registered;
use crate::loop_delay::measure_loop_delay;
use crate::move_keeper::keep_moves;
use crate::peer_changes::serve_changes;
use crate::planned_stop::stop;
use crate::relay_host::RelayHost;
use crate::store_client::StoreClient;
use crate::store_follower::follow_store;
use crate::wire::PlatformWire;

/// Longest time for one call of the store, which usually answers in milliseconds.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Period of the line about dropped log lines.
const DROPPED_PERIOD: Duration = Duration::from_secs(10);

/// A running host. Its tasks end when it is dropped.
pub struct RelayServer {
    host: Arc<RelayHost>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl RelayServer {
    /// Starts a host on the runtime of the caller; it is ready once the store has given it a configuration.
    pub fn start(settings: RelaySettings, wire: PlatformWire) -> std::io::Result<Self> {
        let registry = StoreRegistry::new(place_of(&settings), budget_of(&settings));
        let transport = StoreTransport::new(settings.store, STORE_TIMEOUT);
        let store = StoreClient::new(transport, STORE_TIMEOUT);
        let (host, prints) = RelayHost::new(settings, wire);
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
            tokio::spawn(keep_registered(Arc::clone(&host), store.clone())),
            tokio::spawn(publish_marks(Arc::clone(&host), store.clone(), prints)),
            tokio::spawn(keep_moves(Arc::clone(&host), store)),
            tokio::spawn(measure_loop_delay(Arc::clone(&host))),
            tokio::spawn(report_dropped_lines(Arc::clone(&host))),
        ];
        Ok(Self { host, address, tasks })
    }

    /// Serves the readiness page and the metrics page until the process ends.
    pub fn serve_pages(&self, metrics: PrometheusHandle) {
        serve_readiness(&self.host);
        serve_metrics(&self.host, metrics);
    }

    /// State of the host.
    pub fn host(&self) -> &Arc<RelayHost> {
        &self.host
    }

    /// Address on which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Planned stop: serves until callers have gone elsewhere and all requests are answered.
    pub async fn stop(self) {
        stop(&self.host).await;
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
        tokio::time::sleep(DROPPED_PERIOD).await;
        let dropped = host.log.take_dropped();
        if dropped > 0 {
            tracing::info!(dropped, "lines about requests were dropped to bound the log");
        }
    }
}

pub(crate) fn place_of(settings: &RelaySettings) -> HostLocation {
    let regions = settings.regions.iter();
    let regions = regions.map(|(domain, region)| (domain.clone(), RegionId::from(region.as_str())));
    HostLocation { domain: settings.domain.clone(), regions: regions.collect() }
}

fn budget_of(settings: &RelaySettings) -> RetryBudgetLimits {
    let limits = &settings.limits;
    RetryBudgetLimits {
        ratio: limits.extra_ratio,
        slack: limits.extra_slack,
        window: Duration::from_secs_f64(limits.extra_window_s),
    }
}
