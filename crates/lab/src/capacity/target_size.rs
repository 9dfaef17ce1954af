//! Extrapolates the measured costs to the size expected in two years (section 1.6 of the design page).

use serde::Serialize;
use vanillapick_fleet::simulation::host_entry;

use crate::capacity::CapacityReport;
use crate::capacity::line_fit::LineFit;

/// Number of entry hosts.
pub const HOSTS: f64 = 480.0;

/// Number of failure domains.
pub const DOMAINS: f64 = 11.0;

/// Number of targets, which are the replicas of all services.
pub const TARGETS: f64 = 2_700.0;

/// Queries per second, and shard calls per query.
pub const QUERIES_PER_SECOND: f64 = 69_000.0;
const CALLS_PER_QUERY: f64 = 62.0;

/// Configuration edits per day, and the maximum time until an edit is in force on all hosts.
const EDITS_PER_DAY: f64 = 840.0;
const IN_FORCE_MS: f64 = 11_000.0;

/// Changes of the set of live hosts per day: 7 failures and 160 restarts or replacements, each of which is a departure
/// and a return.
const HOST_CHANGES_PER_DAY: f64 = 2.0 * (7.0 + 160.0);

const DAY_SECONDS: f64 = 86_400.0;

/// Limits for the control work of each node: processor time, memory and network traffic.
const CONTROL_CPU_US_PER_SECOND: f64 = 33_000.0;
const CONTROL_MEMORY_BYTES: f64 = 256e6;
const CONTROL_BYTES_PER_SECOND: f64 = 7_000.0;

/// Maximum length of a value in the store of the platform.
const MAX_VALUE_BYTES: f64 = 1e6;

/// Writes and reads per second that the platform serves. The design page says "several hundred" writes, taken as 300.
const PLATFORM_WRITES_PER_SECOND: f64 = 300.0;
const PLATFORM_READS_PER_SECOND: f64 = 2_000.0;

/// Interval at which entry hosts poll the host list, duration of a watch, and number of watching hosts per domain.
const HOST_LIST_SECONDS: f64 = 5.0;
const WATCH_SECONDS: f64 = 20.0;
const WATCHERS_PER_DOMAIN: f64 = 2.0;

/// Store writes per idempotency key: the claim and its settlement.
const WRITES_PER_CLAIM: f64 = 2.0;

/// Connection limit of a replica.
const CONNECTIONS_PER_REPLICA: f64 = 25.0;

/// A figure at the target size, compared with its limit.
#[derive(Clone, Debug, Serialize)]
pub struct SizeRow {
    /// Name of the figure, with its unit.
    pub figure: &'static str,
    /// Extrapolated value.
    pub value: f64,
    /// Limit from the design page, if it gives one.
    pub limit: Option<f64>,
    /// `ok` within the limit, `SHORT` over it, empty without a limit.
    pub verdict: &'static str,
    /// How the value was derived.
    pub basis: String,
}

impl SizeRow {
    fn new(figure: &'static str, value: f64, limit: Option<f64>, basis: impl Into<String>) -> Self {
        let verdict = match limit {
            None => "",
            Some(limit) if value <= limit => "ok",
            Some(_) => "SHORT",
        };
        Self { figure, value, limit, verdict, basis: basis.into() }
    }
}

/// Computes all figures at the target size.
pub fn size_rows(report: &CapacityReport) -> Vec<SizeRow> {
    let mut rows = control_rows(report);
    rows.extend(platform_rows(report));
    rows.extend(request_rows(report));
    rows
}

