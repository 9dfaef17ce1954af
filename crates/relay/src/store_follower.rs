//! Keeps this host up to date with the store: lists all items, then watches for changes and installs a serving view after
//! each.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use hyper::StatusCode;
use vanillapick_dispatch::change_source::ChangeSource;
use vanillapick_dispatch::change_source::ChangeSourceSelector;
use vanillapick_dispatch::follow_pace::FollowPace;
use vanillapick_dispatch::follow_pace::FollowStep;
use vanillapick_dispatch::host_record::HostId;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::registry::StoreRegistry;
use vanillapick_dispatch::target_record::TargetId;

use self::store_watch::WatchEnd;
use crate::change_log::PeerChanges;
use crate::peer_changes::PEER_CONFIRMATION;
use crate::relay_host::RelayHost;
use crate::request_flow::millis;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;
use crate::wire::StoreEra;
use crate::wire::StoreItem;
use crate::wire::StorePage;
use crate::wire::StorePosition;

mod store_watch;

/// Maximum wait of one watch. Long waits save calls, each of which is charged for.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Maximum delay before the next watch after a change, as a fraction of the time within which a change must take effect.
const MAX_CHANGE_DELAY_FRACTION: f64 = 0.27;

/// Factor on the maximum delay until the host has served a request, unless other hosts depend on its watch. When a
/// whole system starts, targets register one after the other, and no request depends on them yet.
const IDLE_CHANGE_DELAY_FACTOR: f64 = 2.0;

/// Delay after the first failed call; it doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between calls while the store is unreachable.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Delay of the first list when the whole system starts. The hosts have registered by then, so that those of a failure
/// domain share a watch from the first one on; otherwise each pays for one of its own.
const INITIAL_LIST_DELAY: Duration = Duration::from_millis(700);

/// Continues with the next watch without a delay.
const WATCH_NOW: FollowStep = FollowStep::Watch(Duration::ZERO);

/// Lists and watches the store until the process ends.
pub(crate) async fn follow_store(
    host: Arc<RelayHost>,
    store: StoreClient,
    registry: StoreRegistry,
) {
    let settings = &host.settings;
    let (name, domain) = (settings.host.as_str().into(), settings.domain.as_str().into());
    let sources = ChangeSourceSelector::new(name, domain, settings.change_time);
    let mut follower = StoreFollower {
        host,
        store,
        registry,
        position: None,
        era: None,
        is_store_lost: false,
        retry_delay: INITIAL_RETRY_DELAY,
        pace: FollowPace::default(),
        sources,
        requires_store: false,
        busy_since: Duration::ZERO,
        proven_at: Duration::ZERO,
    };
    if follower.host.settings.initial_start {
        tokio::time::sleep(INITIAL_LIST_DELAY).await;
    }
    loop {
        let step = match follower.position {
            None => follower.list().await,
            Some(position) => follower.watch(position).await,
        };
        match step {
            Ok(step) => follower.on_success(step).await,
            Err(error) => follower.on_error(&error).await,
        }
    }
}

struct StoreFollower {
    host: Arc<RelayHost>,
    store: StoreClient,
    registry: StoreRegistry,
    /// Position up to which changes are known; `None` before the first list and after the store lost its history.
    position: Option<StorePosition>,
    /// Latest known era of the store; `None` before the first list.
    era: Option<StoreEra>,
    is_store_lost: bool,
    retry_delay: Duration,
    pace: FollowPace,
    sources: ChangeSourceSelector,
    /// The next changes must be read from the store, because peers no longer have them in their logs.
    requires_store: bool,
    /// When the changes that are being applied were received.
    busy_since: Duration,
    /// Time up to which all changes are known, by the last proof of the store itself.
    proven_at: Duration,
}

impl StoreFollower {
    async fn list(&mut self) -> Result<FollowStep, StoreError> {
        let wire = self.host.wire.store;
        let asked = self.host.now();
        let mut items = Vec::new();
        let mut first_position: Option<StorePosition> = None;
        let mut after: Option<String> = None;
        loop {
            let call = (wire.list)(after.as_deref());
            let page = self.store.read_page(call, Duration::ZERO, wire.read_list).await?;
            // The pages are not one snapshot, so the watch starts at the position of the first page.
            let position = *first_position.get_or_insert(page.position());
            let expected = position.era.max(self.era.unwrap_or_default());
            if page.era != expected {
                return Err(StoreError::OtherEra { expected, found: page.era });
            }
            after = page.items.last().map(|item| item.key.clone());
            items.extend(page.items);
            if !page.has_more || after.is_none() {
                self.on_store_reply(self.host.now());
                self.confirm_store(asked);
                let StorePosition { era, revision } = position;
                tracing::info!(era, revision, items = items.len(), "store listed");
                self.apply_complete(&items, position);
                return Ok(WATCH_NOW);
            }
        }
    }

