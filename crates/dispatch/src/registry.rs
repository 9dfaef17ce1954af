//! In-memory state of the platform's store: configuration, targets, failure domains out of service, moves and live
//! hosts. Applies changes of the store and builds serving views.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config_document::ConfigDocument;
use crate::config_document::DomainId;
use crate::config_document::PoolId;
use crate::config_document::RegionId;
use crate::crash_guard::CrashMark;
use crate::crash_guard::RequestFingerprint;
use crate::host_lease::HostLease;
use crate::host_record::HOST_LEASE_TTL;
use crate::host_record::HostId;
use crate::host_record::HostRecord;
use crate::known_versions::KnownVersions;
use crate::pool_state::PoolState;
use crate::pool_state::RouteState;
use crate::pool_versions::DueVersions;
use crate::pool_versions::PoolVersions;
use crate::pool_versions::VersionsByPool;
use crate::retry_budget::RetryBudgetLimits;
use crate::route_table::RouteTable;
use crate::serving_view::PoolView;
use crate::serving_view::ServingView;
use crate::shard_groups::PartHosts;
use crate::shard_groups::domain_owners;
use crate::silent_attempts::InstanceState;
use crate::store_position::StoreEra;
use crate::store_position::StorePosition;
use crate::store_position::StoreRevision;
use crate::target_record::TargetId;
use crate::target_record::TargetRecord;
use crate::target_state::TargetDistance;
use crate::target_state::TargetState;
use crate::version_split::MoveOrder;
use crate::version_split::MoveRecord;
use crate::version_split::PoolMove;
use crate::version_split::PoolMoves;
use crate::version_split::VersionSplit;

/// Time after the store recovers for which expired registrations of targets are kept. Live targets register again
/// within 2 s; the rest is a margin for the watch.
const EXPIRY_GRACE: Duration = Duration::from_millis(2300);

/// Time for which a target that has left stays unused if a restored store has its registration again. The store removes such
/// a registration after some seconds without a message of the target.
const DEPARTED_HOLD: Duration = Duration::from_secs(10);

/// Time for which targets that have left are remembered; longer than the age of the copies that a store is restored from.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Time in which a change of the store reaches all hosts that are connected to it.
const CHANGE_SPREAD: Duration = Duration::from_secs(5);

/// Time for which a host that is no longer registered still counts. Its registration may have been removed although it runs,
/// and it uses its share of a limit until the lease that it last renewed has ended by its own clock.
const GONE_HOST_RETENTION: Duration = HOST_LEASE_TTL.saturating_add(CHANGE_SPREAD);

/// Source of evidence on moves, which identifies its item in the store beside the pool.
pub type EvidenceKey = Arc<str>;

/// Change of one item in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// Operators wrote a configuration.
    Config(ConfigDocument),
    /// A target wrote its registration.
    Target(TargetRecord),
    /// The registration of a target was removed or cannot be parsed.
    TargetGone(TargetId),
    /// A host wrote that the process of a target which was started at this Unix time in milliseconds refused a connection.
    TargetRefused(TargetId, u64),
    /// A failure domain was taken out of service (true) or returned to service (false).
    DomainOut(DomainId, bool),
    /// A host registered itself; `None` if its registration was removed.
    Host(HostId, Option<HostRecord>),
    /// Operators ordered a pool to move to another version, by a document of this store revision; `None` if they removed it.
    MoveOrder(PoolId, Option<MoveOrder>, StoreRevision),
    /// A host recorded the state of a move at this store revision.
    MoveRecord(PoolId, MoveRecord, StoreRevision),
    /// A host wrote what is known of the versions of a pool, at this store revision; `None` if that was removed.
    PoolVersions(PoolId, Option<PoolVersions>, StoreRevision),
    /// Encoded evidence of a host on a move; `None` if it was removed.
    MoveEvidence(PoolId, EvidenceKey, Option<Vec<u8>>),
    /// A host marked a request as crashing targets; `None` if the store has no mark of it any more, which says nothing about
    /// the request.
    CrashMark(RequestFingerprint, Option<StoredMark>),
    /// A host cleared the mark of a request; `None` if the store doesn't say so any more.
    ClearedMark(RequestFingerprint, Option<CrashMark>),
    /// Encoded evidence of a host on requests that crash targets; `None` if it was removed.
    CrashEvidence(HostId, Option<Vec<u8>>),
}

