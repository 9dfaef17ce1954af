//! Follows the store: lists all items, then watches for changes, and installs a serving view after each.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use futures_util::future::BoxFuture;
use hyper::StatusCode;
use vanillapick_dispatch::change_source::ChangeSource;
use vanillapick_dispatch::change_source::ChangeSourceSelector;
use vanillapick_dispatch::host_record::HostId;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::registry::StoreRegistry;

use crate::change_log::PassedChanges;
use crate::peer_changes::PEER_TIMEOUT;
use crate::peer_changes::PEER_WAIT;
use crate::peer_changes::changes_call;
use crate::peer_changes::read_changes;
use crate::relay_host::RelayHost;
use crate::relay_server::STORE_TIMEOUT;
use crate::store_client::StoreClient;
use crate::store_client::StoreFault;
use crate::wire::StoreItem;
use crate::wire::StorePage;
use crate::wire::StoreRevision;

/// Longest wait of one watch; each call is paid for.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Period of checks while a watch waits, as a part of the time in which a change must be in force. The store may stop
/// answering one host without ending its connections, so that only a newer revision shows that a watch is dead. A check
/// may see a state that is 3 s old; the platform allows for that, because it counts a host only after it was in touch for
/// some seconds.
const CHECK_PART: f64 = 0.66;

/// Time for a watch to return after a check has found a newer revision.
const CHECK_GRACE: Duration = Duration::from_millis(300);

/// Pause after a change, so that changes which come together cost one watch. It doubles while changes keep coming, because each
/// host pays for each of its watches.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);

/// Longest such pause, as a part of the time in which a change must be in force.
const CHANGE_PAUSE_PART: f64 = 0.27;

/// What the longest pause is multiplied by until the host has served a request: at the start of a whole system targets
/// register one after the other, and nobody waits for them.
const IDLE_PAUSE_FACTOR: f64 = 2.0;

/// A watch that waited longer than this ends a series of changes.
const CHANGE_GAP: Duration = Duration::from_millis(500);

/// First pause after a failed call; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between calls while the store is away.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Follows the store until the process ends.
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
        revision: None,
        is_away: false,
        pause: FIRST_PAUSE,
        change_pause: CHANGE_PAUSE,
        sources,
        must_watch: false,
    };
    loop {
        let step = match follower.revision {
            None => follower.list().await,
            Some(revision) => follower.watch(revision).await,
        };
        match step {
            Ok(()) => follower.note_reached(),
            Err(fault) => follower.note_fault(&fault).await,
        }
    }
}

struct StoreFollower {
    host: Arc<RelayHost>,
    store: StoreClient,
    registry: StoreRegistry,
    /// Revision up to which changes are known; none before the first list, and after history was lost.
    revision: Option<StoreRevision>,
    is_away: bool,
    pause: Duration,
    change_pause: Duration,
    sources: ChangeSourceSelector,
    /// The next changes have to come from the store: other hosts don't keep them.
    must_watch: bool,
}

impl StoreFollower {
    async fn list(&mut self) -> Result<(), StoreFault> {
        let wire = self.host.wire.store;
        let mut facts = Vec::new();
        let mut items = Vec::new();
        let mut first_revision = None;
        let mut after: Option<String> = None;
        loop {
            let call = (wire.list)(after.as_deref());
            let page = self.store.read(call, Duration::ZERO, wire.read_list).await?;
            // Pages are no snapshot: changes since the first page are watched for.
            let revision = *first_revision.get_or_insert(page.revision);
            after = page.items.last().map(|item| item.key.clone());
            facts.extend(page.items.iter().filter_map(|item| self.read_fact(item)));
            items.extend(page.items);
            if !page.has_more || after.is_none() {
                let now = self.host.now();
                self.note_returned(now);
                self.confirm_store();
                let count = facts.len();
                self.host.crashes().replace_marked(facts.iter().filter_map(|fact| match fact {
                    StoreChange::CrashMark(print, true) => Some(*print),
                    _ => None,
                }));
                let (evidence, facts): (Vec<_>, Vec<_>) = facts
                    .into_iter()
                    .partition(|fact| matches!(fact, StoreChange::MoveEvidence(..)));
                self.registry.apply_list(facts, now);
                self.set_moves();
                evidence.into_iter().for_each(|fact| {
                    self.apply(fact, now);
                });
                self.revision = Some(revision);
                tracing::info!(revision, facts = count, "store listed");
                self.install();
                self.host.changes.take_list(&items, revision);
                return Ok(());
            }
        }
    }

