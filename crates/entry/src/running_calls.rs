//! Registry of the running requests of this host, through which callers cancel them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::watch;
use vanillapick_model::call::RequestId;

use crate::entry_host::lock;

type CallSender = watch::Sender<bool>;

/// Running requests by id. Several callers may use the same id at the same time, so each id has a list.
#[derive(Default)]
pub struct RunningCalls {
    calls: Mutex<HashMap<RequestId, Vec<Arc<CallSender>>>>,
}

/// Completes when the caller cancels the request; never completes if it can no longer be cancelled.
pub async fn until_cancelled(receiver: &mut watch::Receiver<bool>) {
    let is_cancelled = receiver.wait_for(|cancelled| *cancelled).await.is_ok();
    if !is_cancelled {
        std::future::pending().await
    }
}

/// Removes a request from the registry when dropped.
pub struct RunningGuard {
    calls: Arc<RunningCalls>,
    request_id: RequestId,
    sender: Arc<CallSender>,
}

impl RunningCalls {
    /// Registers a request; the receiver changes to true when the caller cancels it.
    pub fn register(calls: &Arc<Self>, request_id: &str) -> (RunningGuard, watch::Receiver<bool>) {
        let (sender, receiver) = watch::channel(false);
        let sender = Arc::new(sender);
        let mut table = lock(&calls.calls);
        table.entry(request_id.to_owned()).or_default().push(Arc::clone(&sender));
        drop(table);
        let guard =
            RunningGuard { calls: Arc::clone(calls), request_id: request_id.to_owned(), sender };
        (guard, receiver)
    }

    /// Cancels all requests with this id and returns their number.
    pub fn cancel(&self, request_id: &str) -> usize {
        let table = lock(&self.calls);
        let Some(senders) = table.get(request_id) else { return 0 };
        for sender in senders {
            sender.send_replace(true);
        }
        senders.len()
    }

    /// Number of running requests, counting each request with a shared id.
    pub fn count(&self) -> usize {
        let table = lock(&self.calls);
        table.values().map(Vec::len).sum()
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut table = lock(&self.calls.calls);
        let Some(senders) = table.get_mut(&self.request_id) else { return };
        senders.retain(|sender| !Arc::ptr_eq(sender, &self.sender));
        if senders.is_empty() {
            table.remove(&self.request_id);
        }
    }
}