/// Mark of a crashing request as the store has it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredMark {
    /// `None` if an earlier version of the program wrote it, which states no details.
    pub mark: Option<CrashMark>,
    /// Revision of the store at which it was written.
    pub revision: u64,
}

/// Name and failure domain of this host, and the regions of all failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostLocation {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: String,
    /// Region by failure domain.
    pub regions: BTreeMap<String, RegionId>,
}

impl HostLocation {
    /// Whether callers of another region may be sent here, as happens to callers of a region with a single failure
    /// domain while that domain is down.
    pub fn accepts_remote_callers(&self) -> bool {
        let own = self.regions.get(&self.domain);
        let others = self.regions.values().filter(|region| Some(*region) != own);
        let mut domains: BTreeMap<&RegionId, usize> = BTreeMap::new();
        for region in others {
            *domains.entry(region).or_default() += 1;
        }
        domains.values().any(|count| *count == 1)
    }

    /// Distance to a failure domain; an unknown one counts as remote.
    pub fn distance(&self, domain: &str) -> TargetDistance {
        self.distance_between(&self.domain, domain)
    }

    /// Distance between two failure domains; unknown ones count as remote.
    pub fn distance_between(&self, from: &str, to: &str) -> TargetDistance {
        if from == to {
            return TargetDistance::Domain;
        }
        match (self.regions.get(from), self.regions.get(to)) {
            (Some(own), Some(other)) if own == other => TargetDistance::Region,
            _ => TargetDistance::Remote,
        }
    }
}

/// Item of the store whose removal or reappearance waits for confirmation.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum PendingKey {
    Target(TargetId),
    DomainOut(DomainId),
    Host(HostId),
    MoveOrder(PoolId),
}

/// Change that takes effect later, unless another change of the item arrives before.
#[derive(Debug)]
struct PendingChange {
    change: StoreChange,
    due: Duration,
}

/// State of the store as known to this host.
#[derive(Debug)]
pub struct StoreRegistry {
    location: Arc<HostLocation>,
    retry_limits: RetryBudgetLimits,
    config: Option<ConfigDocument>,
    targets: BTreeMap<TargetId, Arc<TargetState>>,
    /// Latest record of each target, including draining ones.
    records: BTreeMap<TargetId, TargetRecord>,
    /// Changes that wait for confirmation: removals of registrations that expired while the store was unreachable, and differences
    /// of a restored store.
    pending: BTreeMap<PendingKey, PendingChange>,
    /// Targets that have left lately, with their last record and the time until which they are remembered.
    departed: BTreeMap<TargetId, (TargetRecord, Duration)>,
    domains_out: BTreeSet<DomainId>,
    hosts: BTreeMap<HostId, HostRecord>,
    /// Hosts that are no longer registered, with their last record and the time until which they count.
    gone_hosts: BTreeMap<HostId, (HostRecord, Duration)>,
    moves: PoolMoves,
    versions: KnownVersions,
    pools: HashMap<PoolId, Arc<PoolState>>,
    routes: HashMap<Arc<str>, Arc<RouteState>>,
    /// Registrations that are removed before this time may be written again.
    expiry_grace_until: Duration,
    /// Documents that are written before this time may repeat what a restored store lacks.
    restoring_until: Duration,
    /// Era of the revisions that are applied.
    era: StoreEra,
    host_lease: Arc<HostLease>,
}

impl StoreRegistry {
    /// Empty registry without a configuration.
    pub fn new(location: HostLocation, retry_limits: RetryBudgetLimits) -> Self {
        Self {
            location: Arc::new(location),
            retry_limits,
            config: None,
            targets: BTreeMap::new(),
            records: BTreeMap::new(),
            pending: BTreeMap::new(),
            departed: BTreeMap::new(),
            domains_out: BTreeSet::new(),
            hosts: BTreeMap::new(),
            gone_hosts: BTreeMap::new(),
            moves: PoolMoves::new(),
            versions: KnownVersions::default(),
            pools: HashMap::new(),
            routes: HashMap::new(),
            expiry_grace_until: Duration::ZERO,
            restoring_until: Duration::ZERO,
            era: 0,
            host_lease: Arc::default(),
        }
    }

