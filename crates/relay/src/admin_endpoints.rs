//! HTTP endpoints for the balancer and for operators: readiness and metrics.

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

/// Idle timeout of connections to the endpoints.
const KEEP_ALIVE_SECONDS: u32 = 30;

/// Readiness check of the balancer.
#[derive(Clone)]
struct ReadinessEndpoint {
    host: Arc<RelayHost>,
}

#[rocket::async_trait]
impl Handler for ReadinessEndpoint {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let is_ready = self.host.is_ready();
        let status = if is_ready { Status::Ok } else { Status::ServiceUnavailable };
        Outcome::from(request, (status, if is_ready { "ready\n" } else { "not ready\n" }))
    }
}

/// Renders the metrics of the process in the text format of Prometheus.
#[derive(Clone)]
struct MetricsEndpoint {
    metrics: PrometheusHandle,
}

#[rocket::async_trait]
impl Handler for MetricsEndpoint {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        Outcome::from(request, self.metrics.render())
    }
}

/// Serves the readiness endpoint at the path of the platform's balancer.
pub fn serve_readiness(host: &Arc<RelayHost>) -> JoinHandle<()> {
    let endpoint = ReadinessEndpoint { host: Arc::clone(host) };
    let route = Route::new(Method::Get, host.wire.readiness_path, endpoint);
    serve("readiness", host.settings.readiness, route)
}

/// Serves the metrics endpoint if the settings contain an address for it.
pub fn serve_metrics(host: &Arc<RelayHost>, metrics: PrometheusHandle) -> Option<JoinHandle<()>> {
    let address = host.settings.metrics?;
    let route = Route::new(Method::Get, "/metrics", MetricsEndpoint { metrics });
    Some(serve("metrics", address, route))
}

/// Serves one endpoint until the process ends; `page` names it in the log.
pub(crate) fn serve(page: &'static str, address: SocketAddr, route: Route) -> JoinHandle<()> {
    let config = Config {
        address: address.ip(),
        port: address.port(),
        keep_alive: KEEP_ALIVE_SECONDS,
        log_level: LogLevel::Off,
        // The process handles signals and shuts down gracefully by itself.
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
            tracing::error!(page, %address, %error, "endpoint stopped with an error");
        }
    })
}
