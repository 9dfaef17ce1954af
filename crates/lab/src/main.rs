//! `vanillapick-lab`: demo, experiments, trace replays and capacity measurements, with stand-ins and entry hosts in one
//! process, and reports of the results.

use std::process::ExitCode;

use pico_args::Arguments;
use tracing_subscriber::EnvFilter;
use vanillapick_lab::capacity;
use vanillapick_lab::demo;
use vanillapick_lab::experiment;
use vanillapick_lab::replay;
use vanillapick_lab::report;

const USAGE: &str = "\
usage: vanillapick-lab demo [--keep]
       vanillapick-lab experiment NAME|FILE [--seed N] [--json] [--record DIR]
       vanillapick-lab replay TRACE --expect FILE [--json]
       vanillapick-lab capacity [--json]
       vanillapick-lab report DIR [--commit REV]";

#[tokio::main]
async fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("error"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let mut arguments = Arguments::from_env();
    match arguments.subcommand().ok().flatten().as_deref() {
        Some("demo") => demo::run_command(arguments).await,
        Some("capacity") => capacity::run_command(arguments).await,
        Some("experiment") => experiment::run_command(arguments).await,
        Some("replay") => replay::run_command(arguments),
        Some("report") => report::run_command(arguments),
        _ => {
            eprintln!("{USAGE}");
            ExitCode::from(2)
        }
    }
}
