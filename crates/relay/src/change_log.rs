//! Bounded log of the latest store changes, which this host serves to other hosts of its failure domain.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::wire::StoreItem;
use crate::wire::StorePage;
use crate::wire::StoreRevision;

/// Size limit of the logged keys and values: several configurations of the maximum size. A host that needs earlier changes
/// has to read them from the store.
const MAX_LOG_BYTES: usize = 1 << 20;

/// Store changes after a base revision, with a notification of new ones.
#[derive(Debug)]
pub struct ChangeLog {
    state: Mutex<ChangeState>,
    /// Revision up to which changes are known; 0 before the first list.
    revision: watch::Sender<StoreRevision>,
}

/// Invariants: `items` contains every change after `base` in the order in which this host received them; `keys` contains
/// the keys of all items that exist at the known revision.
#[derive(Debug, Default)]
struct ChangeState {
    items: VecDeque<StoreItem>,
    bytes: usize,
    base: StoreRevision,
    keys: BTreeSet<String>,
    /// Time until which the store counts as reachable after its last reply to this host, or to the peer that forwards
    /// changes to it. Without this limit, peers would trust a host forever whose store follower hangs.
    confirmed_until: Duration,
    /// End of the grace period for registrations that expired while the store was unreachable.
    expiry_grace_until: Duration,
}

/// Reply of a host to a peer that asks for store changes.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerChanges {
    /// Changes after the requested revision; empty if none came within the wait.
    pub page: StorePage,
    /// Remaining grace period for registrations that expired while the store was unreachable.
    #[serde(rename = "lapse_left")]
    pub expiry_grace_left: Duration,
    /// Whether the replying host can reach the store.
    pub has_store: bool,
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self { state: Mutex::default(), revision: watch::Sender::new(0) }
    }
}

impl ChangeLog {
    /// Applies a list of all items at `revision`. Differences from the known items are logged as changes, so that other
    /// hosts need not list the store themselves when its history is lost.
    pub fn apply_list(&self, listed: &[StoreItem], revision: StoreRevision) {
        let known = *self.revision.borrow();
        let keys: BTreeSet<String> = listed.iter().map(|item| item.key.clone()).collect();
        let mut state = self.lock();
        if state.base == 0 {
            state.base = revision;
            state.keys = keys;
            drop(state);
            self.revision.send_replace(revision);
            return;
        }
        let removed = state.keys.difference(&keys);
        let removed = removed.map(|key| StoreItem { key: key.clone(), value: None, revision });
        let changed = listed.iter().filter(|item| known < item.revision).cloned();
        let changes: Vec<StoreItem> = changed.chain(removed).collect();
        drop(state);
        self.append(&changes, revision);
    }

    /// Records a reply of the store, which confirms until this time that the store is reachable.
    pub fn confirm_store_until(&self, until: Duration) {
        self.lock().confirmed_until = until;
    }

    /// Records that the store does not reply.
    pub fn mark_store_lost(&self) {
        self.confirm_store_until(Duration::ZERO);
    }

    /// Sets the end of the grace period for registrations that expired while the store was unreachable.
    pub fn set_expiry_grace_until(&self, until: Duration) {
        self.lock().expiry_grace_until = until;
    }

    /// Appends all changes between the known revision and `revision`.
    pub fn append(&self, items: &[StoreItem], revision: StoreRevision) {
        let mut state = self.lock();
        for item in items {
            state.bytes += item_bytes(item);
            state.items.push_back(item.clone());
            if item.value.is_some() {
                state.keys.insert(item.key.clone());
            } else {
                state.keys.remove(&item.key);
            }
        }
        while MAX_LOG_BYTES < state.bytes
            && let Some(oldest) = state.items.pop_front()
        {
            state.bytes -= item_bytes(&oldest);
            state.base = state.base.max(oldest.revision);
        }
        drop(state);
        self.revision.send_replace(revision);
    }

    /// Returns the changes after a revision as soon as there are any, or an empty page after `wait`. Returns `None` if the
    /// changes are no longer in the log. `clock` returns the time since the start of the process.
    pub async fn changes_after(
        &self,
        after: StoreRevision,
        wait: Duration,
        clock: impl Fn() -> Duration,
    ) -> Option<PeerChanges> {
        let mut revision = self.revision.subscribe();
        let changed = revision.wait_for(|revision| after < *revision);
        // A timeout and the end of the process both result in an empty page.
        let _ = tokio::time::timeout(wait, changed).await;
        let state = self.lock();
        if after < state.base || state.base == 0 {
            return None;
        }
        let items = state.items.iter().filter(|item| after < item.revision).cloned().collect();
        let revision = (*self.revision.borrow()).max(after);
        let page = StorePage { items, revision, has_more: false };
        let now = clock();
        let expiry_grace_left = state.expiry_grace_until.saturating_sub(now);
        Some(PeerChanges { page, expiry_grace_left, has_store: now < state.confirmed_until })
    }

    fn lock(&self) -> MutexGuard<'_, ChangeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn item_bytes(item: &StoreItem) -> usize {
    item.key.len() + item.value.as_ref().map_or(0, |value| value.len())
}
