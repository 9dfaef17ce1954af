//! Guards against examples that do not load, differ in size from docs/design.md, or differ from their generator.

#[path = "../examples/write_examples.rs"]
mod write_examples;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use insta::assert_snapshot;
use vanillapick_model::pool::PoolRow;
use vanillapick_settings::load_config_table;
use vanillapick_settings::load_entry_settings;
use vanillapick_settings::parse_config_table;
use vanillapick_settings::parse_entry_settings;

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[test]
fn the_files_are_those_of_the_generator() {
    for (path, text) in write_examples::files() {
        let found = fs::read_to_string(folder().join(&path)).unwrap_or_default();
        assert_eq!(found, text, "{path} differs; run the example program write_examples");
    }
}

#[test]
fn all_examples_load_and_have_the_sizes_of_the_design_page() {
    let mut sizes = Vec::new();
    for system in &write_examples::SYSTEMS {
        let folder = folder().join(system.name);
        let mut hosts_by_domain: BTreeMap<String, usize> = BTreeMap::new();
        for number in 1..=6 {
            let path = folder.join(format!("entry-{number}.jsonc"));
            let settings = load_entry_settings(&path).unwrap_or_else(|report| panic!("{report}"));
            assert_eq!((settings.peers.len(), settings.links.len()), (5, 3), "{}", settings.host);
            *hosts_by_domain.entry(settings.domain).or_default() += 1;
        }
        let table = load_config_table(&folder.join("tables.jsonc"))
            .unwrap_or_else(|report| panic!("{report}"));
        sizes.push(format!("{}: hosts {hosts_by_domain:?}", system.name));
        for row in table.pools.values() {
            sizes.push(format!("  pool {}: {}", row.name, size_of(row)));
            let domains: BTreeSet<_> = row.targets.iter().map(|target| &target.domain).collect();
            assert!(domains.into_iter().eq(hosts_by_domain.keys()), "{}", row.name);
        }
        for row in table.routes.values() {
            let contract = &row.contract;
            sizes.push(format!(
                "  route {}: {:?} class {} {:?} at least {}",
                row.name, row.kind, contract.class, contract.preference, contract.least_coverage
            ));
        }
    }
    assert_snapshot!(sizes.join("\n"));
}

fn size_of(row: &PoolRow) -> String {
    let mut domains_by_shard: BTreeMap<u32, BTreeSet<&str>> = BTreeMap::new();
    for target in &row.targets {
        domains_by_shard.entry(target.shard).or_default().insert(&target.domain);
    }
    let fewest = domains_by_shard.values().map(BTreeSet::len).min().unwrap_or(0);
    format!(
        "{} shards, {} targets, a shard in at least {fewest} failure domains, {} slots, {} connections, {} ms",
        domains_by_shard.len(),
        row.targets.len(),
        row.contract.slots,
        row.contract.connections,
        row.contract.connect_cost.as_millis()
    )
}

#[test]
fn the_page_of_settings_names_every_field() {
    let page = folder().join("../docs/operators/settings.md");
    let page = fs::read_to_string(page).expect("docs/operators/settings.md exists");
    let invalid_files = [
        ("{ \"x-unknown\": 1, \"peers\": [{ \"x-unknown\": 1 }], \"links\": [{ \"x-unknown\": 1 }] }", true),
        ("{ \"x-unknown\": 1, \"routes\": { \"r\": { \"x-unknown\": 1, \"contract\": { \"x-unknown\": 1 },
            \"move\": { \"x-unknown\": 1 } } }, \"pools\": { \"p\": { \"x-unknown\": 1,
            \"contract\": { \"x-unknown\": 1 }, \"shard_maps\": [{ \"x-unknown\": 1 }],
            \"targets\": [{ \"x-unknown\": 1 }], \"domains\": { \"d\": { \"state\": \"returning\",
            \"x-unknown\": 1 } } } } }", false),
    ];
    let mut lists = 0;
    for (text, is_settings) in invalid_files {
        let report = if is_settings {
            parse_entry_settings("", text).expect_err("a field is unknown")
        } else {
            parse_config_table("", text).expect_err("a field is unknown")
        };
        // The help line for an unknown field lists all known fields.
        let helps = report.findings().iter().map(|finding| finding.help.as_str());
        for list in helps.filter_map(|help| help.strip_prefix("known fields: ")) {
            lists += 1;
            for name in list.split(", ").map(|name| name.trim_matches('"')) {
                let is_named = [format!("`{name}`"), format!(".{name}`"), format!("\"{name}\":")]
                    .iter()
                    .any(|notation| page.contains(notation));
                assert!(is_named, "docs/operators/settings.md does not name {name}");
            }
        }
    }
    assert_eq!(lists, 12, "a record with an unknown field did not list its known fields");
}
