//! Division of a target's limits over the live entry hosts, computed by each host alone.
//!
//! Connections and the cold allowance are hard limits: their sum over hosts stays within the limit while hosts use
//! views of the membership that are one change apart. Slots are a soft limit: with 2 or 3 slots and 6 hosts a hard share
//! would leave most hosts without any, so a host plans with its fair part, never runs more than all slots, and a warm
//! target sheds what is too much with a `not_run` refusal.

use std::time::Duration;

use vanillapick_model::hash::rendezvous_order;
use vanillapick_model::hash::rendezvous_weight;

/// Time within which every reachable host has learnt of a membership change: three rounds of the exchange.
pub const VIEW_CONVERGENCE_TIME: Duration = Duration::from_secs(3);

/// Connections of a replica that [`assign_shard_replicas`] leaves unused. A membership change moves at most one host to a
/// replica and brings at most one new one.
pub const ASSIGNMENT_RESERVE: u32 = 2;

/// Connections that `host` may hold to `target`. `hosts` names each host once; the share of a host that it does not
/// name is 0.
///
/// With `n` hosts, each has `floor(limit / (n + 1))` and the first `limit mod (n + 1) - 1` by rendezvous rank one more.
/// The part of the missing host `n + 1` is the reserve for a host that only some views contain. A limit of `n + 1` or
/// more leaves every host at least one.
pub fn connection_share<'a>(
    target: &str,
    limit: u32,
    hosts: impl IntoIterator<Item = &'a str>,
    host: &str,
) -> u32 {
    let own = rendezvous_weight(target, host);
    let mut count = 0_u32;
    let mut rank = 0_u32;
    let mut is_named = false;
    // The rank is counted, not sorted for: this runs for every target with every change of the live hosts.
    for candidate in hosts {
        count += 1;
        is_named |= candidate == host;
        let weight = rendezvous_weight(target, candidate);
        rank += u32::from(own < weight || (own == weight && candidate < host));
    }
    if !is_named {
        return 0;
    }
    let parts = count.saturating_add(1);
    let extras = (limit % parts).saturating_sub(1);
    limit / parts + u32::from(rank < extras)
}

/// Part of a warm target's slots that a host plans with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningShare {
    /// Slots divided by hosts. Soft: a guide for weighing targets, below 1 where hosts outnumber slots.
    pub fair: f64,
    /// Requests of this host that may run at the target at the same time; the lesser of its slots and the connections
    /// of this host.
    pub max: u32,
}

/// Running requests that a host plans with at a warm target. `connections` is the host's connection share.
pub fn running_share(slots: u32, hosts: usize, connections: u32) -> RunningShare {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    RunningShare { fair: f64::from(slots) / f64::from(hosts), max: slots.min(connections) }
}

/// The one host that may send to `target` while it is cold: the first of `hosts` by rendezvous rank.
pub fn cold_owner<'a>(target: &str, hosts: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    hosts.into_iter().max_by_key(|host| (rendezvous_weight(target, host), std::cmp::Reverse(*host)))
}

/// Part of a cold target's allowance that a host may use. `owned_for` is the time for which the host has been the owner
/// in its own view without interruption; `None` when it is not the owner.
///
/// Two hosts can both see themselves as owner while a membership change spreads. The older owner cannot know of the
/// newer one, so no owner ever takes more than half, rounded up. A new owner rounds down until [`VIEW_CONVERGENCE_TIME`] has
/// passed; with an allowance of 1 it waits that long before it sends anything. Even allowances need no assumption on
/// time, and odd ones assume that the older owner learns of the change within [`VIEW_CONVERGENCE_TIME`].
pub fn cold_share(allowance: u32, owned_for: Option<Duration>) -> u32 {
    match owned_for {
        None => 0,
        Some(time) if time < VIEW_CONVERGENCE_TIME => allowance / 2,
        Some(_) => allowance.div_ceil(2),
    }
}

/// What one host holds of a shard when hosts outnumber the connections of a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaAssignment<'a> {
    /// The replica that the host holds a connection to; `None` when all replicas are full.
    pub replica: Option<&'a str>,
    /// A second replica that the host may hold a connection to, for hedges. Given to the first hosts by rank, as long
    /// as connections are left.
    pub hedge_replica: Option<&'a str>,
}

/// Deals the replicas of a shard, each with `limit` connections, to `hosts`, one connection each, and returns the part
/// of `host`.
///
/// Hosts choose in rendezvous order of `shard_key`. Each takes the replica it prefers by hash that is not full. Dealing
/// by position would be more even but moves half of the hosts with every membership change, which breaks the limit
/// while views differ. Dead replicas stay in `replicas`, so that a death moves no connection.
pub fn assign_shard_replicas<'a>(
    shard_key: &str,
    limit: u32,
    replicas: &[&'a str],
    hosts: &[&str],
    host: &str,
) -> ReplicaAssignment<'a> {
    let most = limit.saturating_sub(ASSIGNMENT_RESERVE);
    let order = rendezvous_order(shard_key, hosts.iter().copied());
    let mut loads = vec![0_u32; replicas.len()];
    let mut held = Vec::with_capacity(order.len());
    for candidate in &order {
        let choice = preferred_replicas(shard_key, replicas, candidate)
            .into_iter()
            .find(|index| loads[*index] < most);
        if let Some(index) = choice {
            loads[index] += 1;
        }
        held.push(choice);
    }

    let mut deal = ReplicaAssignment::default();
    for (candidate, first) in order.iter().zip(&held) {
        let spare = preferred_replicas(shard_key, replicas, candidate)
            .into_iter()
            .find(|index| Some(*index) != *first && loads[*index] < most);
        if let Some(index) = spare {
            loads[index] += 1;
        }
        if *candidate == host {
            deal.replica = first.map(|index| replicas[index]);
            deal.hedge_replica = spare.map(|index| replicas[index]);
            break;
        }
    }
    deal
}

/// Indices of `replicas` by falling preference of `host`.
fn preferred_replicas(shard_key: &str, replicas: &[&str], host: &str) -> Vec<usize> {
    let key = format!("{shard_key}/{host}");
    let mut indices: Vec<_> = (0..replicas.len()).collect();
    indices.sort_by_cached_key(|index| {
        std::cmp::Reverse((rendezvous_weight(&key, replicas[*index]), *index))
    });
    indices
}
