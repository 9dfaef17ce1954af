//! The part of a plan that concerns targets which name a limit on requests, or want none for some time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::DispatchPlan;
use super::ShardState;
use crate::request_limit::TurnClaim;
use crate::request_limit::retry_after;
use crate::shard_groups::domain_owners;
use crate::target_state::TargetDistance;
use crate::target_state::TargetState;

/// Part of a target's limit for the owners of groups in its failure domain, where searches are divided into groups.
const OWNERS_LIMIT_FRACTION: f64 = 0.75;

impl DispatchPlan {
    /// Whether the target takes this request now: it wants requests, and names no limit or has a turn.
    pub(super) fn has_turn(&self, shard: usize, target: &TargetState, now: Duration) -> bool {
        self.turn_delay(shard, target, now).is_zero()
    }

    /// Claim of this request on the turns of a target.
    pub(super) fn turn_claim(&self, shard: usize, target: &TargetState) -> TurnClaim {
        TurnClaim { share: self.limit_share(&self.shards[shard], target), level: self.level() }
    }

    /// Levels of urgency above that of this request.
    fn level(&self) -> u8 {
        self.route.priority.saturating_sub(self.view.top_priority)
    }

    fn turn_delay(&self, shard: usize, target: &TargetState, now: Duration) -> Duration {
        let paused = target.paused_for(now);
        if !target.request_limit.is_named() {
            return paused;
        }
        paused.max(target.request_limit.turn_delay(self.turn_claim(shard, target), now))
    }

    /// Shards of this host for which no target takes a request now.
    pub(super) fn limited_shards(&self, now: Duration) -> Vec<usize> {
        let shards = (0..self.shards.len()).filter(|shard| !self.is_gathered(*shard));
        shards
            .filter(|shard| self.shard_delay(*shard, now).is_some_and(|delay| !delay.is_zero()))
            .collect()
    }

    /// Time until a target of the shard takes a request; `None` if it has no target.
    fn shard_delay(&self, shard: usize, now: Duration) -> Option<Duration> {
        let targets = self.shards[shard].pool.iter().flat_map(|pool| &pool.targets);
        let allowed = targets.filter(|target| {
            let is_usable = !target.is_misdirected(now) && !target.has_left(now);
            is_usable && self.route.allows_region(target.region.as_ref())
        });
        let mut least = None;
        for target in allowed {
            let delay = self.turn_delay(shard, target, now);
            if delay.is_zero() {
                return Some(delay);
            }
            least = Some(least.map_or(delay, |least: Duration| least.min(delay)));
        }
        least
    }

    /// Number of shards that were left out because none of their targets took a request.
    pub fn limited_count(&self) -> usize {
        self.limited
    }

    /// Time after which a request may be sent again that was refused because of limits.
    pub fn limit_retry_after(&self, now: Duration, rng: &mut impl Rng) -> Duration {
        let shards = 0..self.shards.len();
        let mut delays: Vec<Duration> =
            shards.filter_map(|shard| self.shard_delay(shard, now)).collect();
        delays.sort_unstable();
        let enough = delays.get(self.min_shards.saturating_sub(1)).copied();
        retry_after(enough.unwrap_or_default(), self.level(), rng)
    }

    /// This host's part of the limit of a target.
    ///
    /// Where searches are divided into groups, the owners of a group in the failure domain of a target send nearly all of its
    /// requests, and get most of its limit. All hosts have an equal part of the rest, and of other limits.
    fn limit_share(&self, shard: &ShardState, target: &TargetState) -> f64 {
        let equal = 1.0 / self.view.host_count as f64;
        if !self.is_divided {
            return equal;
        }
        let rest = (1.0 - OWNERS_LIMIT_FRACTION) * equal;
        if !self.is_group || target.distance != TargetDistance::Domain {
            return rest;
        }
        let hosts = self.view.part_hosts.get(&target.record.domain).map_or(0, BTreeMap::len);
        let callers = self.calling_domains(shard) * domain_owners(hosts);
        rest + OWNERS_LIMIT_FRACTION / callers.max(1) as f64
    }

    /// Number of failure domains whose hosts have the shard gathered in the failure domain of this host. Each of them may
    /// choose other owners, because its groups differ.
    fn calling_domains(&self, shard: &ShardState) -> usize {
        let location = &self.view.location;
        let targets = || shard.pool.iter().flat_map(|pool| &pool.targets);
        let domains = || targets().map(|target| &*target.record.domain);
        let home = |caller: &str| {
            domains()
                .min_by_key(|domain| (location.distance_between(caller, domain) as usize, *domain))
        };
        let callers = location.regions.keys();
        callers.filter(|caller| home(caller) == Some(location.domain.as_str())).count()
    }
}
