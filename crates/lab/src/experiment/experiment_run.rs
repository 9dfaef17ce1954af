//! Runs one experiment: starts the system, sends the phases with their actions, and computes the figures.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;
use vanillapick_entry::session_recorder::TraceSender;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::ShardMapId;
use vanillapick_model::table::CONFIG_KEY;

use crate::experiment::experiment_file::ExperimentError;
use crate::experiment::experiment_file::ExperimentFile;
use crate::experiment::experiment_file::PhaseSpec;
use crate::experiment::figure_table::BoundOutcome;
use crate::experiment::figure_table::FigureTable;
use crate::experiment::figure_table::TargetSum;
use crate::experiment::figure_table::TrafficSample;
use crate::experiment::revision_watch::RevisionWatch;
use crate::experiment::running_system::RunningSystem;
use crate::experiment::topology::Topology;
use crate::load_generator::LoadContext;
use crate::load_generator::LoadPhase;
use crate::load_generator::LoadRun;
use crate::load_generator::PhaseRecords;
use crate::load_generator::RouteInfo;
use crate::load_generator::caller_client;
use crate::target_stand_in::TargetStandIn;

/// Interval of the samples of traffic by service and failure domain.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Name under which all phases are added up.
const TOTAL: &str = "total";

/// Prefix of all request ids.
const PREFIX: &str = "p";

/// Result of an experiment, as `--json` prints it.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of the run.
    pub seed: u64,
    /// All figures by name.
    pub figures: FigureTable,
    /// All bounds.
    pub bounds: Vec<BoundOutcome>,
    /// Whether all bounds held.
    pub held: bool,
}

struct FinishedPhase {
    load: LoadRun,
    before: TargetSum,
    after: TargetSum,
}

/// Runs an experiment; the traces of all sessions go to `traces`.
pub async fn run_experiment(
    file: &ExperimentFile,
    seed: u64,
    traces: Option<TraceSender>,
) -> Result<ExperimentReport, ExperimentError> {
    let system = Arc::new(RunningSystem::launch(file.topology.clone(), seed).await?);
    if let Some(traces) = traces {
        let _ = system.traces.set(traces);
    }
    let context = Arc::new(load_context(&system));
    let probes = system.balancer.start_probes(Duration::from_millis(file.balancer_lag_ms));
    let mut figures = FigureTable::default();
    let mut totals = PhaseRecords::new();
    let (stop_sampler, sampler) = start_sampler(Arc::clone(&system));

    let mut finished: Vec<(usize, FinishedPhase)> = Vec::new();
    let mut baseline = None;
    let mut watch = None;
    for (index, phase) in file.phases.iter().enumerate() {
        if baseline != Some(phase.baseline) {
            // Requests of earlier phases belong to the hosts that are stopped now.
            for (index, finished) in finished.drain(..) {
                add_phase(&mut figures, &mut totals, file, index, finished, &system).await;
            }
            system.start_hosts(phase.baseline).await?;
            baseline = Some(phase.baseline);
        }
        // Samples begin with the first hosts ready, so that their start does not count as spread.
        let watch = watch.get_or_insert_with(|| RevisionWatch::start(Arc::clone(&system)));
        finished.push((index, run_phase(file, index, &system, &context, seed).await?));
        let (behind, most) = watch.take_behind();
        figures.set(format!("{}.hosts.behind", phase.name), behind as f64);
        figures.set(format!("{}.hosts.max_behind", phase.name), most as f64);
    }
    for (index, phase) in finished {
        add_phase(&mut figures, &mut totals, file, index, phase, &system).await;
    }
    let seconds = file.phases.iter().map(PhaseSpec::recorded_seconds).sum();
    figures.add_phase(TOTAL, PREFIX, seconds, &totals, &system.ledger);
    figures.add_target_counts(TOTAL, &TargetSum::default(), &target_sum(&system));
    figures.add_ratios(file.phases.iter().map(|phase| phase.name.as_str()));
    let _ = stop_sampler.send(true);
    for (second, pair) in sampler.await.unwrap_or_default().windows(2).enumerate() {
        figures.add_traffic(second, &pair[0], &pair[1]);
    }
    let (reverted, spread) = watch.as_ref().map(RevisionWatch::totals).unwrap_or_default();
    figures.set(format!("{TOTAL}.hosts.reverted"), reverted as f64);
    figures.set(format!("{TOTAL}.hosts.spread_s"), spread.as_secs_f64());
    drop(watch);
    probes.abort();
    system.kill_hosts().await;
    let stored = system.platform.value(CONFIG_KEY);
    if let Some(Ok(table)) = stored.map(|stored| serde_json::from_slice(&stored.value)) {
        figures.add_moves(&table);
    }
    for phase in file.phases.iter().filter(|phase| phase.reference) {
        figures.add_reference(&phase.name);
    }
    let bounds: Vec<_> = file.bounds.iter().map(|bound| figures.judge(bound)).collect();
    let held = bounds.iter().all(|bound| bound.held);
    Ok(ExperimentReport { experiment: file.name.clone(), seed, figures, bounds, held })
}

