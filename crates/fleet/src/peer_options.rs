//! Intervals and limits of the exchange between hosts.

use std::time::Duration;

/// Intervals and limits, identical on all hosts.
///
/// With the defaults, the busiest of 480 hosts in 11 domains sends and receives 3.7 KB/s while no move runs, and 5.7
/// KB/s with four moves (examples/spread_cost.rs).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerOptions {
    /// Time between exchanges with peers of the local domain, and between those of a delegate with other domains.
    pub exchange_interval: Duration,
    /// Time between publications of the host's counters while no request fails. Counts without failures are not urgent,
    /// and each publication causes every host's row to be sent again.
    pub evidence_interval: Duration,
    /// Time between summaries of a domain by its delegates.
    pub summary_interval: Duration,
    /// Time without contact after which a host is suspect. Contact includes heartbeats forwarded by peers: with 44
    /// hosts in a domain, the last contact is less than 4.9 s old for 9,999 of 10,000 pairs of running hosts.
    pub suspect_after: Duration,
    /// Time without contact after which a host is gone if a recent host list does not name it.
    pub gone_after: Duration,
    /// Age from which a host list is not used to decide that hosts are gone. Longer than a few polls of the list.
    pub host_list_max_age: Duration,
    /// Time for which the row of a gone host without evidence is kept, so that hosts that still hold it do not
    /// reintroduce it.
    pub row_retention: Duration,
    /// Number of peers to which each host forwards a new urgent item.
    pub push_fanout: usize,
    /// Estimated size of the rows in one reply, beyond the first row. Limits the traffic regardless of the number of
    /// moves; the remaining rows follow in the next exchanges.
    pub reply_budget_bytes: usize,
    /// The same for a reply to another domain. Smaller, since delegates perform these exchanges in addition to those
    /// within their domain.
    pub cross_domain_reply_budget_bytes: usize,
    /// Delay before a host that saw a changed target mark publishes it because no higher-ranked host has done so.
    /// Prevents a domain of 44 hosts from publishing each change 44 times; longer than most changes take to spread
    /// through the domain.
    pub mark_publish_delay: Duration,
    /// Longest time after the start for which a configuration from the store waits for the revisions of peers, since
    /// the store may return an outdated value.
    pub startup_grace: Duration,
    /// Time to wait for a newer configuration from one peer before requesting it from another.
    pub pull_timeout: Duration,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            exchange_interval: Duration::from_secs(1),
            evidence_interval: Duration::from_secs(4),
            summary_interval: Duration::from_secs(2),
            suspect_after: Duration::from_secs(6),
            gone_after: Duration::from_secs(9),
            host_list_max_age: Duration::from_secs(15),
            row_retention: Duration::from_secs(600),
            push_fanout: 3,
            reply_budget_bytes: 1400,
            cross_domain_reply_budget_bytes: 500,
            mark_publish_delay: Duration::from_secs(4),
            startup_grace: Duration::from_secs(2),
            pull_timeout: Duration::from_millis(600),
        }
    }
}
