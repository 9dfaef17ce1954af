//! The links of all targets of a view.

use std::collections::HashMap;
use std::sync::Arc;

use vanillapick_dispatch::host_quota::connection_quota;
use vanillapick_dispatch::serving_view::ServingView;
use vanillapick_dispatch::target_record::TargetId;
use vanillapick_dispatch::target_state::TargetState;

use crate::target_link::TargetLink;

/// Links by the id of their target.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    links: HashMap<TargetId, (Arc<TargetState>, Arc<TargetLink>)>,
}

impl LinkTable {
    /// Links of the targets of `view`. Links of `self` are kept as long as their target has not started again.
    pub(crate) fn renewed(&self, view: &ServingView) -> Self {
        let mut links = HashMap::new();
        for pool in view.pools.values() {
            let share = connection_quota(pool.contract.max_connections, view.host_count);
            for target in &pool.targets {
                let known = self.links.get(&target.record.id);
                let link = match known.filter(|(state, _)| Arc::ptr_eq(state, target)) {
                    Some((_, link)) => Arc::clone(link),
                    None => Arc::new(TargetLink::new(Arc::clone(target), share)),
                };
                link.set_share(share);
                links.insert(Arc::clone(&target.record.id), (Arc::clone(target), link));
            }
        }
        Self { links }
    }

    /// Link of a target.
    pub(crate) fn get(&self, target: &TargetState) -> Option<&Arc<TargetLink>> {
        self.links.get(&target.record.id).map(|(_, link)| link)
    }
}
