//! Command `replay TRACE --expect FILE [--json]`.

mod replay_summary;

use std::fs;
use std::process::ExitCode;

use derive_more::Display;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use pico_args::Arguments;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use vanillapick_policy::trace::SessionTrace;
use vanillapick_policy::trace::TraceStep;

use crate::replay::replay_summary::FieldError;
use crate::replay::replay_summary::ReplaySummary;

/// Exit status when an expectation does not hold.
const EXIT_NOT_HELD: u8 = 1;

/// Exit status when a file cannot be read or parsed.
const EXIT_NOT_READABLE: u8 = 2;

const USAGE: &str = "vanillapick-lab replay TRACE --expect FILE [--json]";

/// Error in a file, or an expectation that does not hold.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{file}: {field}: {label}; {help}")]
pub struct ReplayFinding {
    /// File that contains the field.
    pub file: String,
    /// Field of the expect file, line or part of the trace, or `file` for the whole file.
    pub field: String,
    /// Description of the error.
    pub label: String,
    /// How to fix it.
    pub help: String,
}

/// Result of a replay, in the format of `--json`.
#[derive(Clone, Debug, Serialize)]
pub struct ReplayReport {
    /// Path of the trace file.
    pub trace: String,
    /// Path of the expect file.
    pub expect: String,
    /// Whether all expectations held.
    pub held: bool,
    /// Whether both files could be read and parsed. If not, not all expectations were compared.
    pub readable: bool,
    /// Errors of both files and expectations that do not hold.
    pub findings: Vec<ReplayFinding>,
    /// Outcome of the replay; none if the trace could not be read.
    pub facts: Option<ReplaySummary>,
}

/// Runs the command. Exit status 0: all expectations hold; 1: one does not hold; 2: a file could not be read.
pub fn run_command(mut arguments: Arguments) -> ExitCode {
    let as_json = arguments.contains("--json");
    let expect = arguments.value_from_str::<_, String>("--expect");
    let trace = arguments.free_from_str::<String>();
    let (Ok(expect), Ok(trace), true) = (expect, trace, arguments.finish().is_empty()) else {
        eprintln!("usage: {USAGE}");
        return ExitCode::from(EXIT_NOT_READABLE);
    };
    let report = check_trace(&trace, &expect);
    if as_json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        report.findings.iter().for_each(|finding| println!("{finding}"));
        println!("{}: {}", report.trace, if report.held { "held" } else { "NOT HELD" });
    }
    match (report.readable, report.held) {
        (false, _) => ExitCode::from(EXIT_NOT_READABLE),
        (true, false) => ExitCode::from(EXIT_NOT_HELD),
        (true, true) => ExitCode::SUCCESS,
    }
}

/// Replays a trace and compares the outcome with an expect file. Reports the errors of both files, not just the first.
pub fn check_trace(trace: &str, expect: &str) -> ReplayReport {
    let mut report = ReplayReport {
        trace: trace.to_owned(),
        expect: expect.to_owned(),
        held: false,
        readable: true,
        findings: Vec::new(),
        facts: None,
    };
    let session = read_trace(&mut report);
    let fields = read_expect(&mut report);
    if let Some(session) = session {
        let replay = session.replay_lenient();
        if !replay.is_idle {
            let label = "the session did not complete";
            report.add(trace, "session", label, "report this as a bug");
        }
        let summary = ReplaySummary::new(&replay);
        check_fields(&mut report, &fields, &summary);
        report.facts = Some(summary);
    }
    report.held = report.readable && report.findings.is_empty();
    report
}

fn check_fields(report: &mut ReplayReport, fields: &Map<String, Value>, summary: &ReplaySummary) {
    let file = report.expect.clone();
    for (field, value) in fields {
        match summary.check(field, value) {
            Ok(()) => {}
            Err(FieldError::Mismatch(label)) => {
                report.add(&file, field, label, "fix the expectation or the decision logic");
            }
            Err(FieldError::Malformed(label)) => {
                report.readable = false;
                report.add(&file, field, label, "see traces/README.md for the format of the field");
            }
        }
    }
}

impl ReplayReport {
    fn add(&mut self, file: &str, field: &str, label: impl Into<String>, help: &str) {
        self.findings.push(ReplayFinding {
            file: file.to_owned(),
            field: field.to_owned(),
            label: label.into(),
            help: help.to_owned(),
        });
    }

    fn add_unreadable(&mut self, file: &str, field: &str, label: impl Into<String>, help: &str) {
        self.readable = false;
        self.add(file, field, label, help);
    }
}

fn read_file(report: &mut ReplayReport, file: &str) -> Option<String> {
    match fs::read_to_string(file) {
        Ok(text) => Some(text),
        Err(error) => {
            report.add_unreadable(
                file,
                "file",
                error.to_string(),
                "give the path of a readable file",
            );
            None
        }
    }
}

fn read_trace(report: &mut ReplayReport) -> Option<SessionTrace> {
    let file = report.trace.clone();
    let text = read_file(report, &file)?;
    let trace = match SessionTrace::from_lines(&text) {
        Ok(trace) => trace,
        Err(faults) => {
            for fault in faults {
                let field = format!("line {}", fault.line);
                report.add_unreadable(&file, &field, fault.label, fault.help);
            }
            return None;
        }
    };
    let is_sent = |number| {
        let has_number = |step: &TraceStep| matches!(step, TraceStep::Sent(_, attempt) if attempt.number == number);
        trace.steps.iter().any(has_number)
    };
    let events = trace.steps.iter().filter_map(|step| match step {
        TraceStep::Event(_, event) => Some(event.number),
        _ => None,
    });
    // The target of a result is known only from its sent step; without it, the replay would ignore the result.
    for number in events.filter(|number| !is_sent(*number)) {
        let label = format!("no sent step for attempt {number}, so its target is unknown");
        report.add_unreadable(&file, "event", label, "record the trace again, with its sent steps");
    }
    report.readable.then_some(trace)
}

fn read_expect(report: &mut ReplayReport) -> Map<String, Value> {
    let file = report.expect.clone();
    let Some(text) = read_file(report, &file) else { return Map::new() };
    let help = "write a single JSON object; comments are allowed";
    match parse_to_serde_value::<Value>(&text, &ParseOptions::default()) {
        Ok(Value::Object(fields)) if !fields.is_empty() => return fields,
        Ok(_) => {
            report.add_unreadable(&file, "file", "not a JSON object with at least one field", help)
        }
        Err(error) => report.add_unreadable(&file, "file", error.to_string(), help),
    }
    Map::new()
}
