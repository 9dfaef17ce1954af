//! Costs of real entry hosts on loopback: bytes, processor time and memory per host, and the sizes of their messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use reqwest::Client;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;
use vanillapick_entry::link_rule::LinkRule;
use vanillapick_fleet::simulation::domain_name;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_model::call::header;
use vanillapick_model::host::HostEntry;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_model::table::ConfigTable;

use crate::capacity::message_tap::MessageTap;
use crate::capacity::message_tap::TappedMessage;
use crate::capacity::process_usage::entry_cpu_nanos;
use crate::capacity::process_usage::resident_kib;
use crate::entry_hosts::EntryHost;
use crate::platform_stand_in::PlatformStandIn;
use crate::platform_stand_in::key_value_store::StoreRevision;
use crate::target_stand_in::TargetSetup;
use crate::target_stand_in::TargetStandIn;
use crate::target_stand_in::run_ledger::RunLedger;
use crate::target_stand_in::target_behaviour::TargetBehaviour;

/// Numbers of hosts in the process that are measured.
const HOST_COUNTS: [u32; 3] = [6, 12, 24];

const DOMAINS: u32 = 3;

/// Shards of the pool in measurements without load. Each has two target stand-ins.
const IDLE_SHARDS: u32 = 6;

/// Shards of a search at the target size.
const SEARCH_SHARDS: u32 = 62;

/// Number of hosts that searches are sent to.
const LOADED_HOSTS: u32 = 2;

/// Concurrent searches at each loaded host.
const CONCURRENT_SEARCHES: u32 = 2;

/// Searches that each sender sends before the measurement.
const WARM_UP_SEARCHES: u32 = 40;

/// Searches that each sender sends during the measurement.
const COUNTED_SEARCHES: u32 = 200;

/// Time in which started hosts discover each other.
const WARM_UP: Duration = Duration::from_secs(3);

/// Length of the measurement at each number of hosts.
const MEASURED_TIME: Duration = Duration::from_secs(5);

const SEARCH_DEADLINE_MS: u64 = 1_000;

/// Time for which messages go through the taps.
const TAP_TIME: Duration = Duration::from_secs(5);

/// Reason why the hosts could not be measured.
#[derive(Debug, Display, Error, From)]
pub enum LiveError {
    /// A listener could not be opened on loopback.
    #[display("cannot listen on loopback: {_0}")]
    Listen(std::io::Error),
    /// The settings, the configuration or a status page could not be converted from or to JSON.
    #[display("cannot convert JSON: {_0}")]
    Json(serde_json::Error),
    /// An entry host did not start.
    #[display("an entry host did not start: {reason}")]
    #[from(ignore)]
    Start {
        /// Error message of the host.
        reason: String,
    },
    /// The platform stand-in rejected a write of the configuration, or the sample configuration has no target.
    #[display("the configuration could not be written to the platform stand-in")]
    #[from(ignore)]
    Config,
    /// A request for a status page failed.
    #[display("request for the status page failed: {_0}")]
    Status(reqwest::Error),
}

/// Costs of some number of hosts in one process.
#[derive(Clone, Debug, Serialize)]
pub struct LiveRow {
    /// Number of hosts.
    pub hosts: u32,
    /// Mean bytes of message bodies received and sent per host and second, from `GET /status`.
    pub peer_bytes: f64,
    /// Bytes of message bodies per second of the host with the most.
    pub peer_bytes_busiest: f64,
    /// Processor time of the peer state per host and second in microseconds, from `GET /status`.
    pub peer_cpu_us: f64,
    /// Processor time per host and second of all threads of the entry hosts, in microseconds. Includes HTTP, probes and
    /// calls to the platform.
    pub entry_cpu_us: f64,
    /// Calls to the platform per host and second.
    pub platform_calls: f64,
    /// Resident memory of the process in KiB, including the stand-ins.
    pub resident_kib: u64,
}

/// Results of all measurements with real hosts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LiveCost {
    /// Costs without load, by number of hosts.
    pub rows: Vec<LiveRow>,
    /// Sizes of the messages between two real hosts and to a target, by path.
    pub messages: Vec<TappedMessage>,
    /// Cost of searches over HTTP.
    pub searches: SearchCost,
}

/// Processor time of searches at real hosts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SearchCost {
    /// Searches sent.
    pub searches: u32,
    /// Searches answered with a success status.
    pub answered: u32,
    /// Shard calls per search.
    pub shards: u32,
    /// Processor time of the entry hosts per shard call in microseconds, including HTTP on both sides, less the cost of
    /// idle hosts.
    pub cpu_us_per_call: f64,
    /// Length of the measurement.
    pub seconds: f64,
}