    /// Lease of this host, shared with all views.
    pub fn host_lease(&self) -> &Arc<HostLease> {
        &self.host_lease
    }

    /// Starts a grace period for registrations that expired while the store did not respond.
    pub fn mark_store_recovered(&mut self, now: Duration) {
        self.extend_expiry_grace(now + EXPIRY_GRACE);
    }

    /// Extends the grace period for expired registrations to `until`, if that is later.
    pub fn extend_expiry_grace(&mut self, until: Duration) {
        self.expiry_grace_until = self.expiry_grace_until.max(until);
    }

    /// End of the grace period for expired registrations.
    pub fn expiry_grace_until(&self) -> Duration {
        self.expiry_grace_until
    }

    /// Sets the era of the revisions that are applied from now on.
    pub fn set_era(&mut self, era: StoreEra) {
        self.era = era;
    }

    /// Applies a change to the move of a pool. A move that begins has no share of the requests yet.
    fn apply_to_move(&mut self, pool: &PoolId, apply: impl FnOnce(&mut PoolMove) -> bool) -> bool {
        let pool_move = self.moves.entry(Arc::clone(pool)).or_default();
        let before = pool_move.move_count;
        let is_changed = apply(pool_move);
        if let Some(state) = self.pools.get(pool).filter(|_| before != pool_move.move_count) {
            state.set_new_version_share(0.0);
        }
        is_changed
    }

    /// Versions of the pools that have orders or records of moves.
    pub fn move_versions(&self) -> VersionsByPool {
        self.versions.of_moves(&self.moves)
    }

    /// Versions that the store lacks or has otherwise.
    pub fn due_versions(&self) -> Vec<DueVersions> {
        self.versions.due()
    }

    /// Has repeated orders wait while a live host does not tell them from the earlier ones; returns whether that changes any.
    fn update_holds(&mut self) -> bool {
        let is_known = || self.hosts.values().all(|host| host.knows_order_ids);
        let moves = self.moves.values_mut();
        moves.fold(false, |is_changed, pool_move| {
            let is_held = pool_move.is_repeat() && !is_known();
            pool_move.set_held(is_held) || is_changed
        })
    }

    /// Applies a change; returns whether it affects the serving view.
    pub fn apply(&mut self, change: StoreChange, now: Duration) -> bool {
        let was_pending = change.pending_key().and_then(|key| self.pending.remove(&key));
        match change {
            StoreChange::Config(document) => {
                let is_newer =
                    self.config.as_ref().is_none_or(|known| known.version < document.version);
                if is_newer {
                    self.config = Some(document);
                }
                is_newer
            }
            StoreChange::Target(record) => self.apply_target(record, was_pending.is_some(), now),
            StoreChange::TargetGone(id) => self.apply_removal(&id, was_pending, now),
            StoreChange::TargetRefused(id, started_ms) => {
                let target = self.targets.get(&id);
                if let Some(target) = target.filter(|target| target.record.started_ms == started_ms)
                {
                    target.record_refusal(now);
                    target.record_shared_refusal(now);
                }
                false
            }
            StoreChange::DomainOut(domain, true) => self.domains_out.insert(domain),
            StoreChange::DomainOut(domain, false) => self.domains_out.remove(&domain),
            StoreChange::Host(host, Some(record)) => {
                self.gone_hosts.remove(&host);
                let before = self.hosts.insert(host.clone(), record);
                let is_changed = before.as_ref() != self.hosts.get(&host);
                self.update_holds() || is_changed
            }
            StoreChange::Host(host, None) => {
                if let Some(record) = self.hosts.remove(&host) {
                    self.gone_hosts.insert(host, (record, now + GONE_HOST_RETENTION));
                }
                self.update_holds()
            }
            StoreChange::MoveOrder(pool, order, revision) => {
                let id = StorePosition { era: self.era, revision };
                let is_restoring = now < self.restoring_until;
                let is_changed = self.apply_to_move(&pool, |pool_move| {
                    pool_move.apply_order(order, id, is_restoring)
                });
                self.update_holds() || is_changed
            }
            StoreChange::MoveRecord(pool, record, revision) => {
                let is_changed =
                    self.apply_to_move(&pool, |pool_move| pool_move.apply_record(record, revision));
                let is_moved = self.versions.apply_record(&pool, self.moves.get(&pool));
                self.update_holds() || is_changed || is_moved
            }
            StoreChange::PoolVersions(pool, versions, revision) => {
                let is_restoring = now < self.restoring_until;
                let pool_move = self.moves.get(&pool);
                self.versions.apply_written(&pool, versions, revision, pool_move, is_restoring)
            }
            // The caller handles evidence and crash marks.
            StoreChange::MoveEvidence(..)
            | StoreChange::CrashMark(..)
            | StoreChange::ClearedMark(..)
            | StoreChange::CrashEvidence(..) => false,
        }
    }

