//! Moves of pools to another version of their targets: merges the evidence of all hosts, sets the traffic share of the new
//! version and records the outcome of each move.
//!
//! The share and the decision come from [`vanillapick_policy::version_move`]. They are a pure function of the start time,
//! the current time and the merged evidence, so no leader is needed. Any live host records the outcome by compare-and-swap.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_dispatch::attempt::AttemptOutcome;
use vanillapick_dispatch::config_document::PoolId;
use vanillapick_dispatch::pool_versions::DueVersions;
use vanillapick_dispatch::pool_versions::PoolVersions;
use vanillapick_dispatch::pool_versions::VersionsByPool;
use vanillapick_dispatch::registry::EvidenceKey;
use vanillapick_dispatch::target_state::TargetState;
use vanillapick_dispatch::version_split::MoveOrder;
use vanillapick_dispatch::version_split::MoveRecord;
use vanillapick_dispatch::version_split::MoveRecordState;
use vanillapick_dispatch::version_split::OrderId;
use vanillapick_dispatch::version_split::PoolMove;
use vanillapick_dispatch::version_split::PoolMoves;
use vanillapick_model::peer_message;
use vanillapick_model::route::MoveRow;
use vanillapick_model::route::MoveState;
use vanillapick_model::wall_clock::unix_ms;
use vanillapick_policy::hedge::LatencyWindow;
use vanillapick_policy::version_move::MoveDecision;
use vanillapick_policy::version_move::bucket_at;
use vanillapick_policy::version_move::evidence::HostEvidence;
use vanillapick_policy::version_move::evidence::MoveEvidence;
use vanillapick_policy::version_move::evidence::MoveVersion;
use vanillapick_policy::version_move::evidence::VersionResult;
use vanillapick_policy::version_move::move_status;

use crate::relay_host::RelayHost;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;
use crate::wire::MoveRevisions;
use crate::wire::StoreCall;
use crate::wire::StorePosition;

/// Interval between updates of the traffic shares.
const SHARE_UPDATE_PERIOD: Duration = Duration::from_millis(200);

/// Share updates per write of this host's evidence. All hosts must stop using a bad version within seconds.
const UPDATES_PER_WRITE: u32 = 4;

/// A reply counts as slow if it takes this many times the old version's high latency quantile.
const SLOW_LATENCY_FACTOR: f64 = 1.5;

/// Maximum number of items of outdated evidence that one call removes. A transaction of the store has at most 32 entries.
const MAX_REMOVED_ITEMS: usize = 30;

/// Running moves with the evidence about them.
#[derive(Default)]
pub struct MoveTracker {
    moves: Mutex<BTreeMap<PoolId, TrackedMove>>,
    stored: Mutex<StoredMoves>,
}

/// What the store has about moves.
#[derive(Default)]
struct StoredMoves {
    /// Orders and records.
    moves: PoolMoves,
    /// What is written together with the next record of a pool.
    versions: VersionsByPool,
    /// Versions that the store lacks.
    due_versions: Vec<DueVersions>,
    /// Items of evidence, with the order that each is about; `None` if an earlier build of the program has written it.
    evidence: BTreeMap<(PoolId, EvidenceKey), Option<OrderId>>,
    /// Whether this host removes outdated evidence and writes the versions that the store lacks.
    is_remover: bool,
}

impl StoredMoves {
    /// Writes of records that the store lacks.
    fn lost_records(&self) -> impl Iterator<Item = MoveWrite> {
        self.moves.iter().filter_map(|(pool, pool_move)| {
            let record = pool_move.lost_record()?.clone();
            Some(self.record_write(pool, record, revisions(pool_move)))
        })
    }

    /// Write of a record with the versions of the pool after it.
    fn record_write(
        &self,
        pool: &PoolId,
        record: MoveRecord,
        revisions: MoveRevisions,
    ) -> MoveWrite {
        let mut versions = self.versions.get(pool).cloned().unwrap_or_default();
        versions.record_end(&record);
        MoveWrite::Record(Arc::clone(pool), record, versions.without_guess(), revisions)
    }

    /// Write of the versions of one pool that the store lacks, if this host cleans up for all.
    fn lost_versions(&self) -> Option<MoveWrite> {
        let due = self.due_versions.first().filter(|_| self.is_remover)?;
        Some(MoveWrite::Versions(due.clone()))
    }

