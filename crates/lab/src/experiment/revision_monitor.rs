//! Polls the status pages of the entry hosts to measure how fast configuration revisions propagate.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use serde::Deserialize;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_model::table::ConfigRevision;

use crate::experiment::running_system::RunningSystem;

/// Sampling interval, and so the resolution of the propagation time.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for one status page. A host that does not answer in time is left out of the sample.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Common part of the stored configuration and of a status page.
#[derive(Deserialize)]
struct RevisionField {
    revision: ConfigRevision,
}

#[derive(Debug, Default)]
struct MonitorState {
    revisions: HashMap<SocketAddr, ConfigRevision>,
    highest_stored: ConfigRevision,
    hosts_behind: usize,
    max_hosts_behind: usize,
    reversions: u64,
    propagating: BTreeMap<ConfigRevision, Instant>,
    max_spread: Duration,
    last_sample_at: Option<Instant>,
}

/// Background task that samples revisions until this value is dropped.
#[derive(Debug)]
pub struct RevisionMonitor {
    state: Arc<Mutex<MonitorState>>,
    task: JoinHandle<()>,
}

impl Drop for RevisionMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RevisionMonitor {
    /// Starts sampling the running hosts of `system`.
    pub fn start(system: Arc<RunningSystem>) -> Self {
        let state = Arc::<Mutex<MonitorState>>::default();
        let shared = Arc::clone(&state);
        let task = tokio::spawn(async move {
            let client = Client::builder().no_proxy().timeout(STATUS_TIMEOUT).build();
            let client = client.unwrap_or_default();
            loop {
                time::sleep(SAMPLE_INTERVAL).await;
                let stored = stored_revision(&system);
                let revisions = host_revisions(&system, &client).await;
                lock(&shared).add_sample(stored, &revisions, Instant::now());
            }
        });
        Self { state, task }
    }

    /// Returns the number of hosts behind the store in the last sample, and the maximum over the samples since the
    /// previous call.
    pub fn take_hosts_behind(&self) -> (usize, usize) {
        let mut state = lock(&self.state);
        let (hosts_behind, max_hosts_behind) = (state.hosts_behind, state.max_hosts_behind);
        state.max_hosts_behind = hosts_behind;
        (hosts_behind, max_hosts_behind)
    }

    /// Returns how often a host went back to a lower revision, and the longest propagation time of a revision: from the
    /// last sample before the store accepted it to the first in which all hosts had it or a higher one.
    pub fn totals(&self) -> (u64, Duration) {
        let state = lock(&self.state);
        let waiting = state.propagating.values().map(Instant::elapsed).max().unwrap_or_default();
        (state.reversions, state.max_spread.max(waiting))
    }
}

impl MonitorState {
    fn add_sample(
        &mut self,
        stored: ConfigRevision,
        revisions: &[(SocketAddr, ConfigRevision)],
        now: Instant,
    ) {
        if self.highest_stored < stored {
            self.highest_stored = stored;
            // The store accepted the revision after the previous sample, so counting from there gives an upper bound.
            self.propagating.insert(stored, self.last_sample_at.unwrap_or(now));
        }
        self.last_sample_at = Some(now);
        for (address, revision) in revisions {
            let before = self.revisions.insert(*address, *revision);
            self.reversions += u64::from(before.is_some_and(|before| *revision < before));
        }
        self.hosts_behind = revisions.iter().filter(|(_, revision)| *revision < stored).count();
        self.max_hosts_behind = self.max_hosts_behind.max(self.hosts_behind);
        let Some(lowest) = revisions.iter().map(|(_, revision)| *revision).min() else { return };
        while let Some(entry) =
            self.propagating.first_entry().filter(|entry| *entry.key() <= lowest)
        {
            self.max_spread = self.max_spread.max(now - entry.remove());
        }
    }
}

fn lock(state: &Mutex<MonitorState>) -> MutexGuard<'_, MonitorState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn stored_revision(system: &RunningSystem) -> ConfigRevision {
    let stored = system.platform.value(CONFIG_KEY);
    let field = stored.and_then(|stored| serde_json::from_slice(&stored.value).ok());
    field.map_or(0, |field: RevisionField| field.revision)
}

async fn host_revisions(
    system: &RunningSystem,
    client: &Client,
) -> Vec<(SocketAddr, ConfigRevision)> {
    let mut calls = JoinSet::new();
    for entry in system.host_entries() {
        let call = client.get(format!("http://{}/status", entry.address)).send();
        calls.spawn(async move {
            let body = call.await.ok()?.bytes().await.ok()?;
            let field: RevisionField = serde_json::from_slice(&body).ok()?;
            Some((entry.address, field.revision))
        });
    }
    calls.join_all().await.into_iter().flatten().collect()
}