fn control_rows(report: &CapacityReport) -> Vec<SizeRow> {
    let four = report.exchange.row(HOSTS as u32, 4);
    let busiest = busiest_host_bytes(report, 4);
    let headers = four.map_or(0.0, |row| row.messages) * header_bytes(report);
    let probes = TARGETS / HOSTS * probe_bytes(report);
    let list = host_list_bytes() / HOST_LIST_SECONDS;
    let edits: Vec<_> =
        report.exchange.edits.iter().filter(|row| row.hosts == HOSTS as u32).collect();
    let fastest = edits.iter().max_by_key(|row| row.edits_a_day);
    let edit_bytes = fastest.map_or(0.0, |row| row.bytes_per_edit) * EDITS_PER_DAY / DAY_SECONDS;
    let edit_ms = edits.iter().map(|row| row.in_force_ms_most).fold(0.0, f64::max);
    let config = report.config.last();
    let value = config.map_or(0.0, |row| row.json_bytes as f64);
    let watcher = value * EDITS_PER_DAY / DAY_SECONDS;
    let divide_us = config.map_or(0.0, |row| row.divide_us);
    let install_us = config.map_or(0.0, |row| row.rebuild_us + row.check_us) + divide_us;
    let changes = (install_us * EDITS_PER_DAY + divide_us * HOST_CHANGES_PER_DAY) / DAY_SECONDS;
    let prober = config.map_or(0.0, |row| row.prober_us);
    let exchange = four.map_or(0.0, |row| row.cpu_us);
    let live = report.live.rows.last().map_or(0.0, |row| row.entry_cpu_us);
    let view = report.planner.iter().filter(|row| row.targets == TARGETS as u32);
    let view = view.map(|row| row.bytes_per_target).max().unwrap_or_default() as f64 * TARGETS;
    let state = four.map_or(0.0, |row| row.state_bytes as f64);
    let process = resident_line(report).slope * 1024.0;
    vec![
        SizeRow::new("peer bodies B/s busiest, 4 moves", busiest, None, "measured at 480 hosts"),
        SizeRow::new(
            "peer headers B/s",
            headers,
            None,
            "messages at 480 hosts x header of a real one",
        ),
        SizeRow::new("edits B/s", edit_bytes, None, "bytes per edit at 480 hosts x 840 a day"),
        SizeRow::new("probes B/s", probes, None, "2,700 / 480 a second x bytes of a real probe"),
        SizeRow::new("host list B/s", list, None, "encoded list of 480 / 5 s"),
        SizeRow::new(
            "control B/s",
            busiest + headers + edit_bytes + probes + list,
            Some(CONTROL_BYTES_PER_SECOND),
            "sum of the above",
        ),
        SizeRow::new(
            "control B/s without the host list",
            busiest + headers + edit_bytes + probes,
            Some(CONTROL_BYTES_PER_SECOND),
            "busiest host, four moves",
        ),
        SizeRow::new(
            "the same at one move",
            busiest_host_bytes(report, 1) + headers + edit_bytes + probes,
            Some(CONTROL_BYTES_PER_SECOND),
            "busiest host, one move",
        ),
        SizeRow::new(
            "the same without a move",
            busiest_host_bytes(report, 0) + headers + edit_bytes + probes,
            Some(CONTROL_BYTES_PER_SECOND),
            "busiest host, no move",
        ),
        SizeRow::new(
            "the same at the mean host",
            four.map_or(0.0, |row| row.bytes_mean) + headers + edit_bytes + probes,
            Some(CONTROL_BYTES_PER_SECOND),
            "mean host, four moves",
        ),
        SizeRow::new("added B/s of a watcher", watcher, None, "whole value x 840 a day"),
        SizeRow::new(
            "control us/s",
            exchange + prober + changes + live,
            Some(CONTROL_CPU_US_PER_SECOND),
            format!(
                "exchange {exchange:.0}, prober choice {prober:.0}, edits and host changes {changes:.0}, \
                 whole control of a live host at 24 hosts {live:.0}"
            ),
        ),
        SizeRow::new(
            "one change of hosts or configuration us",
            install_us,
            None,
            "check, view and shares, on one thread",
        ),
        SizeRow::new(
            "control memory B",
            view + state + process,
            Some(CONTROL_MEMORY_BYTES),
            format!("view {view:.0}, peer state {state:.0}, process {process:.0}"),
        ),
        SizeRow::new(
            "edit in force ms",
            edit_ms,
            Some(IN_FORCE_MS),
            "longest at 480 hosts, all rates",
        ),
        SizeRow::new(
            "configuration value B",
            value,
            Some(MAX_VALUE_BYTES),
            "JSON of 2,700 targets",
        ),
    ]
}

/// Returns the message bytes per second of the busiest host with this number of moves.
fn busiest_host_bytes(report: &CapacityReport, moves: u32) -> f64 {
    report.exchange.row(HOSTS as u32, moves).map_or(0.0, |row| row.bytes_busiest)
}