    /// Removal of outdated items of one pool, if this host removes them.
    fn outdated_evidence(&self) -> Option<MoveWrite> {
        if !self.is_remover {
            return None;
        }
        let outdated = self.evidence.iter().filter(|((pool, _), id)| self.is_outdated(pool, **id));
        let outdated: Vec<&(PoolId, EvidenceKey)> = outdated.map(|(item, _)| item).collect();
        let pool = &outdated.first()?.0;
        let sources = outdated.iter().filter(|(of, _)| of == pool).map(|(_, source)| source);
        let sources = sources.take(MAX_REMOVED_ITEMS).cloned().collect();
        Some(MoveWrite::Removal(Arc::clone(pool), sources))
    }

    /// Whether evidence is about an earlier order, or about any if no move runs. What earlier builds have written names no order,
    /// so it stays while a move runs.
    fn is_outdated(&self, pool: &PoolId, id: Option<OrderId>) -> bool {
        let running = self.moves.get(pool).filter(|running| running.active_order().is_some());
        running.is_none_or(|running| id.is_some_and(|id| id < running.first_id))
    }
}

struct TrackedMove {
    row: MoveRow,
    pool_move: PoolMove,
    evidence: MoveEvidence,
    old_latency: LatencyWindow,
    is_written: bool,
}

/// Stored form of the evidence of one host.
#[derive(Deserialize, Serialize)]
struct StoredEvidence {
    move_id: String,
    start_ms: u64,
    source: String,
    counts: HostEvidence,
    taken_back: Option<String>,
}

impl MoveTracker {
    /// Starts and ends tracking according to the move orders and records in the store. `wall` is the start time of new
    /// moves. One host, the `is_remover`, removes the evidence about earlier orders and writes the versions that the store lacks.
    pub(crate) fn set_moves(
        &self,
        moves: &PoolMoves,
        versions: VersionsByPool,
        due_versions: Vec<DueVersions>,
        is_remover: bool,
        wall: SystemTime,
    ) {
        {
            let mut stored = self.stored();
            stored.moves = moves.clone();
            stored.versions = versions;
            stored.due_versions = due_versions;
            stored.is_remover = is_remover;
        }
        let mut moves_by_pool = self.moves();
        moves_by_pool.retain(|pool, tracked| {
            let running = moves.get(pool).filter(|pool_move| pool_move.active_order().is_some());
            running.is_some_and(|running| running.move_count == tracked.pool_move.move_count)
        });
        for (pool, pool_move) in moves {
            let Some(order) = pool_move.active_order() else { continue };
            let id = move_id(pool, order, pool_move.order_id);
            let entry = moves_by_pool.entry(Arc::clone(pool)).or_insert_with(|| {
                tracing::info!(pool = &**pool, version = &*order.version, id, "move started");
                TrackedMove::new(id.clone(), order, unix_ms(wall))
            });
            entry.pool_move = pool_move.clone();
            if entry.row.id != id {
                // The document was written again; hosts that start now know the move by this identity alone.
                entry.row.id = id;
                entry.is_written = false;
            }
        }
    }

    /// Records the end of an attempt as evidence if the pool of its target is moving. `outcome` is `None` if the attempt was given
    /// up after `latency` without a reply: it is slow if it has already taken longer than a slow reply, and tells nothing
    /// otherwise, because it had little time.
    pub(crate) fn record_attempt(
        &self,
        source: &str,
        target: &TargetState,
        outcome: Option<AttemptOutcome>,
        latency: Duration,
        now: Duration,
    ) {
        let mut moves = self.moves();
        let Some(tracked) = moves.get_mut(&target.record.pool) else { return };
        let Some(order) = tracked.pool_move.active_order() else { return };
        let is_new = target.record.version == order.version;
        let limit =
            tracked.old_latency.high_quantile().map(|high| high.mul_f64(SLOW_LATENCY_FACTOR));
        let result = match outcome {
            Some(AttemptOutcome::Answered) => VersionResult::from_latency(latency, limit),
            Some(AttemptOutcome::Failed | AttemptOutcome::Lost) => VersionResult::Failed,
            Some(AttemptOutcome::NotRun(_)) => return,
            None if limit.is_some_and(|limit| limit < latency) => VersionResult::Slow,
            None => return,
        };
        if !is_new && outcome == Some(AttemptOutcome::Answered) {
            tracked.old_latency.record(latency, now);
        }
        let version = if is_new { MoveVersion::New } else { MoveVersion::Old };
        let bucket = bucket_at(&tracked.row, SystemTime::now());
        tracked.evidence.record(source, bucket, version, result);
        tracked.is_written = false;
    }