    /// Replaces all known items by a complete list at `position`.
    fn apply_complete(&mut self, items: &[StoreItem], position: StorePosition) {
        let now = self.host.now();
        let before = self.era.replace(position.era).filter(|before| *before < position.era);
        if let Some(before) = before {
            metrics::counter!("vanillapick_store_restores_total").increment(1);
            let StorePosition { era, revision } = position;
            let known = self.position.map(|known| known.revision);
            tracing::warn!(before, era, known, revision, "store was restored from a copy");
        }
        self.busy_since = now;
        let changes: Vec<StoreChange> =
            items.iter().filter_map(|item| self.read_change(item)).collect();
        self.host.crash_state.reset_entries();
        self.host.moves.forget_stored();
        self.registry.set_era(position.era);
        let is_shared = |change: &StoreChange| {
            matches!(
                change,
                StoreChange::MoveEvidence(..)
                    | StoreChange::CrashMark(..)
                    | StoreChange::ClearedMark(..)
                    | StoreChange::CrashEvidence(..)
            )
        };
        let (evidence, changes): (Vec<_>, Vec<_>) = changes.into_iter().partition(is_shared);
        if before.is_some() {
            self.registry.apply_restored_list(changes, now);
            self.host.moves.mark_unwritten();
            self.host.set_restored_until(self.registry.expiry_grace_until());
            self.host.changes.set_expiry_grace_until(self.registry.expiry_grace_until());
        } else {
            self.registry.apply_list(changes, now);
        }
        self.set_moves();
        evidence.into_iter().for_each(|change| {
            self.apply(change, now);
        });
        self.position = Some(position);
        self.install();
        self.check_silent_attempts();
        self.record_registration();
        self.host.changes.apply_list(items, position);
        self.host.set_store_era(position.era);
    }

    /// Reads the operators' documents ahead of other changes, so that a host that is far behind does not serve by an old
    /// configuration until it has read everything else.
    async fn read_orders(&mut self) -> Result<(), StoreError> {
        let wire = self.host.wire.store;
        let page =
            self.store.read_page((wire.list_orders)(), Duration::ZERO, wire.read_list).await?;
        let expected = self.era.unwrap_or_default();
        if page.era != expected {
            return Err(StoreError::OtherEra { expected, found: page.era });
        }
        if page.has_more {
            // Without all documents, a removal cannot be told from a document on the next page.
            return Ok(());
        }
        let changes =
            self.host.changes.apply_prefix(wire.orders_prefix, &page.items, page.position());
        self.apply_items(&changes);
        Ok(())
    }

    async fn watch(&mut self, position: StorePosition) -> Result<FollowStep, StoreError> {
        let revision = position.revision;
        let asked = self.host.now();
        let source = self.choose_source(asked);
        if self.host.set_store_watch(source == ChangeSource::Store) {
            tracing::info!(?source, revision, "source of changes");
        }
        let changes = match self.await_changes(&source, position, asked).await {
            WatchEnd::Returned(changes) => changes,
            WatchEnd::Replaced(step) => return Ok(step),
        };
        if let ChangeSource::Peer(peer, _) = source {
            self.apply_peer_changes(peer, changes, position).await;
            return Ok(WATCH_NOW);
        }
        let page = match changes {
            Ok(changes) => changes.page,
            Err(error) if error.has_status(StatusCode::GONE) => {
                tracing::info!(revision, "history of the store is lost; listing all items again");
                self.position = None;
                return Ok(WATCH_NOW);
            }
            Err(error) => return Err(error),
        };
        if page.era < position.era {
            return Err(StoreError::OtherEra { expected: position.era, found: page.era });
        }
        if position.era < page.era {
            // The revisions have passed the known one again, so the changes before it are missing in the page.
            return Ok(self.start_era(position, page.era));
        }
        self.on_store_reply(self.host.now());
        // A page with changes was made at some time after the call, and more may have followed it. One without was made at the end
        // of the wait.
        let now = self.host.now();
        let is_whole_wait = page.items.is_empty() && asked + WATCH_WAIT <= now;
        self.confirm_store(if is_whole_wait { asked + WATCH_WAIT } else { asked });
        self.requires_store = false;
        self.apply_changes(&page, position);
        let (now, max_delay) = (self.host.now(), self.max_change_delay());
        let step =
            self.pace.after_page(page.items.len(), now.saturating_sub(asked), max_delay, now);
        self.host.set_behind(self.pace.is_behind());
        Ok(step)
    }

