//! Command `capacity [--json]`: measures how costs grow, and extrapolates them to the size expected in two years.

pub mod line_fit;
pub mod process_usage;
pub mod exchange_cost;
pub mod planner_cost;
pub mod config_cost;
pub mod message_tap;
pub mod live_hosts;
pub mod target_size;

use std::process::ExitCode;

use pico_args::Arguments;
use serde::Serialize;
use serde_json::Value;

use crate::capacity::config_cost::ConfigRow;
use crate::capacity::config_cost::ConnectionRow;
use crate::capacity::exchange_cost::ExchangeCost;
use crate::capacity::line_fit::LineFit;
use crate::capacity::live_hosts::LiveCost;
use crate::capacity::planner_cost::PlannerRow;
use crate::capacity::process_usage::load_average;
use crate::capacity::target_size::SizeRow;

/// Exit status if the arguments are invalid or the measurement fails.
const EXIT_NOT_RUN: u8 = 2;

/// Columns that come first in a table, and the column that comes last.
const FIRST_COLUMNS: [&str; 10] = [
    "rule", "kind", "path", "figure", "hosts", "domains", "targets", "shards", "replicas", "moves",
];
const LAST_COLUMN: &str = "basis";

/// Results of one run of the command.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CapacityReport {
    /// Load average of the machine before and after the run. Times of runs under different load are not comparable.
    pub load_average: [f64; 2],
    /// Costs of real entry hosts on loopback.
    pub live: LiveCost,
    /// Costs of the exchange between hosts, simulated in memory.
    pub exchange: ExchangeCost,
    /// Cost of planning a search, by size.
    pub planner: Vec<PlannerRow>,
    /// Size of the configuration and cost of a change, by size.
    pub config: Vec<ConfigRow>,
    /// Connections per host, by the rule that divides them.
    pub connections: Vec<ConnectionRow>,
    /// Lines fitted to the measured points.
    pub slopes: Vec<SlopeRow>,
    /// Figures extrapolated to the target size.
    pub target_size: Vec<SizeRow>,
}

/// Growth of one figure.
#[derive(Clone, Debug, Serialize)]
pub struct SlopeRow {
    /// Measured figure, with its unit.
    pub figure: &'static str,
    /// Quantity that the figure grows with.
    pub per: &'static str,
    /// Base and slope of the fitted line.
    #[serde(flatten)]
    pub line: LineFit,
    /// Value of the line at the target size.
    pub at_target: f64,
}

/// Runs the command. The status is 2 if the hosts did not run; a figure over its limit does not change the status.
pub async fn run_command(arguments: Arguments) -> ExitCode {
    let mut arguments = arguments;
    let is_json = arguments.contains("--json");
    if let Some(unknown) = arguments.finish().first() {
        eprintln!("error: unknown argument {unknown:?}; vanillapick-lab capacity [--json]");
        return ExitCode::from(EXIT_NOT_RUN);
    }
    let report = match measure().await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_NOT_RUN);
        }
    };
    if is_json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print_report(&report);
    }
    ExitCode::SUCCESS
}

async fn measure() -> Result<CapacityReport, live_hosts::LiveError> {
    let load_before = load_average();
    // Resident memory is measured first and its objects are kept: objects that reuse freed memory would seem to
    // need none.
    let planner_hosts = planner_cost::PlannerHosts::build();
    let fleets = exchange_cost::StartedFleets::start();
    let live = live_hosts::measure().await?;
    let mut report = CapacityReport {
        live,
        planner: planner_cost::measure(&planner_hosts),
        config: config_cost::measure(),
        connections: config_cost::connections(),
        exchange: exchange_cost::measure(fleets),
        ..CapacityReport::default()
    };
    report.slopes = slopes(&report);
    report.target_size = target_size::size_rows(&report);
    report.load_average = [load_before, load_average()];
    Ok(report)
}

