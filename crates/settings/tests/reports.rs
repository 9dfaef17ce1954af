//! Guards against findings that are lost, duplicated or shown at the wrong location; snapshots contain the complete
//! reports of invalid files.

use insta::assert_snapshot;
use vanillapick_settings::parse_config_table;
use vanillapick_settings::parse_entry_settings;

const SETTINGS: &str = r#"{
    // Each failure domain contains two hosts.
    "host": "entry-1",
    "domain": "lima",
    "listen": "127.0.0.1:0",
    "platform": "127.0.0.1:7300",
    "peers": [{ "id": "entry-2", "domain": "lima", "address": "127.0.0.1:7402" }],
    "links": [{ "from": "lima", "to": "arequipa", "one_way_ms": 1 }],
    "workers": 4, /* a trailing comma is allowed */
}"#;

const TABLES: &str = r#"{
    "routes": {
        "stock": {
            "name": "stock", "kind": "search", "pool": "stock-1",
            "contract": { "class": 0, "deadline_ms": 250, "least_coverage": 0.9, "merge_size": 10 }
        }
    },
    "pools": {
        "stock-1": {
            "name": "stock-1",
            "contract": { "slots": 2, "connections": 25, "connect_cost_ms": 6, "cold_allowance": 1, "cold_ramp_ms": 9 },
            "shard_maps": [{ "id": 1, "shards": 1 }],
            "targets": [
                { "id": "t1", "address": "127.0.0.1:7501", "domain": "lima", "shard_map": 1, "shard": 0 }
            ],
            "domains": { "lima": { "state": "returning", "since_ms": 5, "ramp_ms": 100 } }
        }
    }
}"#;

fn settings_report(text: &str) -> String {
    parse_entry_settings("entry.jsonc", text).expect_err("the settings are invalid").to_string()
}

fn table_report(text: &str) -> String {
    parse_config_table("tables.jsonc", text).expect_err("the tables are invalid").to_string()
}

#[test]
fn sound_files_give_typed_values() {
    let settings = parse_entry_settings("entry.jsonc", SETTINGS).expect("the settings are valid");
    assert_eq!((settings.workers, settings.queue), (4, 256));
    let table = parse_config_table("tables.jsonc", TABLES).expect("the tables are valid");
    assert_eq!((table.revision, table.routes.len(), table.pools.len()), (0, 1, 1));
}

#[test]
fn all_findings_of_broken_settings_are_reported_together() {
    let text = r#"{
    "host": "entry 1",
    "listen": "localhost:7400",
    "platform": "127.0.0.1:0",
    "peers": [
        { "id": "entry-2", "domain": "lima", "address": "127.0.0.1:99999", "leaving": "no" },
        { "id": "entry-2", "domain": "lima", "address": "0.0.0.0:7402" },
        7
    ],
    "links": { "from": "lima" },
    "concurency": 10,
    "queue": -1,
    "queue": 2,
    "extra_load_percent": 101,
    "balancer_lag_ms": 1.5,
    "log_format": "xml",
    "baseline": null,
    "colour": "red"
}"#;
    assert_snapshot!(settings_report(text));
}

#[test]
fn findings_over_several_fields_have_their_place() {
    let text = SETTINGS
        .replace(r#""id": "entry-2""#, r#""id": "entry-1""#)
        .replace(r#""to": "arequipa""#, r#""to": "lima""#);
    assert_snapshot!(settings_report(&text));
}

#[test]
fn a_syntax_fault_does_not_hide_the_other_findings() {
    let text = SETTINGS.replace(r#""domain": "lima","#, r#""domain": 'lima'"#).replace("4,", "0,");
    assert_snapshot!(settings_report(&text));
    assert_snapshot!(settings_report("{ \"host\": "));
    assert_snapshot!(settings_report("// nothing\n"));
}

#[test]
fn all_findings_of_broken_tables_are_reported_together() {
    let text = r#"{
    "routes": {
        "stock": {
            "name": "stocks", "kind": "find", "pool": "absent",
            "contract": { "class": 256, "deadline_ms": 0, "least_coverage": 1.5, "merge_size": 10 }
        },
        "browse": {
            "name": "browse", "kind": "search", "pool": "stock-1",
            "contract": { "class": 2, "deadline_ms": 100, "least_coverage": 0.5, "merge_size": 0 },
            "move": { "id": "m1", "to": "stock-1", "start_ms": 9, "finish_by_ms": 9 }
        },
        "browse": 3
    },
    "pools": {
        "stock-1": {
            "name": "stock-1",
            "contract": { "slots": 2, "connections": 25, "connect_cost_ms": 6, "cold_allowance": 3 },
            "shard_maps": [{ "id": 1, "shards": 2 }],
            "targets": [
                { "id": "t1", "address": "127.0.0.1:7501", "domain": "lima", "shard_map": 1, "shard": 2 },
                { "id": "t1", "address": "127.0.0.1:7502", "domain": "lima", "shard_map": 2, "shard": 0 }
            ],
            "domains": { "lima": { "state": "returning", "since_ms": 5 }, "gyor": { "state": "away" }, "": {} }
        },
        "stock-2": {
            "name": "stock-2",
            "contract": { "slots": 2, "connections": 25, "connect_cost_ms": 6, "cold_allowance": 1, "cold_ramp_ms": 9 },
            "targets": [
                { "id": "t3", "address": "127.0.0.1:7503", "domain": "lima", "shard_map": 1, "shard": 0 }
            ]
        }
    }
}"#;
    assert_snapshot!(table_report(text));
}

#[test]
fn a_missing_table_is_one_finding() {
    assert_snapshot!(table_report(&TABLES.replace(r#""pools""#, r#""pool""#)));
}

#[test]
fn the_rendered_report_shows_the_place_in_the_file() {
    let text = TABLES.replace("\"shard\": 0", "\"shard\": 1").replace("0.9", "\"most\"");
    let report = parse_config_table("tables.jsonc", &text).expect_err("the tables are invalid");
    assert_snapshot!(report.render(false));
}
