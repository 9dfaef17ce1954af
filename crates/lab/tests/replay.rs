//! Tests that recorded incidents replay with the expected outcomes, and that wrong or unreadable files are reported.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use vanillapick_lab::replay::ReplayReport;
use vanillapick_lab::replay::check_trace;

/// Size limit of a trace or expect file.
const MAX_FILE_BYTES: u64 = 60_000;

fn traces() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

fn check(trace: &Path, expect: &Path) -> ReplayReport {
    check_trace(&trace.display().to_string(), &expect.display().to_string())
}

/// Writes a file to the temporary folder of the tests.
fn write_expect(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

fn fields(report: &ReplayReport) -> Vec<&str> {
    report.findings.iter().map(|finding| finding.field.as_str()).collect()
}

/// Guards against changes of the decision logic that alter the outcome of an incident.
#[test]
fn every_incident_ends_as_stated() {
    let entries = fs::read_dir(traces()).expect("the folder can be listed").flatten();
    let files: Vec<_> = entries.map(|entry| entry.path()).collect();
    let has_extension = |path: &&PathBuf, extension| path.extension() == Some(extension);
    let traces: Vec<_> =
        files.iter().filter(|path| has_extension(path, "jsonl".as_ref())).collect();
    let expects = files.iter().filter(|path| has_extension(path, "jsonc".as_ref())).count();
    assert!(6 <= traces.len(), "{traces:?}");
    assert_eq!(traces.len(), expects, "each trace has one expect file");
    for trace in traces {
        let report = check(trace, &trace.with_extension("expect.jsonc"));
        assert!(report.held, "{report:#?}");
    }
    for file in files {
        let size = fs::metadata(&file).expect("the file is there").len();
        assert!(size <= MAX_FILE_BYTES, "{} has {size} bytes", file.display());
    }
}

/// Guards against expectations that are parsed but never compared. Each wrong field must give its own finding.
#[test]
fn wrong_expectations_are_all_found() {
    let wrong = r#"// All of these are wrong.
    {
      "outcome": "refused",
      "answered_within_ms": 1,
      "coverage": { "answered": 19 },
      "snapshot": 8,
      "refusal": { "outcome": "not_run" },
      "attempts_at_most": 20,
      "hedges_at_most": 0,
      "retries": { "lost": 1 },
      "second_replicas_risked": 1,
      "settled": "released"
    }"#;
    let expect = write_expect("wrong.expect.jsonc", wrong);
    let report = check(&traces().join("straggler.jsonl"), &expect);
    assert!(report.readable && !report.held, "{report:#?}");
    let mut found = fields(&report);
    found.sort_unstable();
    let expected = [
        "answered_within_ms",
        "attempts_at_most",
        "coverage",
        "hedges_at_most",
        "outcome",
        "refusal",
        "retries",
        "second_replicas_risked",
        "settled",
        "snapshot",
    ];
    assert_eq!(found, expected);
    assert!(report.findings.iter().all(|finding| finding.file.ends_with("wrong.expect.jsonc")));
}

/// Guards against misspelt fields or values that silently check nothing. The wrong field beside them is found as well.
#[test]
fn malformed_fields_are_found_with_wrong_ones() {
    let malformed = r#"{
      "snapshots": 7,
      "outcome": "answers",
      "coverage": { "answerd": 20 },
      "retries": { "loss": 1 },
      "hedges_at_most": 0
    }"#;
    let expect = write_expect("malformed.expect.jsonc", malformed);
    let report = check(&traces().join("straggler.jsonl"), &expect);
    assert!(!report.readable && !report.held, "{report:#?}");
    assert_eq!(report.findings.len(), 5, "{report:#?}");
}

/// Guards against a check that passes when a file is missing, empty or not a trace. Errors of both files are reported.
#[test]
fn unreadable_files_are_found() {
    let trace = write_expect("broken.jsonl", "{}\n{\"wake\":3}\n");
    let expect = write_expect("empty.expect.jsonc", "{}");
    let report = check(&trace, &expect);
    assert!(!report.readable && !report.held);
    assert_eq!(fields(&report), ["line 1", "line 2", "file"]);
    let report = check(&traces().join("none.jsonl"), &traces().join("none.expect.jsonc"));
    assert_eq!(fields(&report), ["file", "file"]);
}

/// Guards against a trace whose results the replay ignores because no sent step gives their targets.
#[test]
fn trace_without_sent_steps_is_unreadable() {
    let text = fs::read_to_string(traces().join("lost-write.jsonl")).expect("the trace");
    let lines: Vec<_> = text.lines().filter(|line| !line.starts_with("{\"sent\"")).collect();
    let trace = write_expect("unsent.jsonl", &lines.join("\n"));
    let report = check(&trace, &traces().join("lost-write.expect.jsonc"));
    assert!(!report.readable);
    assert_eq!(fields(&report), ["event"]);
}
