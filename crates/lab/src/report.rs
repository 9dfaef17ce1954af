//! Command `report DIR`: writes a table and plots of experiment results.

pub mod plot;
pub mod result_file;

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use derive_more::Display;
use derive_more::Error;
use pico_args::Arguments;

use crate::report::plot::PlotError;
use crate::report::plot::plot_latency;
use crate::report::plot::plot_traffic;
use crate::report::result_file::ExperimentResult;

/// File name of the table within the report folder.
const TABLE_FILE: &str = "results.md";

#[derive(Debug, Display, Error)]
enum ReportError {
    #[display("arguments: {cause}; vanillapick-lab report DIR [--commit REV]")]
    Arguments {
        #[error(not(source))]
        cause: String,
    },
    #[display("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[display("{}: expected the last line of `experiment --json`: {source}", path.display())]
    Result { path: PathBuf, source: serde_json::Error },
    #[display("{}: {source}", path.display())]
    Plot { path: PathBuf, source: PlotError },
}

/// Runs the command. Exit status 2 on wrong arguments or when a file cannot be read or written.
pub fn run_command(arguments: Arguments) -> ExitCode {
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(mut arguments: Arguments) -> Result<(), ReportError> {
    let argument_error = |cause: String| ReportError::Arguments { cause };
    let commit: Option<String> = arguments
        .opt_value_from_str("--commit")
        .map_err(|error| argument_error(error.to_string()))?;
    let folder: PathBuf =
        arguments.free_from_str().map_err(|error| argument_error(error.to_string()))?;
    if let Some(surplus) = arguments.finish().first() {
        return Err(argument_error(format!("unexpected argument {surplus:?}")));
    }
    let results = read_results(&folder)?;
    let mut table = table_text(&results, commit.as_deref().unwrap_or("not given"));
    for result in &results {
        for (suffix, draw) in PLOTS {
            let name = format!("{}-{suffix}.svg", result.experiment);
            let path = folder.join(&name);
            let drawn = draw(result, &path)
                .map_err(|source| ReportError::Plot { path: path.clone(), source })?;
            if drawn {
                let _ = write!(table, "\n![{suffix} in {}]({name})\n", result.experiment);
            }
        }
    }
    let path = folder.join(TABLE_FILE);
    fs::write(&path, table).map_err(|source| ReportError::File { path, source })
}

type PlotFunction = fn(&ExperimentResult, &Path) -> Result<bool, PlotError>;

/// Plots for each experiment with their file name suffixes. A plot is skipped if its figures are missing.
const PLOTS: [(&str, PlotFunction); 2] = [("latency", plot_latency), ("traffic", plot_traffic)];

fn read_results(folder: &Path) -> Result<Vec<ExperimentResult>, ReportError> {
    let read_error = |source| ReportError::File { path: folder.to_owned(), source };
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            paths.push(path);
        }
    }
    paths.sort();
    let mut results = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path)
            .map_err(|source| ReportError::File { path: path.clone(), source })?;
        let result =
            serde_json::from_str(&text).map_err(|source| ReportError::Result { path, source })?;
        results.push(result);
    }
    Ok(results)
}

fn table_text(results: &[ExperimentResult], commit: &str) -> String {
    let mut table = format!(
        "# Results\n\nOne run of each experiment at commit {commit}, by `vanillapick-lab experiment NAME --seed N --json`.\n\
         This page is written by `vanillapick-lab report DIR`.\n\n\
         | experiment | seed | bound | figure | held |\n| --- | --- | --- | --- | --- |\n"
    );
    for result in results {
        for bound in &result.bounds {
            let figure = bound.figure.map_or_else(|| "none".to_owned(), format_figure);
            let held = if bound.held { "yes" } else { "**no**" };
            let _ = writeln!(
                table,
                "| {} | {} | {}: `{}` | {figure} | {held} |",
                result.experiment, result.seed, bound.name, bound.bound
            );
        }
    }
    table
}

/// Formats with at most four decimal places, without trailing zeros.
fn format_figure(figure: f64) -> String {
    let text = format!("{figure:.4}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
