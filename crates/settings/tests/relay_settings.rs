//! Relay settings: guards against a valid file that is misread, and against findings of an invalid file that are lost
//! because they are not all reported together.

use vanillapick_settings::parse_relay_settings;

const VALID: &str = r#"{
  // Values as the platform supplies them.
  "host": "h1", "domain": "a", "regions": { "a": "east" },
  "callers": "10.1.0.9:8104", "readiness": "10.1.0.9:8108", "metrics": "10.1.0.9:8106",
  "store": "10.200.1.7:8102",
  "machine": { "cores": 1, "descriptors": 4100 },
  "limits": { "extra_ratio": 0.2, "extra_slack": 52, "extra_window_s": 10 },
  "change_time_ms": 3000, "stop_grace_s": 6,
}"#;

const INVALID: &str = r#"{
  "host": "h 1", "domain": "b", "regions": { "a": "east" },
  "callers": "10.1.0.9:8104", "readiness": "10.1.0.9:8104",
  "limits": { "extra_ratio": "much", "extra_window_s": 0 },
  "stop_grace_s": 0, "chang_time_ms": 3000
}"#;

#[test]
fn good_settings_are_read() {
    let loaded = parse_relay_settings("relay.jsonc", VALID).expect("the settings are valid");
    assert!(loaded.replaced.is_none());
    let settings = loaded.settings;
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn all_findings_are_reported_together() {
    let report =
        parse_relay_settings("relay.jsonc", INVALID).expect_err("the settings are invalid");
    insta::assert_snapshot!(report.to_string());
}
