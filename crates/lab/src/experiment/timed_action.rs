//! Timed actions of an experiment: what is done to targets, hosts, platform and configuration, and when.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::Value;
use tokio::time;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostId;
use vanillapick_model::pool::PoolId;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::ShardMapId;

use crate::experiment::operator_command::OperatorCommand;
use crate::experiment::running_system::RunningSystem;
use crate::json_patch::patched;
use crate::platform_stand_in::platform_faults::PlatformFaults;
use crate::target_stand_in::TargetStandIn;

/// Which targets an action applies to; a field that is not named selects all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSelector {
    /// Service of the target.
    pub service: Option<PoolId>,
    /// Shard map of the target.
    pub shard_map: Option<ShardMapId>,
    /// Shards of the target.
    pub shards: Option<Vec<ShardIndex>>,
    /// Index among the replicas of the shard.
    pub replica: Option<u32>,
    /// Failure domain of the target.
    pub domain: Option<DomainId>,
    /// Share of the targets that the other fields select, at random, at least one.
    pub share: Option<f64>,
    /// Every repetition takes the next target, ordered by replica and shard.
    pub one_by_one: bool,
}

/// Which entry hosts an action applies to.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostSelector {
    /// Names of the hosts; all if none are named.
    pub ids: Vec<HostId>,
    /// Failure domain of the hosts.
    pub domain: Option<DomainId>,
}

/// What is done to the selected targets or hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ActionVerb {
    /// Targets: patches the behaviour.
    #[default]
    Set,
    /// Targets and hosts: ends them abruptly.
    Kill,
    /// Targets: starts a new incarnation, cold. Hosts: starts those that were ended.
    Start,
    /// Targets: starts a cold start without a new incarnation.
    TurnCold,
    /// Hosts: planned stop.
    Stop,
}

/// One timed action. Exactly one of `targets`, `hosts`, `platform`, `cut_off` and `operator` is named.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedAction {
    /// Phases the action happens in; all if none are named.
    #[serde(default)]
    pub phases: Vec<String>,
    /// Time from the start of the phase, in seconds.
    pub at_s: f64,
    /// Time between repetitions, in seconds.
    #[serde(default)]
    pub every_s: f64,
    /// Number of repetitions.
    #[serde(default = "default_times")]
    pub times: u32,
    /// Time after which `set`, `kill`, `cut_off` and platform faults are undone, in seconds.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// Targets.
    #[serde(default)]
    pub targets: Option<TargetSelector>,
    /// Entry hosts.
    #[serde(default)]
    pub hosts: Option<HostSelector>,
    /// Faults of the platform; `{}` heals it.
    #[serde(default)]
    pub platform: Option<PlatformFaults>,
    /// Failure domains that are cut off from all others and from the platform; `[]` heals the links.
    #[serde(default)]
    pub cut_off: Option<BTreeSet<DomainId>>,
    /// Edit by operators.
    #[serde(default)]
    pub operator: Option<OperatorCommand>,
    /// What is done to targets or hosts.
    #[serde(default, rename = "do")]
    pub verb: ActionVerb,
    /// Merge patch on the behaviour of the targets.
    #[serde(default)]
    pub set: Value,
}

fn default_times() -> u32 {
    1
}

impl TimedAction {
    /// What is wrong with the action, if anything.
    pub fn check(&self) -> Result<(), String> {
        let named = [
            self.targets.is_some(),
            self.hosts.is_some(),
            self.platform.is_some(),
            self.cut_off.is_some(),
            self.operator.is_some(),
        ];
        if named.into_iter().filter(|is_named| *is_named).count() != 1 {
            return Err("an action names not exactly one of its objects".to_owned());
        }
        Ok(())
    }

    /// Runs the action with all its repetitions, from the start of a phase on. Returns what failed.
    pub async fn run(self, system: Arc<RunningSystem>, seed: u64) -> Vec<String> {
        let start = time::Instant::now();
        let mut failures = Vec::new();
        for repetition in 0..self.times {
            let due = self.at_s + self.every_s * f64::from(repetition);
            time::sleep_until(start + Duration::from_secs_f64(due)).await;
            let seed = seed.wrapping_add(u64::from(repetition));
            if let Err(failure) = self.apply(&system, repetition, seed).await {
                failures.push(failure);
            }
        }
        failures
    }

