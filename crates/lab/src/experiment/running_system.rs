//! Starts and stops a complete system in this process: platform stand-in, target stand-ins and entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::time;
use vanillapick_entry::session_recorder::TraceSlot;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::host::HostEntry;
use vanillapick_model::host::HostId;
use vanillapick_model::table::CONFIG_KEY;

use crate::entry_hosts::EntryHost;
use crate::experiment::experiment_file::ExperimentError;
use crate::experiment::link_state::LinkState;
use crate::experiment::topology::Topology;
use crate::json_patch::merge_patch;
use crate::load_generator::entry_balancer::EntryBalancer;
use crate::platform_stand_in::PlatformStandIn;
use crate::target_stand_in::TargetSetup;
use crate::target_stand_in::TargetStandIn;
use crate::target_stand_in::run_ledger::RunLedger;

/// Time limit for a started entry host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of the readiness checks of a starting host.
const READY_POLL: Duration = Duration::from_millis(20);

/// Entry host of the topology, whether it runs or not.
#[derive(Debug)]
struct ManagedHost {
    id: HostId,
    domain: DomainId,
    /// Entry in the host list; none once the host has stopped.
    entry: Option<HostEntry>,
    /// None while the host is stopping and after it has stopped.
    server: Option<EntryHost>,
}

/// All components of an experiment or the demo.
#[derive(Debug)]
pub struct RunningSystem {
    /// Configuration that the system was started from.
    pub topology: Topology,
    /// Key-value store and host list, with faults that can be switched on.
    pub platform: PlatformStandIn,
    /// Ordered by service, shard map, replica and shard.
    pub targets: Vec<TargetStandIn>,
    /// Requests that ran at the targets.
    pub ledger: Arc<RunLedger>,
    /// Distributes the requests of callers over the entry hosts.
    pub balancer: Arc<EntryBalancer>,
    /// Delays between failure domains, and which of them are cut off.
    pub links: LinkState,
    /// Where hosts send the traces of their sessions. Must be set before the hosts start.
    pub traces: TraceSlot,
    hosts: Mutex<Vec<ManagedHost>>,
}

fn start_error(place: &str, error: impl ToString) -> ExperimentError {
    ExperimentError::new(place, error, "check the topology and the free ports on loopback")
}

impl RunningSystem {
    /// Starts the platform and all targets and writes the initial configuration, but starts no entry hosts.
    pub async fn launch(topology: Topology, seed: u64) -> Result<Self, ExperimentError> {
        let platform =
            PlatformStandIn::launch().await.map_err(|error| start_error("platform", error))?;
        let ledger = Arc::new(RunLedger::default());
        let targets = launch_targets(&topology, &ledger, seed).await?;
        let table = topology.initial_table(&targets);
        if let Some(finding) = table.check().first() {
            return Err(start_error("initial configuration", finding));
        }
        let value = serde_json::to_vec(&table)
            .map_err(|error| start_error("initial configuration", error))?;
        let written = platform.put_value(CONFIG_KEY, Bytes::from(value), 0);
        written.map_err(|error| start_error("initial configuration", format!("{error:?}")))?;
        let mut hosts = Vec::new();
        for index in 0..topology.hosts_per_domain {
            for domain in &topology.domains {
                let id = format!("{domain}-{index}");
                hosts.push(ManagedHost { id, domain: domain.clone(), entry: None, server: None });
            }
        }
        let links = LinkState::new(topology.links.clone());
        for target in &targets {
            links.add_target(target.address(), &target.setup().domain);
        }
        let balancer = Arc::default();
        let hosts = Mutex::new(hosts);
        let traces = TraceSlot::new();
        Ok(Self { topology, platform, targets, ledger, balancer, links, traces, hosts })
    }

    /// Kills all running entry hosts, then starts all hosts and waits until they are ready.
    pub async fn start_hosts(&self, baseline: bool) -> Result<(), ExperimentError> {
        self.kill_hosts().await;
        for (id, domain) in self.all_hosts() {
            self.start_host(&id, &domain, baseline).await?;
        }
        let entries = self.host_entries();
        for entry in &entries {
            wait_until_ready(entry.address).await?;
        }
        self.balancer.set_hosts(entries.iter().map(|entry| entry.address).collect(), true);
        Ok(())
    }

    /// Stops a host gracefully or kills it. The platform's host list is updated after its configured lag.
    pub async fn stop_host(self: &Arc<Self>, id: &str, is_graceful: bool) {
        let Some(server) = self.update_host(id, |host| host.server.take()).flatten() else {
            return;
        };
        if is_graceful {
            self.update_host(id, |host| {
                if let Some(entry) = host.entry.as_mut() {
                    entry.leaving = true;
                }
            });
            self.publish_hosts_after_lag();
            server.stop().await;
        } else {
            server.kill().await;
        }
        self.update_host(id, |host| {
            // The host may have been restarted while it was stopping.
            if host.server.is_none() {
                host.entry = None;
            }
        });
        self.publish_hosts_after_lag();
    }