struct LiveFleet {
    platform: PlatformStandIn,
    table: ConfigTable,
    targets: Vec<TargetStandIn>,
    hosts: Vec<EntryHost>,
    client: Client,
}

/// Measures hosts in this process. The growing fleet is measured first, because memory left by other measurements would
/// distort the memory of the hosts.
pub async fn measure() -> Result<LiveCost, LiveError> {
    let mut fleet = LiveFleet::launch(IDLE_SHARDS).await?;
    let mut rows = Vec::new();
    for hosts in HOST_COUNTS {
        fleet.grow_to(hosts).await?;
        rows.push(fleet.measure().await?);
    }
    fleet.stop().await;
    Ok(LiveCost { rows, messages: tap_messages().await?, searches: measure_searches().await? })
}

/// Measures message sizes with two taps: one is in front of the second host and listed as a third host, the other is in
/// front of a target.
async fn tap_messages() -> Result<Vec<TappedMessage>, LiveError> {
    let mut fleet = LiveFleet::launch(IDLE_SHARDS).await?;
    let target_tap = MessageTap::launch(fleet.targets[0].address()).await?;
    fleet.table.revision += 1;
    for pool in fleet.table.pools.values_mut() {
        pool.targets[0].address = target_tap.address();
    }
    write_table(&fleet.platform, &fleet.table, 1)?;
    fleet.grow_to(2).await?;
    let mut entries = fleet.entries();
    let tap = MessageTap::launch(entries[1].address).await?;
    let tapped = HostEntry { id: "tap".to_owned(), address: tap.address(), ..entries[1].clone() };
    entries.push(tapped);
    fleet.platform.set_hosts(entries);
    time::sleep(WARM_UP + TAP_TIME).await;
    fleet.stop().await;
    Ok([tap.messages(), target_tap.messages()].concat())
}

/// Measures searches at real hosts, with as many shards as at the target size.
async fn measure_searches() -> Result<SearchCost, LiveError> {
    let mut fleet = LiveFleet::launch(SEARCH_SHARDS).await?;
    fleet.grow_to(LOADED_HOSTS).await?;
    fleet.send_searches("first", WARM_UP_SEARCHES).await;
    let idle = fleet.measure().await?;
    let nanos_before = entry_cpu_nanos();
    let start = Instant::now();
    let answered = fleet.send_searches("counted", COUNTED_SEARCHES).await;
    let seconds = start.elapsed().as_secs_f64();
    let spent_us = entry_cpu_nanos().saturating_sub(nanos_before) as f64 / 1e3;
    fleet.stop().await;
    let searches = COUNTED_SEARCHES * LOADED_HOSTS * CONCURRENT_SEARCHES;
    let idle_us = idle.entry_cpu_us * f64::from(LOADED_HOSTS) * seconds;
    let cpu_us_per_call = (spent_us - idle_us) / f64::from(searches * SEARCH_SHARDS);
    Ok(SearchCost { searches, answered, shards: SEARCH_SHARDS, cpu_us_per_call, seconds })
}

/// Sends searches one after another and returns how many were answered with a success status.
async fn send_sequentially(client: Client, host: SocketAddr, name: String, count: u32) -> u32 {
    let mut answered = 0;
    for index in 0..count {
        let reply = client
            .post(format!("http://{host}/search/route-00"))
            .header(header::REQUEST_ID, format!("{name}-{index}"))
            .header(header::DEADLINE_MS, SEARCH_DEADLINE_MS)
            .body("{\"query\":\"q\"}")
            .send()
            .await;
        let Ok(reply) = reply else { continue };
        answered += u32::from(reply.status().is_success());
        let _ = reply.bytes().await;
    }
    answered
}

impl LiveFleet {
    async fn launch(shards: u32) -> Result<Self, LiveError> {
        let platform = PlatformStandIn::launch().await?;
        let ledger = Arc::new(RunLedger::default());
        let mut targets = Vec::new();
        let mut table = sample_table(DOMAINS, 1);
        for pool in table.pools.values_mut() {
            pool.shard_maps[0].shards = shards;
            let sample = pool.targets.pop().ok_or(LiveError::Config)?;
            for index in 0..2 * shards {
                let setup = TargetSetup {
                    id: format!("target-{index:04}"),
                    service: pool.name.clone(),
                    domain: domain_name(index % DOMAINS),
                    shard_map: sample.shard_map,
                    shard: index % shards,
                    replica: index / shards,
                    behaviour: target_behaviour(),
                    links: Arc::default(),
                    ledger: Arc::clone(&ledger),
                    seed: u64::from(index),
                };
                let target = TargetStandIn::launch(setup).await?;
                pool.targets.push(target.entry());
                targets.push(target);
            }
        }
        write_table(&platform, &table, 0)?;
        let client = Client::builder().no_proxy().build().unwrap_or_default();
        Ok(Self { platform, table, targets, hosts: Vec::new(), client })
    }

