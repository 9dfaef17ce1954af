//! Effects of the list of a store that was restored from a copy: what the copy lacks is written again within two seconds.

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
use vanillapick_dispatch::host_record::HostId;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::registry::StoreRegistry;
use vanillapick_dispatch::target_record::TargetRecord;
use vanillapick_dispatch::version_split::MoveOrder;
use vanillapick_dispatch::version_split::MoveRecord;
use vanillapick_dispatch::version_split::MoveRecordState;

/// Time at which the restored store is listed.
const LISTED: Duration = Duration::from_millis(20_000);

/// End of the time in which writers write again.
const CONFIRMED: Duration = Duration::from_millis(22_500);

/// Registry of one pool with two targets in domain `a` and one in domain `c`.
fn one_pool() -> StoreRegistry {
    let page = route("page", RoutePools::Single("p".into()), RepeatRule::Once);
    registry(config(5, vec![page], &["p"]), &records())
}

fn records() -> [TargetRecord; 3] {
    [record("t1", "p", "a"), record("t2", "p", "a"), record("t3", "p", "c")]
}

fn targets() -> Vec<StoreChange> {
    records().map(StoreChange::Target).to_vec()
}

fn usable(registry: &mut StoreRegistry) -> Vec<String> {
    let view = registry.view().expect("a configuration is known");
    let ids = view.pools["p"].targets.iter().map(|target| target.record.id.to_string());
    let mut ids: Vec<String> = ids.collect();
    ids.sort();
    ids
}

/// An evacuation that was ordered after the copy must not end because the store lacks it for a moment.
#[test]
fn a_domain_stays_out_of_service_until_its_order_is_written_again() {
    let mut registry = one_pool();
    registry.apply(StoreChange::DomainOut("a".into(), true), ms(10_000));
    registry.apply_restored_list(targets(), LISTED);
    let listed = usable(&mut registry);
    registry.apply(StoreChange::DomainOut("a".into(), true), LISTED + ms(1500));
    registry.expire(CONFIRMED);
    assert_eq!((listed, usable(&mut registry)), (vec!["t3".to_owned()], vec!["t3".to_owned()]));
}

#[test]
fn a_domain_returns_if_its_order_is_not_written_again() {
    let mut registry = one_pool();
    registry.apply(StoreChange::DomainOut("a".into(), true), ms(10_000));
    registry.apply_restored_list(targets(), LISTED);
    assert!(registry.next_expiry().is_some_and(|due| due <= CONFIRMED));
    assert!(registry.expire(CONFIRMED));
    assert_eq!(usable(&mut registry), ["t1", "t2", "t3"]);
}

/// Targets that registered after the copy must not be dropped while they register again.
#[test]
fn targets_that_the_copy_lacks_have_two_seconds_to_register_again() {
    let mut registry = one_pool();
    registry.apply_restored_list(Vec::new(), LISTED);
    let listed = usable(&mut registry);
    registry.apply(StoreChange::Target(record("t1", "p", "a")), LISTED + ms(1500));
    registry.expire(CONFIRMED);
    assert_eq!((listed.len(), usable(&mut registry)), (3, vec!["t1".to_owned()]));
}

/// The copy may hold the registration of a target that has left since; its address may belong to another one by now.
#[test]
fn a_target_that_has_left_is_not_used_again_because_the_copy_has_it() {
    let mut registry = one_pool();
    registry.apply(StoreChange::TargetGone("t1".into()), ms(15_000));
    registry.apply_restored_list(targets(), LISTED);
    let listed = usable(&mut registry);
    registry.expire(LISTED + ms(9000));
    registry.apply(StoreChange::TargetGone("t1".into()), LISTED + ms(9000));
    registry.expire(LISTED + ms(30_000));
    assert_eq!((listed, usable(&mut registry).len()), (vec!["t2".to_owned(), "t3".to_owned()], 2));
}

#[test]
fn a_target_that_has_left_is_used_again_once_it_registers_again() {
    let mut registry = one_pool();
    registry.apply(StoreChange::TargetGone("t1".into()), ms(15_000));
    registry.apply_restored_list(targets(), LISTED);
    let again = TargetRecord { sequence: 2, ..record("t1", "p", "a") };
    registry.apply(StoreChange::Target(again), LISTED + ms(500));
    assert_eq!(usable(&mut registry).len(), 3);
}

