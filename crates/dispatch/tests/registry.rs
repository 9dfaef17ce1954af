//! What the store says, and which targets requests see.

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

/// Guards against a configuration that goes back within the life of a process.
#[test]
fn an_older_configuration_changes_nothing() {
    let mut registry = one_pool(&[]);
    let older = config(4, Vec::new(), &[]);
    assert!(!registry.apply(StoreChange::Config(older), ms(1)));
    assert_eq!(registry.view().map(|view| view.version), Some(5));
}

#[test]
fn a_draining_target_gets_no_new_work_and_an_older_entry_does_not_bring_it_back() {
    let mut registry = one_pool(&[record("t1", "p", "a"), record("t2", "p", "a")]);
    assert!(registry.apply(StoreChange::Target(draining("t1", 5)), ms(1)));
    assert_eq!(usable(&mut registry), ["t2"]);
    assert!(!registry.apply(StoreChange::Target(record("t1", "p", "a")), ms(2)));
    assert_eq!(usable(&mut registry), ["t2"]);
}

/// Guards against trusting what was learnt about a target before it started again under its old id.
#[test]
fn a_target_that_starts_again_under_its_id_is_another_one() {
    let mut registry = one_pool(&[draining("t1", 9)]);
    let before = registry.view().expect("known").pools["p"].targets.len();
    let again = TargetRecord { started_ms: 2000, sequence: 1, ..record("t1", "p", "a") };
    assert!(registry.apply(StoreChange::Target(again), ms(1)));
    assert_eq!((before, usable(&mut registry)), (0, vec!["t1".to_owned()]));
}

/// Guards against the loss of all targets when the store was away and their entries have lapsed.
#[test]
fn entries_that_lapsed_while_the_store_was_away_have_two_seconds_to_return() {
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
fn an_entry_that_is_removed_while_the_store_is_stable_is_gone_at_once() {
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

/// Guards against requests at a version to which no order has moved the pool.
#[test]
fn targets_of_another_version_wait_for_an_order() {
    let newer = TargetRecord { version: "v2".into(), ..record("t3", "p", "a") };
    let mut registry = one_pool(&[record("t1", "p", "a"), record("t2", "p", "a"), newer]);
    assert_eq!(usable(&mut registry), ["t1", "t2"]);
}

/// Guards the sum of all hosts' parts of a limit while they disagree on who is live.
#[test]
fn a_host_that_has_gone_counts_for_some_seconds() {
    let mut registry = one_pool(&[]);
    for host in ["h1", "h2", "h3"] {
        registry.apply(StoreChange::Host(host.into(), Some(host_record("a", 1))), ms(0));
    }
    registry.apply(StoreChange::Host("h2".into(), None), ms(100));
    let at_once = registry.view().expect("known").host_count;
    registry.expire(Duration::from_secs(6));
    assert_eq!((at_once, registry.view().expect("known").host_count), (3, 2));
}

/// Guards against connections that are ended where callers have another near host.
#[test]
fn callers_of_another_region_come_where_a_region_has_one_domain() {
    let place = |regions: &[(&str, &str)]| HostLocation {
        domain: "a".to_owned(),
        regions: regions
            .iter()
            .map(|(domain, region)| ((*domain).to_owned(), (*region).into()))
            .collect(),
    };
    let seen = [
        place(&[("a", "east")]),
        place(&[("a", "east"), ("b", "east")]),
        place(&[("a", "east"), ("b", "west")]),
        place(&[("a", "east"), ("b", "west"), ("c", "west")]),
    ]
    .map(|place| place.accepts_remote_callers());
    assert_eq!(seen, [false, false, true, false]);
}
