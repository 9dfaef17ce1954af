//! Which host serves a request for one that is cut off from all targets.

mod common;

use common::rng;
use vanillapick_dispatch::forward_pick::ForwardCandidate;
use vanillapick_dispatch::forward_pick::pick_forward_host;
use vanillapick_dispatch::target_state::TargetDistance;

fn candidate(distance: TargetDistance) -> ForwardCandidate {
    let (is_in_backoff, is_proven) = (false, false);
    ForwardCandidate { distance, is_in_backoff, in_flight: 0, is_proven, refusals: 0 }
}

/// Domains of hosts that refuse because they are cut off, in the order in which they are asked. The domain of the host has
/// `near` such hosts; one host of another domain and one of another region reach the targets.
fn asked_until_served(near: usize) -> Vec<TargetDistance> {
    let mut candidates = vec![candidate(TargetDistance::Domain); near];
    candidates.push(candidate(TargetDistance::Region));
    candidates.push(candidate(TargetDistance::Remote));
    let mut asked = Vec::new();
    while let Some(index) = pick_forward_host(&candidates, &mut rng()) {
        asked.push(candidates[index].distance);
        if near <= index {
            break;
        }
        candidates[index].is_in_backoff = true;
        candidates[..near].iter_mut().for_each(|other| other.refusals += 1);
    }
    asked
}

/// Guards against a request that is refused although hosts of other domains would serve it, because a whole domain is cut off
/// and its many hosts are asked one after the other.
#[test]
fn a_host_of_another_domain_is_asked_after_one_of_the_own_is_cut_off() {
    assert_eq!(asked_until_served(11), [TargetDistance::Domain, TargetDistance::Region]);
}

#[test]
fn a_near_host_takes_some_requests_more_than_a_distant_one() {
    let mut candidates = [candidate(TargetDistance::Domain), candidate(TargetDistance::Remote)];
    let mut picked = Vec::new();
    for _ in 0..24 {
        let index = pick_forward_host(&candidates, &mut rng()).expect("a host is usable");
        candidates[index].in_flight += 1;
        picked.push(index);
    }
    assert_eq!(&picked[..8], &[0; 8]);
    let counts = candidates.map(|candidate| candidate.in_flight);
    assert_eq!(counts, [16, 8]);
}

/// With most hosts cut off, the few that reach targets must be found again without asking the others first.
#[test]
fn a_host_that_reaches_targets_is_preferred() {
    let mut candidates = vec![candidate(TargetDistance::Domain); 20];
    candidates.push(ForwardCandidate { is_proven: true, ..candidate(TargetDistance::Domain) });
    assert_eq!(pick_forward_host(&candidates, &mut rng()), Some(20), "of the same domain");
    candidates[20].distance = TargetDistance::Remote;
    assert!(pick_forward_host(&candidates, &mut rng()) < Some(20), "a near host is tried once");
    candidates.iter_mut().for_each(|candidate| candidate.refusals = 1);
    assert_eq!(pick_forward_host(&candidates, &mut rng()), Some(20), "after a refusal");
}

#[test]
fn no_host_is_picked_while_all_are_in_backoff() {
    let mut candidates = [candidate(TargetDistance::Domain); 2];
    candidates.iter_mut().for_each(|candidate| candidate.is_in_backoff = true);
    assert_eq!(pick_forward_host(&candidates, &mut rng()), None);
}
