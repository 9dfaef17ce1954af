//! Simulated fleets and descriptions of messages for the tests of this crate.

#![allow(dead_code)]

use std::fmt::Write;
use std::time::Duration;

use vanillapick_fleet::evidence::EvidenceCounters;
use vanillapick_fleet::evidence::EvidenceKey;
use vanillapick_fleet::evidence::MoveVersion;
use vanillapick_fleet::exchange::Delta;
use vanillapick_fleet::exchange::PeerMessage;
use vanillapick_fleet::replicated_config::ConfigPayload;
use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_fleet::table_edit::build_next_revision;
use vanillapick_fleet::urgent::RollbackFlag;
use vanillapick_model::table::ConfigTable;

/// Six hosts in two domains that have exchanged their state.
pub fn converged_fleet(seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::with_hosts(6, 2, sample_table(2, 4), seed);
    fleet.run_for(Duration::from_secs(8));
    fleet
}

/// The next revision, with one more slot in the only pool.
pub fn next_table(table: &ConfigTable) -> ConfigTable {
    let mut edited = table.clone();
    edited.pools.get_mut("pool-00").expect("the table has a pool").contract.slots += 1;
    build_next_revision(table, &edited, &format!("edit-{}", table.revision + 1))
}

/// A rollback flag decided at the given wall time.
pub fn rollback(move_id: &str, decided_ms: u64, reason: &str) -> RollbackFlag {
    RollbackFlag {
        move_id: move_id.to_owned(),
        decided_ms,
        route: "route-00".to_owned(),
        reason: reason.to_owned(),
    }
}

/// Records requests at the new version of a move on one host.
pub fn count_requests(fleet: &mut SimulatedFleet, host: &str, requests: u64) {
    let key = EvidenceKey {
        route: "route-00".to_owned(),
        move_id: "move-1".to_owned(),
        version: MoveVersion::New,
        bucket: 1,
    };
    fleet.run_on_host(host, |peer, now, _| {
        let counters = EvidenceCounters { requests, ..EvidenceCounters::default() };
        peer.record_evidence(&key, counters, now);
        Vec::new()
    });
}

/// Total requests at the new version of the move as known on each host, ascending by host.
pub fn counted_requests(fleet: &SimulatedFleet) -> Vec<u64> {
    let hosts = fleet.hosts.values();
    hosts
        .map(|host| host.peer.evidence("move-1").values().map(|counters| counters.requests).sum())
        .collect()
}

/// One-line description of a message.
pub fn describe(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Exchange { digest, delta } => {
            let rows = digest.heartbeats.0.len();
            let mut line = format!("exchange: has revision {}, {rows} rows", digest.revision);
            describe_delta(&mut line, delta);
            line
        }
        PeerMessage::ExchangeReply { delta } => {
            let mut line = format!("reply: has revision {}", delta.revision);
            describe_delta(&mut line, delta);
            line
        }
        PeerMessage::Push { items } => format!("push: {items:?}"),
    }
}

fn describe_delta(line: &mut String, delta: &Delta) {
    match &delta.config {
        Some(ConfigPayload::Rows(rows)) => {
            let names: Vec<_> = rows.routes.keys().chain(rows.pools.keys()).collect();
            let _ = write!(line, "; configuration {} to {}: {names:?}", rows.from, rows.to);
        }
        Some(ConfigPayload::Whole(table)) => {
            let _ = write!(line, "; whole configuration {}", table.revision);
        }
        None => {}
    }
    for item in &delta.items {
        let _ = write!(line, "; {item:?}");
    }
    for row in &delta.rows {
        let whose = match &row.origin {
            Some(origin) => format!("new row of {} ({:?})", origin.host.id, origin.scope),
            None => "changed row".to_owned(),
        };
        let (members, evidence, marks) = (row.members.len(), row.evidence.len(), row.marks.len());
        let _ = write!(line, "; {whose}: {members} members, {evidence} counters, {marks} marks");
    }
}
