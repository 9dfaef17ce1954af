//! Implements `explain REQUEST-ID FILE…`.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

use crate::arguments::CommandArguments;
use crate::error::CommandError;
use crate::output::CommandOutput;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl explain REQUEST-ID FILE...

Shows what the logs of the hosts contain about one request, in chronological order: each of its lines with all fields,
the state of its host as logged before that line and, for each target that the request waited for or lost, the number of
other requests that name the target within one second. A high number indicates a slow or lost target, a low number one
of the target's pauses. Each line of FILE is one JSON object, with or without a prefix whose last word is the name of
the host; without a prefix, the name of FILE is used. The exit status is 1 if no line names the request.

example:
  vanillapick-ctl explain 1334e77857d145bc examples/logs/host-1.log examples/logs/host-2.log
";

/// Messages that report the state of a host; the latest of each before a request is shown with the request.
const HOST_STATE_MESSAGES: [&str; 6] = [
    "configuration in force",
    "view installed",
    "source of changes",
    "store lost",
    "store regained",
    "host is leaving",
];

/// Maximum time between a request and the other requests that are counted as naming the same target.
const NEARBY_INTERVAL: Duration = Duration::from_secs(1);

/// Fields of every line, which are not listed with the other fields.
const COMMON_FIELDS: [&str; 4] = ["timestamp", "level", "message", "request_id"];

/// A parsed log line of a host.
struct LogLine {
    at: SystemTime,
    timestamp: String,
    host: String,
    message: String,
    fields: Map<String, Value>,
}

pub(crate) fn run(
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let request = arguments.positional("REQUEST-ID")?;
    let mut files = vec![arguments.positional("FILE")?];
    while let Some(file) = arguments.optional_positional()? {
        files.push(file);
    }
    arguments.finish()?;

    let mut lines = Vec::new();
    for file in &files {
        let text = std::fs::read(file).map_err(|error| {
            CommandError::invalid_input(error.to_string(), file.as_str(), "specify a readable file")
        })?;
        let stem = Path::new(file).file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(
            String::from_utf8_lossy(&text).lines().filter_map(|line| parse_line(line, &stem)),
        );
    }
    lines.sort_by_key(|line| line.at);
    let matching: Vec<usize> =
        (0..lines.len()).filter(|index| lines[*index].text("request_id") == request).collect();
    if matching.is_empty() {
        let label = format!("no log line contains the request {request:?}");
        let help = "requests answered completely and in time are not logged; specify the logs of all hosts \
                    in the caller's failure domain";
        return Err(CommandError::refused(label, files.join(" "), help));
    }
    for index in matching {
        explain(&lines, index, output);
    }
    Ok(())
}

fn explain(lines: &[LogLine], index: usize, output: &mut CommandOutput) {
    let line = &lines[index];
    output.line(&format!("{} {}: {}", line.timestamp, line.host, line.message));
    for (name, value) in line.message_fields() {
        output.line(&format!("  {name}: {value}"));
    }
    let mut host_state: BTreeMap<&str, &LogLine> = BTreeMap::new();
    let earlier = lines[..index].iter().filter(|earlier| earlier.host == line.host);
    for earlier in earlier.filter(|earlier| HOST_STATE_MESSAGES.contains(&earlier.message.as_str()))
    {
        host_state.insert(&earlier.message, earlier);
    }
    for state_line in host_state.values() {
        let age = line.at.duration_since(state_line.at).unwrap_or_default().as_secs_f64();
        let fields = state_line.message_fields().map(|(name, value)| format!("{name}={value}"));
        let fields: Vec<String> = fields.collect();
        output.line(&format!("  {age:.3} s before: {} {}", state_line.message, fields.join(" ")));
    }
    for target in line.targets() {
        let nearby = lines.iter().enumerate().filter(|(number, other)| {
            *number != index
                && other.is_within_interval_of(line)
                && other.targets().contains(&target)
        });
        let count = nearby.count();
        output.line(&format!("  {target}: named by {count} other requests within 1 s"));
    }
}

/// Parses one line; returns `None` if it is not a log line.
fn parse_line(line: &str, file: &str) -> Option<LogLine> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let timestamp = fields.get("timestamp")?.as_str()?.to_owned();
    let message = fields.get("message")?.as_str()?.to_owned();
    let host = prefix.split_whitespace().next_back().unwrap_or(file).to_owned();
    let at = humantime::parse_rfc3339(&timestamp).ok()?;
    fields.retain(|_, value| !value.is_null());
    Some(LogLine { at, timestamp, host, message, fields })
}

impl LogLine {
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Fields other than [`COMMON_FIELDS`], with strings unquoted.
    fn message_fields(&self) -> impl Iterator<Item = (&String, String)> {
        let fields = self.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        fields.map(|(name, value)| {
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            (name, text)
        })
    }

    /// Distinct targets that a request waited for or that failed.
    fn targets(&self) -> Vec<&str> {
        let waiting = self.text("waiting").split_whitespace();
        let trouble = self.text("trouble").split("; ");
        let entries = waiting.chain(trouble).filter_map(|entry| entry.split(':').next());
        let mut targets: Vec<&str> = entries.filter(|target| !target.is_empty()).collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    fn is_within_interval_of(&self, other: &Self) -> bool {
        let (earlier, later) =
            if self.at < other.at { (self.at, other.at) } else { (other.at, self.at) };
        later.duration_since(earlier).is_ok_and(|interval| interval <= NEARBY_INTERVAL)
    }
}
