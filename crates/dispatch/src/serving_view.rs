//! The immutable view that requests are served from; a newer one replaces it as a whole.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config_document::CallerLimits;
use crate::config_document::ConfigVersion;
use crate::config_document::PoolContract;
use crate::config_document::PoolId;
use crate::pool_state::PoolState;
use crate::pool_state::RouteState;
use crate::retry_budget::RetryBudgetLimits;
use crate::route_table::RouteTable;
use crate::target_state::TargetState;
use crate::version_split::VersionSplit;

/// What a request needs to know. A request keeps the view that it started with.
#[derive(Debug)]
pub struct ServingView {
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Routes of that version.
    pub route_table: RouteTable,
    /// Pools of that version with their targets.
    pub pools: HashMap<PoolId, Arc<PoolView>>,
    /// State of routes by their name.
    pub routes: HashMap<Arc<str>, Arc<RouteState>>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Live hosts that share the limits of targets, this one included; at least 1.
    pub host_count: usize,
    /// Limits on extra attempts.
    pub retry_limits: RetryBudgetLimits,
}

/// One pool with the targets that may be used.
#[derive(Clone, Debug)]
pub struct PoolView {
    /// Contract of the pool.
    pub contract: PoolContract,
    /// State that lasts over views.
    pub state: Arc<PoolState>,
    /// Targets that take new work: ready, of an allowed version, in a failure domain that is in service.
    pub targets: Vec<Arc<TargetState>>,
    /// How requests are divided while the pool moves to another version.
    pub version_split: VersionSplit,
}
