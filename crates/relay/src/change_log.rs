//! Copy of the store's items, from which this host serves changes to other hosts of its failure domain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::wire::StoreEra;
use crate::wire::StoreItem;
use crate::wire::StorePage;
use crate::wire::StorePosition;
use crate::wire::StoreRevision;

/// Number of removed keys that are remembered. A host that lacks an earlier removal receives all items instead.
const MAX_REMOVALS: usize = 4096;

/// Latest version of every item of the store, with a notification of changes.
///
/// A change that was superseded is not kept, so the size is that of the store's items and any host can catch up from here.
#[derive(Debug, Default)]
pub struct ChangeLog {
    state: Mutex<ItemCopy>,
    /// Position up to which changes are known; revision 0 before the first list.
    position: watch::Sender<StorePosition>,
}

#[derive(Debug, Default)]
struct ItemCopy {
    /// Era of all revisions.
    era: StoreEra,
    /// Latest change of each key, including removals after `base`.
    items: BTreeMap<String, StoreItem>,
    /// Keys of `items` by the revision of their latest change.
    order: BTreeSet<(StoreRevision, String)>,
    /// Number of items without a value; at most [`MAX_REMOVALS`].
    removals: usize,
    /// Every change after this revision is in `items` or was superseded by one that is. 0 before the first list.
    base: StoreRevision,
    /// Time until which what is known of the store counts as current, by the last proof that this host or the peer that
    /// forwards changes to it has.
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
    /// Whether what the replying host knows counts as current until the next reply.
    pub has_store: bool,
    /// Whether `page` has all items of the store, so that items it lacks were removed.
    #[serde(default)]
    pub is_complete: bool,
}

impl ChangeLog {
    /// Applies a list of all items at `position`. Known items that it lacks count as removed, unless they are newer; a list of
    /// a later era replaces everything. One of an earlier era is ignored.
    pub fn apply_list(&self, listed: &[StoreItem], position: StorePosition) {
        let mut state = self.lock();
        if position.era < state.era {
            return;
        }
        if state.base == 0 || state.era < position.era {
            state.start_era(position);
        }
        state.remove_unlisted("", listed, position.revision);
        state.merge(listed);
        drop(state);
        self.advance(position);
    }

    /// Applies a list of all items whose keys begin with `prefix` at `position`. Returns the changes that it revealed; none if
    /// it is of another era.
    ///
    /// The known position stays, because changes of other keys may be missing.
    pub fn apply_prefix(
        &self,
        prefix: &str,
        listed: &[StoreItem],
        position: StorePosition,
    ) -> Vec<StoreItem> {
        let mut state = self.lock();
        if position.era != state.era {
            return Vec::new();
        }
        let mut changes = state.remove_unlisted(prefix, listed, position.revision);
        changes.extend(state.merge(listed));
        changes
    }

    /// Records a proof that what is known of the store counts as current until this time.
    pub fn confirm_store_until(&self, until: Duration) {
        let mut state = self.lock();
        state.confirmed_until = state.confirmed_until.max(until);
    }

    /// Whether what is known of the store counts as current at `now`.
    pub fn has_store(&self, now: Duration) -> bool {
        now < self.lock().confirmed_until
    }

    /// Records that the store does not reply.
    pub fn mark_store_lost(&self) {
        self.lock().confirmed_until = Duration::ZERO;
    }

    /// Sets the end of the grace period for registrations that expired while the store was unreachable.
    pub fn set_expiry_grace_until(&self, until: Duration) {
        self.lock().expiry_grace_until = until;
    }

    /// Applies all changes between the known position and `position`; returns those that are newer than the known items.
    /// Changes of another era are ignored.
    pub fn append(&self, items: &[StoreItem], position: StorePosition) -> Vec<StoreItem> {
        let mut state = self.lock();
        if position.era != state.era {
            return Vec::new();
        }
        let changes = state.merge(items);
        drop(state);
        self.advance(position);
        changes
    }

    /// Era of the known items; 0 before the first list.
    pub fn era(&self) -> StoreEra {
        self.lock().era
    }

