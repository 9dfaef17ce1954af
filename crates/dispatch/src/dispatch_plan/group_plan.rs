//! The part of a plan that concerns groups: shards that other hosts gather, and plans of a group for another host.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::DispatchPlan;
use super::RemoteGathering;
use super::RequestTimes;
use super::ShardState;
use crate::attempt::SendCause;
use crate::attempt::SendCommand;
use crate::config_document::DomainId;
use crate::config_document::PoolId;
use crate::config_document::RouteContract;
use crate::config_document::RoutePools;
use crate::serving_view::ServingView;
use crate::shard_groups::ShardGroup;
use crate::shard_groups::shard_groups;

/// Part of the slack of the retry budget for the owners of groups.
const OWNERS_BUDGET_FRACTION: f64 = 0.5;

impl DispatchPlan {
    /// Plan of the shards at these positions, which another host asks for. No minimum applies here: the other host decides
    /// with the parts of all groups. `prior_attempts` of each shard may have been made elsewhere.
    pub fn for_group(
        route: &Arc<RouteContract>,
        view: &Arc<ServingView>,
        times: RequestTimes,
        shards: &[usize],
        prior_attempts: u32,
        rng: &mut impl Rng,
    ) -> Option<Self> {
        let RoutePools::Sharded(sharded) = &route.pools else { return None };
        let pools = shards.iter().map(|shard| sharded.pools.get(*shard).cloned());
        let pools = pools.collect::<Option<Vec<PoolId>>>()?;
        let spare = sharded.pools.len() - sharded.min_shards().min(sharded.pools.len());
        let skippable = spare * pools.len() / sharded.pools.len().max(1);
        let mut plan = Self::with_shards(route, view, times, &pools, 0, skippable, rng);
        plan.is_group = true;
        plan.budget_share = retry_budget_share(view, true, times.arrived);
        for state in &mut plan.shards {
            state.sends = prior_attempts as usize;
            state.executions = prior_attempts;
        }
        Some(plan)
    }

    /// Whether the shard waits for the host that gathers it.
    pub fn is_gathered(&self, shard: usize) -> bool {
        self.shards[shard].gathering == RemoteGathering::Waiting
    }

    /// Handles the part of a shard that another host has gathered. Returns whether the part counts.
    pub fn on_gathered(&mut self, shard: usize) -> bool {
        let Some(state) = self.shards.get_mut(shard) else { return false };
        if state.gathering != RemoteGathering::Waiting {
            return false;
        }
        state.gathering = RemoteGathering::Answered;
        self.release_held();
        true
    }

    /// Groups of shards to have gathered by other hosts than `own`, which is in `domain`.
    pub fn choose_groups(&self, domain: &str, own: &str) -> Vec<ShardGroup> {
        let RoutePools::Sharded(sharded) = &self.route.pools else { return Vec::new() };
        if !self.is_idempotent() {
            return Vec::new();
        }
        let homes: Vec<Option<&DomainId>> =
            self.shards.iter().map(|shard| self.home_domain(shard)).collect();
        shard_groups(&sharded.pools, &homes, domain, own, &self.view.part_hosts)
    }

    /// Failure domain of the nearest target of a shard; a host there may handle the request because the target may.
    fn home_domain<'a>(&self, shard: &'a ShardState) -> Option<&'a DomainId> {
        let targets = shard.pool.iter().flat_map(|pool| &pool.targets);
        let allowed = targets.filter(|target| self.route.allows_region(target.region.as_ref()));
        let nearest =
            allowed.min_by_key(|target| (target.distance as usize, &target.record.domain));
        nearest.map(|target| &target.record.domain)
    }

    /// Gives up shards whose host has failed to gather them and may have used all attempts.
    pub fn abandon_gathered(&mut self, shards: &[usize]) {
        for shard in shards {
            let state = &mut self.shards[*shard];
            if state.gathering == RemoteGathering::Waiting {
                state.gathering = RemoteGathering::None;
            }
        }
    }

    /// Sends shards from this host, because the host that should gather them has failed. If it may have sent them, it has used
    /// at most one attempt of each.
    pub fn take_back(
        &mut self,
        shards: &[usize],
        may_have_run: bool,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<SendCommand> {
        let waiting: Vec<usize> =
            shards.iter().copied().filter(|shard| self.is_gathered(*shard)).collect();
        for shard in &waiting {
            let state = &mut self.shards[*shard];
            state.gathering = RemoteGathering::None;
            if !may_have_run {
                state.sends = 0;
                state.executions = 0;
            }
        }
        if !may_have_run {
            return self.send_first(&waiting, now, rng);
        }
        let retries = waiting.into_iter();
        retries.filter_map(|shard| self.retry(shard, SendCause::Failure, now, rng)).collect()
    }
}

/// Part of the slack of a pool's retry budget for a plan of this host.
///
/// Few hosts gather the parts of a shard, and those send nearly all of its attempts. So half of the slack is divided among
/// its owners, unless there are as many owners as hosts; the rest is for searches that are not gathered by an owner. A host
/// whose lease has ended has no part, because the others no longer count it.
pub(super) fn retry_budget_share(view: &ServingView, is_group: bool, now: Duration) -> f64 {
    if !view.host_lease.is_held(now) {
        return 0.0;
    }
    let hosts = view.host_count as f64;
    let owners = match view.part_owners {
        Some(owners) if owners < view.host_count => owners as f64,
        _ => return 1.0 / hosts,
    };
    let share = OWNERS_BUDGET_FRACTION / owners;
    let rest = (1.0 - OWNERS_BUDGET_FRACTION) / hosts;
    if is_group { rest + share } else { rest }
}