fn platform_rows(report: &CapacityReport) -> Vec<SizeRow> {
    let lists = HOSTS / HOST_LIST_SECONDS;
    let watches = DOMAINS * WATCHERS_PER_DOMAIN / WATCH_SECONDS;
    let live = report.live.rows.last().map_or(0.0, |row| row.platform_calls);
    let leases = HOSTS / 3_600.0;
    let claims = PLATFORM_WRITES_PER_SECOND / WRITES_PER_CLAIM;
    vec![
        SizeRow::new("host list reads/s", lists, Some(PLATFORM_READS_PER_SECOND), "480 / 5 s"),
        SizeRow::new(
            "watches/s",
            watches,
            Some(PLATFORM_READS_PER_SECOND),
            "22 / 20 s, and one a change",
        ),
        SizeRow::new(
            "platform calls/s by live hosts",
            live * HOSTS,
            Some(PLATFORM_READS_PER_SECOND),
            "calls per host at 24 hosts x 480",
        ),
        SizeRow::new(
            "lease writes/s",
            leases,
            Some(PLATFORM_WRITES_PER_SECOND),
            "one an hour and host",
        ),
        SizeRow::new("keyed writes/s that fit", claims, None, "300 writes / 2 for each key"),
        SizeRow::new(
            "keyed share of queries %",
            claims / QUERIES_PER_SECOND * 100.0,
            None,
            "of 69,000 a second",
        ),
    ]
}

fn request_rows(report: &CapacityReport) -> Vec<SizeRow> {
    let calls = QUERIES_PER_SECOND * CALLS_PER_QUERY / HOSTS;
    let planner =
        report.planner.iter().find(|row| row.targets == TARGETS as u32 && row.shards == 62);
    let planner_cores = calls * planner.map_or(0.0, |row| row.session_ns) / 1e9;
    let http_cores = calls * report.live.searches.cpu_us_per_call / 1e6;
    let nodes = http_cores * HOSTS;
    let connections = TARGETS * CONNECTIONS_PER_REPLICA / HOSTS;
    vec![
        SizeRow::new("shard calls/s and node", calls, None, "69,000 x 62 / 480"),
        SizeRow::new("cores of a node, sessions", planner_cores, None, "ns a call in memory"),
        SizeRow::new(
            "cores of a node, whole path",
            http_cores,
            None,
            "us a call at two live hosts",
        ),
        SizeRow::new("cores of all nodes", nodes, None, "x 480"),
        SizeRow::new("connections a node", connections, None, "2,700 x 25 / 480"),
        SizeRow::new(
            "targets of its domain a node holds no connection to",
            TARGETS / DOMAINS - connections,
            Some(0.0),
            "2,700 / 11 less the connections of a node",
        ),
    ]
}

/// Fits the resident memory of the process in KiB to the number of hosts in it.
pub fn resident_line(report: &CapacityReport) -> LineFit {
    let rows = report.live.rows.iter();
    let points: Vec<_> = rows.map(|row| (f64::from(row.hosts), row.resident_kib as f64)).collect();
    LineFit::fit(&points)
}

/// Returns the mean header size of a message; a request and its response are two messages.
fn header_bytes(report: &CapacityReport) -> f64 {
    let tapped = report.live.messages.iter().find(|message| message.path == "/peer/exchange");
    tapped.map_or(0.0, |message| (message.request_header + message.response_header) / 2.0)
}

/// Returns the bytes of one status probe and its reply.
fn probe_bytes(report: &CapacityReport) -> f64 {
    let tapped = report.live.messages.iter().find(|message| message.path == "/status");
    tapped.map_or(0.0, |message| {
        message.request_header
            + message.request_body
            + message.response_header
            + message.response_body
    })
}

/// Returns the bytes of the host list as the platform sends it.
fn host_list_bytes() -> f64 {
    let hosts: Vec<_> = (0..HOSTS as u32).map(|index| host_entry(index, DOMAINS as u32)).collect();
    serde_json::to_vec(&hosts).map_or(0.0, |bytes| bytes.len() as f64)
}