    /// Returns the changes after a position as soon as there are any, or an empty page after `wait`; all items if the position
    /// is of an earlier era or removals after it are forgotten. Returns `None` before the first list of the position's era.
    /// `clock` returns the time since the start of the process. The peer relies on the reply for `reliance` after it.
    pub async fn changes_after(
        &self,
        after: StorePosition,
        wait: Duration,
        reliance: Duration,
        clock: impl Fn() -> Duration,
    ) -> Option<PeerChanges> {
        let mut position = self.position.subscribe();
        let changed = position.wait_for(|position| after < *position);
        // A timeout and the end of the process both result in an empty page.
        let _ = tokio::time::timeout(wait, changed).await;
        let state = self.lock();
        if state.base == 0 || state.era < after.era {
            return None;
        }
        let is_complete = after.era < state.era || after.revision < state.base;
        let items = if is_complete {
            state.items.values().filter(|item| item.value.is_some()).cloned().collect()
        } else {
            let later = state.order.range((after.revision + 1, String::new())..);
            later.filter_map(|(_, key)| state.items.get(key)).cloned().collect()
        };
        let StorePosition { era, revision } = (*self.position.borrow()).max(after);
        let page = StorePage { items, revision, has_more: false, era };
        let now = clock();
        let expiry_grace_left = state.expiry_grace_until.saturating_sub(now);
        let has_store = now + reliance < state.confirmed_until;
        Some(PeerChanges { page, expiry_grace_left, has_store, is_complete })
    }

    fn advance(&self, position: StorePosition) {
        self.position.send_if_modified(|known| {
            let is_newer = *known < position;
            *known = position.max(*known);
            is_newer
        });
    }

    fn lock(&self) -> MutexGuard<'_, ItemCopy> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs an item that has another value than the known one, whose revision is not lower.
fn log_ignored(item: &StoreItem, known: &StoreItem) {
    if item.value == known.value {
        return;
    }
    metrics::counter!("vanillapick_store_items_ignored_total").increment(1);
    tracing::info!(
        key = item.key,
        revision = item.revision,
        known = known.revision,
        "item ignored: a later one is known"
    );
}

impl ItemCopy {
    /// Forgets all items, whose revisions mean nothing in the new era.
    fn start_era(&mut self, position: StorePosition) {
        self.era = position.era;
        self.base = position.revision;
        self.items.clear();
        self.order.clear();
        self.removals = 0;
    }

    /// Applies items that are newer than the known ones and returns them.
    fn merge(&mut self, items: &[StoreItem]) -> Vec<StoreItem> {
        let mut changes = Vec::new();
        for item in items {
            let known = self.items.get(&item.key);
            if let Some(known) = known.filter(|known| item.revision <= known.revision) {
                log_ignored(item, known);
                continue;
            }
            if let Some(known) = self.items.insert(item.key.clone(), item.clone()) {
                self.order.remove(&(known.revision, known.key));
                self.removals -= usize::from(known.value.is_none());
            }
            self.order.insert((item.revision, item.key.clone()));
            self.removals += usize::from(item.value.is_none());
            changes.push(item.clone());
        }
        if MAX_REMOVALS < self.removals {
            self.forget_removals();
        }
        changes
    }

    /// Removes the items under `prefix` that a list at `revision` lacks and that are not newer; returns the removals.
    fn remove_unlisted(
        &mut self,
        prefix: &str,
        listed: &[StoreItem],
        revision: StoreRevision,
    ) -> Vec<StoreItem> {
        let listed: BTreeSet<&str> = listed.iter().map(|item| item.key.as_str()).collect();
        let known = self.items.range(prefix.to_owned()..);
        let known = known.take_while(|(key, _)| key.starts_with(prefix));
        let removals: Vec<StoreItem> = known
            .filter(|(key, item)| {
                item.value.is_some() && item.revision < revision && !listed.contains(key.as_str())
            })
            .map(|(key, _)| StoreItem { key: key.clone(), value: None, revision })
            .collect();
        self.merge(&removals)
    }

    /// Forgets the older half of the removals.
    fn forget_removals(&mut self) {
        let is_removal =
            |key: &String| self.items.get(key).is_some_and(|item| item.value.is_none());
        let removals = self.order.iter().filter(|(_, key)| is_removal(key));
        let oldest: Vec<(StoreRevision, String)> =
            removals.take(self.removals / 2).cloned().collect();
        for (revision, key) in oldest {
            self.items.remove(&key);
            self.removals -= 1;
            self.base = self.base.max(revision);
            self.order.remove(&(revision, key));
        }
    }
}
