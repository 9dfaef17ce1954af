//! Effects of store changes on the serving view.

mod common;

use std::time::Duration;

use common::config;
use common::host_record;
use common::ms;
use common::record;
use common::registry;
use common::route;
use vanillapick_dispatch::config_document::RepeatRule;
use vanillapick_dispatch::config_document::RoutePools;
use vanillapick_dispatch::host_record::HOST_LEASE_TTL;
use vanillapick_dispatch::registry::HostLocation;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::registry::StoreRegistry;
use vanillapick_dispatch::target_record::TargetRecord;

fn one_pool(records: &[TargetRecord]) -> StoreRegistry {
    let page = route("page", RoutePools::Single("p".into()), RepeatRule::Once);
    registry(config(5, vec![page], &["p"]), records)
}

fn usable(registry: &mut StoreRegistry) -> Vec<String> {
    let view = registry.view().expect("a configuration is known");
    let mut ids: Vec<String> =
        view.pools["p"].targets.iter().map(|target| target.record.id.to_string()).collect();
    ids.sort();
    ids
}

fn draining(id: &str, sequence: u64) -> TargetRecord {
    TargetRecord { draining: true, sequence, ..record(id, "p", "a") }
}

/// The configuration must never go back to an older version while a process runs.
#[test]
fn an_older_configuration_changes_nothing() {
    let mut registry = one_pool(&[]);
    let older = config(4, Vec::new(), &[]);
    assert!(!registry.apply(StoreChange::Config(older), ms(1)));
    assert_eq!(registry.view().map(|view| view.version), Some(5));
}

#[test]
fn a_draining_target_gets_no_requests_and_an_older_record_does_not_restore_it() {
    let mut registry = one_pool(&[record("t1", "p", "a"), record("t2", "p", "a")]);
    assert!(registry.apply(StoreChange::Target(draining("t1", 5)), ms(1)));
    assert_eq!(usable(&mut registry), ["t2"]);
    assert!(!registry.apply(StoreChange::Target(record("t1", "p", "a")), ms(2)));
    assert_eq!(usable(&mut registry), ["t2"]);
}

/// Statistics from before a restart must not apply to the new instance.
#[test]
fn a_restarted_target_with_the_same_id_gets_new_state() {
    let mut registry = one_pool(&[draining("t1", 9)]);
    let before = registry.view().expect("known").pools["p"].targets.len();
    let again = TargetRecord { started_ms: 2000, sequence: 1, ..record("t1", "p", "a") };
    assert!(registry.apply(StoreChange::Target(again), ms(1)));
    assert_eq!((before, usable(&mut registry)), (0, vec!["t1".to_owned()]));
}

/// Registrations expire while the store is down. Dropping them when it recovers would remove all targets.
#[test]
fn registrations_that_expired_during_a_store_outage_have_two_seconds_to_return() {
    let mut registry = one_pool(&[record("t1", "p", "a"), record("t2", "p", "a")]);
    registry.mark_store_recovered(ms(1000));
    registry.apply_list(Vec::new(), ms(1000));
    assert_eq!(usable(&mut registry), ["t1", "t2"]);
    registry.apply(StoreChange::Target(record("t1", "p", "a")), ms(2500));
    assert!(!registry.expire(ms(3200)));
    assert!(registry.expire(ms(3400)));
    assert_eq!(usable(&mut registry), ["t1"]);
}

#[test]
fn a_registration_that_is_removed_outside_an_outage_is_dropped_immediately() {
    let mut registry = one_pool(&[record("t1", "p", "a")]);
    assert!(registry.apply(StoreChange::TargetGone("t1".into()), ms(9000)));
    assert_eq!(usable(&mut registry), Vec::<String>::new());
}

#[test]
fn targets_of_a_domain_out_of_service_are_not_used_until_it_returns() {
    let mut registry = one_pool(&[record("t1", "p", "a"), record("t2", "p", "c")]);
    assert!(registry.apply(StoreChange::DomainOut("a".into(), true), ms(1)));
    assert_eq!(usable(&mut registry), ["t2"]);
    assert!(registry.apply(StoreChange::DomainOut("a".into(), false), ms(2)));
    assert_eq!(usable(&mut registry), ["t1", "t2"]);
}

/// A version must not get requests before operators order the pool to move to it.
#[test]
fn targets_of_another_version_get_no_requests_without_a_move_order() {
    let newer = TargetRecord { version: "v2".into(), ..record("t3", "p", "a") };
    let mut registry = one_pool(&[record("t1", "p", "a"), record("t2", "p", "a"), newer]);
    assert_eq!(usable(&mut registry), ["t1", "t2"]);
}

/// A registration can be removed while its host runs, as when leases lapse during an outage of the store. The host then uses
/// its share of the limits until its lease ends by its own clock, so the others must not divide that share before.
#[test]
fn an_unregistered_host_counts_until_its_lease_has_ended() {
    let mut registry = one_pool(&[]);
    for host in ["h1", "h2", "h3"] {
        registry.apply(StoreChange::Host(host.into(), Some(host_record("a", 1))), ms(0));
    }
    registry.apply(StoreChange::Host("h2".into(), None), ms(100));
    let mut counts = vec![registry.view().expect("known").host_count];
    for after in [Duration::from_secs(6), HOST_LEASE_TTL, HOST_LEASE_TTL + Duration::from_secs(6)] {
        registry.expire(after);
        counts.push(registry.view().expect("known").host_count);
    }
    assert_eq!(counts, [3, 3, 3, 2]);
}

/// Hosts that expect remote callers close connections early, which must not happen where callers have another near
/// host.
#[test]
fn callers_of_another_region_are_expected_if_a_region_has_one_domain() {
    let location = |regions: &[(&str, &str)]| HostLocation {
        host: "h1".into(),
        domain: "a".to_owned(),
        regions: regions
            .iter()
            .map(|(domain, region)| ((*domain).to_owned(), (*region).into()))
            .collect(),
    };
    let seen = [
        location(&[("a", "east")]),
        location(&[("a", "east"), ("b", "east")]),
        location(&[("a", "east"), ("b", "west")]),
        location(&[("a", "east"), ("b", "west"), ("c", "west")]),
    ]
    .map(|location| location.accepts_remote_callers());
    assert_eq!(seen, [false, false, true, false]);
}

/// Guards against an entry with a time that overflows once it is added to the age of the process, and ends the task that reads
/// the store.
#[test]
fn a_target_that_stays_cold_nearly_for_ever_is_applied_at_any_time() {
    let route = route("page", RoutePools::Single("p".into()), RepeatRule::Idempotent);
    let mut registry = registry(config(1, vec![route], &["p"]), &[record("t1", "p", "a")]);
    let mut odd = record("t2", "p", "a");
    odd.cold_remaining = Duration::MAX - Duration::from_secs(1);
    for started_ms in [1000, 1001] {
        odd.started_ms = started_ms;
        for sequence in [2, 3] {
            odd.sequence = sequence;
            registry.apply(StoreChange::Target(odd.clone()), Duration::from_secs(2000));
        }
    }
    assert_eq!(registry.target_count(), 2);
}
