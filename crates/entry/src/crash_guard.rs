//! Protection from requests that crash targets: admission by crash marks, and exchange of the marks with other hosts.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_policy::crash::CrashDecision;

use crate::entry_host::EntryHost;

/// Interval between checks for crash marks to publish.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// Notifies running sessions of changed crash marks.
pub struct CrashGuard {
    changes: watch::Sender<u64>,
}

impl Default for CrashGuard {
    fn default() -> Self {
        Self { changes: watch::Sender::new(0) }
    }
}

/// How an admitted request starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartMode {
    /// On all shards at once.
    AllShards,
    /// On one target; the others are called once it has answered.
    Cautious,
}

impl CrashGuard {
    /// Returns a receiver that is notified of each change of the crash marks.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Admits a request, holds it until its crash mark is decided, or refuses it as not run.
    pub async fn admit(
        host: &EntryHost,
        fingerprint: RequestFingerprint,
        deadline: Duration,
    ) -> Result<StartMode, RefusalBody> {
        loop {
            let decision = host.policy.crash_table().admit(fingerprint, host.now());
            match decision {
                CrashDecision::Normal => return Ok(StartMode::AllShards),
                CrashDecision::ProbeOneShard | CrashDecision::SingleTarget => {
                    return Ok(StartMode::Cautious);
                }
                CrashDecision::Refuse { retry_after } => return Err(crashing_refusal(retry_after)),
                CrashDecision::Hold { until } if deadline <= until => {
                    return Err(crashing_refusal(until.saturating_sub(host.now())));
                }
                CrashDecision::Hold { until } => {
                    tokio::time::sleep_until(host.instant(until).into()).await
                }
            }
        }
    }

    /// Imports crash marks from other hosts.
    pub fn import(&self, host: &EntryHost, marks: &[CrashMark]) {
        let now = host.now();
        let mut table = host.policy.crash_table();
        let changed = marks.iter().filter(|mark| table.import(**mark, now)).count();
        drop(table);
        if 0 < changed {
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Sends new crash marks to the other hosts and notifies the running sessions of this host.
    pub fn publish(&self, host: &Arc<EntryHost>) {
        let changed = host.policy.crash_table().take_updates(host.now());
        if changed.is_empty() {
            return;
        }
        for mark in &changed {
            tracing::info!(fingerprint = mark.fingerprint, stage = ?mark.stage, "crash mark changed");
            host.peers.announce_crash(host, *mark);
        }
        self.changes.send_modify(|changes| *changes += 1);
    }
}

/// Runs until the host stops: publishes new crash marks.
pub async fn publish_crash_marks(host: Arc<EntryHost>) {
    loop {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
        host.crashes.publish(&host);
    }
}

fn crashing_refusal(retry_after: Duration) -> RefusalBody {
    let message = "this request has crashed targets and is not run for now";
    RefusalBody::not_run(RefusalCode::CrashingRequest, message).with_retry_after(retry_after)
}
