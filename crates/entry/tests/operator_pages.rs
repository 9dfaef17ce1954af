//! Checks that the documentation matches the program: `vanillapick-entry check` commands, the metrics and reasons of
//! docs/operators/counters.md, the tests of docs/operators/promises.md, and the examples and refusal codes of
//! docs/callers.md.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use rocket::http::Header;
use rocket::http::HeaderMap;
use vanillapick_entry::call_headers::check_headers;
use vanillapick_entry::command;
use vanillapick_entry::entry_host::EntryHost;
use vanillapick_entry::link_rule::LinkRule;
use vanillapick_entry::metrics_page::metrics_page;
use vanillapick_model::host::HostEntry;
use vanillapick_model::route::RouteKind;
use vanillapick_policy::counters::SessionCounters;
use vanillapick_settings::load_config_table;
use vanillapick_settings::load_entry_settings;

/// Text after a command on a page, if its exit status is not 0.
const EXIT_NOTE: &str = "# exits with ";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("the page exists and is UTF-8")
}

/// Names of all operators' pages.
fn operator_pages() -> Vec<String> {
    let entries = fs::read_dir(root().join("docs/operators")).expect("the folder can be listed");
    let names = entries.flatten().map(|entry| entry.file_name().to_string_lossy().into_owned());
    let mut pages: Vec<_> = names
        .filter(|name| name.ends_with(".md"))
        .map(|name| format!("operators/{name}"))
        .collect();
    pages.sort();
    pages
}

/// Lines in code blocks, fenced or indented by four spaces.
fn code_lines(text: &str) -> Vec<&str> {
    let mut is_fenced = false;
    let mut lines = Vec::new();
    for line in text.lines() {
        if line.starts_with("```") {
            is_fenced = !is_fenced;
        } else if is_fenced || line.starts_with("    ") {
            lines.push(line.trim());
        }
    }
    lines
}

/// The first cell of each row of the tables in `text`, if it is one name in backquotes.
fn named_rows(text: &str) -> BTreeSet<String> {
    let rows = text.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once("` |")).map(|(name, _)| name.to_owned()).collect()
}

#[test]
fn every_check_of_the_pages_ends_as_the_page_says() {
    let mut count = 0;
    for name in operator_pages() {
        let text = page(&name);
        for line in code_lines(&text) {
            let Some(rest) = line.strip_prefix("vanillapick-entry check ") else { continue };
            let (file, exit) = rest.split_once(EXIT_NOTE).unwrap_or((rest, "0"));
            let exit: u8 = exit.trim().parse().expect("an exit status is a number");
            let file = root().join(file.trim());
            let words: Vec<OsString> = vec!["check".into(), file.into()];
            let found = command::run(Arguments::from_vec(words));
            assert_eq!(
                format!("{found:?}"),
                format!("{:?}", ExitCode::from(exit)),
                "{name}: {line}"
            );
            count += 1;
        }
    }
    assert!(0 < count, "no page shows the command");
}

#[test]
fn counters_page_names_every_metric_and_reason() {
    let text = page("operators/counters.md");
    let (overview, sections) =
        text.split_once("\n## Reasons of ").expect("the page has sections of reasons");
    let mut reasons: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for section in sections.split("\n## Reasons of ") {
        let (title, rows) = section.split_once('\n').expect("a section has a body");
        reasons.insert(title.trim_matches('`').to_owned(), named_rows(rows));
    }
    let mut wanted: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (name, reason, _) in SessionCounters::default().entries() {
        if !reason.is_empty() {
            wanted.entry(name.to_owned()).or_default().insert(reason);
        }
    }
    assert_eq!(reasons, wanted);

    let settings = load_entry_settings(&root().join("examples/pajilla/entry-1.jsonc"))
        .expect("the example has no findings");
    let me = HostEntry {
        id: settings.host.clone(),
        domain: settings.domain.clone(),
        address: settings.listen,
        incarnation: 1,
        leaving: false,
    };
    let metrics = metrics_page(&EntryHost::new(settings, me, LinkRule::default()));
    let types = metrics.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: BTreeSet<_> =
        types.filter_map(|line| line.split(' ').next()).map(str::to_owned).collect();
    assert_eq!(named_rows(overview), names);
}

#[test]
fn callers_page_names_every_refusal_code() {
    let text = page("callers.md");
    let (_, codes) = text.split_once("| code | status |").expect("the page has a table of codes");
    let (codes, _) = codes.split_once("\n## ").expect("a section follows the table");
    let mut named = BTreeSet::new();
    for row in codes.lines().filter(|line| line.starts_with("| `")) {
        let cell = row.split('|').nth(1).unwrap_or_default();
        named.extend(cell.split(',').map(|code| code.trim().trim_matches('`').to_owned()));
    }
    let entries = SessionCounters::default().entries();
    let refusals = entries.into_iter().filter(|(name, _, _)| *name == "vp_refusals_total");
    assert_eq!(named, refusals.map(|(_, reason, _)| reason).collect());
}

#[test]
fn examples_for_callers_are_requests_of_the_example_tables() {
    let table = load_config_table(&root().join("examples/pajilla/tables.jsonc"))
        .expect("the example has no findings");
    let text = page("callers.md");
    let mut count = 0;
    for line in code_lines(&text) {
        let Some(rest) = line.strip_prefix("curl -s -X POST http://ENTRY/") else { continue };
        let path = rest.split(' ').next().unwrap_or_default();
        let (kind, name) = path.split_once('/').expect("kind and route");
        let row = table.routes.get(name).expect("a route of the example");
        let kind_of_row = match row.kind {
            RouteKind::Search => "search",
            RouteKind::Read => "read",
            RouteKind::Write => "write",
        };
        assert_eq!(kind, kind_of_row, "{line}");
        let mut headers = HeaderMap::new();
        for option in rest.split("-H '").skip(1) {
            let (header, _) = option.split_once('\'').expect("a closing quote");
            let (name, value) = header.split_once(": ").expect("name and value");
            headers.add(Header::new(name.to_owned(), value.to_owned()));
        }
        let checked = check_headers(&headers);
        assert!(checked.is_ok(), "{line}: {checked:?}");
        count += 1;
    }
    assert!(0 < count, "the page has no example");
}

#[test]
fn promises_name_tests_that_exist() {
    let text = page("operators/promises.md");
    let mut invariants = 0;
    let rows = text.lines().filter(|line| {
        line.strip_prefix("| ")
            .is_some_and(|row| row.starts_with(|first: char| first.is_ascii_digit()))
    });
    for row in rows.filter(|row| row.contains("`crates/")) {
        invariants += 1;
        let cell = row.split(" | ").last().unwrap_or_default();
        let mut source = String::new();
        // Every second part is between backquotes: a file, followed by its functions.
        for name in cell.split('`').skip(1).step_by(2) {
            if name.starts_with("crates/") {
                source = fs::read_to_string(root().join(name)).expect("the file of tests exists");
            } else {
                assert!(source.contains(&format!("fn {name}(")), "no test {name}: {row}");
            }
        }
    }
    assert_eq!(invariants, 11);
}