    /// Has the store listed, because it is in a later era than the known position.
    fn start_era(&mut self, known: StorePosition, era: StoreEra) -> FollowStep {
        let revision = known.revision;
        tracing::info!(revision, era, "the store has a new era; listing all items again");
        self.position = None;
        WATCH_NOW
    }

    fn choose_source(&mut self, now: Duration) -> ChangeSource {
        if self.requires_store || self.is_store_lost {
            return ChangeSource::Store;
        }
        self.sources.select(self.registry.hosts(), now)
    }

    /// Applies the reply of a peer. A peer that failed is avoided for a while. If it has not listed the store yet, the next
    /// watch goes to the store.
    async fn apply_peer_changes(
        &mut self,
        peer: HostId,
        changes: Result<PeerChanges, StoreError>,
        position: StorePosition,
    ) {
        let now = self.host.now();
        let revision = position.revision;
        match changes {
            Ok(changes) if changes.page.era < position.era => {
                tracing::info!(
                    peer = &*peer,
                    era = changes.page.era,
                    "host is in an earlier era of the store"
                );
                self.requires_store = true;
            }
            Ok(changes) => {
                let expiry_grace_until = now.saturating_add(changes.expiry_grace_left);
                self.registry.extend_expiry_grace(expiry_grace_until);
                self.host.changes.set_expiry_grace_until(expiry_grace_until);
                if changes.is_complete {
                    tracing::info!(peer = &*peer, revision, "all items taken over from a host");
                    self.apply_complete(&changes.page.items, changes.page.position());
                } else {
                    self.apply_changes(&changes.page, position);
                }
                self.host.set_behind(false);
                if changes.has_store {
                    self.host.changes.confirm_store_until(now + PEER_CONFIRMATION);
                } else if self.start_check().await.1.is_ok() {
                    // While the store is unreachable for all hosts, changing the source would not help.
                    tracing::info!(
                        peer = &*peer,
                        "host has lost the store, which answers this one"
                    );
                    self.sources.record_failure(peer, now);
                }
            }
            Err(error) if error.has_status(StatusCode::GONE) => {
                tracing::info!(peer = &*peer, revision, "host has not listed the store yet");
                self.requires_store = true;
            }
            Err(error) => {
                tracing::info!(peer = &*peer, fault = %error, "host does not pass on changes");
                self.sources.record_failure(peer, now);
            }
        }
    }

    fn apply_changes(&mut self, page: &StorePage, position: StorePosition) {
        let position = page.position().max(position);
        self.position = Some(position);
        let changes = self.host.changes.append(&page.items, position);
        self.apply_items(&changes);
    }

    /// Applies items that are newer than the known ones.
    fn apply_items(&mut self, items: &[StoreItem]) {
        let now = self.host.now();
        self.busy_since = now;
        let mut is_changed = self.registry.expire(now);
        if is_changed {
            self.set_moves();
        }
        for item in items {
            if let Some(change) = self.read_change(item) {
                is_changed |= self.apply(change, now);
            }
        }
        if is_changed {
            self.install();
        }
        self.check_silent_attempts();
        self.record_registration();
    }

    /// Looks for targets that have crashed under attempts without a reply.
    fn check_silent_attempts(&self) {
        let state = |target: &TargetId| self.registry.instance_state(target);
        self.host.crash_state.check_silent(state, &self.host.settings.host);
    }

    fn record_registration(&self) {
        let is_registered = self.registry.hosts().contains_key(&*self.host.settings.host);
        self.host.set_unregistered(!is_registered);
    }

    fn max_change_delay(&self) -> Duration {
        let delay = self.host.settings.change_time.mul_f64(MAX_CHANGE_DELAY_FRACTION);
        if self.host.has_served() || self.shared_check_period().is_some() {
            delay
        } else {
            delay.mul_f64(IDLE_CHANGE_DELAY_FACTOR)
        }
    }

