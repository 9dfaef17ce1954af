//! Which shards a request needs, and the pin that serves them best.

use std::time::Duration;

use bytes::Bytes;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::ShardIndex;

use crate::pin::PinChoice;
use crate::pin::choose_pin;
use crate::pin::choose_shard_pin;
use crate::serving_view::PoolView;

/// Which shards a request needs.
#[derive(Clone, Debug)]
pub(crate) enum ScatterScope {
    /// All of the shard map; for searches.
    All,
    /// The one that the key selects, or the only one; for reads.
    One(Option<Bytes>),
}

/// Where a request is sent: the pin, and the first of the shards that it needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScatterPlacement {
    pub choice: PinChoice,
    pub first_shard: ShardIndex,
}

impl ScatterScope {
    /// The best place in `pool` now; none when no replica in service holds any snapshot.
    pub fn choose_placement(&self, pool: &PoolView, now: Duration) -> Option<ScatterPlacement> {
        match self {
            Self::All => Some(ScatterPlacement { choice: choose_pin(pool, now)?, first_shard: 0 }),
            Self::One(key) => {
                let (pin, first_shard) = choose_shard_pin(pool, key.as_deref(), now)?;
                Some(ScatterPlacement {
                    choice: PinChoice { pin, covered: 1, total: 1 },
                    first_shard,
                })
            }
        }
    }

    /// Kind of the request.
    pub fn kind(&self) -> RouteKind {
        match self {
            Self::All => RouteKind::Search,
            Self::One(_) => RouteKind::Read,
        }
    }
}
