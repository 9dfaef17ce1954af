//! What this host knows of the versions of all pools, beside what the store has of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config_document::PoolId;
use crate::pool_versions::DueVersions;
use crate::pool_versions::PoolVersions;
use crate::pool_versions::VersionsByPool;
use crate::pool_versions::has_several_versions;
use crate::store_position::StoreRevision;
use crate::target_state::TargetState;
use crate::version_split::PoolMove;
use crate::version_split::PoolMoves;
use crate::version_split::VersionSplit;

/// Versions of all pools as this host knows them and as they are stored.
#[derive(Debug, Default)]
pub(crate) struct KnownVersions {
    known: VersionsByPool,
    /// Versions as the store has them, with the revision of the item.
    stored: BTreeMap<PoolId, (PoolVersions, StoreRevision)>,
    /// Pools with usable targets of several versions, by the last view.
    mixed_pools: BTreeSet<PoolId>,
}

impl KnownVersions {
    /// Applies the last record of a pool, unless its versions were written later; returns whether they change.
    pub(crate) fn apply_record(&mut self, pool: &PoolId, pool_move: Option<&PoolMove>) -> bool {
        let Some(pool_move) = pool_move else { return false };
        let Some(record) = &pool_move.record else { return false };
        let stored = self.stored.get(pool).map_or(0, |(_, revision)| *revision);
        if pool_move.stored.as_ref() != Some(record) || pool_move.record_revision < stored {
            return false;
        }
        let versions = self.known.entry(Arc::clone(pool)).or_default();
        let before = versions.clone();
        versions.record_end(record);
        *versions != before
    }

    /// Applies the versions of a pool as another host has written them; returns whether that changes any. What this host knows
    /// stays while the store may lack what was written before it was restored (`is_restoring`).
    pub(crate) fn apply_written(
        &mut self,
        pool: &PoolId,
        written: Option<PoolVersions>,
        revision: StoreRevision,
        pool_move: Option<&PoolMove>,
        is_restoring: bool,
    ) -> bool {
        let Some(written) = written else {
            self.stored.remove(pool);
            return false;
        };
        self.stored.insert(Arc::clone(pool), (written.clone(), revision));
        let versions = self.known.entry(Arc::clone(pool)).or_default();
        if is_restoring && versions.in_service.is_some() {
            return false;
        }
        let before = versions.clone();
        versions.adopt(written);
        self.apply_record(pool, pool_move);
        self.known.get(pool) != Some(&before)
    }

    /// Forgets what the store holds, because it was restored from a copy.
    pub(crate) fn forget_stored(&mut self) {
        self.stored.clear();
    }

    /// Begins a view of the pools that the configuration has now.
    pub(crate) fn begin_view(&mut self) {
        self.mixed_pools.clear();
    }

    /// Removes targets of a pool that must not get requests; returns how requests are divided among the remaining ones.
    pub(crate) fn split_pool(
        &mut self,
        pool: &PoolId,
        pool_move: Option<&PoolMove>,
        targets: &mut Vec<Arc<TargetState>>,
    ) -> VersionSplit {
        if has_several_versions(targets) {
            self.mixed_pools.insert(Arc::clone(pool));
        }
        let no_move = PoolMove::default();
        let pool_move = pool_move.unwrap_or(&no_move);
        let versions = self.known.entry(Arc::clone(pool)).or_default();
        versions.observe(targets, pool_move.active_order().map(|order| &order.version));
        pool_move.retain_usable(versions, targets)
    }

    /// Versions of the pools that have orders or records of moves.
    pub(crate) fn of_moves(&self, moves: &PoolMoves) -> VersionsByPool {
        let versions = self.known.iter().filter(|(pool, _)| moves.contains_key(*pool));
        versions.map(|(pool, versions)| (Arc::clone(pool), versions.clone())).collect()
    }

    /// Versions that the store lacks or has otherwise. Those of a pool with targets of one version need not be written: a host that
    /// starts sees them.
    pub(crate) fn due(&self) -> Vec<DueVersions> {
        let pools: BTreeSet<&PoolId> = self.stored.keys().chain(&self.mixed_pools).collect();
        let due = pools.into_iter().filter_map(|pool| {
            let versions = self.known.get(pool)?;
            if versions.in_service.is_none() || versions.is_guess {
                return None;
            }
            let stored = self.stored.get(pool);
            let is_stored = stored.is_some_and(|(stored, _)| stored == versions);
            (!is_stored).then(|| DueVersions {
                pool: Arc::clone(pool),
                versions: versions.clone(),
                revision: stored.map_or(0, |(_, revision)| *revision),
            })
        });
        due.collect()
    }
}
