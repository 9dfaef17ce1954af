//! Actions of an experiment: scheduled changes to targets, entry hosts, links, the platform and the configuration.

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

/// Selects the targets of an action. All fields must match; a field that is not set matches every target.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSelector {
    /// Name of the service, which is also its pool.
    pub service: Option<PoolId>,
    /// ID, unique within the service.
    pub shard_map: Option<ShardMapId>,
    /// Any of these matches.
    pub shards: Option<Vec<ShardIndex>>,
    /// Index of the replica within its shard.
    pub replica: Option<u32>,
    /// Failure domain in which the target runs.
    pub domain: Option<DomainId>,
    /// Random fraction of the matching targets, but at least one.
    pub share: Option<f64>,
    /// Whether each repetition applies to the next matching target only, in the order of replica and shard.
    pub one_by_one: bool,
}

/// Selects the entry hosts of an action.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostSelector {
    /// Matches all hosts if empty.
    pub ids: Vec<HostId>,
    /// Matches hosts of all failure domains if not set.
    pub domain: Option<DomainId>,
}

/// Operation on the selected targets or hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ActionOperation {
    /// Patches the behaviour of targets.
    #[default]
    Set,
    /// Ends targets or hosts abruptly.
    Kill,
    /// Starts targets cold, as a new incarnation, or starts hosts that are not running.
    Start,
    /// Begins a cold start of targets without a new incarnation.
    TurnCold,
    /// Stops hosts gracefully.
    Stop,
}

/// Action that is scheduled within a phase. Exactly one of `targets`, `hosts`, `platform`, `cut_off` and `operator` is
/// set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedAction {
    /// Phases in which the action runs; all phases if empty.
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
    /// Applies `operation` to targets.
    #[serde(default)]
    pub targets: Option<TargetSelector>,
    /// Applies `operation` to entry hosts.
    #[serde(default)]
    pub hosts: Option<HostSelector>,
    /// Replaces the faults of the platform; `{}` clears them.
    #[serde(default)]
    pub platform: Option<PlatformFaults>,
    /// Replaces the failure domains that are cut off from all others and from the platform; `[]` restores all links.
    #[serde(default)]
    pub cut_off: Option<BTreeSet<DomainId>>,
    /// Runs a configuration edit.
    #[serde(default)]
    pub operator: Option<OperatorCommand>,
    /// Operation on targets or hosts; unused for other objects.
    #[serde(default, rename = "do")]
    pub operation: ActionOperation,
    /// Merge patch for the behaviour of the targets.
    #[serde(default)]
    pub set: Value,
}

fn default_times() -> u32 {
    1
}

impl TimedAction {
    /// Returns an error unless the action names exactly one object.
    pub fn check(&self) -> Result<(), String> {
        let named = [
            self.targets.is_some(),
            self.hosts.is_some(),
            self.platform.is_some(),
            self.cut_off.is_some(),
            self.operator.is_some(),
        ];
        if named.into_iter().filter(|is_named| *is_named).count() != 1 {
            return Err(
                "an action needs exactly one of targets, hosts, platform, cut_off and operator"
                    .to_owned(),
            );
        }
        Ok(())
    }

    /// Runs all repetitions of the action; call it at the start of a phase. Returns the error messages.
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
            let selected = selector.select(&system.targets, repetition, seed);
            for index in &selected {
                self.apply_to_target(&system.targets[*index])?;
            }
            if let Some(delay) = undo_after {
                let (system, action) = (Arc::clone(system), self.clone());
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    for index in selected {
                        action.undo_at_target(&system.targets[index]);
                    }
                });
            }
        }
        if let Some(selector) = &self.hosts {
            for (id, domain) in system.all_hosts() {
                let is_named = selector.ids.is_empty() || selector.ids.contains(&id);
                if is_named && selector.domain.as_ref().is_none_or(|named| *named == domain) {
                    tokio::spawn(apply_to_host(Arc::clone(system), id, self.operation, undo_after));
                }
            }
        }
        if let Some(faults) = &self.platform {
            system.platform.set_faults(faults.clone());
            if let Some(delay) = undo_after {
                let system = Arc::clone(system);
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    system.platform.set_faults(PlatformFaults::default());
                });
            }
        }
        if let Some(domains) = &self.cut_off {
            system.links.set_cut_off(domains.clone());
            if let Some(delay) = undo_after {
                let links = system.links.clone();
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    links.set_cut_off(BTreeSet::new());
                });
            }
        }
        match &self.operator {
            Some(command) => command.run(system.platform.address(), &system.targets).await,
            None => Ok(()),
        }
    }

    fn apply_to_target(&self, target: &TargetStandIn) -> Result<(), String> {
        match self.operation {
            ActionOperation::Set => {
                let behaviour = patched(&target.behaviour(), &self.set);
                target.set_behaviour(behaviour.map_err(|error| error.to_string())?);
            }
            ActionOperation::Kill => target.kill(),
            ActionOperation::Start => target.restart(),
            ActionOperation::TurnCold => target.start_cold(),
            ActionOperation::Stop => return Err("targets cannot be stopped; use kill".to_owned()),
        }
        Ok(())
    }

    /// Restarts a killed target, or resets the patched fields to their initial values. All other fields stay, so that
    /// other actions remain in effect.
    fn undo_at_target(&self, target: &TargetStandIn) {
        if self.operation == ActionOperation::Kill {
            target.restart();
            return;
        }
        let initial = serde_json::to_value(&target.setup().behaviour).unwrap_or_default();
        let Value::Object(fields) = &self.set else { return };
        let undo = fields.keys().map(|key| (key.clone(), initial[key].clone())).collect();
        if let Ok(behaviour) = patched(&target.behaviour(), &Value::Object(undo)) {
            target.set_behaviour(behaviour);
        }
    }
}

impl TargetSelector {
    fn select(&self, targets: &[TargetStandIn], repetition: u32, seed: u64) -> Vec<usize> {
        let is_selected = |target: &TargetStandIn| {
            let setup = target.setup();
            self.service.as_ref().is_none_or(|service| *service == setup.service)
                && self.shard_map.is_none_or(|map| map == setup.shard_map)
                && self.shards.as_ref().is_none_or(|shards| shards.contains(&setup.shard))
                && self.replica.is_none_or(|replica| replica == setup.replica)
                && self.domain.as_ref().is_none_or(|domain| *domain == setup.domain)
        };
        let mut selected: Vec<_> =
            (0..targets.len()).filter(|index| is_selected(&targets[*index])).collect();
        if self.one_by_one {
            return selected.get(repetition as usize).copied().into_iter().collect();
        }
        if let Some(share) = self.share {
            let count = (selected.len() as f64 * share).round().max(1.0) as usize;
            selected.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
            selected.truncate(count);
        }
        selected
    }
}

async fn apply_to_host(
    system: Arc<RunningSystem>,
    id: HostId,
    operation: ActionOperation,
    undo_after: Option<Duration>,
) {
    match operation {
        ActionOperation::Stop => system.stop_host(&id, true).await,
        ActionOperation::Kill => system.stop_host(&id, false).await,
        _ => {
            if let Err(error) = system.restart_host(&id).await {
                tracing::error!(%error, "failed to start the entry host");
            }
            return;
        }
    }
    let Some(delay) = undo_after else { return };
    time::sleep(delay).await;
    if let Err(error) = system.restart_host(&id).await {
        tracing::error!(%error, "failed to start the entry host");
    }
}