    async fn watch(&mut self, revision: StoreRevision) -> Result<(), StoreFault> {
        let asked = self.host.now();
        let source = self.choose_source(asked);
        if self.host.set_store_watch(source == ChangeSource::Store) {
            tracing::info!(?source, revision, "source of changes");
        }
        let watch = self.start_watch(&source, revision);
        let mut watch = std::pin::pin!(watch);
        // What another host passes on is checked by that host.
        let check_period = match source {
            ChangeSource::Store => self.check_period(),
            ChangeSource::Peer(..) => WATCH_WAIT,
        };
        let mut is_suspect = false;
        let changes = loop {
            let now = self.host.now();
            let expiry =
                self.registry.next_expiry().map_or(WATCH_WAIT, |at| at.saturating_sub(now));
            tokio::select! {
                changes = watch.as_mut() => break changes,
                // The same call goes on: a new one would be paid for again.
                () = tokio::time::sleep(expiry) => {
                    if self.registry.expire(self.host.now()) {
                        self.install();
                    }
                }
                () = tokio::time::sleep(check_period) => {
                    match self.check().await {
                        Ok(current) if current > revision || is_suspect => {
                            let changes = tokio::time::timeout(CHECK_GRACE, watch.as_mut()).await;
                            if let Ok(changes) = changes {
                                break changes;
                            }
                            tracing::info!(revision, current, is_suspect, "watch is silent, starting it again");
                            return Ok(());
                        }
                        Ok(_) => self.confirm_store(),
                        Err(fault) => {
                            tracing::debug!(%fault, "check of the store failed");
                            self.host.changes.lose_store();
                            is_suspect = true;
                        }
                    }
                }
            }
        };
        if let ChangeSource::Peer(peer, _) = source {
            return self.take_passed(peer, changes, revision).await;
        }
        let page = match changes {
            Ok(changes) => changes.page,
            Err(fault) if fault.has_status(StatusCode::GONE) => {
                tracing::info!(revision, "history of the store is lost, listing it again");
                self.revision = None;
                return Ok(());
            }
            Err(fault) => return Err(fault),
        };
        self.note_returned(self.host.now());
        self.confirm_store();
        self.must_watch = false;
        self.take_changes(&page, revision);
        let now = self.host.now();
        if !page.items.is_empty() {
            let is_series = now.saturating_sub(asked) < CHANGE_GAP;
            let next = (self.change_pause * 2).min(self.longest_pause());
            self.change_pause = if is_series { next } else { CHANGE_PAUSE };
            tokio::time::sleep(self.change_pause).await;
        }
        Ok(())
    }

    fn choose_source(&mut self, now: Duration) -> ChangeSource {
        if self.must_watch || self.is_away {
            return ChangeSource::Store;
        }
        self.sources.select(self.registry.hosts(), now)
    }

    /// Period of checks of the host's own watch; shorter if other hosts depend on it.
    fn check_period(&self) -> Duration {
        let usual = self.host.settings.change_time.mul_f64(CHECK_PART);
        self.shared_check().map_or(usual, |period| period.min(usual))
    }

    fn shared_check(&self) -> Option<Duration> {
        self.sources.shared_check_interval(self.registry.hosts())
    }

