//! Checks that the design page and the glossary name only existing modules, and that the design page names all of them.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).expect("the file exists and is UTF-8")
}

/// Modules that the crate root declares.
fn modules(name: &str) -> BTreeSet<String> {
    let text = read(&format!("crates/{name}/src/lib.rs"));
    let lines =
        text.lines().filter_map(|line| line.trim_start_matches("pub ").strip_prefix("mod "));
    lines.filter_map(|line| line.strip_suffix(';')).map(str::to_owned).collect()
}

/// Names between backquotes in `text`.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

#[test]
fn tables_of_the_design_page_name_the_modules() {
    let page = read("docs/design.md");
    for name in ["policy", "fleet", "entry", "dispatch", "relay"] {
        let sections = page.split("\n### ");
        let title = format!(" `{name}`");
        let section = sections
            .filter(|section| section.lines().next().unwrap_or_default().contains(&title))
            .collect::<String>();
        let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
        let cells = rows.filter_map(|row| row.split(" |").next()).map(|cell| format!("`{cell}"));
        let named: BTreeSet<_> =
            cells.flat_map(|cell| quoted(&cell).map(str::to_owned).collect::<Vec<_>>()).collect();
        assert_eq!(named, modules(name), "section of {name}");
    }
}

#[test]
fn glossary_names_modules_that_exist() {
    let page = read("docs/glossary.md");
    let mut count = 0;
    for line in page.lines().filter(|line| line.starts_with("| ")) {
        let Some(cell) = line.trim_end_matches(" |").split(" | ").last() else { continue };
        for path in quoted(cell) {
            let (name, module) = path.split_once("::").expect("a crate and a module");
            assert!(modules(name).contains(module), "no module {path}");
            count += 1;
        }
    }
    assert!(0 < count, "the glossary names no module");
}
