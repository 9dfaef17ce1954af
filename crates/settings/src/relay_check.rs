//! Checks of relay settings that involve more than one field.

use vanillapick_model::table::TableFinding;

use crate::relay_settings::RelaySettings;

/// Returns the findings, each with its place as a dot-separated key path.
pub(crate) fn check_relay_settings(settings: &RelaySettings) -> Vec<TableFinding> {
    let mut findings = Vec::new();
    let mut add_finding = |place: &str, label: String, help: &str| {
        findings.push(TableFinding { place: place.to_owned(), label, help: help.to_owned() });
    };
    if !settings.regions.contains_key(&settings.domain) {
        let label = format!("{:?} has no region", settings.domain);
        add_finding("domain", label, "add the failure domain to regions");
    }
    if settings.callers == settings.readiness && settings.callers.port() != 0 {
        let label = "the address is already used for callers".to_owned();
        add_finding("readiness", label, "use another port");
    }
    if settings.peers.is_some() && settings.peers == settings.metrics {
        let label = "the address is already used for metrics".to_owned();
        add_finding("peers", label, "use another port");
    }
    if settings.parts.is_some() && settings.parts == settings.peers {
        let label = "the address is already used for peers".to_owned();
        add_finding("parts", label, "use another port");
    }
    findings
}