/// A draining target must not get requests because the copy has it from before.
#[test]
fn a_draining_target_stays_draining() {
    let mut registry = one_pool();
    let draining = TargetRecord { draining: true, sequence: 7, ..record("t1", "p", "a") };
    registry.apply(StoreChange::Target(draining), ms(15_000));
    registry.apply_restored_list(targets(), LISTED);
    registry.expire(CONFIRMED);
    assert_eq!(usable(&mut registry), ["t2", "t3"]);
}

/// Hosts that register again must neither lose their place among the peers meanwhile nor be counted twice.
#[test]
fn hosts_that_the_copy_lacks_stay_registered_for_the_grace_period() {
    let mut registry = one_pool();
    for host in ["h1", "h2"] {
        registry.apply(StoreChange::Host(host.into(), Some(host_record("a", 1))), ms(0));
    }
    registry.apply_restored_list(targets(), LISTED);
    let listed = registry.hosts().len();
    registry.apply(StoreChange::Host("h1".into(), Some(host_record("a", 1))), LISTED + ms(700));
    registry.expire(CONFIRMED);
    let hosts: Vec<&HostId> = registry.hosts().keys().collect();
    assert_eq!((listed, hosts), (2, vec![&HostId::from("h1")]));
    assert_eq!(registry.view().map(|view| view.host_count), Some(2), "its lease has not ended");
}

/// An order that was given after the copy must not be replaced by an earlier one or end meanwhile.
#[test]
fn a_move_order_stays_until_it_is_written_again() {
    let order = |version: &str| MoveOrder { version: version.into(), duration: ms(8000) };
    let mut registry = one_pool();
    registry.apply(StoreChange::MoveOrder("p".into(), Some(order("v3")), 40), ms(15_000));
    let mut restored = targets();
    restored.push(StoreChange::MoveOrder("p".into(), Some(order("v2")), 30));
    registry.apply_restored_list(restored, LISTED);
    assert_eq!(registry.moves()["p"].order, Some(order("v3")));
    registry.expire(CONFIRMED);
    assert_eq!(registry.moves()["p"].order, Some(order("v2")), "the store has the last word");
    registry.apply_restored_list(targets(), LISTED + CONFIRMED);
    assert_eq!(registry.moves()["p"].order, Some(order("v2")));
    registry.expire(CONFIRMED + CONFIRMED);
    assert_eq!(registry.moves()["p"].order, None);
}

/// Operators stop the old targets once a move is recorded as completed, so it must not start again.
#[test]
fn a_completed_move_stays_completed_and_its_record_is_lost_until_it_is_written_again() {
    let order = MoveOrder { version: "v2".into(), duration: ms(8000) };
    let record = |state| MoveRecord { version: "v2".into(), state };
    let (running, completed) =
        (record(MoveRecordState::Running), record(MoveRecordState::Completed));
    let mut registry = one_pool();
    registry.apply(StoreChange::MoveOrder("p".into(), Some(order.clone()), 30), ms(1000));
    registry.apply(StoreChange::MoveRecord("p".into(), completed.clone(), 60), ms(9000));
    let mut restored = targets();
    restored.push(StoreChange::MoveOrder("p".into(), Some(order), 30));
    restored.push(StoreChange::MoveRecord("p".into(), running, 40));
    registry.apply_restored_list(restored, LISTED);
    let known = &registry.moves()["p"];
    assert_eq!((known.active_order(), known.lost_record()), (None, Some(&completed)));
    assert_eq!(known.record_revision, 40, "the next write expects what the store holds");
    registry.apply(StoreChange::MoveRecord("p".into(), completed, 50), LISTED + ms(900));
    assert_eq!(registry.moves()["p"].lost_record(), None);
}

/// The copy may hold an older configuration than the one in force, and operators write theirs again.
#[test]
fn the_configuration_does_not_go_back_to_that_of_the_copy() {
    let mut registry = one_pool();
    let older = config(4, Vec::new(), &[]);
    registry.apply_restored_list(vec![StoreChange::Config(older)], LISTED);
    registry.expire(CONFIRMED);
    assert_eq!(registry.version(), Some(5));
}