fn load_context(system: &RunningSystem) -> LoadContext {
    let topology = &system.topology;
    let routes = topology.routes.iter().map(|(name, route)| {
        let service = topology.services.get(&route.pool);
        let maps = service.map(|service| &service.shard_maps[..]).unwrap_or_default();
        let first = maps.first().map_or(0, |map| map.id);
        let targets = system.targets.iter().filter(|target| {
            target.setup().service == route.pool && target.setup().shard_map == first
        });
        let info = RouteInfo {
            kind: route.kind,
            merge_size: route.contract.merge_size,
            shards: shards_by_map(topology, &route.pool),
            targets: targets.map(TargetStandIn::entry).collect(),
        };
        (name.clone(), info)
    });
    LoadContext {
        routes: routes.collect(),
        domains: topology.domains.clone(),
        balancer: Arc::clone(&system.balancer),
        client: caller_client(),
    }
}

/// Shard maps of a pool and of the pools without a route, to which moves lead.
fn shards_by_map(topology: &Topology, pool: &str) -> BTreeMap<ShardMapId, BTreeSet<ShardIndex>> {
    let is_routed = |name: &str| topology.routes.values().any(|route| route.pool == name);
    let usable = topology.services.iter().filter(|(name, _)| *name == pool || !is_routed(name));
    let mut shards: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for map in usable.flat_map(|(_, service)| &service.shard_maps) {
        shards.entry(map.id).or_default().insert(map.shards);
    }
    shards
}

async fn run_phase(
    file: &ExperimentFile,
    index: usize,
    system: &Arc<RunningSystem>,
    context: &Arc<LoadContext>,
    seed: u64,
) -> Result<FinishedPhase, ExperimentError> {
    let phase = &file.phases[index];
    let mut actions = JoinSet::new();
    for (number, action) in file.actions.iter().enumerate() {
        if action.phases.is_empty() || action.phases.contains(&phase.name) {
            // The same seed in every phase makes phases with the same actions comparable.
            let seed = seed.wrapping_mul(31).wrapping_add(number as u64 * 1_000);
            actions.spawn(action.clone().run(Arc::clone(system), seed));
        }
    }
    let before = target_sum(system);
    let load = LoadRun::send(context, &load_phase(phase, index, seed)).await;
    let after = target_sum(system);
    // Repetitions that are due after the end of the phase are dropped.
    while let Some(result) = actions.try_join_next() {
        if let Some(failure) = result.unwrap_or_default().first() {
            return Err(ExperimentError::new(&phase.name, failure, "correct the action"));
        }
    }
    Ok(FinishedPhase { load, before, after })
}

fn load_phase(phase: &PhaseSpec, index: usize, seed: u64) -> LoadPhase {
    LoadPhase {
        prefix: phase_prefix(index),
        rate: phase.rate,
        length: Duration::from_secs_f64(phase.seconds),
        warmup: Duration::from_secs_f64(phase.warmup_s),
        mix: phase.mix.clone(),
        seed: seed.wrapping_mul(7_919).wrapping_add(index as u64),
    }
}

fn phase_prefix(index: usize) -> String {
    format!("{PREFIX}{index}_")
}

async fn add_phase(
    figures: &mut FigureTable,
    totals: &mut PhaseRecords,
    file: &ExperimentFile,
    index: usize,
    finished: FinishedPhase,
    system: &RunningSystem,
) {
    let phase = &file.phases[index];
    let FinishedPhase { load, before, after } = finished;
    let records = load.finish().await;
    let prefix = phase_prefix(index);
    let seconds = phase.recorded_seconds();
    figures.add_phase(&phase.name, &prefix, seconds, &records, &system.ledger);
    for (label, record) in &records {
        totals.entry(label.clone()).or_default().merge(record);
    }
    figures.add_target_counts(&phase.name, &before, &after);
}

fn target_sum(system: &RunningSystem) -> TargetSum {
    let mut sum = TargetSum::default();
    for target in &system.targets {
        sum.add(target.setup(), &target.counts());
    }
    sum
}

fn traffic_sample(system: &RunningSystem) -> TrafficSample {
    let mut sample = TrafficSample::new();
    for target in &system.targets {
        let setup = target.setup();
        let key = (setup.service.clone(), setup.domain.clone());
        *sample.entry(key).or_default() += target.counts().runs;
    }
    sample
}

fn start_sampler(
    system: Arc<RunningSystem>,
) -> (watch::Sender<bool>, JoinHandle<Vec<TrafficSample>>) {
    let (stop, mut stopped) = watch::channel(false);
    let task = tokio::spawn(async move {
        let mut ticks = time::interval(SAMPLE_INTERVAL);
        let mut samples = Vec::new();
        loop {
            tokio::select! {
                _ = ticks.tick() => samples.push(traffic_sample(&system)),
                _ = stopped.changed() => return samples,
            }
        }
    });
    (stop, task)
}