    /// Applies a complete list of the store: targets, failure domains, hosts and move orders that it lacks are removed.
    pub fn apply_list(&mut self, changes: Vec<StoreChange>, now: Duration) {
        let mut targets: BTreeSet<TargetId> = self.records.keys().cloned().collect();
        let mut domains = self.domains_out.clone();
        let mut hosts: BTreeSet<HostId> = self.hosts.keys().cloned().collect();
        let mut orders: BTreeSet<PoolId> = self.moves.keys().cloned().collect();
        for change in changes {
            match &change {
                StoreChange::Target(record) => drop(targets.remove(&record.id)),
                StoreChange::DomainOut(domain, true) => drop(domains.remove(domain)),
                StoreChange::Host(host, Some(_)) => drop(hosts.remove(host)),
                StoreChange::MoveOrder(pool, Some(_), _) => drop(orders.remove(pool)),
                _ => {}
            }
            self.apply(change, now);
        }
        for id in targets {
            self.apply(StoreChange::TargetGone(id), now);
        }
        for domain in domains {
            self.apply(StoreChange::DomainOut(domain, false), now);
        }
        for host in hosts {
            self.apply(StoreChange::Host(host, None), now);
        }
        for pool in orders {
            self.apply(StoreChange::MoveOrder(pool, None, 0), now);
        }
    }

    /// Applies a complete list of a store that was restored from a copy. Writers write again what the copy lacks, so what
    /// this host knows to be confirmed stays for the grace period: registrations, domains out of service and move orders
    /// that the list lacks, and orders that it has differently. Targets that have left stay unused for longer.
    pub fn apply_restored_list(&mut self, changes: Vec<StoreChange>, now: Duration) {
        self.mark_store_recovered(now);
        self.moves.values_mut().for_each(PoolMove::forget_stored);
        self.versions.forget_stored();
        let due = now + EXPIRY_GRACE;
        self.restoring_until = due;
        let mut missing: BTreeMap<PendingKey, StoreChange> = BTreeMap::new();
        for id in self.records.keys() {
            missing.insert(PendingKey::Target(id.clone()), StoreChange::TargetGone(id.clone()));
        }
        for domain in &self.domains_out {
            let change = StoreChange::DomainOut(domain.clone(), false);
            missing.insert(PendingKey::DomainOut(domain.clone()), change);
        }
        for host in self.hosts.keys() {
            missing.insert(PendingKey::Host(host.clone()), StoreChange::Host(host.clone(), None));
        }
        for (pool, pool_move) in &self.moves {
            if pool_move.order.is_some() {
                let change = StoreChange::MoveOrder(pool.clone(), None, 0);
                missing.insert(PendingKey::MoveOrder(pool.clone()), change);
            }
        }
        for change in changes {
            let key = change.pending_key();
            key.as_ref().map(|key| missing.remove(key));
            let hold = self.restored_hold(&change);
            match key {
                Some(key) if !hold.is_zero() => {
                    self.pending.insert(key, PendingChange { change, due: now + hold });
                }
                _ => drop(self.apply(change, now)),
            }
        }
        let missing = missing.into_iter();
        self.pending.extend(missing.map(|(key, change)| (key, PendingChange { change, due })));
    }

