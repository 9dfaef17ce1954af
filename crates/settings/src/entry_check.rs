//! Checks of entry settings that concern several fields.

use std::collections::BTreeSet;

use vanillapick_model::table::TableFinding;

use crate::entry_settings::EntrySettings;

/// Findings with their places as paths of keys.
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
                "the host is its own peer".to_owned(),
                "name other hosts only",
            );
        }
        if !ids.insert(&peer.id) {
            add_finding(
                format!("peers.{index}.id"),
                format!("{:?} stands twice", peer.id),
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
                "the link leads to the failure domain it starts from".to_owned(),
                "name another failure domain",
            );
        } else if !pairs.insert(pair) {
            add_finding(
                format!("links.{index}"),
                "the link stands twice; its delay is the same in both directions".to_owned(),
                "keep one of the two",
            );
        }
    }
    findings
}
