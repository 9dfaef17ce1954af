//! Agreement of all hosts on which hosts are live.

mod support;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use vanillapick_fleet::membership::MemberState;
use vanillapick_fleet::peer_options::PeerOptions;
use vanillapick_fleet::peer_state::PeerState;
use vanillapick_fleet::simulation::SimulatedFleet;
use vanillapick_fleet::simulation::host_entry;

use crate::support::converged_fleet;
use crate::support::count_requests;
use crate::support::counted_requests;

/// Time from the loss of a host to its removal on all hosts: a poll of the host list, the time without contact, the
/// summary of its domain and its propagation to the other domains.
const REMOVAL_TIME: Duration = Duration::from_secs(20);

/// Live hosts if all hosts agree on them, otherwise `None`.
fn agreed_live_hosts(fleet: &SimulatedFleet) -> Option<Vec<String>> {
    let mut views = fleet
        .hosts
        .values()
        .map(|host| host.peer.live_hosts().into_iter().map(|host| host.id).collect::<Vec<_>>());
    let first = views.next()?;
    views.all(|view| view == first).then_some(first)
}

fn ids(hosts: &[u32]) -> Vec<String> {
    hosts.iter().map(|index| host_entry(*index, 2).id).collect()
}

// Guards against limits that change while the platform's host list is unavailable or empty.
#[test]
fn missing_or_empty_list_changes_nothing() {
    let mut fleet = converged_fleet(1);
    fleet.host_list.clear();
    fleet.run_for(Duration::from_secs(60));
    assert_eq!(agreed_live_hosts(&fleet), Some(ids(&[0, 1, 2, 3, 4, 5])));
}

// Guards against a stopped host that stays live forever, or is removed while the list still names it.
#[test]
fn unresponsive_host_is_gone_once_a_recent_list_omits_it() {
    let mut fleet = converged_fleet(2);
    fleet.stop("host-002");
    fleet.run_for(Duration::from_secs(15));
    assert_eq!(
        agreed_live_hosts(&fleet),
        Some(ids(&[0, 1, 2, 3, 4, 5])),
        "the list still names it"
    );
    let status = fleet.hosts["host-000"].peer.status(fleet.now());
    let suspects = status.members.iter().filter(|member| member.state == MemberState::Suspect);
    assert_eq!(suspects.map(|member| member.host.as_str()).collect::<Vec<_>>(), ["host-002"]);

    fleet.host_list.retain(|host| host.id != "host-002");
    fleet.run_for(REMOVAL_TIME);
    assert_eq!(agreed_live_hosts(&fleet), Some(ids(&[0, 1, 3, 4, 5])));
    fleet.run_for(Duration::from_secs(60));
    assert_eq!(
        agreed_live_hosts(&fleet),
        Some(ids(&[0, 1, 3, 4, 5])),
        "no late message makes it live again"
    );
}

// Guards against a new or responding host that is not live because the list does not name it.
#[test]
fn responding_host_is_live_regardless_of_the_list() {
    let mut fleet = converged_fleet(3);
    fleet.host_list.retain(|host| host.id != "host-001");
    fleet.start(host_entry(6, 2));
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(agreed_live_hosts(&fleet), Some(ids(&[0, 1, 2, 3, 4, 5, 6])));
}

// Guards against hosts that divide the limits among one side of a partition only.
#[test]
fn partitioned_domain_stays_live_while_listed() {
    let mut fleet = converged_fleet(4);
    fleet.partitioned_domains.insert("domain-01".to_owned());
    fleet.run_for(Duration::from_secs(60));
    assert_eq!(agreed_live_hosts(&fleet), Some(ids(&[0, 1, 2, 3, 4, 5])));
}

// Guards against a lost failure domain that keeps its shares of the limits forever.
#[test]
fn lost_domain_is_gone_once_the_list_omits_it() {
    let mut fleet = converged_fleet(5);
    for host in ["host-001", "host-003", "host-005"] {
        fleet.stop(host);
    }
    fleet.host_list.retain(|host| host.domain == "domain-00");
    fleet.run_for(REMOVAL_TIME);
    assert_eq!(agreed_live_hosts(&fleet), Some(ids(&[0, 2, 4])));
}

// Guards against a paused process that considers all other hosts gone when it resumes.
#[test]
fn local_pause_does_not_remove_other_hosts() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut peer = PeerState::new(host_entry(0, 1), PeerOptions::default(), Duration::ZERO);
    let others: Vec<_> = (1..4).map(|index| host_entry(index, 1)).collect();
    peer.on_host_list(&[host_entry(0, 1)], Duration::ZERO);
    for step in 0..10 {
        let now = Duration::from_millis(200 * step);
        for other in &others {
            peer.on_sent(other, true, now);
        }
        peer.on_tick(now, &mut rng);
    }
    let resumed = Duration::from_secs(120);
    peer.on_host_list(&[host_entry(0, 1)], resumed);
    peer.on_tick(resumed, &mut rng);
    assert_eq!(peer.live_hosts().len(), 4);
}