    /// Merges the evidence of another host into a tracked move, if it is about the same order.
    pub(crate) fn merge_evidence(
        &self,
        pool: &PoolId,
        source: EvidenceKey,
        encoded: Option<&[u8]>,
    ) {
        let item = (Arc::clone(pool), source);
        let Some(encoded) = encoded else {
            self.stored().evidence.remove(&item);
            return;
        };
        let decoded: Result<StoredEvidence, _> = peer_message::decode(encoded);
        let id = decoded.as_ref().ok().and_then(|evidence| split_move_id(&evidence.move_id));
        self.stored().evidence.insert(item, id.map(|(_, id)| id));
        let stored = match decoded {
            Ok(stored) => stored,
            Err(error) => {
                tracing::warn!(pool = &**pool, %error, "evidence about a move cannot be decoded");
                return;
            }
        };
        let mut moves = self.moves();
        let tracked = moves.get_mut(pool).filter(|tracked| tracked.is_about(&stored.move_id));
        let Some(tracked) = tracked else { return };
        tracked.adopt_earlier_start(stored.start_ms);
        let mut evidence =
            MoveEvidence { taken_back: stored.taken_back, ..MoveEvidence::default() };
        evidence.hosts.insert(stored.source, stored.counts);
        tracked.evidence.merge(&evidence);
    }

    /// Has the evidence of this host written again, because the store was restored from a copy.
    pub(crate) fn mark_unwritten(&self) {
        self.moves().values_mut().for_each(|tracked| tracked.is_written = false);
    }

    /// Forgets which evidence the store has, because all of it is read again.
    pub(crate) fn forget_stored(&self) {
        self.stored().evidence.clear();
    }

