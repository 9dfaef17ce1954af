//! Restarts, stale replies of the store and refused tables.

mod support;

use std::sync::Arc;
use std::time::Duration;

use vanillapick_fleet::peer_state::PeerAction;
use vanillapick_fleet::replicated_config::ConfigPayload;
use vanillapick_fleet::replicated_config::ReplicatedConfig;
use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::host_entry;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_model::table::ConfigTable;

use crate::support::converged_fleet;
use crate::support::next_table;

fn revisions(fleet: &SimulatedFleet, host: &str) -> Vec<u64> {
    fleet.hosts[host].installed.iter().map(|(_, revision)| *revision).collect()
}

// Guards against a host without a configuration, or with an outdated one, after a start while the store is unavailable.
#[test]
fn restart_while_the_store_is_away() {
    let mut fleet = converged_fleet(1);
    let second = next_table(fleet.stored_config.as_ref().expect("the store is available"));
    fleet.write_store(second);
    fleet.run_for(Duration::from_secs(3));
    fleet.stored_config = None;
    fleet.start(host_entry(3, 2));
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(revisions(&fleet, "host-003"), [2]);
}

// Guards against an outdated reply of the store that reverts the configuration of a running host.
#[test]
fn stale_store_reply_is_ignored() {
    let mut fleet = converged_fleet(2);
    let first = fleet.stored_config.clone().expect("the store is available");
    fleet.write_store(next_table(&first));
    fleet.run_for(Duration::from_secs(3));
    fleet.run_on_host("host-000", |peer, now, rng| {
        let actions = peer.on_store_config(first, now, rng);
        assert_eq!(actions, []);
        actions
    });
    fleet.run_for(Duration::from_secs(2));
    assert!(fleet.has_converged_on(2));
}

// Guards against a restarted host that activates an outdated reply of the store before its peers have reported their
// revision.
#[test]
fn stale_store_reply_at_startup_is_never_activated() {
    let mut fleet = converged_fleet(3);
    let first = fleet.stored_config.clone().expect("the store is available");
    fleet.write_store(next_table(&first));
    fleet.run_for(Duration::from_secs(3));
    fleet.stored_config = Some(first);
    fleet.start(host_entry(4, 2));
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(revisions(&fleet, "host-004"), [2]);
}

// Guards against hosts that never start because each waits for the others.
#[test]
fn first_host_starts_from_the_store_alone() {
    let mut fleet = SimulatedFleet::with_hosts(1, 1, sample_table(1, 4), 4);
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(revisions(&fleet, "host-000"), [1]);
}

fn broken(table: &ConfigTable) -> ConfigTable {
    let mut broken = next_table(table);
    broken.pools.get_mut("pool-00").expect("a pool").contract.slots = 0;
    broken
}

// Guards against a table with findings that is activated, requested repeatedly, or blocks later tables.
#[test]
fn refused_table_is_reported_and_the_next_one_accepted() {
    let mut fleet = converged_fleet(6);
    let first = fleet.stored_config.clone().expect("the store is available");
    let second = broken(&first);
    fleet.write_store(second.clone());
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.has_converged_on(1), "the old configuration stays active");
    let reports = fleet.hosts.values().map(|host| host.peer.status(fleet.now()).refused);
    let refused: Vec<_> = reports.flatten().collect();
    assert!(!refused.is_empty(), "the watching hosts report the findings");
    assert!(refused.iter().all(|refused| refused.revision == 2 && !refused.findings.is_empty()));

    let mut third = next_table(&second);
    third.pools.clone_from(&first.pools);
    fleet.write_store(third);
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.has_converged_on(3));
    assert!(fleet.hosts.values().all(|host| host.peer.status(fleet.now()).refused.is_none()));
}

// Guards against combined row deltas that lead to a different table than the sender's, and against a wrong payload for
// a peer that is older than the kept deltas.
#[test]
fn row_deltas_produce_the_same_table() {
    let mut sender = ReplicatedConfig::default();
    let mut table = sample_table(1, 4);
    let mut readers = Vec::new();
    for _ in 0..100 {
        assert!(sender.accept(Arc::new(table.clone())));
        readers.push(sender.clone());
        table = next_table(&table);
    }
    for mut reader in readers {
        let lag = sender.revision() - reader.revision();
        let payload = sender.payload_since(reader.revision(), reader.wanted_above());
        match &payload {
            None => assert_eq!(lag, 0),
            Some(ConfigPayload::Rows(_)) => assert!(lag <= 64),
            Some(ConfigPayload::Whole(_)) => assert!(64 < lag),
        }
        let Some(payload) = payload else { continue };
        assert!(reader.accept_payload(&payload));
        assert_eq!(reader.table(), sender.table());
        assert!(!reader.accept_payload(&payload), "a repeated payload changes nothing");
    }
}

// Guards against roles that no host or every host holds: two hosts of each domain watch the store, and another one
// takes over when one of them stops.
#[test]
fn two_hosts_of_each_domain_watch_the_store() {
    let mut fleet = converged_fleet(7);
    let watching = |fleet: &SimulatedFleet, domain: &str| {
        let hosts = fleet.hosts.iter().filter(|(_, host)| host.peer.local_host().domain == domain);
        let watching = hosts.filter(|(_, host)| host.peer.status(fleet.now()).watches_store);
        watching.map(|(id, _)| id.clone()).collect::<Vec<_>>()
    };
    let before = watching(&fleet, "domain-00");
    assert_eq!((before.len(), watching(&fleet, "domain-01").len()), (2, 2));
    fleet.stop(&before[0]);
    fleet.run_for(Duration::from_secs(10));
    let after = watching(&fleet, "domain-00");
    assert_eq!(after.len(), 2);
    assert!(after.contains(&before[1]));
    let watches_store = fleet.hosts[&after[0]].actions.contains(&PeerAction::WatchStore(true));
    assert!(watches_store, "the driver is told to watch the store");
}
