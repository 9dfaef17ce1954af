//! Divides the shards of a search among hosts near their targets, which gather their parts side by side.
//!
//! A search over hundreds of shards costs one host so much processor time that a slow processor alone makes it late, while
//! other hosts are idle. Of the parts of shards whose targets are far away, only the greatest records are needed, so a host
//! near those targets saves most of the bytes. Owners of a group are chosen by hash, so that each host keeps its connections
//! to the targets of few shards and finds them open.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use xxhash_rust::xxh3::Xxh3;

use crate::config_document::DomainId;
use crate::config_document::PoolId;
use crate::host_record::HostId;

/// Hosts that gather parts, with their addresses for that, by failure domain.
pub type PartHosts = BTreeMap<DomainId, BTreeMap<HostId, SocketAddr>>;

/// Number of shards from which a search is divided among the hosts of this failure domain.
const MIN_DIVIDED_SHARDS: usize = 60;

/// Minimum number of other hosts in this failure domain to divide a search among them. With fewer, one that fails loses too
/// large a part of each search.
const MIN_DIVIDING_HOSTS: usize = 6;

/// Maximum number of shards in a group, about as many as a slow processor sends within a short latency objective.
const GROUP_SHARDS: usize = 30;

/// Minimum number of shards in a group whose targets are in another failure domain. Smaller groups save fewer bytes than
/// the delay by one more host costs.
const MIN_DISTANT_SHARDS: usize = 12;

/// Number of hosts that own a group: enough to share its load and to replace one that fails.
const OWNERS: usize = 3;

/// Backoff of an owner after its first failure in a row; it doubles with each further one.
const MIN_OWNER_BACKOFF: Duration = Duration::from_millis(500);

/// Backoff of an owner that refused a group because it is busy or leaves: short, because the others get its load meanwhile.
pub const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// Backoff of a host that is cut off from all targets, which takes seconds as a rule. A refusal costs a round trip only.
pub const CUT_OFF_BACKOFF: Duration = Duration::from_millis(1000);

/// Upper limit of the backoff of an owner.
const MAX_OWNER_BACKOFF: Duration = Duration::from_secs(8);

/// Part of the time to the soft deadline in which an owner sends its first message: long enough that most parts are in it.
const FIRST_MESSAGE_FRACTION: f64 = 0.35;

/// Part of the time to the soft deadline after which an owner counts as failed; the rest is for other attempts.
const OWNER_TIMEOUT_FRACTION: f64 = 0.55;

/// Confirmation time of owners in the region of the caller's host.
const NEAR_CONFIRMATION: Duration = Duration::from_millis(5);

/// Confirmation time of owners in other regions.
const REMOTE_CONFIRMATION: Duration = Duration::from_millis(40);

/// Shards of a search that one host gathers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardGroup {
    /// Failure domain of the owners.
    pub domain: DomainId,
    /// Increasing positions in the shard list of the route; never empty.
    pub shards: Vec<usize>,
    /// Hosts that own the group, by decreasing rank; the same on all hosts that know the same hosts.
    pub owners: Vec<HostId>,
}

/// Current state of an owner, as one host sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerState {
    /// Whether the host failed lately.
    pub is_in_backoff: bool,
    /// Groups that this host has asked for and that are not complete.
    pub in_flight: usize,
}

/// Groups of a search over `pools` that other hosts than `own` gather. `homes` has the failure domain of the nearest target
/// of each shard, and `domain` is that of this host.
pub fn shard_groups(
    pools: &[PoolId],
    homes: &[Option<&DomainId>],
    domain: &str,
    own: &str,
    hosts: &PartHosts,
) -> Vec<ShardGroup> {
    let blocks = pools.len().div_ceil(GROUP_SHARDS);
    let mut groups: BTreeMap<(usize, &DomainId), Vec<usize>> = BTreeMap::new();
    for (shard, home) in homes.iter().enumerate() {
        if let Some(home) = home {
            groups.entry((shard * blocks / pools.len(), home)).or_default().push(shard);
        }
    }
    let usable = groups.into_iter().filter_map(|((_, home), shards)| {
        let hosts: Vec<&HostId> = hosts.get(home)?.keys().filter(|host| &***host != own).collect();
        let is_worth_it = if **home == *domain {
            MIN_DIVIDED_SHARDS <= pools.len() && MIN_DIVIDING_HOSTS <= hosts.len()
        } else {
            MIN_DISTANT_SHARDS <= shards.len() && !hosts.is_empty()
        };
        let owners = rank_owners(&pools[shards[0]], &hosts);
        is_worth_it.then(|| ShardGroup { domain: home.clone(), shards, owners })
    });
    usable.collect()
}

/// Number of hosts that own the group of one shard, over all failure domains; at least 1.
pub fn owner_count(hosts: &PartHosts) -> usize {
    hosts.values().map(|hosts| domain_owners(hosts.len())).sum::<usize>().max(1)
}

/// Number of hosts that own a group in a failure domain with this number of hosts that gather parts.
pub fn domain_owners(hosts: usize) -> usize {
    hosts.min(OWNERS)
}

/// Whether hosts of some failure domain divide a search over this number of shards into groups.
pub fn is_divided(shards: usize, hosts: &PartHosts) -> bool {
    MIN_DIVIDED_SHARDS <= shards && hosts.values().any(|hosts| MIN_DIVIDING_HOSTS < hosts.len())
}

/// Owner to ask, of those of one group: the one with the least to do; `None` if all of them failed lately.
pub fn pick_owner(owners: &[OwnerState], rng: &mut impl Rng) -> Option<usize> {
    let usable = owners.iter().enumerate().filter(|(_, owner)| !owner.is_in_backoff);
    let ranked = usable.map(|(index, owner)| (owner.in_flight, rng.random::<u32>(), index));
    ranked.min().map(|(_, _, index)| index)
}

/// Backoff of an owner after this number of failures in a row.
pub fn owner_backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (MIN_OWNER_BACKOFF * (1 << doublings)).min(MAX_OWNER_BACKOFF)
}

/// Time from now until the owner of a group must have sent its first message, of the `left` until the soft deadline. It
/// sends a second attempt of a shard only after that message, so a group whose message is missing can be asked for again
/// without exceeding the attempts of the route.
pub fn first_message_due(left: Duration) -> Duration {
    left.mul_f64(FIRST_MESSAGE_FRACTION)
}

/// Time from an owner's first message until it may send second attempts: a round trip, and some time of a busy host.
pub fn confirmation_time(is_same_region: bool) -> Duration {
    if is_same_region { NEAR_CONFIRMATION } else { REMOTE_CONFIRMATION }
}

/// Time from now after which an owner without a first message counts as failed.
pub fn owner_timeout(left: Duration) -> Duration {
    left.mul_f64(OWNER_TIMEOUT_FRACTION)
}

fn rank_owners(first_pool: &PoolId, hosts: &[&HostId]) -> Vec<HostId> {
    let mut ranked: Vec<(u64, &HostId)> = hosts
        .iter()
        .copied()
        .map(|host| {
            let mut hasher = Xxh3::new();
            hasher.update(first_pool.as_bytes());
            hasher.update(host.as_bytes());
            (hasher.digest(), host)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().take(OWNERS).map(|(_, host)| HostId::clone(host)).collect()
}
