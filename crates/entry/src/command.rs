//! Command line of `vanillapick-entry`.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use vanillapick_settings::entry_settings::EntrySettings;
use vanillapick_settings::entry_settings::LogFormat;
use vanillapick_settings::load::load_entry_settings;

use crate::server::EntryServer;

const HELP: &str = "\
vanillapick-entry: serves searches, reads and writes of callers

Usage:
  vanillapick-entry run FILE     start the host with the settings in FILE
  vanillapick-entry check FILE   report all findings in FILE without starting the host

Options:
  -h, --help      print this help
  -V, --version   print the version

Exit statuses:
  0  stopped normally, or no findings in FILE
  1  failed to start
  2  invalid settings or command line

Example:
  vanillapick-entry run entry-1.jsonc
";

/// Exit status for invalid settings or an invalid command line.
const WRONG_INPUT: u8 = 2;

enum EntryCommand {
    Run(PathBuf),
    Check(PathBuf),
}

/// Runs the command line and returns the exit status of the process.
pub fn run(mut arguments: Arguments) -> ExitCode {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("vanillapick-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let command = match parse_command(arguments) {
        Ok(command) => command,
        Err(message) => {
            eprintln!("error: {message}\nhelp: vanillapick-entry --help");
            return ExitCode::from(WRONG_INPUT);
        }
    };
    let file = match &command {
        EntryCommand::Run(file) | EntryCommand::Check(file) => file,
    };
    let settings = match load_entry_settings(file) {
        Ok(settings) => settings,
        Err(report) => {
            if std::io::stderr().is_terminal() {
                eprintln!("{}", report.render(true));
            } else {
                eprintln!("{report}");
            }
            return ExitCode::from(WRONG_INPUT);
        }
    };
    match command {
        EntryCommand::Check(file) => {
            println!("{}: nothing wrong", file.display());
            ExitCode::SUCCESS
        }
        EntryCommand::Run(_) => serve(settings),
    }
}

fn parse_command(mut arguments: Arguments) -> Result<EntryCommand, String> {
    let name = arguments.subcommand().map_err(|error| error.to_string())?;
    let file = arguments
        .free_from_str::<PathBuf>()
        .map_err(|_| "the settings file is missing".to_owned())?;
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(format!("unexpected argument {:?}", rest[0]));
    }
    match name.as_deref() {
        Some("run") => Ok(EntryCommand::Run(file)),
        Some("check") => Ok(EntryCommand::Check(file)),
        Some(other) => Err(format!("no command is named {other:?}")),
        None => Err("the command is missing".to_owned()),
    }
}

fn serve(settings: EntrySettings) -> ExitCode {
    start_log(settings.log_format);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        let server = match EntryServer::launch(settings).await {
            Ok(server) => server,
            Err(error) => {
                eprintln!("error: {error}");
                return ExitCode::FAILURE;
            }
        };
        wait_for_stop_signal().await;
        server.stop().await;
        ExitCode::SUCCESS
    })
}

async fn wait_for_stop_signal() {
    let terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
    let Ok(mut terminate) = terminate else {
        // Without a handler the default action ends the process on SIGTERM.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn start_log(format: LogFormat) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| "info,rocket=warn,hyper=warn".into());
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}