    fn start_watch(
        &self,
        source: &ChangeSource,
        revision: StoreRevision,
    ) -> BoxFuture<'static, Result<PassedChanges, StoreFault>> {
        let wire = self.host.wire.store;
        match source {
            ChangeSource::Store => {
                let (store, call) = (self.store.clone(), (wire.watch)(revision, WATCH_WAIT));
                Box::pin(async move {
                    let page = store.read(call, WATCH_WAIT, wire.read_watch).await?;
                    Ok(PassedChanges { page, lapse_left: Duration::ZERO, has_store: true })
                })
            }
            ChangeSource::Peer(_, address) => {
                let peer = self.store.of_peer(*address, PEER_TIMEOUT);
                let call = changes_call(revision);
                Box::pin(async move { peer.read(call, PEER_WAIT, read_changes).await })
            }
        }
    }

    /// Takes in what another host passes on. One that cannot is left for a while; the store has what it lacks.
    async fn take_passed(
        &mut self,
        peer: HostId,
        changes: Result<PassedChanges, StoreFault>,
        revision: StoreRevision,
    ) -> Result<(), StoreFault> {
        let now = self.host.now();
        match changes {
            Ok(changes) => {
                let lapse_until = now + changes.lapse_left;
                self.registry.extend_expiry_grace(lapse_until);
                self.host.changes.set_lapse_until(lapse_until);
                self.take_changes(&changes.page, revision);
                if changes.has_store {
                    self.host.changes.confirm_store(now + PEER_WAIT + PEER_TIMEOUT);
                } else if self.check().await.is_ok() {
                    // If the store answers nobody, all hosts wait for it together.
                    tracing::info!(
                        peer = &*peer,
                        "host has lost the store, which answers this one"
                    );
                    self.sources.record_failure(peer, now);
                }
            }
            Err(fault) if fault.has_status(StatusCode::GONE) => {
                tracing::info!(peer = &*peer, revision, "host no longer keeps these changes");
                self.must_watch = true;
            }
            Err(fault) => {
                tracing::info!(peer = &*peer, %fault, "host does not pass on changes");
                self.sources.record_failure(peer, now);
            }
        }
        Ok(())
    }

    fn take_changes(&mut self, page: &StorePage, revision: StoreRevision) {
        let now = self.host.now();
        let mut is_changed = self.registry.expire(now);
        for item in &page.items {
            if let Some(fact) = self.read_fact(item) {
                is_changed |= self.apply(fact, now);
            }
        }
        let revision = page.revision.max(revision);
        self.revision = Some(revision);
        if is_changed {
            self.install();
        }
        self.host.changes.append(&page.items, revision);
    }

    fn longest_pause(&self) -> Duration {
        let pause = self.host.settings.change_time.mul_f64(CHANGE_PAUSE_PART);
        if self.host.has_served() || self.shared_check().is_some() {
            pause
        } else {
            pause.mul_f64(IDLE_PAUSE_FACTOR)
        }
    }

    /// The store has answered, and is expected to answer again within the period of checks and the time-out of a call.
    fn confirm_store(&self) {
        let until = self.host.now() + self.check_period() + STORE_TIMEOUT + CHECK_GRACE;
        self.host.changes.confirm_store(until);
    }

    async fn check(&self) -> Result<StoreRevision, StoreFault> {
        let wire = self.host.wire.store;
        self.store.read((wire.check)(), Duration::ZERO, wire.read_check).await
    }

    /// What an item says; a fault is logged, and the last good value stays in force.
    fn read_fact(&self, item: &StoreItem) -> Option<StoreChange> {
        let reading = (self.host.wire.store.read_fact)(item)?;
        if let Some(fault) = reading.fault {
            tracing::warn!(key = item.key, revision = item.revision, fault, "item cannot be read");
        }
        if let Some(fact) = &reading.fact {
            tracing::debug!(key = item.key, revision = item.revision, ?fact, "item read");
        }
        reading.fact
    }

    fn apply(&mut self, fact: StoreChange, now: Duration) -> bool {
        match fact {
            StoreChange::MoveEvidence(pool, encoded) => {
                self.host.moves.merge(&pool, &encoded);
                false
            }
            StoreChange::CrashMark(print, is_marked) => {
                tracing::info!(
                    print = format!("{print:016x}"),
                    is_marked,
                    "mark of a crashing request"
                );
                self.host.crashes().set_marked(print, is_marked);
                false
            }
            fact @ (StoreChange::MoveOrder(..) | StoreChange::MoveRecord(..)) => {
                let is_changed = self.registry.apply(fact, now);
                self.set_moves();
                is_changed
            }
            fact => self.registry.apply(fact, now),
        }
    }

    fn set_moves(&self) {
        self.host.moves.set_moves(self.registry.moves(), SystemTime::now());
    }

    fn install(&mut self) {
        install(&self.host, &mut self.registry);
    }

    fn note_returned(&mut self, now: Duration) {
        if self.is_away {
            self.registry.mark_store_recovered(now);
            self.host.changes.set_lapse_until(self.registry.expiry_grace_until());
        }
    }

    fn note_reached(&mut self) {
        if self.is_away {
            tracing::info!("store regained");
        }
        self.is_away = false;
        self.pause = FIRST_PAUSE;
    }

    async fn note_fault(&mut self, fault: &StoreFault) {
        if !self.is_away {
            tracing::warn!(%fault, "store lost");
        }
        self.is_away = true;
        self.host.changes.lose_store();
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        if self.registry.expire(self.host.now()) {
            self.install();
        }
    }
}

fn install(host: &RelayHost, registry: &mut StoreRegistry) {
    let before = host.view().map(|view| view.serving.version);
    let Some(view) = registry.view() else { return };
    if before != Some(view.version) {
        tracing::info!(before, version = view.version, "configuration in force");
    }
    let usable: usize = view.pools.values().map(|pool| pool.targets.len()).sum();
    let (known, hosts) = (registry.target_count(), view.host_count);
    tracing::info!(version = view.version, known, usable, hosts, "view installed");
    host.install(view);
}