    fn stored(&self) -> MutexGuard<'_, StoredMoves> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn moves(&self) -> MutexGuard<'_, BTreeMap<PoolId, TrackedMove>> {
        self.moves.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TrackedMove {
    fn new(id: String, order: &MoveOrder, start_ms: u64) -> Self {
        let duration = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
        let row = MoveRow {
            id,
            to: order.version.to_string(),
            start_ms,
            finish_by_ms: start_ms.saturating_add(duration),
            progress: MoveState::Running,
        };
        Self {
            row,
            pool_move: PoolMove::default(),
            evidence: MoveEvidence::default(),
            old_latency: LatencyWindow::default(),
            is_written: false,
        }
    }

    /// Adopts the start time of a host that saw the order earlier, for example because this host has just started.
    fn adopt_earlier_start(&mut self, start_ms: u64) {
        if start_ms < self.row.start_ms {
            let earlier = self.row.start_ms - start_ms;
            self.row.start_ms = start_ms;
            self.row.finish_by_ms -= earlier;
        }
    }
}

/// Pending write to the store.
enum MoveWrite {
    Evidence(PoolId, Vec<u8>),
    Record(PoolId, MoveRecord, PoolVersions, MoveRevisions),
    Versions(DueVersions),
    Removal(PoolId, Vec<EvidenceKey>),
}

/// Updates the shares of all moves, publishes evidence and records outcomes until the process ends.
pub(crate) async fn run_moves(host: Arc<RelayHost>, store: StoreClient) {
    let source = format!("{}/{}", host.settings.host, unix_ms(SystemTime::now()));
    host.set_evidence_source(source.clone());
    let mut update: u32 = 0;
    loop {
        tokio::time::sleep(SHARE_UPDATE_PERIOD).await;
        update = update.wrapping_add(1);
        for write in plan_writes(&host, &source, update.is_multiple_of(UPDATES_PER_WRITE)) {
            if let Err(error) = write_to_store(&host, &store, &source, write).await {
                tracing::info!(fault = %error, "writing a move to the store failed; retrying");
            }
        }
    }
}

fn plan_writes(host: &RelayHost, source: &str, writes_due: bool) -> Vec<MoveWrite> {
    let mut writes = Vec::new();
    let Some(view) = host.view() else { return writes };
    let wall = SystemTime::now();
    if writes_due {
        let stored = host.moves.stored();
        writes.extend(stored.lost_records());
        writes.extend(stored.lost_versions());
        writes.extend(stored.outdated_evidence());
    }
    for (pool, tracked) in host.moves.moves().iter_mut() {
        let status = move_status(&tracked.row, wall, &tracked.evidence);
        let pool_view = view.serving.pools.get(pool);
        if let Some(pool_view) = pool_view {
            pool_view.state.set_new_version_share(status.share);
        }
        let has_targets = pool_view.is_some_and(|view| view.has_version(&tracked.row.to));
        let decision = if has_targets {
            status.decision
        } else {
            decide_without_targets(status.decision, &tracked.row, wall)
        };
        let state = match &decision {
            MoveDecision::Running => MoveRecordState::Running,
            MoveDecision::Done => MoveRecordState::Completed,
            MoveDecision::TakenBack(reason) => {
                if tracked.evidence.taken_back.is_none() {
                    tracing::warn!(pool = &**pool, reason, "move taken back");
                    tracked.evidence.take_back(reason);
                    tracked.is_written = false;
                }
                MoveRecordState::RolledBack
            }
        };
        if !writes_due {
            continue;
        }
        if !tracked.is_written
            && let Some(encoded) = tracked.encode(source)
        {
            tracked.is_written = true;
            writes.push(MoveWrite::Evidence(Arc::clone(pool), encoded));
        }
        if let Some(record) = tracked.pool_move.due_record(state) {
            let revisions = revisions(&tracked.pool_move);
            writes.push(host.moves.stored().record_write(pool, record, revisions));
        }
    }
    writes
}

/// Decision on a move to a version without a usable target: it is not done, and is taken back at its end.
fn decide_without_targets(decision: MoveDecision, row: &MoveRow, wall: SystemTime) -> MoveDecision {
    match decision {
        MoveDecision::TakenBack(_) => decision,
        _ if unix_ms(wall) < row.finish_by_ms => MoveDecision::Running,
        _ => MoveDecision::TakenBack("the new version has no usable target".to_owned()),
    }
}

impl TrackedMove {
    /// Whether the id of a move is one that this move has or had.
    fn is_about(&self, move_id: &str) -> bool {
        let PoolMove { first_id, order_id, .. } = self.pool_move;
        match (split_move_id(move_id), split_move_id(&self.row.id)) {
            (Some((name, id)), Some((own, _))) => name == own && first_id <= id && id <= order_id,
            _ => false,
        }
    }

    fn encode(&self, source: &str) -> Option<Vec<u8>> {
        let counts = self.evidence.hosts.get(source).cloned().unwrap_or_default();
        let stored = StoredEvidence {
            move_id: self.row.id.clone(),
            start_ms: self.row.start_ms,
            source: source.to_owned(),
            counts,
            taken_back: self.evidence.taken_back.clone(),
        };
        rmp_serde::to_vec(&stored)
            .inspect_err(|error| tracing::error!(%error, "encoding evidence about a move failed"))
            .ok()
    }
}

async fn write_to_store(
    host: &RelayHost,
    store: &StoreClient,
    source: &str,
    write: MoveWrite,
) -> Result<(), StoreError> {
    let wire = host.wire.store;
    match write {
        MoveWrite::Evidence(pool, encoded) => {
            store.send((wire.put_evidence)(&pool, source, &encoded), Duration::ZERO).await?;
        }
        MoveWrite::Removal(pool, sources) => {
            let call = (wire.remove_evidence)(&pool, &sources);
            store.send(call, Duration::ZERO).await?;
            let mut stored = host.moves.stored();
            for source in sources {
                stored.evidence.remove(&(Arc::clone(&pool), source));
            }
        }
        MoveWrite::Record(pool, record, versions, revisions) => {
            let call = (wire.record_move)(&pool, &record, &versions, revisions);
            if send_if_unchanged(store, call).await? {
                tracing::info!(pool = &*pool, version = &*record.version, state = ?record.state, "move recorded");
            }
        }
        MoveWrite::Versions(DueVersions { pool, versions, revision }) => {
            let call = (wire.put_versions)(&pool, &versions, revision);
            if send_if_unchanged(store, call).await? {
                let version = versions.in_service.as_deref();
                tracing::info!(pool = &*pool, version, "version in service recorded");
            }
        }
    }
    Ok(())
}

/// Sends a write with conditions; returns whether they held. Otherwise another host has written, or operators the order, and the
/// watch brings what has changed.
async fn send_if_unchanged(store: &StoreClient, call: StoreCall) -> Result<bool, StoreError> {
    match store.send(call, Duration::ZERO).await {
        Ok(_) => Ok(true),
        Err(error) if error.has_status(hyper::StatusCode::PRECONDITION_FAILED) => Ok(false),
        Err(error) => Err(error),
    }
}

fn revisions(pool_move: &PoolMove) -> MoveRevisions {
    MoveRevisions { record: pool_move.record_revision, order: pool_move.order_revision() }
}

/// Id of the move of an order in the evidence about it. Earlier builds of the program name the pool and the version alone.
fn move_id(pool: &PoolId, order: &MoveOrder, id: OrderId) -> String {
    format!("{pool}/{}@{}.{}", order.version, id.era, id.revision)
}

/// Splits the id of a move into pool and version, and the identity of the order; `None` for the ids of earlier builds.
fn split_move_id(move_id: &str) -> Option<(&str, OrderId)> {
    let (name, id) = move_id.rsplit_once('@')?;
    let (era, revision) = id.split_once('.')?;
    Some((name, StorePosition { era: era.parse().ok()?, revision: revision.parse().ok()? }))
}
