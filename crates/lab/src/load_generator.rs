//! Open-loop load generator: sends requests at seeded times, whether or not earlier ones are answered, and measures
//! every latency from the scheduled send time.

pub mod load_plan;
pub mod entry_balancer;
pub mod answer_check;
pub mod load_record;
mod direct_search;
mod caller_request;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::route::RouteId;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::ShardMapId;
use vanillapick_model::target::TargetEntry;

use crate::load_generator::answer_check::AnswerFaults;
use crate::load_generator::caller_request::CallerRequest;
use crate::load_generator::caller_request::RequestReport;
use crate::load_generator::entry_balancer::EntryBalancer;
use crate::load_generator::load_plan::MixEntry;
use crate::load_generator::load_record::LoadRecord;
use crate::load_generator::load_record::RequestOutcome;

/// What the load generator must know about a route to check its answers.
#[derive(Clone, Debug)]
pub struct RouteInfo {
    /// Kind of request.
    pub kind: RouteKind,
    /// Maximum number of hits in an answer.
    pub merge_size: usize,
    /// Shard counts by shard map, over all pools that the route uses now or after a move.
    pub shards: BTreeMap<ShardMapId, BTreeSet<ShardIndex>>,
    /// Targets of the first shard map, which direct searches call.
    pub targets: Vec<TargetEntry>,
}

/// State that all requests of a load phase share.
#[derive(Debug)]
pub struct LoadContext {
    /// Routes that requests can be sent to.
    pub routes: BTreeMap<RouteId, RouteInfo>,
    /// Failure domains that direct searches choose their origin from, at random.
    pub domains: Vec<DomainId>,
    /// Chooses the entry host of each request.
    pub balancer: Arc<EntryBalancer>,
    /// HTTP client for requests to entry hosts.
    pub client: Client,
}

impl LoadContext {
    /// Returns what is known about `route`; `None` if the route does not exist.
    pub fn route(&self, route: &str) -> Option<&RouteInfo> {
        self.routes.get(route)
    }
}

/// Builds an HTTP client that never retries by itself, because such a retry would count as a write that ran twice.
pub fn caller_client() -> Client {
    let client = Client::builder().no_proxy().retry(reqwest::retry::never()).build();
    client.expect("a client without TLS and proxies needs nothing that can fail")
}

/// Parameters of a period with a constant request rate.
#[derive(Clone, Debug)]
pub struct LoadPhase {
    /// Prefix of the request ids, unique in the experiment.
    pub prefix: String,
    /// Mean requests per second.
    pub rate: f64,
    /// Time during which requests are sent, including the warm-up.
    pub length: Duration,
    /// Time from the start during which requests are sent but not recorded.
    pub warmup: Duration,
    /// Kinds of requests with their weights.
    pub mix: Vec<MixEntry>,
    /// Seed of the arrival times and of the choice of kinds.
    pub seed: u64,
}

/// Measurements of a phase by label of the mix entry.
pub type PhaseRecords = BTreeMap<String, LoadRecord>;

/// A load phase whose requests are sent but may not have ended yet.
pub struct LoadRun {
    records: Arc<Mutex<PhaseRecords>>,
    requests: JoinSet<()>,
}

impl LoadRun {
    /// Sends the requests of a phase and returns when the phase is over, without waiting for their replies.
    pub async fn send(context: &Arc<LoadContext>, phase: &LoadPhase) -> Self {
        let mut run = Self { records: Arc::default(), requests: JoinSet::new() };
        let mut generator = ChaCha8Rng::seed_from_u64(phase.seed);
        let direct_client = caller_client();
        let weights: f64 = phase.mix.iter().map(|entry| entry.weight).sum();
        let start = time::Instant::now();
        let mut offset_secs = 0.0;
        for number in 0.. {
            // Exponential gaps give a Poisson process, as independent callers do.
            offset_secs -= (1.0 - generator.random::<f64>()).ln() / phase.rate;
            let send_offset = Duration::from_secs_f64(offset_secs);
            if phase.length <= send_offset {
                break;
            }
            let entry = choose_mix_entry(&phase.mix, generator.random::<f64>() * weights).clone();
            let seed = generator.random();
            time::sleep_until(start + send_offset).await;
            while run.requests.try_join_next().is_some() {}
            let records = (phase.warmup <= send_offset).then(|| Arc::clone(&run.records));
            let request_id = format!("{}{}_{number}", phase.prefix, entry.label());
            let request = ScheduledRequest {
                entry,
                number,
                request_id,
                scheduled_at: start + send_offset,
                seed,
            };
            let (context, client) = (Arc::clone(context), direct_client.clone());
            run.requests.spawn(async move {
                let label = request.entry.label().to_owned();
                let is_write = context
                    .route(&request.entry.route)
                    .is_some_and(|info| info.kind == RouteKind::Write);
                let report = request.run(&context, &client).await;
                if let Some(records) = records {
                    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
                    add_report(records.entry(label).or_default(), report, is_write);
                }
            });
        }
        time::sleep_until(start + phase.length).await;
        run
    }

    /// Waits for the requests in flight and returns all measurements.
    pub async fn finish(mut self) -> PhaseRecords {
        while self.requests.join_next().await.is_some() {}
        std::mem::take(&mut *self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn choose_mix_entry(mix: &[MixEntry], mut point: f64) -> &MixEntry {
    for entry in mix {
        point -= entry.weight;
        if point < 0.0 {
            return entry;
        }
    }
    &mix[mix.len() - 1]
}

fn add_report(record: &mut LoadRecord, report: RequestReport, is_write: bool) {
    record.add(report.outcome);
    record.not_run.extend(report.not_run_ids);
    if is_write {
        record.writes.push(report.sent_ids);
    }
}

struct ScheduledRequest {
    entry: MixEntry,
    number: u64,
    request_id: String,
    scheduled_at: time::Instant,
    seed: u64,
}

impl ScheduledRequest {
    async fn run(self, context: &LoadContext, direct_client: &Client) -> RequestReport {
        if self.entry.direct {
            return self.run_direct(context, direct_client).await;
        }
        let Self { entry, number, request_id, scheduled_at, .. } = self;
        CallerRequest { context, entry: &entry, number, request_id, scheduled_at }.run().await
    }

    async fn run_direct(self, context: &LoadContext, client: &Client) -> RequestReport {
        let mut generator = ChaCha8Rng::seed_from_u64(self.seed);
        let targets = context.route(&self.entry.route).map(|info| &info.targets[..]);
        let domain = &context.domains[generator.random_range(0..context.domains.len())];
        let replicas =
            direct_search::choose_replicas(targets.unwrap_or_default(), domain, &mut generator);
        let body = self.entry.body(self.number);
        let is_answered = direct_search::search_directly(
            client,
            replicas,
            domain,
            &self.request_id,
            &body,
            self.entry.deadline_ms,
        )
        .await;
        let latency = self.scheduled_at.elapsed();
        let in_time = latency <= Duration::from_millis(self.entry.deadline_ms);
        let faults = AnswerFaults::default();
        let outcome = match is_answered {
            true => RequestOutcome::Answered { latency, in_time, search: None, faults },
            false => RequestOutcome::NoReply,
        };
        RequestReport { outcome, sent_ids: vec![self.request_id], not_run_ids: Vec::new() }
    }
}