    /// Time for which a change of a restored list is held back.
    fn restored_hold(&self, change: &StoreChange) -> Duration {
        match change {
            StoreChange::Target(record) => {
                let departed = self.departed.get(&record.id);
                let is_old = departed.is_some_and(|(departed, _)| {
                    departed.started_ms == record.started_ms && record.sequence <= departed.sequence
                });
                if is_old { DEPARTED_HOLD } else { Duration::ZERO }
            }
            StoreChange::MoveOrder(pool, order, _) => {
                let known = self.moves.get(pool).and_then(|known| known.order.as_ref());
                let is_other = known.is_some() && known != order.as_ref();
                if is_other { EXPIRY_GRACE } else { Duration::ZERO }
            }
            _ => Duration::ZERO,
        }
    }

    /// Applies pending changes whose time has come and forgets hosts that no longer count; returns whether the serving view is
    /// affected.
    pub fn expire(&mut self, now: Duration) -> bool {
        let due = self.pending.iter().filter(|(_, pending)| pending.due <= now);
        let due: Vec<PendingKey> = due.map(|(key, _)| key.clone()).collect();
        let mut is_changed = false;
        for key in due {
            let Some(pending) = self.pending.remove(&key) else { continue };
            is_changed |= match pending.change {
                StoreChange::TargetGone(id) => self.remove_target(&id, now),
                change => self.apply(change, now),
            };
        }
        let hosts = self.gone_hosts.len();
        self.gone_hosts.retain(|_, (_, until)| now < *until);
        self.departed.retain(|_, (_, until)| now < *until);
        is_changed || hosts != self.gone_hosts.len()
    }

    /// Next time to call [`Self::expire`]; `None` if nothing is pending.
    pub fn next_expiry(&self) -> Option<Duration> {
        let gone_hosts = self.gone_hosts.values().map(|(_, until)| *until);
        self.pending.values().map(|pending| pending.due).chain(gone_hosts).min()
    }

    /// Version of the current configuration, if there is one.
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Move orders and records of all pools.
    pub fn moves(&self) -> &PoolMoves {
        &self.moves
    }

