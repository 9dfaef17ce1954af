//! Intervals and bounds of the exchange between hosts.

use std::time::Duration;

/// Intervals and bounds; the same on every host.
///
/// At 480 hosts in 11 domains the defaults cost the busiest host 3.7 KB/s in and out while no move runs, and 5.7 KB/s
/// with four moves (examples/spread_cost.rs).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerOptions {
    /// Time between exchanges with a peer of the own domain, and between those of a delegate with another domain.
    pub exchange_interval: Duration,
    /// Time between two publications of the own evidence while nothing fails. Good counts are not urgent, and each
    /// publication makes a row of every host travel again.
    pub evidence_interval: Duration,
    /// Time between two sums of the own domain by its delegates.
    pub summary_interval: Duration,
    /// A host without any word for this long is suspect. Word travels through peers: at 44 hosts in a domain the age of
    /// the last word stays under 4.9 s for 9,999 of 10,000 pairs of running hosts.
    pub suspect_after: Duration,
    /// A host without any word for this long, which a fresh list does not name, is gone.
    pub gone_after: Duration,
    /// A host list older than this decides nothing. Longer than a few polls of the list.
    pub host_list_max_age: Duration,
    /// Time for which the row of a gone host without evidence is kept, so that hosts that still hold it do not bring it
    /// back.
    pub row_retention: Duration,
    /// Peers that receive an urgent item from each host that learns it.
    pub push_fanout: usize,
    /// Estimated bytes of rows in one reply, beyond the first row. Bounds the traffic however many moves run; the rest
    /// follows with the next exchanges.
    pub reply_budget_bytes: usize,
    /// The same for a reply to another domain. Smaller, since delegates make these exchanges on top of the others.
    pub cross_domain_reply_budget_bytes: usize,
    /// Time after which a host that saw a changed target mark publishes it although higher-ranked hosts have not. Keeps
    /// a domain of 44 hosts from publishing each change 44 times; longer than most news take through the domain.
    pub mark_publish_delay: Duration,
    /// Time after the start during which a configuration from the store waits for the peers' revisions, since the store
    /// may answer with an old value.
    pub startup_grace: Duration,
    /// Time to wait for rows that were asked for after a push before asking another peer.
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
