//! Where a host hears of changes of the store: from the store itself, or from another host of its failure domain.
//!
//! Each host pays for each of its watches. With many hosts in a failure domain one of them watches the store, and the
//! others ask it. All hosts rank the hosts of the domain alike, so that nothing has to be elected: a host asks the first
//! one that it can reach, and watches the store itself if that is itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::config_document::DomainId;
use crate::host_record::HostId;
use crate::host_record::HostRecord;

/// Fewest hosts of a failure domain that share a watch: with fewer, the calls saved are not worth the dependence.
const FEWEST_HOSTS: usize = 4;

/// Time beyond the period of checks after which a change is known to hosts that share a watch which has gone silent. If the
/// store has left the watching host alone, that is the time-out of its check (1.5 s), its answer to the others (1 s) and a
/// watch of their own; if only the watch is silent, the age of a stale read (2 s) and a new watch.
const SHARED_DELAY: Duration = Duration::from_secs(3);

/// Shortest period of checks: more often, they cost what a shared watch saves.
const SHORTEST_CHECK: Duration = Duration::from_millis(500);

/// Time for which a host that did not deliver is not asked again.
const AVOIDANCE: Duration = Duration::from_secs(10);

/// Hosts avoided at a time beyond which the store is watched: it is faster than to try one host after the other.
const MOST_AVOIDED: usize = 2;

/// Where to hear of changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeSource {
    /// A watch of the store.
    Store,
    /// Another host.
    Peer(HostId, SocketAddr),
}

/// Choice of the source of one host.
#[derive(Debug)]
pub struct ChangeSourceSelector {
    host: HostId,
    domain: DomainId,
    /// Time in which a change must be in force.
    change_time: Duration,
    /// Hosts that did not deliver, with the time until which they are avoided.
    avoided: BTreeMap<HostId, Duration>,
}

impl ChangeSourceSelector {
    /// Choice of `host` in `domain`, where a change must be in force within `change_time`.
    pub fn new(host: HostId, domain: DomainId, change_time: Duration) -> Self {
        Self { host, domain, change_time, avoided: BTreeMap::new() }
    }

    /// Period in which the watch that hosts of the failure domain share has to be checked, so that a silent one is found in
    /// time. `None` if they share none: they are few, or changes have to be in force too soon.
    pub fn shared_check_interval(&self, hosts: &BTreeMap<HostId, HostRecord>) -> Option<Duration> {
        let period = self.change_time.saturating_sub(SHARED_DELAY);
        let is_shared = SHORTEST_CHECK <= period && FEWEST_HOSTS <= self.peers(hosts).count();
        is_shared.then_some(period)
    }

    /// The source at `now`, with the live hosts that the store lists.
    pub fn select(&mut self, hosts: &BTreeMap<HostId, HostRecord>, now: Duration) -> ChangeSource {
        self.avoided.retain(|_, until| now < *until);
        if self.shared_check_interval(hosts).is_none() || MOST_AVOIDED <= self.avoided.len() {
            return ChangeSource::Store;
        }
        let mut ranked: Vec<(u64, &HostId, SocketAddr)> = self
            .peers(hosts)
            .map(|(host, address)| (xxh3_64(host.as_bytes()), host, address))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().find(|(_, host, _)| !self.avoided.contains_key(*host));
        match first {
            Some((_, host, address)) if *host != self.host => {
                ChangeSource::Peer(HostId::clone(host), address)
            }
            _ => ChangeSource::Store,
        }
    }

    /// Hosts of the failure domain that serve peers, this one included.
    fn peers<'a>(
        &'a self,
        hosts: &'a BTreeMap<HostId, HostRecord>,
    ) -> impl Iterator<Item = (&'a HostId, SocketAddr)> {
        let domain =
            hosts.iter().filter(|(_, record)| record.domain.as_ref() == Some(&self.domain));
        domain.filter_map(|(host, record)| Some((host, record.peer_address?)))
    }

    /// Notes that a host did not deliver.
    pub fn record_failure(&mut self, host: HostId, now: Duration) {
        self.avoided.insert(host, now + AVOIDANCE);
    }
}