    async fn apply(
        &self,
        system: &Arc<RunningSystem>,
        repetition: u32,
        seed: u64,
    ) -> Result<(), String> {
        let undo_after = self.for_s.map(Duration::from_secs_f64);
        if let Some(selector) = &self.targets {
            let chosen = selector.choose(&system.targets, repetition, seed);
            for index in &chosen {
                self.apply_to_target(&system.targets[*index])?;
            }
            if let Some(pause) = undo_after {
                let (system, action) = (Arc::clone(system), self.clone());
                tokio::spawn(async move {
                    time::sleep(pause).await;
                    for index in chosen {
                        action.undo_at_target(&system.targets[index]);
                    }
                });
            }
        }
        if let Some(selector) = &self.hosts {
            for (id, domain) in system.host_names() {
                let is_named = selector.ids.is_empty() || selector.ids.contains(&id);
                if is_named && selector.domain.as_ref().is_none_or(|named| *named == domain) {
                    tokio::spawn(change_host(Arc::clone(system), id, self.verb, undo_after));
                }
            }
        }
        if let Some(faults) = &self.platform {
            system.platform.set_faults(faults.clone());
            if let Some(pause) = undo_after {
                let system = Arc::clone(system);
                tokio::spawn(async move {
                    time::sleep(pause).await;
                    system.platform.set_faults(PlatformFaults::default());
                });
            }
        }
        if let Some(domains) = &self.cut_off {
            system.links.set_cut(domains.clone());
            if let Some(pause) = undo_after {
                let links = system.links.clone();
                tokio::spawn(async move {
                    time::sleep(pause).await;
                    links.set_cut(BTreeSet::new());
                });
            }
        }
        match &self.operator {
            Some(command) => command.run(system.platform.address(), &system.targets).await,
            None => Ok(()),
        }
    }

    fn apply_to_target(&self, target: &TargetStandIn) -> Result<(), String> {
        match self.verb {
            ActionVerb::Set => {
                let behaviour = patched(&target.behaviour(), &self.set);
                target.set_behaviour(behaviour.map_err(|error| error.to_string())?);
            }
            ActionVerb::Kill => target.kill(),
            ActionVerb::Start => target.restart(),
            ActionVerb::TurnCold => target.start_cold(),
            ActionVerb::Stop => return Err("targets are not stopped but killed".to_owned()),
        }
        Ok(())
    }

    /// Gives the patched fields their values from the start, so that undoing leaves other actions in force.
    fn undo_at_target(&self, target: &TargetStandIn) {
        if self.verb == ActionVerb::Kill {
            target.restart();
            return;
        }
        let first = serde_json::to_value(&target.setup().behaviour).unwrap_or_default();
        let Value::Object(fields) = &self.set else { return };
        let undo = fields.keys().map(|key| (key.clone(), first[key].clone())).collect();
        if let Ok(behaviour) = patched(&target.behaviour(), &Value::Object(undo)) {
            target.set_behaviour(behaviour);
        }
    }
}

impl TargetSelector {
    fn choose(&self, targets: &[TargetStandIn], repetition: u32, seed: u64) -> Vec<usize> {
        let is_selected = |target: &TargetStandIn| {
            let setup = target.setup();
            self.service.as_ref().is_none_or(|service| *service == setup.service)
                && self.shard_map.is_none_or(|map| map == setup.shard_map)
                && self.shards.as_ref().is_none_or(|shards| shards.contains(&setup.shard))
                && self.replica.is_none_or(|replica| replica == setup.replica)
                && self.domain.as_ref().is_none_or(|domain| *domain == setup.domain)
        };
        let mut chosen: Vec<_> =
            (0..targets.len()).filter(|index| is_selected(&targets[*index])).collect();
        if self.one_by_one {
            return chosen.get(repetition as usize).copied().into_iter().collect();
        }
        if let Some(share) = self.share {
            let count = (chosen.len() as f64 * share).round().max(1.0) as usize;
            chosen.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
            chosen.truncate(count);
        }
        chosen
    }
}

async fn change_host(
    system: Arc<RunningSystem>,
    id: HostId,
    verb: ActionVerb,
    undo_after: Option<Duration>,
) {
    match verb {
        ActionVerb::Stop => system.end_host(&id, true).await,
        ActionVerb::Kill => system.end_host(&id, false).await,
        _ => {
            if let Err(error) = system.start_host_again(&id).await {
                tracing::error!(%error, "the entry host does not start");
            }
            return;
        }
    }
    let Some(pause) = undo_after else { return };
    time::sleep(pause).await;
    if let Err(error) = system.start_host_again(&id).await {
        tracing::error!(%error, "the entry host does not start");
    }
}
