//! Guards against a parser that panics on a corrupted file or reports a location outside of it.

use std::fs;
use std::path::PathBuf;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use vanillapick_settings::FindingReport;
use vanillapick_settings::parse_config_table;
use vanillapick_settings::parse_entry_settings;

/// Fragments that change the structure, a type or the encoding of the text around them.
const INSERTED_FRAGMENTS: [&str; 14] =
    ["", "{", "}", "[", "]", "\"", ",", ":", "//", "/*", "null", "-1e999", "ű\u{10348}", "\\u12"];

fn example(path: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/pajilla");
    fs::read_to_string(folder.join(path)).expect("the example exists")
}

fn check_locations(text: &str, report: &FindingReport) {
    let lines: Vec<_> = text.split('\n').collect();
    for finding in report.findings() {
        let line = lines.get(finding.line - 1).expect("the line is in the file");
        assert!(finding.column <= line.chars().count() + 1, "{finding}");
        assert!(!finding.label.is_empty() && !finding.help.is_empty(), "{finding}");
    }
    assert!(!report.findings().is_empty());
    assert!(!report.render(false).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_damaged_file_gives_findings_inside_of_it(
        edits in proptest::collection::vec((any::<Index>(), 0_usize..12, any::<Index>()), 1..4),
        is_settings in any::<bool>(),
    ) {
        let valid = if is_settings { example("entry-1.jsonc") } else { example("tables.jsonc") };
        let mut text: Vec<char> = valid.chars().collect();
        for (start, length, fragment) in edits {
            let start = start.index(text.len());
            let end = (start + length).min(text.len());
            text.splice(start..end, INSERTED_FRAGMENTS[fragment.index(INSERTED_FRAGMENTS.len())].chars());
        }
        let text: String = text.into_iter().collect();
        let report = if is_settings {
            parse_entry_settings("entry.jsonc", &text).err()
        } else {
            parse_config_table("tables.jsonc", &text).err()
        };
        if let Some(report) = report {
            check_locations(&text, &report);
        }
    }
}
