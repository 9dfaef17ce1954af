//! Connections to all targets of a view.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use rand::seq::SliceRandom;
use vanillapick_dispatch::host_quota::connection_quota;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_dispatch::target_record::TargetId;
use vanillapick_dispatch::target_state::TargetState;

use crate::target_connections::TargetConnections;

/// Connections to targets, by target id.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    targets: HashMap<TargetId, (Arc<TargetState>, Arc<TargetConnections>)>,
}

impl ConnectionTable {
    /// Builds the table of the targets in `view`. A target that has not restarted keeps its connections from `self`.
    pub(crate) fn renewed(&self, view: &ServingView) -> Self {
        let mut targets = HashMap::new();
        for pool in view.pools.values() {
            let share = connection_quota(pool.contract.max_connections, view.host_count);
            for target in &pool.targets {
                let known = self.targets.get(&target.record.id);
                let connections = match known.filter(|(state, _)| Arc::ptr_eq(state, target)) {
                    Some((_, connections)) => Arc::clone(connections),
                    None => Arc::new(TargetConnections::new(Arc::clone(target), share)),
                };
                connections.set_share(share);
                targets.insert(Arc::clone(&target.record.id), (Arc::clone(target), connections));
            }
        }
        Self { targets }
    }

    /// Connections to up to `count` targets, drawn at random and preferably of different pools.
    pub(crate) fn sample(&self, count: usize, rng: &mut impl Rng) -> Vec<Arc<TargetConnections>> {
        let mut targets: Vec<_> = self.targets.values().collect();
        targets.shuffle(rng);
        let mut pools = BTreeSet::new();
        let (first, others): (Vec<_>, Vec<_>) =
            targets.into_iter().partition(|(target, _)| pools.insert(&target.record.pool));
        let sampled = first.into_iter().chain(others).take(count);
        sampled.map(|(_, connections)| Arc::clone(connections)).collect()
    }

    /// Returns `None` for a target that is not in the view of this table.
    pub(crate) fn get(&self, target: &TargetState) -> Option<&Arc<TargetConnections>> {
        self.targets.get(&target.record.id).map(|(_, connections)| connections)
    }
}
