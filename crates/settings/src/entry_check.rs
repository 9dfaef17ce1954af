//! Checks of entry settings that involve more than one field.

use std::collections::BTreeSet;

use vanillapick_model::table::TableFinding;

use crate::entry_settings::EntrySettings;

/// Returns the findings, each with its place as a dot-separated key path.
pub(crate) fn check_entry_settings(settings: &EntrySettings) -> Vec<TableFinding> {
    let mut findings = Vec::new();
    let mut add_finding = |place: String, label: String, help: &str| {
        findings.push(TableFinding { place, label, help: help.to_owned() });
    };
    let mut ids = BTreeSet::new();
    for (index, peer) in settings.peers.iter().enumerate() {
        if peer.id == settings.host {
            add_finding(
                format!("peers.{index}.id"),
                "the host is listed as its own peer".to_owned(),
                "list only other hosts",
            );
        }
        if !ids.insert(&peer.id) {
            add_finding(
                format!("peers.{index}.id"),
                format!("{:?} is used twice", peer.id),
                "use each id once",
            );
        }
    }
    let mut pairs = BTreeSet::new();
    for (index, link) in settings.links.iter().enumerate() {
        let pair = (link.from.clone().min(link.to.clone()), link.from.clone().max(link.to.clone()));
        if link.from == link.to {
            add_finding(
                format!("links.{index}.to"),
                "the link connects a failure domain to itself".to_owned(),
                "name another failure domain",
            );
        } else if !pairs.insert(pair) {
            add_finding(
                format!("links.{index}"),
                "the link is defined twice; its delay applies in both directions".to_owned(),
                "remove one of the two",
            );
        }
    }
    findings
}