fn slopes(report: &CapacityReport) -> Vec<SlopeRow> {
    let idle = || report.exchange.rows.iter().filter(|row| row.moves == 0);
    let hosts_per_domain = |hosts: u32, domains: u32| f64::from(hosts) / f64::from(domains);
    let row = |figure, per, points: Vec<(f64, f64)>, target: f64| {
        let line = LineFit::fit(&points);
        SlopeRow { figure, per, line, at_target: line.at(target) }
    };
    let domain_hosts = target_size::HOSTS / target_size::DOMAINS;
    let bytes = idle().map(|row| (hosts_per_domain(row.hosts, row.domains), row.bytes_mean));
    let busiest = idle().map(|row| (hosts_per_domain(row.hosts, row.domains), row.bytes_busiest));
    let cpu = idle().map(|row| (hosts_per_domain(row.hosts, row.domains), row.cpu_us));
    let state = idle().map(|row| (f64::from(row.targets), row.state_bytes as f64));
    let live = report.live.rows.iter();
    let live_memory = live.map(|row| (f64::from(row.hosts), row.resident_kib as f64));
    let config = report.config.iter();
    let json = config.clone().map(|row| (f64::from(row.targets), row.json_bytes as f64));
    let build = config.map(|row| (f64::from(row.targets), row.build_us));
    let targets = target_size::TARGETS;
    vec![
        row("peer bytes/s, idle", "host of a domain", bytes.collect(), domain_hosts),
        row("peer bytes/s, busiest, idle", "host of a domain", busiest.collect(), domain_hosts),
        row("peer processor us/s, idle", "host of a domain", cpu.collect(), domain_hosts),
        row("peer state B", "target", state.collect(), targets),
        row("resident KiB of the process", "host in it", live_memory.collect(), 1.0),
        row("configuration B", "target", json.collect(), targets),
        row("view build us", "target", build.collect(), targets),
    ]
}

fn print_report(report: &CapacityReport) {
    let [before, after] = report.load_average;
    println!("load average {before} before the run, {after} after it");
    print_rows("exchange in memory", &report.exchange.rows);
    print_rows("edits, replayed 240 times faster than the rate", &report.exchange.edits);
    print_rows("messages in memory", &report.exchange.messages);
    print_rows("planner", &report.planner);
    print_rows("configuration", &report.config);
    print_rows("connections", &report.connections);
    print_rows("live hosts on loopback", &report.live.rows);
    print_rows("messages between live hosts", &report.live.messages);
    print_rows("searches at live hosts", std::slice::from_ref(&report.live.searches));
    print_rows("slopes", &report.slopes);
    print_rows("target size", &report.target_size);
    let short = report.target_size.iter().filter(|row| row.verdict == "SHORT");
    let names: Vec<_> = short.map(|row| row.figure).collect();
    println!(
        "\nfalls short: {}",
        if names.is_empty() { "nothing".to_owned() } else { names.join("; ") }
    );
}

/// Prints rows as a table with the field names as its header.
fn print_rows(title: &str, rows: &[impl Serialize]) {
    println!("\n{title}");
    let values: Vec<_> = rows.iter().filter_map(|row| serde_json::to_value(row).ok()).collect();
    let Some(Value::Object(first)) = values.first() else { return };
    let mut names: Vec<_> = first.keys().cloned().collect();
    names.sort_by_key(|name| column_rank(name));
    let mut lines = vec![names.clone()];
    lines.extend(values.iter().map(|row| names.iter().map(|name| cell(&row[name])).collect()));
    let widths: Vec<_> = (0..names.len())
        .map(|at| lines.iter().map(|line| line[at].chars().count()).max().unwrap_or_default())
        .collect();
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("  {}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}

/// Returns the sort key of a column. The columns that identify a row come first.
fn column_rank(name: &str) -> usize {
    let first = FIRST_COLUMNS.iter().position(|column| *column == name);
    first.unwrap_or(FIRST_COLUMNS.len() + usize::from(name == LAST_COLUMN))
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            let number = number.as_f64().unwrap_or_default();
            if 100.0 <= number.abs() { format!("{number:.0}") } else { format!("{number:.2}") }
        }
        other => other.to_string(),
    }
}
