//! Routing configuration written by operators: routes, pools and limits on requests, as one versioned document.

use std::sync::Arc;
use std::time::Duration;

use crate::gather::RECORD_BYTES;

/// Name of a pool, by which routes and targets refer to it.
pub type PoolId = Arc<str>;

/// Name of a failure domain.
pub type DomainId = Arc<str>;

/// Name of a region, which contains one or more failure domains.
pub type RegionId = Arc<str>;

/// Configuration version, which increases but not necessarily by one.
pub type ConfigVersion = u64;

/// A complete version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigDocument {
    pub version: ConfigVersion,
    /// Routes in document order.
    pub routes: Vec<Arc<RouteContract>>,
    /// Pools in document order.
    pub pools: Vec<PoolContract>,
    pub limits: CallerLimits,
}

/// Matching rules, limits and service levels of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteContract {
    pub id: Arc<str>,
    /// Host name to match, without a port.
    pub host: String,
    /// Path prefix to match; starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub repeat: RepeatRule,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Time within which a response should be sent; later ones count as late.
    pub latency_objective: Duration,
    /// Maximum number of targets that may execute a request, for each shard if the route has shards. At least 1.
    pub max_attempts: u32,
    /// Priority under overload; 0 is the most urgent.
    pub priority: u8,
    pub pools: RoutePools,
    /// Regions whose targets may serve the route; all if empty.
    pub allowed_regions: Vec<RegionId>,
}

/// Size limit of the reply to a request that goes to a single target.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Minimum of the size limit of a shard's part.
const MIN_PART_LIMIT: usize = 64 << 10;

/// A part may have this many times the records that the route returns, because targets need not select them.
const PART_RECORDS_FACTOR: usize = 64;

impl RouteContract {
    /// Size limit of the body of one reply. Targets in trouble may send bytes without end.
    pub fn max_reply_bytes(&self) -> usize {
        match &self.pools {
            RoutePools::Sharded(sharded) => {
                let records = sharded.result_limit.saturating_mul(PART_RECORDS_FACTOR);
                records.saturating_mul(RECORD_BYTES).clamp(MIN_PART_LIMIT, MAX_REPLY_BYTES)
            }
            RoutePools::Single(_) | RoutePools::Weighted(_) => MAX_REPLY_BYTES,
        }
    }

    /// Number of shards; 1 if the route is not sharded.
    pub fn shard_count(&self) -> usize {
        match &self.pools {
            RoutePools::Sharded(sharded) => sharded.pools.len(),
            RoutePools::Single(_) | RoutePools::Weighted(_) => 1,
        }
    }

    /// Whether targets of this region may serve the route. Targets of unknown region may serve only unrestricted
    /// routes.
    pub fn allows_region(&self, region: Option<&RegionId>) -> bool {
        self.allowed_regions.is_empty()
            || region.is_some_and(|region| self.allowed_regions.contains(region))
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatRule {
    /// Any number of executions is safe.
    Idempotent,
    /// At most one execution is allowed.
    Once,
}

/// Pools that serve the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutePools {
    /// Each request goes to one target of this pool.
    Single(PoolId),
    /// Each request goes to one target of one pool, chosen by weight.
    Weighted(Vec<WeightedPool>),
    /// Each request goes to one target of every pool; each pool is a shard.
    Sharded(ShardedPools),
}

/// Pool of a weighted route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedPool {
    pub pool: PoolId,
    /// Weight relative to the other pools of the route; at least 0.
    pub weight: f64,
}

/// Shards of a scatter-gather route and limits on its merged responses.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardedPools {
    /// One pool per shard, all from the same configuration version.
    pub pools: Vec<PoolId>,
    /// Maximum number of records in a merged response.
    pub result_limit: usize,
    /// Minimum fraction of the shards that a response must cover, from 0 to 1.
    pub min_shard_fraction: f64,
}

impl ShardedPools {
    /// Minimum number of shards that a response must cover; at least one.
    pub fn min_shards(&self) -> usize {
        // A product such as 0.95 * 20 can exceed the integer by a rounding error, which `ceil` would count as a shard.
        const ROUNDING_TOLERANCE: f64 = 1e-9;
        let min = (self.min_shard_fraction * self.pools.len() as f64 - ROUNDING_TOLERANCE).ceil();
        (min as usize).clamp(1, self.pools.len().max(1))
    }
}

/// Capacity limits of the targets of a pool, as the platform states them.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolContract {
    pub id: PoolId,
    /// Connections that a target accepts from all clients together.
    pub max_connections: u32,
    /// Requests per second that a cold target can serve; 0 if it takes the usual load and is only slower.
    pub cold_requests_per_s: f64,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers.
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    /// Maximum time for the request line and headers to arrive.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}
