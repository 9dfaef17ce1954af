//! Selection of the shards and the snapshot that a request needs.

use std::time::Duration;

use bytes::Bytes;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::ShardIndex;

use crate::pin::PinChoice;
use crate::pin::choose_pin;
use crate::pin::choose_shard_pin;
use crate::serving_view::PoolView;

/// Shards that a request needs.
#[derive(Clone, Debug)]
pub(crate) enum ScatterScope {
    /// All shards of the shard map; for searches.
    All,
    /// The shard selected by the key, or shard 0 without a key; for reads.
    One(Option<Bytes>),
}

/// Snapshot and shards that a request is sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScatterPlacement {
    pub choice: PinChoice,
    pub first_shard: ShardIndex,
}

impl ScatterScope {
    /// Selects the best placement in `pool`. Returns `None` if no in-service replica has any snapshot.
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

    /// Returns the kind of requests with this scope.
    pub fn kind(&self) -> RouteKind {
        match self {
            Self::All => RouteKind::Search,
            Self::One(_) => RouteKind::Read,
        }
    }
}