    /// Records that all changes up to `proven_at` are known. A later one need not be in force before the time for changes has
    /// passed.
    fn confirm_store(&mut self, proven_at: Duration) {
        self.proven_at = self.proven_at.max(proven_at);
        self.host.changes.confirm_store_until(proven_at + self.host.settings.change_time);
    }

    /// Decodes an item. An error is logged, and the last valid value stays in force.
    fn read_change(&self, item: &StoreItem) -> Option<StoreChange> {
        let parsed = (self.host.wire.store.read_change)(item)?;
        if let Some(fault) = parsed.error {
            tracing::warn!(key = item.key, revision = item.revision, fault, "item cannot be read");
        }
        if let Some(change) = &parsed.change {
            tracing::debug!(key = item.key, revision = item.revision, fact = ?change, "item read");
        }
        parsed.change
    }

    fn apply(&mut self, change: StoreChange, now: Duration) -> bool {
        match change {
            StoreChange::MoveEvidence(pool, source, encoded) => {
                self.host.moves.merge_evidence(&pool, source, encoded.as_deref());
                false
            }
            // Marks and evidence of crashing requests are no part of the registry.
            change if self.host.crash_state.apply(&change, &self.host.settings.host) => false,
            // Moves wait for hosts of earlier builds, and one of the hosts removes outdated evidence.
            change @ (StoreChange::MoveOrder(..)
            | StoreChange::MoveRecord(..)
            | StoreChange::PoolVersions(..)
            | StoreChange::Host(..)) => {
                let is_changed = self.registry.apply(change, now);
                self.set_moves();
                is_changed
            }
            change => self.registry.apply(change, now),
        }
    }

    fn set_moves(&self) {
        let first = self.registry.hosts().keys().next();
        let is_remover = first.is_some_and(|host| **host == *self.host.settings.host);
        self.host.moves.set_moves(
            self.registry.moves(),
            self.registry.move_versions(),
            self.registry.due_versions(),
            is_remover,
            SystemTime::now(),
        );
    }

    fn install(&mut self) {
        install(&self.host, &mut self.registry, self.host.now().saturating_sub(self.busy_since));
        // The first view after an order tells which version it replaces.
        self.set_moves();
    }

    fn on_store_reply(&mut self, now: Duration) {
        if self.is_store_lost {
            self.registry.mark_store_recovered(now);
            self.host.changes.set_expiry_grace_until(self.registry.expiry_grace_until());
        }
    }

    async fn on_success(&mut self, step: FollowStep) {
        let is_regained = std::mem::take(&mut self.is_store_lost);
        if is_regained {
            tracing::info!("store regained");
        }
        self.retry_delay = INITIAL_RETRY_DELAY;
        let step = if is_regained { FollowStep::ReadOrders } else { step };
        match step {
            FollowStep::Watch(delay) => tokio::time::sleep(delay).await,
            FollowStep::ReadOrders => {
                if let Err(error) = self.read_orders().await {
                    // The documents also arrive with the other changes.
                    tracing::info!(fault = %error, "operators' documents were not read ahead");
                }
            }
        }
    }

    async fn on_error(&mut self, error: &StoreError) {
        if !self.is_store_lost {
            tracing::warn!(fault = %error, "store lost");
        }
        self.is_store_lost = true;
        self.host.changes.mark_store_lost();
        tokio::time::sleep(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        self.expire();
    }

    /// Applies changes of which no confirmation has arrived in time.
    fn expire(&mut self) {
        self.busy_since = self.host.now();
        if self.registry.expire(self.busy_since) {
            self.install();
            self.check_silent_attempts();
        }
    }
}

/// Installs a view after changes were read and applied for `applied`, in which the event loop did nothing else.
fn install(host: &RelayHost, registry: &mut StoreRegistry, applied: Duration) {
    let started = host.now();
    let before = host.view().map(|view| view.serving.version);
    let Some(view) = registry.view() else { return };
    if before != Some(view.version) {
        tracing::info!(before, version = view.version, "configuration in force");
    }
    let usable: usize = view.pools.values().map(|pool| pool.targets.len()).sum();
    let (known, hosts) = (registry.target_count(), view.host_count);
    let version = view.version;
    host.install(view);
    let apply_ms = millis(applied);
    let build_ms = millis(host.now().saturating_sub(started));
    tracing::info!(version, known, usable, hosts, apply_ms, build_ms, "view installed");
}
