//! Search without an entry host: the caller itself calls one replica of every shard. Experiments compare the latency of
//! entry hosts with it.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use tokio::task::JoinSet;
use vanillapick_model::call::header;
use vanillapick_model::target::TargetEntry;

use crate::target_stand_in::DOMAIN_HEADER;

/// Chooses one replica of every shard at random, preferring the failure domain of the caller.
pub fn choose_replicas(
    targets: &[TargetEntry],
    domain: &str,
    generator: &mut ChaCha8Rng,
) -> Vec<TargetEntry> {
    let shards = targets.iter().map(|target| target.shard + 1).max().unwrap_or_default();
    let mut chosen = Vec::new();
    for shard in 0..shards {
        let replicas: Vec<_> = targets.iter().filter(|target| target.shard == shard).collect();
        let local: Vec<_> =
            replicas.iter().copied().filter(|target| target.domain == domain).collect();
        let candidates = if local.is_empty() { replicas } else { local };
        if !candidates.is_empty() {
            chosen.push(candidates[generator.random_range(0..candidates.len())].clone());
        }
    }
    chosen
}

/// Calls all `replicas` concurrently and returns whether every one of them answered.
pub async fn search_directly(
    client: &Client,
    replicas: Vec<TargetEntry>,
    domain: &str,
    request_id: &str,
    body: &str,
    deadline_ms: u64,
) -> bool {
    let mut calls = JoinSet::new();
    for (attempt, target) in replicas.iter().enumerate() {
        let call = client
            .post(format!("http://{}/search/{}", target.address, target.shard))
            .header(header::REQUEST_ID, request_id)
            .header(header::ATTEMPT, attempt)
            .header(header::DEADLINE_MS, deadline_ms)
            .header(header::SHARD_MAP, target.shard_map)
            .header(DOMAIN_HEADER, domain)
            .body(body.to_owned());
        calls.spawn(async move {
            let Ok(reply) = call.send().await else { return false };
            reply.status().is_success() && reply.bytes().await.is_ok()
        });
    }
    calls.join_all().await.into_iter().all(|is_answered| is_answered)
}
