//! Immutable view of configuration and targets that requests are served from; updates replace it as a whole.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config_document::CallerLimits;
use crate::config_document::ConfigVersion;
use crate::config_document::PoolContract;
use crate::config_document::PoolId;
use crate::host_lease::HostLease;
use crate::pool_state::PoolState;
use crate::pool_state::RouteState;
use crate::registry::HostLocation;
use crate::retry_budget::RetryBudgetLimits;
use crate::route_table::RouteTable;
use crate::shard_groups::PartHosts;
use crate::target_state::TargetState;
use crate::version_split::VersionSplit;

/// Configuration, targets and limits for serving requests. A request uses the same view until it ends.
#[derive(Debug)]
pub struct ServingView {
    /// Version of the configuration that the view was built from.
    pub version: ConfigVersion,
    pub route_table: RouteTable,
    pub pools: HashMap<PoolId, Arc<PoolView>>,
    /// Latency estimates by route name, shared between views.
    pub routes: HashMap<Arc<str>, Arc<RouteState>>,
    pub limits: CallerLimits,
    /// Number of hosts that share the limits of targets, including this one; at least 1.
    pub host_count: usize,
    /// Position of this host among them by name; `None` if it is not registered.
    pub host_rank: Option<usize>,
    /// Lease of this host, without which it has no share of them.
    pub host_lease: Arc<HostLease>,
    pub location: Arc<HostLocation>,
    /// Priority of the most urgent route.
    pub top_priority: u8,
    /// Hosts that gather parts of searches, including this one.
    pub part_hosts: PartHosts,
    /// Number of hosts that may own the group of one shard, over all failure domains, including hosts that are no longer
    /// registered but still use their share of the limits; `None` if no host gathers parts.
    pub part_owners: Option<usize>,
    pub retry_limits: RetryBudgetLimits,
}

/// Pool with the targets that accept requests.
#[derive(Clone, Debug)]
pub struct PoolView {
    pub contract: PoolContract,
    /// State shared between views.
    pub state: Arc<PoolState>,
    /// Targets that are ready, run an allowed version and are in a failure domain in service.
    pub targets: Vec<Arc<TargetState>>,
    /// Division of requests between versions while the pool moves.
    pub version_split: VersionSplit,
}

impl PoolView {
    /// Whether a target of this version accepts requests.
    pub fn has_version(&self, version: &str) -> bool {
        self.targets.iter().any(|target| *target.record.version == *version)
    }
}
