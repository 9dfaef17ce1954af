//! Checks of relay settings that concern several fields.

use vanillapick_model::table::TableFinding;

use crate::relay_settings::RelaySettings;

/// Findings with their places as paths of keys.
pub(crate) fn check_relay_settings(settings: &RelaySettings) -> Vec<TableFinding> {
    let mut findings = Vec::new();
    let mut add_finding = |place: &str, label: String, help: &str| {
        findings.push(TableFinding { place: place.to_owned(), label, help: help.to_owned() });
    };
    if !settings.regions.contains_key(&settings.domain) {
        let label = format!("{:?} has no region", settings.domain);
        add_finding("domain", label, "name the failure domain in regions");
    }
    if settings.callers == settings.readiness && settings.callers.port() != 0 {
        let label = "the address is that of callers".to_owned();
        add_finding("readiness", label, "use another port");
    }
    if settings.peers.is_some() && settings.peers == settings.metrics {
        let label = "the address is that of the metrics page".to_owned();
        add_finding("peers", label, "use another port");
    }
    if settings.limits.extra_window_s <= 0.0 {
        let label = "the window has no length".to_owned();
        add_finding("limits.extra_window_s", label, "write the length in seconds");
    }
    findings
}
