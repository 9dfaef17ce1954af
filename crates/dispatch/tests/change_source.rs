//! Which hosts watch the store and which peers the others poll.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::host_record;
use common::ms;
use vanillapick_dispatch::change_source::ChangeSource;
use vanillapick_dispatch::change_source::ChangeSourceSelector;
use vanillapick_dispatch::host_record::HostId;
use vanillapick_dispatch::host_record::HostRecord;

type Hosts = BTreeMap<HostId, HostRecord>;

/// Hosts `h1` to `hN` in domain `a` and one host in domain `b`.
fn hosts(count: u16) -> Hosts {
    let own = (1..=count).map(|number| (format!("h{number}").into(), host_record("a", number)));
    own.chain([("other".into(), host_record("b", 99))]).collect()
}

fn selector(host: &str) -> ChangeSourceSelector {
    ChangeSourceSelector::new(host.into(), "a".into(), Duration::from_secs(5))
}

/// Selected source of each host, one line per host, after the peers in `failed` have failed.
fn sources(hosts: &Hosts, now: Duration, failed: &[&str]) -> String {
    let lines = hosts.keys().filter(|host| host.starts_with('h')).map(|host| {
        let mut selector = selector(host);
        for name in failed {
            selector.record_failure((*name).into(), ms(0));
        }
        match selector.select(hosts, now) {
            ChangeSource::Store => format!("{host}: store"),
            ChangeSource::Peer(peer, address) => format!("{host}: {peer} at {address}"),
        }
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// If the hosts of a domain ranked each other differently, several of them would pay for a watch.
#[test]
fn one_host_of_a_domain_watches_and_the_others_poll_it() {
    insta::assert_snapshot!(sources(&hosts(5), ms(1), &[]));
}

/// A small system should not depend on a peer to save a few calls.
#[test]
fn too_few_hosts_each_watch_the_store() {
    insta::assert_snapshot!(sources(&hosts(3), ms(1), &[]));
}

/// Hosts must not keep polling a peer that fails, nor try one failed peer after the other.
#[test]
fn a_failed_peer_is_not_polled_for_some_seconds() {
    let hosts = hosts(5);
    let first = match selector("h1").select(&hosts, ms(1)) {
        ChangeSource::Peer(peer, _) => peer,
        ChangeSource::Store => "h1".into(),
    };
    let mut stages = vec![format!("{first} has failed:\n{}", sources(&hosts, ms(1), &[&first]))];
    let second = (1..=5)
        .map(|number| HostId::from(format!("h{number}")))
        .find(|host| {
            let mut selector = selector(host);
            selector.record_failure(HostId::clone(&first), ms(0));
            selector.select(&hosts, ms(1)) == ChangeSource::Store
        })
        .expect("one of them watches");
    let failed = [&*first, &*second];
    stages.push(format!("{second} as well:\n{}", sources(&hosts, ms(1), &failed)));
    let later = Duration::from_secs(11);
    stages.push(format!("some seconds later:\n{}", sources(&hosts, later, &failed)));
    insta::assert_snapshot!(stages.join("\n\n"));
}

/// Hosts of an older version do not serve changes.
#[test]
fn hosts_without_a_peer_address_are_not_polled() {
    let mut hosts = hosts(5);
    for record in hosts.values_mut().take(2) {
        record.peer_address = None;
    }
    insta::assert_snapshot!(sources(&hosts, ms(1), &[]));
}

/// A shared watch needs enough time to detect that it has stalled, with checks that cost less than the sharing saves.
#[test]
fn hosts_share_a_watch_only_if_there_is_time_to_check_it() {
    let period = |change_time: Duration, count: u16| {
        ChangeSourceSelector::new("h1".into(), "a".into(), change_time)
            .shared_check_interval(&hosts(count))
    };
    let seen = [500, 3000, 3400, 3500, 5000].map(|time| period(ms(time), 5));
    assert_eq!(seen, [None, None, None, Some(ms(500)), Some(ms(2000))]);
    assert_eq!(period(ms(5000), 3), None);
    let mut hasty = ChangeSourceSelector::new("h2".into(), "a".into(), ms(3000));
    assert_eq!(hasty.select(&hosts(5), ms(1)), ChangeSource::Store);
}
