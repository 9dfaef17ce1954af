//! The operators' configuration as one document: routes, pools and the limits of callers.

use std::sync::Arc;
use std::time::Duration;

/// Name of a pool; routes and targets refer to it.
pub type PoolId = Arc<str>;

/// Name of a failure domain.
pub type DomainId = Arc<str>;

/// Name of a region, which holds one or more failure domains.
pub type RegionId = Arc<str>;

/// Version of the configuration; it grows in uneven steps.
pub type ConfigVersion = u64;

/// One whole version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigDocument {
    /// Version of this document.
    pub version: ConfigVersion,
    /// Routes in the order of the document.
    pub routes: Vec<Arc<RouteContract>>,
    /// Pools in the order of the document.
    pub pools: Vec<PoolContract>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// What a route promises to its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteContract {
    /// Name of the route.
    pub id: Arc<str>,
    /// Host name that callers ask for.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatRule,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is in time.
    pub latency_objective: Duration,
    /// Most targets that may run one request; for each shard where there are shards. At least 1.
    pub max_attempts: u32,
    /// Rank of the route; 0 goes first.
    pub priority: u8,
    /// Where requests go.
    pub pools: RoutePools,
    /// Regions whose targets may serve the route; empty for all.
    pub allowed_regions: Vec<RegionId>,
}

impl RouteContract {
    /// Whether targets of this region may serve the route. A region that is not known is outside every list.
    pub fn allows_region(&self, region: Option<&RegionId>) -> bool {
        self.allowed_regions.is_empty()
            || region.is_some_and(|region| self.allowed_regions.contains(region))
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatRule {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    Once,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutePools {
    /// One target of one pool.
    Single(PoolId),
    /// One target of one of several pools, by weight.
    Weighted(Vec<WeightedPool>),
    /// One target of every pool; each pool is a shard.
    Sharded(ShardedPools),
}

/// One part of a weighted route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedPool {
    /// Pool of this part.
    pub pool: PoolId,
    /// Its weight relative to the other parts; at least 0.
    pub weight: f64,
}

/// The shards of a search.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardedPools {
    /// One pool a shard; all of one version of the configuration.
    pub pools: Vec<PoolId>,
    /// Most records of an answer.
    pub result_limit: usize,
    /// Least share of the shards that an answer covers, from 0 to 1.
    pub min_shard_fraction: f64,
}

impl ShardedPools {
    /// Fewest shards that make an answer; at least one.
    pub fn min_shards(&self) -> usize {
        // Rounding up a product such as 0.95 * 20 must not ask for one shard more than the share means.
        const ROUNDING: f64 = 1e-9;
        let least = (self.min_shard_fraction * self.pools.len() as f64 - ROUNDING).ceil();
        (least as usize).clamp(1, self.pools.len().max(1))
    }
}

/// What the platform says of the targets of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolContract {
    /// Name of the pool.
    pub id: PoolId,
    /// Connections that a target accepts from all callers together.
    pub max_connections: u32,
    /// Requests a second that a cold target bears; 0 if it is only slower while cold.
    pub cold_requests_per_s: f64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Most bytes of a request head.
    pub max_header_bytes: usize,
    /// Most bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}
