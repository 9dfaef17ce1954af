//! Command `demo [--keep]`: sends searches to a complete system in this process and kills replicas of one shard.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use pico_args::Arguments;
use reqwest::Client;
use tokio::time;
use vanillapick_model::answer::SearchAnswer;
use vanillapick_model::call::header;

use crate::experiment::experiment_file::ExperimentError;
use crate::experiment::running_system::RunningSystem;
use crate::experiment::topology::preset_text;
use crate::load_generator::caller_client;

/// Topology preset of the demo.
const PRESET: &str = "pajilla";

/// Route that the demo searches.
const ROUTE: &str = "stock";

/// Searches that open connections and fill the latency estimates before any are printed.
const WARMUP_SEARCHES: usize = 30;

const DEADLINE_MS: u64 = 1_000;

/// All replicas of one shard, killed one after the other.
const KILLED_REPLICAS: [&str; 2] = ["stock-1-07-0", "stock-1-07-1"];

/// Hits printed for each answer.
const PRINTED_HITS: usize = 3;

#[derive(Debug, Display, Error, From)]
enum DemoError {
    #[display("arguments: {_0}; vanillapick-lab demo [--keep]")]
    Arguments(pico_args::Error),
    #[display("{_0}")]
    Start(ExperimentError),
    #[display("the entry host did not answer: {_0}")]
    Search(reqwest::Error),
    #[display("invalid answer: {_0}")]
    Answer(serde_json::Error),
}

/// Runs the command. Exit status 0 unless an entry host fails to start or a printed search is not answered.
pub async fn run_command(arguments: Arguments) -> ExitCode {
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(mut arguments: Arguments) -> Result<(), DemoError> {
    let keeps_running = arguments.contains("--keep");
    if !arguments.finish().is_empty() {
        let error = "unknown argument".to_owned();
        return Err(pico_args::Error::ArgumentParsingFailed { cause: error }.into());
    }
    let text = preset_text(PRESET).unwrap_or_default();
    let topology = parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| ExperimentError::new(PRESET, error, "fix the preset"))?;
    let system = RunningSystem::launch(topology, 1).await?;
    system.start_hosts(false).await?;
    let hosts = system.host_entries();
    println!("{} entry hosts ready, {} targets", hosts.len(), system.targets.len());

    let client = caller_client();
    let mut answers = 0;
    for index in 0..WARMUP_SEARCHES {
        let host = hosts[index % hosts.len()].address;
        answers += usize::from(search(&client, host, &format!("warm-{index}")).await.is_ok());
    }
    println!("{answers} of {WARMUP_SEARCHES} warmup searches answered\n");

    let host = hosts[0].address;
    print_search(&client, host, "all-alive").await?;
    for (index, killed) in KILLED_REPLICAS.iter().enumerate() {
        if let Some(target) = system.targets.iter().find(|target| target.setup().id == *killed) {
            target.kill();
        }
        println!("killed target {killed}");
        print_search(&client, host, &format!("lost-{}", index + 1)).await?;
    }
    if keeps_running {
        println!("entry hosts:");
        for host in &hosts {
            println!("  {} in {}: http://{}", host.id, host.domain, host.address);
        }
        println!("platform: http://{}", system.platform.address());
        println!(
            "try: curl -d '{{\"query\":\"q\"}}' -H 'vp-request-id: a1' -H 'vp-deadline-ms: 1000' \
             http://{host}/search/{ROUTE}\npress Ctrl-C to stop"
        );
        let _ = tokio::signal::ctrl_c().await;
    }
    // Gives the hosts time to write their last log lines.
    time::sleep(Duration::from_millis(50)).await;
    system.kill_hosts().await;
    Ok(())
}

async fn search(client: &Client, host: SocketAddr, id: &str) -> Result<SearchAnswer, DemoError> {
    let reply = client
        .post(format!("http://{host}/search/{ROUTE}"))
        .header(header::REQUEST_ID, id)
        .header(header::DEADLINE_MS, DEADLINE_MS)
        .body(format!("{{\"query\":\"{id}\"}}"))
        .send()
        .await?;
    let status = reply.status();
    let body = reply.bytes().await?;
    if !status.is_success() {
        println!("refused with status {status}: {}", String::from_utf8_lossy(&body));
    }
    Ok(serde_json::from_slice(&body)?)
}

async fn print_search(client: &Client, host: SocketAddr, id: &str) -> Result<(), DemoError> {
    let start = Instant::now();
    let answer = search(client, host, id).await?;
    let coverage = &answer.coverage;
    println!(
        "search {id}: {} of {} shards at snapshot {}, {} hits, {} ms",
        coverage.answered,
        coverage.total,
        answer.snapshot,
        answer.hits.len(),
        start.elapsed().as_millis()
    );
    for missing in &coverage.missing {
        println!("  missing: shard {} ({})", missing.shard, missing.reason);
    }
    for hit in answer.hits.iter().take(PRINTED_HITS) {
        println!("  {:.3}  {}", hit.score, hit.id);
    }
    println!();
    Ok(())
}