    /// Starts a host that was stopped or killed. The balancer sends requests to it once it is ready.
    pub async fn restart_host(self: &Arc<Self>, id: &str) -> Result<(), ExperimentError> {
        let stopped_domain =
            self.update_host(id, |host| host.server.is_none().then(|| host.domain.clone()));
        if let Some(domain) = stopped_domain.flatten() {
            self.start_host(id, &domain, false).await?;
        }
        let addresses = self.host_entries().iter().map(|entry| entry.address).collect();
        self.balancer.set_hosts(addresses, false);
        self.publish_hosts_after_lag();
        Ok(())
    }

    /// Host list entries of all running hosts, including those that are stopping.
    pub fn host_entries(&self) -> Vec<HostEntry> {
        self.lock_hosts().iter().filter_map(|host| host.entry.clone()).collect()
    }

    /// IDs and failure domains of all hosts, running or not.
    pub fn all_hosts(&self) -> Vec<(HostId, DomainId)> {
        self.lock_hosts().iter().map(|host| (host.id.clone(), host.domain.clone())).collect()
    }

    /// Kills all running entry hosts.
    pub async fn kill_hosts(&self) {
        let mut servers = Vec::new();
        for host in self.lock_hosts().iter_mut() {
            host.entry = None;
            servers.extend(host.server.take());
        }
        for server in servers {
            server.kill().await;
        }
    }

    async fn start_host(
        &self,
        id: &str,
        domain: &str,
        baseline: bool,
    ) -> Result<(), ExperimentError> {
        let mut settings = json!({
            "host": id,
            "domain": domain,
            "listen": "127.0.0.1:0",
            "platform": self.platform.address(),
            "peers": self.host_entries(),
            "links": self.topology.links,
            "baseline": baseline,
        });
        if self.topology.host_settings != Value::Null {
            merge_patch(&mut settings, &self.topology.host_settings);
        }
        let settings = serde_json::from_value(settings)
            .map_err(|error| start_error("host_settings", error))?;
        let server = EntryHost::launch(settings, self.links.rule_for_domain(domain)).await;
        let server = server.map_err(|error| start_error(id, error))?;
        if let Some(sender) = self.traces.get() {
            server.record_sessions(sender.clone());
        }
        let entry = server.entry();
        self.links.add_host(entry.address, domain);
        self.update_host(id, |host| {
            host.entry = Some(entry);
            host.server = Some(server);
        });
        self.platform.set_hosts(self.host_entries());
        Ok(())
    }

    fn publish_hosts_after_lag(self: &Arc<Self>) {
        let system = Arc::clone(self);
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(system.topology.host_list_lag_ms)).await;
            system.platform.set_hosts(system.host_entries());
        });
    }

    fn update_host<T>(&self, id: &str, change: impl FnOnce(&mut ManagedHost) -> T) -> Option<T> {
        self.lock_hosts().iter_mut().find(|host| host.id == id).map(change)
    }

    fn lock_hosts(&self) -> MutexGuard<'_, Vec<ManagedHost>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn launch_targets(
    topology: &Topology,
    ledger: &Arc<RunLedger>,
    seed: u64,
) -> Result<Vec<TargetStandIn>, ExperimentError> {
    let links = Arc::new(topology.links.clone());
    let mut targets = Vec::new();
    for (service, spec) in &topology.services {
        for map in &spec.shard_maps {
            let behaviour =
                spec.target_behaviour(map).map_err(|error| start_error(service, error))?;
            for (replica, shard) in
                (0..spec.replicas).flat_map(|replica| (0..map.shards).map(move |at| (replica, at)))
            {
                let place = (shard + replica) as usize % topology.domains.len().max(1);
                let setup = TargetSetup {
                    id: format!("{service}-{}-{shard:02}-{replica}", map.id),
                    service: service.clone(),
                    domain: topology.domains.get(place).cloned().unwrap_or_default(),
                    shard_map: map.id,
                    shard,
                    replica,
                    behaviour: behaviour.clone(),
                    links: Arc::clone(&links),
                    ledger: Arc::clone(ledger),
                    seed: seed.wrapping_mul(1_000_003).wrapping_add(targets.len() as u64),
                };
                let target = TargetStandIn::launch(setup).await;
                targets.push(target.map_err(|error| start_error(service, error))?);
            }
        }
    }
    Ok(targets)
}

async fn wait_until_ready(address: SocketAddr) -> Result<(), ExperimentError> {
    let client = Client::builder().no_proxy().build().unwrap_or_default();
    let ready = async {
        loop {
            let reply = client.get(format!("http://{address}/ready")).send().await;
            if reply.is_ok_and(|reply| reply.status().is_success()) {
                return;
            }
            time::sleep(READY_POLL).await;
        }
    };
    let place = address.to_string();
    time::timeout(READY_TIMEOUT, ready)
        .await
        .map_err(|_| start_error(&place, "the entry host did not become ready within 10 s"))
}
