//! Process entry points: logging, runtime, metrics recorder and signal handling.

use std::path::Path;
use std::process::ExitCode;

use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use vanillapick_settings::FindingReport;
use vanillapick_settings::LoadedSettings;
use vanillapick_settings::RelaySettings;
use vanillapick_settings::load_relay_settings;

use crate::relay_host::RelayHost;
use crate::relay_server::RelayServer;
use crate::wire::PlatformWire;

/// Capacity of the log writer's queue. Further lines are dropped and counted, so that no request waits for a slow
/// reader.
const MAX_BUFFERED_LOG_LINES: usize = 4096;

/// Upper bounds of the latency histogram's buckets, chosen around the latency objectives of routes (80 to 400 ms). Without
/// buckets the recorder would keep every sample until the metrics are scraped.
const LATENCY_BUCKETS_S: [f64; 9] = [0.01, 0.02, 0.05, 0.08, 0.12, 0.2, 0.4, 0.8, 2.0];

/// Exit status for invalid settings or an invalid command line.
pub const EXIT_INVALID_INPUT: u8 = 2;

/// Validates a settings file as a start does, and prints all errors and replaced values.
pub fn check(file: &Path) -> ExitCode {
    match load_relay_settings(file) {
        Ok(LoadedSettings { replaced: None, .. }) => {
            println!("{}: nothing wrong", file.display());
            ExitCode::SUCCESS
        }
        Ok(LoadedSettings { replaced: Some(report), .. }) => {
            println!("{report}\n{}: usable, with replaced values", file.display());
            ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("{report}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}

/// Runs a host with the settings in `file` until SIGTERM or SIGINT.
pub fn run(file: &Path, wire: PlatformWire) -> ExitCode {
    let LoadedSettings { settings, replaced } = match load_relay_settings(file) {
        Ok(loaded) => loaded,
        Err(report) => {
            eprintln!("{report}");
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    let _log = start_log();
    log_replaced(replaced.as_ref());
    // More threads than cores would only add context switches.
    let runtime = match settings.machine.cores {
        1 => Builder::new_current_thread().enable_all().build(),
        cores => Builder::new_multi_thread().worker_threads(cores as usize).enable_all().build(),
    };
    let served = runtime.and_then(|runtime| runtime.block_on(serve(file, settings, wire)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "host cannot start");
            ExitCode::FAILURE
        }
    }
}

async fn serve(file: &Path, settings: RelaySettings, wire: PlatformWire) -> std::io::Result<()> {
    let metrics = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S);
    let metrics = match metrics {
        Ok(metrics) => metrics.build_recorder(),
        Err(error) => return Err(std::io::Error::other(error)),
    };
    let pages = metrics.handle();
    if metrics::set_global_recorder(metrics).is_err() {
        tracing::warn!("a metrics recorder is already installed");
    }
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let server = RelayServer::start(settings, wire)?;
    server.serve_admin_endpoints(pages);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => check_settings_on_reload(file, server.host()),
        }
    }
    server.stop().await;
    Ok(())
}

/// Validates the settings file on SIGHUP without applying it: settings hold addresses and limits that are fixed for the
/// lifetime of a process.
fn check_settings_on_reload(file: &Path, host: &RelayHost) {
    match load_relay_settings(file) {
        Ok(LoadedSettings { settings, replaced }) => {
            log_replaced(replaced.as_ref());
            let is_changed = settings != host.settings;
            tracing::info!(
                is_changed,
                "settings file reloaded; changes take effect at the next start"
            );
        }
        Err(report) => {
            tracing::warn!(%report, "settings file is invalid; the current settings stay in force")
        }
    }
}

fn log_replaced(replaced: Option<&FindingReport>) {
    for finding in replaced.iter().flat_map(|report| report.findings()) {
        tracing::warn!(place = finding.place, %finding, "unusable value in the settings file was replaced");
    }
}

fn start_log() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LOG_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| "info,rocket=off,hyper=warn".into());
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .init();
    guard
}
