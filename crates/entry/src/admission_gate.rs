//! Suspends requests until admission runs or refuses them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::sync::watch;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_policy::admission::AdmissionDecision;
use vanillapick_policy::admission::AdmissionRequest;
use vanillapick_policy::admission::DequeueDecision;

use crate::entry_host::EntryHost;
use crate::entry_host::lock;
use crate::running_calls::until_cancelled;

type TurnSender = oneshot::Sender<Result<(), RefusalBody>>;

/// Waiting requests by ticket id.
#[derive(Default)]
pub struct AdmissionGate {
    waiting: Mutex<HashMap<u64, TurnSender>>,
    tickets: AtomicU64,
}

/// Permission to run one request.
#[derive(Debug)]
pub struct AdmissionPermit {
    class: u8,
}

impl AdmissionGate {
    /// Waits until the request is admitted. An error is its refusal; the request was not run.
    pub async fn enter(
        host: &Arc<EntryHost>,
        class: u8,
        deadline: Duration,
        cancelled: &mut watch::Receiver<bool>,
    ) -> Result<AdmissionPermit, RefusalBody> {
        if host.settings.baseline {
            return Ok(AdmissionPermit { class });
        }
        let id = host.gate.tickets.fetch_add(1, Ordering::Relaxed);
        let (sender, mut receiver) = oneshot::channel();
        lock(&host.gate.waiting).insert(id, sender);
        let request = AdmissionRequest { id, class, deadline };
        let decision = lock(&host.policy.admission).offer(request, host.now());
        host.gate.take_turns(host);
        match decision {
            AdmissionDecision::Run => {
                lock(&host.gate.waiting).remove(&id);
                return Ok(AdmissionPermit { class });
            }
            AdmissionDecision::Refused(refusal) => {
                lock(&host.gate.waiting).remove(&id);
                return Err(refusal);
            }
            AdmissionDecision::Queued => {}
        }
        let expiry = tokio::time::sleep_until(host.instant(deadline).into());
        let turn = tokio::select! {
            turn = &mut receiver => turn,
            () = expiry => {
                host.gate.take_turns(host);
                receiver.await
            }
            () = until_cancelled(cancelled) => {
                if lock(&host.policy.admission).cancel(id) {
                    lock(&host.gate.waiting).remove(&id);
                    let message = "the caller cancelled while the request was queued";
                    return Err(RefusalBody::not_run(RefusalCode::Cancelled, message));
                }
                receiver.await
            }
        };
        match turn {
            Ok(Ok(())) => Ok(AdmissionPermit { class }),
            Ok(Err(refusal)) => Err(refusal),
            // The sender stays in the table until the request's turn, so it is dropped only when the host stops.
            Err(_) => Err(RefusalBody::not_run(RefusalCode::Stopping, "the host is stopping")),
        }
    }

    /// Releases the permit. `service_time` is the time that the targets took, and `ok` whether they were not
    /// overloaded, which is a signal for the concurrency limit.
    pub fn leave(
        &self,
        host: &EntryHost,
        permit: &AdmissionPermit,
        service_time: Duration,
        ok: bool,
    ) {
        if host.settings.baseline {
            return;
        }
        lock(&host.policy.admission).finish(permit.class, service_time, ok, host.now());
        self.take_turns(host);
    }

    fn take_turns(&self, host: &EntryHost) {
        loop {
            let turn = lock(&host.policy.admission).next(host.now());
            let (id, result) = match turn {
                None => return,
                Some(DequeueDecision::Run(id)) => (id, Ok(())),
                Some(DequeueDecision::Refused(id, refusal)) => (id, Err(refusal)),
            };
            let sender = lock(&self.waiting).remove(&id);
            if let Some(sender) = sender {
                // A failed send means that the request's task was dropped.
                let _ = sender.send(result);
            }
        }
    }
}
