//! Starts and stops an entry host: its worker threads, its HTTP server and its background tasks.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use rocket::Config;
use rocket::Shutdown;
use rocket::catchers;
use rocket::config::LogLevel;
use rocket::config::Shutdown as ShutdownConfig;
use rocket::fairing::AdHoc;
use rocket::routes;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use vanillapick_model::host::HostEntry;
use vanillapick_model::wall_clock::unix_ms;
use vanillapick_settings::entry_settings::EntrySettings;

use crate::caller_api;
use crate::crash_guard;
use crate::entry_error::EntryError;
use crate::entry_host::EntryHost;
use crate::entry_host::lock;
use crate::host_slot::HostSlot;
use crate::limit_shares;
use crate::link_rule::LinkRule;
use crate::move_recorder;
use crate::move_tracker;
use crate::peer_api;
use crate::peer_link;
use crate::session_recorder::TraceSender;
use crate::store_follower;
use crate::target_prober;

/// Interval at which a planned stop checks for running requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Seconds that a caller's connection may be idle. This is longer than the idle timeout of common balancers, so that
/// the balancer closes idle connections. If this host closed them, a request sent at that moment would be lost.
const KEEP_ALIVE_S: u32 = 120;

/// Grace period of the shutdown in seconds. Rocket waits for all of it if a connection was open at the shutdown.
const SHUTDOWN_GRACE_S: u32 = 1;

/// Seconds after the grace period during which slow callers can finish reading their responses.
const SHUTDOWN_MERCY_S: u32 = 5;

/// A running entry host. Each host has its own runtime, so that several hosts in one process share no threads.
pub struct EntryServer {
    host: Arc<EntryHost>,
    shutdown: Shutdown,
    /// Completes after the shutdown, when all connections are closed or the grace periods have passed.
    served: JoinHandle<()>,
    runtime: Option<Runtime>,
}

/// Result of the launch: the host and the shutdown handle of its server, or the reason why it did not start.
type LaunchReport = Result<(Arc<EntryHost>, Shutdown), String>;

impl EntryServer {
    /// Starts a host and returns when it listens.
    pub async fn launch(settings: EntrySettings) -> Result<Self, EntryError> {
        Self::launch_with(settings, LinkRule::default()).await
    }

    /// Starts a host whose links to others follow `rule`, for measurements.
    pub async fn launch_with(settings: EntrySettings, rule: LinkRule) -> Result<Self, EntryError> {
        let threads = usize::try_from(settings.workers.max(1)).unwrap_or(1);
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(format!("entry-{}", settings.host))
            .enable_all()
            .build()
            .map_err(|source| EntryError::Runtime { source })?;
        let address = settings.listen;
        let (report, launched) = oneshot::channel();
        let served = runtime.spawn(serve(settings, rule, report));
        let launched = launched
            .await
            .unwrap_or_else(|_| Err("the server stopped during its launch".to_owned()));
        match launched {
            Ok((host, shutdown)) => {
                spawn_tasks(&runtime, &host);
                Ok(Self { host, shutdown, served, runtime: Some(runtime) })
            }
            Err(reason) => {
                runtime.shutdown_background();
                Err(EntryError::Listen { address, reason })
            }
        }
    }

    /// Address on which the host listens, with the bound port.
    pub fn address(&self) -> SocketAddr {
        self.host.me.address
    }

    /// Entry of this host in the host list of its peers.
    pub fn entry(&self) -> HostEntry {
        self.host.me.clone()
    }

    /// Sends the traces of all later sessions to `sender`, for the lab. Later calls have no effect.
    pub fn record_sessions(&self, sender: TraceSender) {
        let _ = self.host.traces.set(sender);
    }

    /// Planned stop: reports not ready immediately, serves until the balancer's lag has passed, then finishes the
    /// running requests.
    pub async fn stop(mut self) {
        let host = Arc::clone(&self.host);
        host.lifecycle.set_leaving();
        host.peers.announce_leaving(&host);
        tokio::time::sleep(host.settings.balancer_lag).await;
        host.lifecycle.set_closed();
        while host.running.count() != 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.shutdown.clone().notify();
        // Responses of finished requests may still be in transfer to slow callers. An error is a panic of the server,
        // after which there is nothing to wait for.
        let _ = (&mut self.served).await;
        self.end();
    }

    /// Stops the host immediately, like a machine failure.
    pub async fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for EntryServer {
    fn drop(&mut self) {
        // Dropping a runtime within another runtime panics; a background shutdown does not.
        self.end();
    }
}

fn spawn_tasks(runtime: &Runtime, host: &Arc<EntryHost>) {
    runtime.spawn(store_follower::follow_config(Arc::clone(host)));
    runtime.spawn(store_follower::follow_host_list(Arc::clone(host)));
    runtime.spawn(target_prober::probe_targets(Arc::clone(host)));
    runtime.spawn(peer_link::exchange_with_peers(Arc::clone(host)));
    runtime.spawn(limit_shares::refresh_cold_limits(Arc::clone(host)));
    runtime.spawn(crash_guard::publish_crash_marks(Arc::clone(host)));
    runtime.spawn(move_tracker::track_moves(Arc::clone(host)));
    runtime.spawn(move_recorder::record_moves(Arc::clone(host)));
}

/// Serves until the shutdown. Sends one report, when the host listens or has failed to.
async fn serve(settings: EntrySettings, rule: LinkRule, report: oneshot::Sender<LaunchReport>) {
    let report = Arc::new(Mutex::new(Some(report)));
    let on_liftoff = Arc::clone(&report);
    let slot = HostSlot::default();
    let config = rocket_config(&settings);
    let managed = slot.clone();
    let liftoff = AdHoc::on_liftoff("entry host", move |rocket| {
        // The port is known only after binding, and the entry of the host contains it.
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        let me = HostEntry {
            id: settings.host.clone(),
            domain: settings.domain.clone(),
            address,
            incarnation: unix_ms(SystemTime::now()),
            leaving: false,
        };
        let host = Arc::new(EntryHost::new(settings.clone(), me, rule.clone()));
        slot.set(Arc::clone(&host));
        if let Some(report) = lock(&on_liftoff).take() {
            let _ = report.send(Ok((host, rocket.shutdown())));
        }
        Box::pin(async {})
    });
    let endpoints = routes![
        caller_api::search,
        caller_api::read,
        caller_api::write,
        caller_api::cancel,
        caller_api::health,
        caller_api::ready,
        caller_api::metrics,
        caller_api::status,
        peer_api::exchange,
        peer_api::push,
    ];
    let rocket = rocket::custom(config)
        .manage(managed)
        .mount("/", endpoints)
        .register("/", catchers![caller_api::no_endpoint])
        .attach(liftoff);
    if let Err(error) = rocket.launch().await
        && let Some(report) = lock(&report).take()
    {
        let _ = report.send(Err(error.kind().to_string()));
    }
}

fn rocket_config(settings: &EntrySettings) -> Config {
    Config {
        address: settings.listen.ip(),
        port: settings.listen.port(),
        keep_alive: KEEP_ALIVE_S,
        log_level: LogLevel::Off,
        // The process handles signals itself, because a planned stop first waits for the balancer.
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: HashSet::new(),
            grace: SHUTDOWN_GRACE_S,
            mercy: SHUTDOWN_MERCY_S,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}
