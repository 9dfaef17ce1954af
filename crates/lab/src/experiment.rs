//! Command `experiment NAME|FILE [--seed N] [--json] [--record DIR]`.

pub mod topology;
pub mod experiment_file;
pub mod operator_command;
pub mod link_state;
pub mod running_system;
pub mod revision_monitor;
pub mod timed_action;
pub mod figure_table;
pub mod experiment_run;
pub mod trace_selection;

use std::path::Path;
use std::process::ExitCode;

use pico_args::Arguments;
use vanillapick_entry::entry_host::lock;

use crate::experiment::experiment_file::ExperimentError;
use crate::experiment::experiment_file::ExperimentFile;
use crate::experiment::experiment_run::ExperimentReport;
use crate::experiment::experiment_run::run_experiment;
use crate::experiment::trace_selection::TraceSelection;

/// Exit status when a bound does not hold.
const EXIT_BOUND_NOT_HELD: u8 = 1;

/// Exit status when the experiment cannot run.
const EXIT_NOT_RUN: u8 = 2;

const DEFAULT_SEED: u64 = 1;

/// Runs the command. Exit status 0: all bounds held; 1: a bound did not hold; 2: the experiment could not run.
pub async fn run_command(arguments: Arguments) -> ExitCode {
    match run(arguments).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_BOUND_NOT_HELD),
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

async fn run(mut arguments: Arguments) -> Result<bool, ExperimentError> {
    let usage = "vanillapick-lab experiment NAME|FILE [--seed N] [--json] [--record DIR]";
    let argument_error = |error: pico_args::Error| ExperimentError::new("arguments", error, usage);
    let is_json = arguments.contains("--json");
    let seed =
        arguments.opt_value_from_str("--seed").map_err(argument_error)?.unwrap_or(DEFAULT_SEED);
    let folder: Option<String> =
        arguments.opt_value_from_str("--record").map_err(argument_error)?;
    let name: String = arguments.free_from_str().map_err(argument_error)?;
    if let Some(surplus) = arguments.finish().first() {
        return Err(ExperimentError::new(
            "arguments",
            format!("unexpected argument {surplus:?}"),
            usage,
        ));
    }
    let file = ExperimentFile::read(&name)?;
    println!("experiment {} (seed {seed}): {}", file.name, file.about);
    let recording = folder.as_ref().map(|_| TraceSelection::start());
    let (traces, selection) = recording.unzip();
    let report = run_experiment(&file, seed, traces).await?;
    if let (Some(folder), Some(selection)) = (folder, selection) {
        lock(&selection)
            .write(Path::new(&folder))
            .map_err(|error| ExperimentError::new(folder, error, "choose a writable folder"))?;
    }
    print_report(&file, &report);
    if is_json {
        let line = serde_json::to_string(&report)
            .map_err(|error| ExperimentError::new("report", error, "report this as a bug"))?;
        println!("{line}");
    }
    Ok(report.held)
}

fn print_report(file: &ExperimentFile, report: &ExperimentReport) {
    let figures = report.figures.figures();
    let printed_figures =
        ["sent", "answered_share", "full_share", "p50_ms", "p99_ms", "extra_load", "cut"];
    for phase in &file.phases {
        let prefix = format!("{}.", phase.name);
        let labels = figures.keys().filter_map(|name| {
            name.strip_prefix(&prefix)?.strip_suffix(".sent").filter(|label| !label.contains('.'))
        });
        for label in labels {
            print!("{:<28}", format!("{}.{label}", phase.name));
            for name in printed_figures {
                if let Some(value) = figures.get(&format!("{prefix}{label}.{name}")) {
                    print!("  {name} {}", round(*value));
                }
            }
            println!();
            for kind in ["refused", "missing"] {
                let kind_prefix = format!("{prefix}{label}.{kind}.");
                for (name, value) in figures.range(kind_prefix.clone()..) {
                    let Some(reason) = name.strip_prefix(&kind_prefix) else { break };
                    println!("    {kind} {reason}: {value}");
                }
            }
        }
    }
    for bound in &report.bounds {
        let verdict = if bound.held { "held" } else { "NOT HELD" };
        let figure = bound.figure.map_or("none".to_owned(), |figure| round(figure).to_string());
        println!("{verdict:<8}  {}: {} (figure {figure})", bound.name, bound.bound);
    }
}

fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