// Guards against a leaving host that still gets work or holds roles, and against reassigning its shares while it still
// holds connections.
#[test]
fn leaving_host_is_known_everywhere_and_counted_until_it_is_gone() {
    let mut fleet = converged_fleet(7);
    let delegate = fleet
        .hosts
        .iter()
        .find(|(_, host)| host.peer.status(fleet.now()).is_delegate)
        .map(|(id, _)| id.clone())
        .expect("each domain has delegates");
    fleet.run_on_host(&delegate, |peer, now, rng| peer.announce_leaving(now, rng));
    fleet.run_for(Duration::from_secs(2));
    for host in fleet.hosts.values() {
        let live = host.peer.live_hosts();
        assert_eq!(live.len(), 6);
        let leaving: Vec<_> =
            live.iter().filter(|host| host.leaving).map(|host| &host.id).collect();
        assert_eq!(leaving, [&delegate], "as seen by {}", host.peer.local_host().id);
    }
    let status = fleet.hosts[&delegate].peer.status(fleet.now());
    assert!(!status.is_delegate && !status.watches_store);

    fleet.stop(&delegate);
    fleet.host_list.retain(|host| host.id != delegate);
    fleet.run_for(REMOVAL_TIME);
    assert_eq!(agreed_live_hosts(&fleet).map(|view| view.len()), Some(5));
}

// Guards against a restarted host that is treated as its previous, leaving incarnation.
#[test]
fn later_incarnation_does_not_leave() {
    let mut fleet = converged_fleet(8);
    fleet.run_on_host("host-004", |peer, now, rng| peer.announce_leaving(now, rng));
    fleet.run_for(Duration::from_secs(1));
    fleet.start(host_entry(4, 2));
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(agreed_live_hosts(&fleet).map(|view| view.len()), Some(6));
    for host in fleet.hosts.values() {
        assert!(
            host.peer.live_hosts().iter().all(|host| !host.leaving),
            "{}",
            host.peer.local_host().id
        );
    }
}

// Guards against rows of gone hosts that are kept or replicated forever, and against ignoring a host that resumes after
// such a long pause.
#[test]
fn removed_row_stays_removed_until_its_host_resumes() {
    let options = PeerOptions { row_retention: Duration::from_secs(20), ..PeerOptions::default() };
    let mut fleet = SimulatedFleet::new(options, 10);
    fleet.host_list = (0..6).map(|index| host_entry(index, 2)).collect();
    for entry in fleet.host_list.clone() {
        fleet.start(entry);
    }
    fleet.run_for(Duration::from_secs(10));
    let paused = fleet.stop("host-004").expect("the host is running");
    let list = fleet.host_list.clone();
    fleet.host_list.retain(|host| host.id != "host-004");
    fleet.run_for(Duration::from_secs(50));
    assert_eq!(agreed_live_hosts(&fleet), Some(ids(&[0, 1, 2, 3, 5])));
    for host in fleet.hosts.values() {
        let has_row = host.peer.shared().rows().any(|row| row.origin.host.id == "host-004");
        assert!(!has_row, "{} still holds a row", host.peer.local_host().id);
    }

    fleet.resume(paused);
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(
        fleet.hosts["host-004"].peer.live_hosts().len(),
        6,
        "its own pause does not remove other hosts"
    );
    fleet.host_list = list;
    count_requests(&mut fleet, "host-004", 7);
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(agreed_live_hosts(&fleet), Some(ids(&[0, 1, 2, 3, 4, 5])));
    assert_eq!(counted_requests(&fleet), [7; 6], "its row is replicated again");
}

// Guards against a stopped host that becomes live again because a peer still holds its old row.
#[test]
fn indirect_report_alone_does_not_make_a_host_live() {
    let mut fleet = converged_fleet(9);
    count_requests(&mut fleet, "host-002", 3);
    fleet.run_for(Duration::from_secs(5));
    fleet.stop("host-002");
    fleet.host_list.retain(|host| host.id != "host-002");
    fleet.run_for(Duration::from_secs(20));
    fleet.start(host_entry(6, 2));
    fleet.run_for(Duration::from_secs(1));
    let new_host = &fleet.hosts["host-006"].peer;
    assert!(new_host.live_hosts().iter().all(|host| host.id != "host-002"));
    assert_eq!(
        new_host.evidence("move-1").values().map(|counters| counters.requests).sum::<u64>(),
        3
    );
}