    fn entries(&self) -> Vec<HostEntry> {
        self.hosts.iter().map(EntryHost::entry).collect()
    }

    async fn grow_to(&mut self, hosts: u32) -> Result<(), LiveError> {
        for index in self.hosts.len() as u32..hosts {
            let settings = json!({
                "host": format!("host-{index:03}"),
                "domain": domain_name(index % DOMAINS),
                "listen": "127.0.0.1:0",
                "platform": self.platform.address(),
            });
            let settings = serde_json::from_value(settings)?;
            let host = EntryHost::launch(settings, LinkRule::default()).await;
            self.hosts.push(host.map_err(|reason| LiveError::Start { reason })?);
            self.platform.set_hosts(self.entries());
        }
        time::sleep(WARM_UP).await;
        Ok(())
    }

    async fn measure(&self) -> Result<LiveRow, LiveError> {
        let before = self.peer_counts().await?;
        let calls_before: u64 = self.platform.calls().values().sum();
        let nanos_before = entry_cpu_nanos();
        let start = Instant::now();
        time::sleep(MEASURED_TIME).await;
        let nanos = entry_cpu_nanos().saturating_sub(nanos_before);
        let calls = self.platform.calls().values().sum::<u64>() - calls_before;
        let after = self.peer_counts().await?;
        let seconds = start.elapsed().as_secs_f64();
        let hosts = self.hosts.len() as f64;
        let by_host = after.iter().map(|(address, (bytes, cpu))| {
            let (bytes_before, cpu_before) = before.get(address).copied().unwrap_or_default();
            (bytes - bytes_before, cpu - cpu_before)
        });
        let by_host: Vec<_> = by_host.collect();
        let per_host_second = 1.0 / hosts / seconds;
        Ok(LiveRow {
            hosts: self.hosts.len() as u32,
            peer_bytes: by_host.iter().map(|(bytes, _)| *bytes).sum::<f64>() * per_host_second,
            peer_bytes_busiest: by_host
                .iter()
                .map(|(bytes, _)| *bytes / seconds)
                .fold(0.0, f64::max),
            peer_cpu_us: by_host.iter().map(|(_, cpu)| *cpu).sum::<f64>() * per_host_second,
            entry_cpu_us: nanos as f64 / 1e3 * per_host_second,
            platform_calls: calls as f64 * per_host_second,
            resident_kib: resident_kib(),
        })
    }

    async fn send_searches(&self, name: &str, count: u32) -> u32 {
        let mut senders = JoinSet::new();
        for entry in self.entries() {
            for sender in 0..CONCURRENT_SEARCHES {
                let name = format!("{name}-{}-{sender}", entry.id);
                senders.spawn(send_sequentially(self.client.clone(), entry.address, name, count));
            }
        }
        senders.join_all().await.into_iter().sum()
    }

    /// Returns the bytes received and sent and the processor time in microseconds since the start, by host.
    async fn peer_counts(&self) -> Result<BTreeMap<SocketAddr, (f64, f64)>, LiveError> {
        let mut counts = BTreeMap::new();
        for entry in self.entries() {
            let url = format!("http://{}/status", entry.address);
            let body = self.client.get(url).send().await?.bytes().await?;
            let page: Value = serde_json::from_slice(&body)?;
            let count = |name: &str| page["peer"][name].as_f64().unwrap_or_default();
            counts.insert(entry.address, (count("bytes_in") + count("bytes_out"), count("cpu_us")));
        }
        Ok(counts)
    }

    async fn stop(self) {
        for host in self.hosts {
            host.kill().await;
        }
        self.platform.stop();
    }
}

/// Returns a behaviour with short service times, so that few connections carry many searches.
fn target_behaviour() -> TargetBehaviour {
    TargetBehaviour {
        median_ms: 1.0,
        p99_ms: 2.0,
        slots: 2,
        connections: 25,
        snapshots: vec![1],
        ..TargetBehaviour::default()
    }
}

fn write_table(
    platform: &PlatformStandIn,
    table: &ConfigTable,
    expect: StoreRevision,
) -> Result<(), LiveError> {
    let value = Bytes::from(serde_json::to_vec(table)?);
    platform.put_value(CONFIG_KEY, value, expect).map(|_| ()).map_err(|_| LiveError::Config)
}
