//! Load balancer in front of the entry hosts: round robin over the hosts that were ready at their last probe.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinHandle;
use tokio::time;

/// Timeout of one readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct BalancerState {
    hosts: Vec<(SocketAddr, bool)>,
    next: usize,
}

/// Chooses entry hosts for callers. The known readiness lags by up to the probe interval.
#[derive(Debug, Default)]
pub struct EntryBalancer {
    state: Mutex<BalancerState>,
}

impl EntryBalancer {
    /// Replaces the hosts. A new host has the readiness `is_new_ready` until its first probe.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>, is_new_ready: bool) {
        let mut state = self.lock();
        let ready = |address| {
            let known = state.hosts.iter().find(|(known, _)| *known == address);
            known.map_or(is_new_ready, |(_, is_ready)| *is_ready)
        };
        state.hosts = hosts.into_iter().map(|address| (address, ready(address))).collect();
    }

    /// Returns the next ready host, `avoid` only if no other one is ready; `None` if none is ready.
    pub fn pick(&self, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        let mut state = self.lock();
        let count = state.hosts.len();
        let candidates = (0..count).map(|step| (state.next + step) % count);
        let next_ready = |avoid: Option<SocketAddr>| {
            candidates.clone().find(|index| {
                let (address, is_ready) = state.hosts[*index];
                is_ready && Some(address) != avoid
            })
        };
        let index = next_ready(avoid).or_else(|| next_ready(None))?;
        state.next = index + 1;
        Some(state.hosts[index].0)
    }

    /// Probes the readiness of every host at intervals of `lag`, until the task is aborted.
    pub fn start_probes(self: &Arc<Self>, lag: Duration) -> JoinHandle<()> {
        let balancer = Arc::clone(self);
        tokio::spawn(async move {
            let client = Client::builder().no_proxy().timeout(PROBE_TIMEOUT).build();
            let client = client.unwrap_or_default();
            loop {
                time::sleep(lag).await;
                let hosts = balancer.lock().hosts.clone();
                for (address, _) in hosts {
                    let reply = client.get(format!("http://{address}/ready")).send().await;
                    let is_ready = reply.is_ok_and(|reply| reply.status().is_success());
                    balancer.set_ready(address, is_ready);
                }
            }
        })
    }

    fn set_ready(&self, address: SocketAddr, is_ready: bool) {
        let mut state = self.lock();
        if let Some(host) = state.hosts.iter_mut().find(|host| host.0 == address) {
            host.1 = is_ready;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BalancerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
