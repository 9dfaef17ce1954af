//! The pages for the balancer and for operators: readiness and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use rocket::Config;
use rocket::Data;
use rocket::Request;
use rocket::Route;
use rocket::config::LogLevel;
use rocket::config::Shutdown as ShutdownConfig;
use rocket::figment::Figment;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route::Handler;
use rocket::route::Outcome;
use tokio::task::JoinHandle;

use crate::relay_host::RelayHost;

/// Seconds that a connection of the balancer may be idle.
const KEEP_ALIVE_SECONDS: u32 = 30;

/// Answers the balancer.
#[derive(Clone)]
struct ReadinessPage {
    host: Arc<RelayHost>,
}

#[rocket::async_trait]
impl Handler for ReadinessPage {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let is_ready = self.host.is_ready();
        let status = if is_ready { Status::Ok } else { Status::ServiceUnavailable };
        Outcome::from(request, (status, if is_ready { "ready\n" } else { "not ready\n" }))
    }
}

/// Renders the counters and histograms of the process.
#[derive(Clone)]
struct MetricsPage {
    metrics: PrometheusHandle,
}

#[rocket::async_trait]
impl Handler for MetricsPage {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        Outcome::from(request, self.metrics.render())
    }
}

/// Serves the readiness page.
pub fn serve_readiness(host: &Arc<RelayHost>) -> JoinHandle<()> {
    let page = ReadinessPage { host: Arc::clone(host) };
    let route = Route::new(Method::Get, host.wire.readiness_path, page);
    serve("readiness", host.settings.readiness, route)
}

/// Serves the metrics page, if the settings name its address.
pub fn serve_metrics(host: &Arc<RelayHost>, metrics: PrometheusHandle) -> Option<JoinHandle<()>> {
    let address = host.settings.metrics?;
    let route = Route::new(Method::Get, "/metrics", MetricsPage { metrics });
    Some(serve("metrics", address, route))
}

/// Serves one page until the process ends.
pub(crate) fn serve(page: &'static str, address: SocketAddr, route: Route) -> JoinHandle<()> {
    let config = Config {
        address: address.ip(),
        port: address.port(),
        keep_alive: KEEP_ALIVE_SECONDS,
        log_level: LogLevel::Off,
        // The process has a planned stop of its own.
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: 0,
            mercy: 0,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    };
    let server = rocket::custom(Figment::from(config)).mount("/", [route]);
    tokio::spawn(async move {
        if let Err(error) = server.launch().await {
            tracing::error!(page, %address, %error, "page is not served");
        }
    })
}
