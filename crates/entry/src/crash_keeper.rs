//! Requests that crash targets, at this host: admission by their marks, and the exchange of marks with other hosts.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::RequestFingerprint;
use vanillapick_policy::crash::CrashDecision;

use crate::entry_host::EntryHost;

/// Time between two looks for marks whose judgement is due.
const ROUND: Duration = Duration::from_millis(20);

/// Tells running sessions that marks have changed.
pub struct CrashKeeper {
    changes: watch::Sender<u64>,
}

impl Default for CrashKeeper {
    fn default() -> Self {
        Self { changes: watch::Sender::new(0) }
    }
}

/// How a request starts that has been let through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartMode {
    /// On all its shards.
    Whole,
    /// On one target; the rest follows once that has answered.
    Cautious,
}

impl CrashKeeper {
    /// Receives a value with every change of the marks.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Lets a request through, holds it until its cause is told, or refuses it as not run.
    pub async fn admit(
        host: &EntryHost,
        fingerprint: RequestFingerprint,
        deadline: Duration,
    ) -> Result<StartMode, RefusalBody> {
        loop {
            let verdict = host.policy.crash_table().admit(fingerprint, host.now());
            match verdict {
                CrashDecision::Normal => return Ok(StartMode::Whole),
                CrashDecision::ProbeOneShard | CrashDecision::SingleTarget => {
                    return Ok(StartMode::Cautious);
                }
                CrashDecision::Refuse { retry_after } => return Err(crashing(retry_after)),
                CrashDecision::Hold { until } if deadline <= until => {
                    return Err(crashing(until.saturating_sub(host.now())));
                }
                CrashDecision::Hold { until } => {
                    tokio::time::sleep_until(host.instant(until).into()).await
                }
            }
        }
    }

    /// Takes marks of other hosts.
    pub fn import(&self, host: &EntryHost, marks: &[CrashMark]) {
        let now = host.now();
        let mut table = host.policy.crash_table();
        let news = marks.iter().filter(|mark| table.import(**mark, now)).count();
        drop(table);
        if 0 < news {
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    /// Pushes new marks of this host to the others, and to its own running sessions.
    pub fn publish(&self, host: &Arc<EntryHost>) {
        let news = host.policy.crash_table().take_updates(host.now());
        if news.is_empty() {
            return;
        }
        for mark in &news {
            tracing::info!(fingerprint = mark.fingerprint, stage = ?mark.stage, "crash mark changed");
            host.peers.note_crash(host, *mark);
        }
        self.changes.send_modify(|changes| *changes += 1);
    }
}

/// Runs until the host ends: publishes marks whose judgement is due.
pub async fn keep_crash_marks(host: Arc<EntryHost>) {
    loop {
        tokio::time::sleep(ROUND).await;
        host.crashes.publish(&host);
    }
}

fn crashing(retry_after: Duration) -> RefusalBody {
    let message = "this request has crashed targets and is not run for now";
    RefusalBody::not_run(RefusalCode::CrashingRequest, message).with_retry_after(retry_after)
}
