//! Runs one experiment: starts the system, sends the load of each phase while its actions run, and computes figures.

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
use crate::experiment::figure_table::TargetTotals;
use crate::experiment::figure_table::TrafficSample;
use crate::experiment::revision_monitor::RevisionMonitor;
use crate::experiment::running_system::RunningSystem;
use crate::experiment::topology::Topology;
use crate::load_generator::LoadContext;
use crate::load_generator::LoadPhase;
use crate::load_generator::LoadRun;
use crate::load_generator::PhaseRecords;
use crate::load_generator::RouteInfo;
use crate::load_generator::caller_client;
use crate::target_stand_in::TargetStandIn;

/// Sampling interval of the traffic by service and failure domain.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Phase name of the figures that cover all phases.
const TOTAL: &str = "total";

/// Common prefix of all request IDs.
const PREFIX: &str = "p";

/// Result of an experiment, in the format of `--json`.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Name of the file without its extension.
    pub experiment: String,
    /// Seed of the load and of random choices by actions and targets.
    pub seed: u64,
    /// Measurements of all phases.
    pub figures: FigureTable,
    /// Results in the order of the experiment file.
    pub bounds: Vec<BoundOutcome>,
    /// Whether all bounds held.
    pub held: bool,
}

struct FinishedPhase {
    load: LoadRun,
    before: TargetTotals,
    after: TargetTotals,
}

/// Runs an experiment and sends the traces of all sessions to `traces`, if given.
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
    let mut monitor = None;
    for (index, phase) in file.phases.iter().enumerate() {
        if baseline != Some(phase.baseline) {
            // Requests of earlier phases run on hosts that are about to be killed, so they must complete first.
            for (index, finished) in finished.drain(..) {
                add_phase(&mut figures, &mut totals, file, index, finished, &system).await;
            }
            system.start_hosts(phase.baseline).await?;
            baseline = Some(phase.baseline);
        }
        // Sampling starts once the first hosts are ready, so that host startup does not count as propagation delay.
        let monitor = monitor.get_or_insert_with(|| RevisionMonitor::start(Arc::clone(&system)));
        finished.push((index, run_phase(file, index, &system, &context, seed).await?));
        let (behind, max_behind) = monitor.take_hosts_behind();
        figures.set(format!("{}.hosts.behind", phase.name), behind as f64);
        figures.set(format!("{}.hosts.max_behind", phase.name), max_behind as f64);
    }
    for (index, phase) in finished {
        add_phase(&mut figures, &mut totals, file, index, phase, &system).await;
    }
    let seconds = file.phases.iter().map(PhaseSpec::recorded_seconds).sum();
    figures.add_phase(TOTAL, PREFIX, seconds, &totals, &system.ledger);
    figures.add_target_counts(TOTAL, &TargetTotals::default(), &target_totals(&system));
    figures.add_ratios(file.phases.iter().map(|phase| phase.name.as_str()));
    let _ = stop_sampler.send(true);
    for (second, pair) in sampler.await.unwrap_or_default().windows(2).enumerate() {
        figures.add_traffic(second, &pair[0], &pair[1]);
    }
    let (reversions, spread) = monitor.as_ref().map(RevisionMonitor::totals).unwrap_or_default();
    figures.set(format!("{TOTAL}.hosts.reverted"), reversions as f64);
    figures.set(format!("{TOTAL}.hosts.spread_s"), spread.as_secs_f64());
    drop(monitor);
    probes.abort();
    system.kill_hosts().await;
    let stored = system.platform.value(CONFIG_KEY);
    if let Some(Ok(table)) = stored.map(|stored| serde_json::from_slice(&stored.value)) {
        figures.add_moves(&table);
    }
    for phase in file.phases.iter().filter(|phase| phase.reference) {
        figures.add_reference(&phase.name);
    }
    let bounds: Vec<_> = file.bounds.iter().map(|bound| figures.evaluate_bound(bound)).collect();
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
            shards: shard_counts_by_map(topology, &route.pool),
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

/// Number of shards by shard map, for a pool and all pools without a route, since a move can lead to any of them.
fn shard_counts_by_map(
    topology: &Topology,
    pool: &str,
) -> BTreeMap<ShardMapId, BTreeSet<ShardIndex>> {
    let is_routed = |name: &str| topology.routes.values().any(|route| route.pool == name);
    let usable = topology.services.iter().filter(|(name, _)| *name == pool || !is_routed(name));
    let mut counts: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for map in usable.flat_map(|(_, service)| &service.shard_maps) {
        counts.entry(map.id).or_default().insert(map.shards);
    }
    counts
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
            // The seed does not depend on the phase, so that phases with the same actions are comparable.
            let seed = seed.wrapping_mul(31).wrapping_add(number as u64 * 1_000);
            actions.spawn(action.clone().run(Arc::clone(system), seed));
        }
    }
    let before = target_totals(system);
    let load = LoadRun::send(context, &load_phase(phase, index, seed)).await;
    let after = target_totals(system);
    // Dropping the join set cancels repetitions that are due after the end of the phase.
    while let Some(result) = actions.try_join_next() {
        if let Some(failure) = result.unwrap_or_default().first() {
            return Err(ExperimentError::new(&phase.name, failure, "fix the action"));
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

fn target_totals(system: &RunningSystem) -> TargetTotals {
    let mut totals = TargetTotals::default();
    for target in &system.targets {
        totals.add_target(target.setup(), &target.counts());
    }
    totals
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
