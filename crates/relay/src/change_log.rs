//! The latest changes of the store that this host knows, for other hosts of its failure domain.

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

/// Bytes of keys and values that are kept: several configurations of the largest size. A host that asks for earlier
/// changes has to ask the store.
const MOST_BYTES: usize = 1 << 20;

/// Changes since some revision of the store.
#[derive(Debug)]
pub struct ChangeLog {
    kept: Mutex<ChangeState>,
    /// Revision up to which changes are known; 0 before the first list.
    revision: watch::Sender<StoreRevision>,
}

/// Invariants: `items` holds every change after `base`, in the order in which this host learnt of them; `keys` are those of
/// all items that exist at the known revision.
#[derive(Debug, Default)]
struct ChangeState {
    items: VecDeque<StoreItem>,
    bytes: usize,
    base: StoreRevision,
    keys: BTreeSet<String>,
    /// Time until which the store's last answer counts, to this host or to the one that passes changes on to it. Without
    /// an end, a host whose follower is stuck would be believed for ever.
    confirmed_until: Duration,
    /// Entries that lapse before this time may come back, because the store was away.
    lapse_until: Duration,
}

/// Changes that one host passes on to another.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerChanges {
    /// The changes.
    pub page: StorePage,
    /// How much longer entries that lapse may come back, because the store was away.
    pub lapse_left: Duration,
    /// Whether the store answers the host that passes the changes on.
    pub has_store: bool,
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self { kept: Mutex::default(), revision: watch::Sender::new(0) }
    }
}

impl ChangeLog {
    /// Takes in a list of all items at `revision`. What differs from the known items counts as changes, so that other hosts
    /// need no list of their own when history is lost.
    pub fn apply_list(&self, listed: &[StoreItem], revision: StoreRevision) {
        let known = *self.revision.borrow();
        let keys: BTreeSet<String> = listed.iter().map(|item| item.key.clone()).collect();
        let mut kept = self.kept();
        if kept.base == 0 {
            kept.base = revision;
            kept.keys = keys;
            drop(kept);
            self.revision.send_replace(revision);
            return;
        }
        let gone = kept.keys.difference(&keys);
        let gone = gone.map(|key| StoreItem { key: key.clone(), value: None, revision });
        let changed = listed.iter().filter(|item| known < item.revision).cloned();
        let changes: Vec<StoreItem> = changed.chain(gone).collect();
        drop(kept);
        self.append(&changes, revision);
    }

    /// Notes that the store has answered, which counts until this time.
    pub fn confirm_store_until(&self, until: Duration) {
        self.kept().confirmed_until = until;
    }

    /// Notes that the store does not answer.
    pub fn mark_store_lost(&self) {
        self.confirm_store_until(Duration::ZERO);
    }

    /// Notes until when entries that lapse may come back.
    pub fn set_lapse_until(&self, until: Duration) {
        self.kept().lapse_until = until;
    }

    /// Adds all changes from the known revision up to `revision`.
    pub fn append(&self, items: &[StoreItem], revision: StoreRevision) {
        let mut kept = self.kept();
        for item in items {
            kept.bytes += size(item);
            kept.items.push_back(item.clone());
            if item.value.is_some() {
                kept.keys.insert(item.key.clone());
            } else {
                kept.keys.remove(&item.key);
            }
        }
        while MOST_BYTES < kept.bytes
            && let Some(oldest) = kept.items.pop_front()
        {
            kept.bytes -= size(&oldest);
            kept.base = kept.base.max(oldest.revision);
        }
        drop(kept);
        self.revision.send_replace(revision);
    }

    /// Changes after a revision as soon as there are any; none after `wait`. `None` if they are not kept. `clock` tells the
    /// time since the start of the process.
    pub async fn changes_after(
        &self,
        after: StoreRevision,
        wait: Duration,
        clock: impl Fn() -> Duration,
    ) -> Option<PeerChanges> {
        let mut revision = self.revision.subscribe();
        let changed = revision.wait_for(|revision| after < *revision);
        // A time-out and the end of the process both leave an empty page.
        let _ = tokio::time::timeout(wait, changed).await;
        let kept = self.kept();
        if after < kept.base || kept.base == 0 {
            return None;
        }
        let items = kept.items.iter().filter(|item| after < item.revision).cloned().collect();
        let revision = (*self.revision.borrow()).max(after);
        let page = StorePage { items, revision, has_more: false };
        let now = clock();
        let lapse_left = kept.lapse_until.saturating_sub(now);
        Some(PeerChanges { page, lapse_left, has_store: now < kept.confirmed_until })
    }

    fn kept(&self) -> MutexGuard<'_, ChangeState> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn size(item: &StoreItem) -> usize {
    item.key.len() + item.value.as_ref().map_or(0, |value| value.len())
}
