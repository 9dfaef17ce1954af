//! Selects where a host reads store changes from: the store itself or another host of its failure domain.
//!
//! The store charges for every watch of every host. In a failure domain with enough hosts, one of them watches the
//! store and the others poll it. No election is needed: all hosts rank the hosts of the domain by the same hash, and
//! each one polls the first that responds, or watches the store if it ranks first itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::config_document::DomainId;
use crate::host_record::HostId;
use crate::host_record::HostRecord;

/// Minimum number of hosts in a failure domain to share a watch. Below it, the saved calls do not justify depending on
/// a peer.
const MIN_SHARING_HOSTS: usize = 4;

/// Maximum time, in addition to the check interval, until hosts that share a stalled watch know of a change. If the
/// store no longer responds to the watching host, this is the timeout of its check (1.5 s), its response to the peers
/// (1 s) and a watch of their own. If only the watch has stalled, it is a check and a new watch.
const SHARED_WATCH_RECOVERY: Duration = Duration::from_secs(3);

/// Minimum interval between checks of a shared watch. More frequent checks cost as much as the sharing saves.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a peer that failed to return changes is not polled again.
const FAILED_PEER_BACKOFF: Duration = Duration::from_secs(10);

/// Number of failed peers at which the host watches the store, which is faster than trying one peer after the other.
const MAX_FAILED_PEERS: usize = 2;

/// Source of store changes for one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeSource {
    /// A watch on the store.
    Store,
    /// Another host of the failure domain, at its peer address.
    Peer(HostId, SocketAddr),
}

/// Selects the change source of one host and remembers peers that failed.
#[derive(Debug)]
pub struct ChangeSourceSelector {
    host: HostId,
    domain: DomainId,
    /// Time within which a change must take effect on all hosts.
    change_time: Duration,
    /// Failed peers, with the time until which they are not polled.
    failed_peers: BTreeMap<HostId, Duration>,
}

impl ChangeSourceSelector {
    /// Selector of `host` in `domain`, where changes must take effect within `change_time`.
    pub fn new(host: HostId, domain: DomainId, change_time: Duration) -> Self {
        Self { host, domain, change_time, failed_peers: BTreeMap::new() }
    }

    /// Interval at which the shared watch must be checked so that a stalled one is detected in time. `None` if the
    /// hosts do not share a watch because there are too few of them or `change_time` is too short.
    pub fn shared_check_interval(&self, hosts: &BTreeMap<HostId, HostRecord>) -> Option<Duration> {
        let interval = self.change_time.saturating_sub(SHARED_WATCH_RECOVERY);
        let is_shared =
            MIN_CHECK_INTERVAL <= interval && MIN_SHARING_HOSTS <= self.peers(hosts).count();
        is_shared.then_some(interval)
    }

    /// Selects the source at `now`; `hosts` are the live hosts registered in the store.
    pub fn select(&mut self, hosts: &BTreeMap<HostId, HostRecord>, now: Duration) -> ChangeSource {
        self.failed_peers.retain(|_, until| now < *until);
        if self.shared_check_interval(hosts).is_none()
            || MAX_FAILED_PEERS <= self.failed_peers.len()
        {
            return ChangeSource::Store;
        }
        let mut ranked: Vec<(u64, &HostId, SocketAddr)> = self
            .peers(hosts)
            .map(|(host, address)| (xxh3_64(host.as_bytes()), host, address))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().find(|(_, host, _)| !self.failed_peers.contains_key(*host));
        match first {
            Some((_, host, address)) if *host != self.host => {
                ChangeSource::Peer(HostId::clone(host), address)
            }
            _ => ChangeSource::Store,
        }
    }

    /// Hosts of the failure domain that serve changes to peers, including this host.
    fn peers<'a>(
        &'a self,
        hosts: &'a BTreeMap<HostId, HostRecord>,
    ) -> impl Iterator<Item = (&'a HostId, SocketAddr)> {
        let domain =
            hosts.iter().filter(|(_, record)| record.domain.as_ref() == Some(&self.domain));
        domain.filter_map(|(host, record)| Some((host, record.peer_address?)))
    }

    /// Excludes a peer that failed to return changes from selection for some seconds.
    pub fn record_failure(&mut self, host: HostId, now: Duration) {
        self.failed_peers.insert(host, now + FAILED_PEER_BACKOFF);
    }
}