    /// Hosts that are registered now.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostRecord> {
        &self.hosts
    }

    /// What the registration of a target says.
    pub fn instance_state(&self, id: &TargetId) -> InstanceState {
        InstanceState::of(self.records.get(id))
    }

    /// Number of known targets, including those that get no requests.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Builds a serving view of the current state; `None` before the first configuration.
    pub fn view(&mut self) -> Option<ServingView> {
        let config = self.config.as_ref()?;
        let mut pools = HashMap::new();
        for contract in &config.pools {
            let state = self.pools.entry(Arc::clone(&contract.id)).or_default();
            let view = PoolView {
                contract: contract.clone(),
                state: Arc::clone(state),
                targets: Vec::new(),
                version_split: VersionSplit::Single,
            };
            pools.insert(Arc::clone(&contract.id), view);
        }
        for (id, target) in &self.targets {
            let is_draining = self.records.get(id).is_some_and(|record| record.draining);
            if is_draining || self.domains_out.contains(&target.record.domain) {
                continue;
            }
            if let Some(pool) = pools.get_mut(&target.record.pool) {
                pool.targets.push(Arc::clone(target));
            }
        }
        self.versions.begin_view();
        for (id, pool) in &mut pools {
            let pool_move = self.moves.get(id);
            pool.version_split = self.versions.split_pool(id, pool_move, &mut pool.targets);
        }
        for route in &config.routes {
            self.routes.entry(Arc::clone(&route.id)).or_default();
        }
        self.routes.retain(|id, _| config.routes.iter().any(|route| route.id == *id));
        Some(ServingView {
            version: config.version,
            route_table: RouteTable::new(&config.routes),
            pools: pools.into_iter().map(|(id, pool)| (id, Arc::new(pool))).collect(),
            routes: self.routes.clone(),
            limits: config.limits,
            part_owners: self.part_owners(),
            part_hosts: self.part_hosts(),
            host_lease: Arc::clone(&self.host_lease),
            location: Arc::clone(&self.location),
            top_priority: config.routes.iter().map(|route| route.priority).min().unwrap_or(0),
            host_count: self.counted_hosts().count().max(1),
            host_rank: self.host_rank(),
            retry_limits: self.retry_limits,
        })
    }

    fn part_hosts(&self) -> PartHosts {
        let mut hosts = PartHosts::new();
        for (host, record) in &self.hosts {
            if let (Some(domain), Some(address)) = (&record.domain, record.parts_address) {
                hosts.entry(domain.clone()).or_default().insert(HostId::clone(host), address);
            }
        }
        hosts
    }

    /// Number of hosts that may own the group of one shard; `None` if no host gathers parts.
    fn part_owners(&self) -> Option<usize> {
        let mut hosts: BTreeMap<&DomainId, usize> = BTreeMap::new();
        let gathering = self.counted_hosts().filter(|(_, record)| record.parts_address.is_some());
        for domain in gathering.filter_map(|(_, record)| record.domain.as_ref()) {
            *hosts.entry(domain).or_default() += 1;
        }
        (!hosts.is_empty()).then(|| hosts.into_values().map(domain_owners).sum())
    }

    /// Hosts that may use a share of the limits: those that are registered, and those that were lately.
    fn counted_hosts(&self) -> impl Iterator<Item = (&HostId, &HostRecord)> {
        let gone_hosts = self.gone_hosts.iter().map(|(host, (record, _))| (host, record));
        self.hosts.iter().chain(gone_hosts)
    }

    /// Number of counted hosts whose names are before that of this host; `None` if it is not registered.
    fn host_rank(&self) -> Option<usize> {
        let own = &self.location.host;
        let is_registered = self.hosts.contains_key(own);
        is_registered.then(|| self.counted_hosts().filter(|(host, _)| *host < own).count())
    }

    fn apply_target(&mut self, record: TargetRecord, was_expired: bool, now: Duration) -> bool {
        let id = Arc::clone(&record.id);
        let known = self.records.get(&id);
        if known.is_some_and(|known| record.is_older_than(known)) {
            return false;
        }
        let is_same_instance = known.is_some_and(|known| {
            known.started_ms == record.started_ms
                && known.address == record.address
                && known.pool == record.pool
        });
        let was_draining = known.is_some_and(|known| known.draining);
        if is_same_instance && let Some(target) = self.targets.get(&id) {
            target.set_cold(record.cold_remaining, now);
            let is_changed = was_draining != record.draining || was_expired;
            self.records.insert(id, record);
            return is_changed;
        }
        let distance = self.location.distance(&record.domain);
        let region = self.location.regions.get(&*record.domain).cloned();
        let target = TargetState::new(record.clone(), distance, region, now);
        self.targets.insert(Arc::clone(&id), Arc::new(target));
        self.records.insert(id, record);
        true
    }

    fn apply_removal(
        &mut self,
        id: &TargetId,
        was_pending: Option<PendingChange>,
        now: Duration,
    ) -> bool {
        if !self.records.contains_key(id) {
            return false;
        }
        if now < self.expiry_grace_until {
            let change = StoreChange::TargetGone(Arc::clone(id));
            // A removal that is reported again is due as before.
            let known = was_pending.filter(|pending| pending.change == change);
            let due = known.map_or(self.expiry_grace_until, |pending| pending.due);
            let pending = PendingChange { change, due };
            self.pending.insert(PendingKey::Target(Arc::clone(id)), pending);
            return false;
        }
        self.remove_target(id, now)
    }

    fn remove_target(&mut self, id: &TargetId, now: Duration) -> bool {
        self.targets.remove(id);
        let Some(record) = self.records.remove(id) else { return false };
        self.departed.insert(Arc::clone(id), (record, now + DEPARTED_RETENTION));
        true
    }
}

impl StoreChange {
    /// The item that the change is about, if changes of it may wait for confirmation.
    fn pending_key(&self) -> Option<PendingKey> {
        match self {
            Self::Target(record) => Some(PendingKey::Target(Arc::clone(&record.id))),
            Self::TargetGone(id) => Some(PendingKey::Target(Arc::clone(id))),
            Self::DomainOut(domain, _) => Some(PendingKey::DomainOut(Arc::clone(domain))),
            Self::Host(host, _) => Some(PendingKey::Host(Arc::clone(host))),
            Self::MoveOrder(pool, ..) => Some(PendingKey::MoveOrder(Arc::clone(pool))),
            Self::Config(_)
            | Self::TargetRefused(..)
            | Self::MoveRecord(..)
            | Self::PoolVersions(..)
            | Self::MoveEvidence(..)
            | Self::CrashMark(..)
            | Self::ClearedMark(..)
            | Self::CrashEvidence(..) => None,
        }
    }
}
