//! Division of a target's limits among the live entry hosts. Each host computes its share independently.
//!
//! Connections and the cold allowance are hard limits: the sum over all hosts stays within the limit as long as their
//! membership views differ by at most one change. Slots are a soft limit, because with 2 or 3 slots and 6 hosts a hard
//! limit would give most hosts no slot. A host therefore plans with its fair share and never runs more requests than
//! there are slots. A warm target sheds excess requests with a `not_run` refusal.

use std::time::Duration;

use vanillapick_model::hash::rendezvous_order;
use vanillapick_model::hash::rendezvous_weight;

/// Time within which every reachable host receives a membership change: three rounds of the exchange.
pub const VIEW_CONVERGENCE_TIME: Duration = Duration::from_secs(3);

/// Connections of a replica that [`assign_shard_replicas`] leaves unused. A membership change moves at most one
/// existing host to a replica and adds at most one new host.
pub const ASSIGNMENT_RESERVE: u32 = 2;

/// Number of connections that `host` may hold to `target`. `hosts` contains each host once. The share of a host that it
/// does not contain is 0.
///
/// With `n` hosts, each gets `floor(limit / (n + 1))` connections, and the first `limit mod (n + 1) - 1` hosts by
/// rendezvous rank get one more. The share of the hypothetical host `n + 1` is reserved for a host that only some views
/// contain. If the limit is at least `n + 1`, every host gets at least one connection.
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
    // Counting the rank avoids a sort; this function runs for every target at every change of the live hosts.
    for candidate in hosts {
        count += 1;
        is_named |= candidate == host;
        let weight = rendezvous_weight(target, candidate);
        rank += u32::from(own < weight || (own == weight && candidate < host));
    }
    if !is_named {
        return 0;
    }
    let divisor = count.saturating_add(1);
    let hosts_with_extra = (limit % divisor).saturating_sub(1);
    limit / divisor + u32::from(rank < hosts_with_extra)
}

/// Share of a warm target's slots for one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningShare {
    /// Slots divided by hosts. A soft limit used to weight targets; below 1 if there are more hosts than slots.
    pub fair: f64,
    /// Maximum number of concurrent requests of this host at the target: the smaller of the target's slots and the
    /// connections of this host.
    pub max: u32,
}

/// Computes a host's share of the slots of a warm target. `connections` is the host's connection share.
pub fn running_share(slots: u32, hosts: usize, connections: u32) -> RunningShare {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    RunningShare { fair: f64::from(slots) / f64::from(hosts), max: slots.min(connections) }
}

/// The only host that may send to `target` while it is cold: the first of `hosts` by rendezvous rank.
pub fn cold_owner<'a>(target: &str, hosts: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    hosts.into_iter().max_by_key(|host| (rendezvous_weight(target, host), std::cmp::Reverse(*host)))
}

/// Share of a cold target's allowance that a host may use. `owned_for` is the uninterrupted time for which the host has
/// been the owner in its own view, or `None` when it is not the owner.
///
/// While a membership change propagates, two hosts can both consider themselves the owner. The previous owner may not
/// know of the new one, so an owner uses at most half of the allowance, rounded up. A new owner rounds down until
/// [`VIEW_CONVERGENCE_TIME`] has passed; with an allowance of 1 it sends nothing until then. Even allowances are safe
/// without a timing assumption. Odd allowances assume that the previous owner receives the change within
/// [`VIEW_CONVERGENCE_TIME`].
pub fn cold_share(allowance: u32, owned_for: Option<Duration>) -> u32 {
    match owned_for {
        None => 0,
        Some(time) if time < VIEW_CONVERGENCE_TIME => allowance / 2,
        Some(_) => allowance.div_ceil(2),
    }
}

/// Replicas of a shard to which one host connects when there are more hosts than connections to a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaAssignment<'a> {
    /// Replica to which the host holds a connection; `None` when all replicas are full.
    pub replica: Option<&'a str>,
    /// Second replica to which the host may hold a connection, for hedges. It is assigned to the first hosts by rank,
    /// as long as connections are left.
    pub hedge_replica: Option<&'a str>,
}

/// Assigns each of `hosts` a connection to one replica of a shard, with `limit` connections to each replica, and
/// returns the assignment of `host`.
///
/// Hosts are assigned in rendezvous order of `shard_key`. Each gets the replica it prefers by hash among those that are
/// not full. Assignment by position would be more even, but every membership change would move half of the hosts, which
/// exceeds the limit while views differ. `replicas` must include dead replicas, so that a failure moves no connection.
pub fn assign_shard_replicas<'a>(
    shard_key: &str,
    limit: u32,
    replicas: &[&'a str],
    hosts: &[&str],
    host: &str,
) -> ReplicaAssignment<'a> {
    let usable = limit.saturating_sub(ASSIGNMENT_RESERVE);
    let ranked_hosts = rendezvous_order(shard_key, hosts.iter().copied());
    let mut connections = vec![0_u32; replicas.len()];
    let mut first_choices = Vec::with_capacity(ranked_hosts.len());
    for candidate in &ranked_hosts {
        let choice = preferred_replicas(shard_key, replicas, candidate)
            .into_iter()
            .find(|index| connections[*index] < usable);
        if let Some(index) = choice {
            connections[index] += 1;
        }
        first_choices.push(choice);
    }

    let mut assignment = ReplicaAssignment::default();
    for (candidate, first) in ranked_hosts.iter().zip(&first_choices) {
        let second = preferred_replicas(shard_key, replicas, candidate)
            .into_iter()
            .find(|index| Some(*index) != *first && connections[*index] < usable);
        if let Some(index) = second {
            connections[index] += 1;
        }
        if *candidate == host {
            assignment.replica = first.map(|index| replicas[index]);
            assignment.hedge_replica = second.map(|index| replicas[index]);
            break;
        }
    }
    assignment
}

/// Indices of `replicas` in descending order of preference of `host`.
fn preferred_replicas(shard_key: &str, replicas: &[&str], host: &str) -> Vec<usize> {
    let key = format!("{shard_key}/{host}");
    let mut indices: Vec<_> = (0..replicas.len()).collect();
    indices.sort_by_cached_key(|index| {
        std::cmp::Reverse((rendezvous_weight(&key, replicas[*index]), *index))
    });
    indices
}
