//! Moves of pools to another version of their targets: evidence of all hosts, the share of the new version, and the
//! record of how a move has ended.
//!
//! The share and the decision are those of [`vanillapick_policy::version_move`]: a pure function of the start, the time
//! and the merged evidence, so no host leads. Any live host records the end by compare-and-swap.

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
use vanillapick_dispatch::target_state::TargetState;
use vanillapick_dispatch::version_split::MoveOrder;
use vanillapick_dispatch::version_split::MoveRecord;
use vanillapick_dispatch::version_split::MoveRecordState;
use vanillapick_dispatch::version_split::PoolMove;
use vanillapick_dispatch::version_split::PoolMoves;
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
use crate::store_client::StoreFault;

/// Period in which shares are computed again.
const SHARE_PERIOD: Duration = Duration::from_millis(200);

/// Share periods between two writes of this host's evidence. A bad version must be out everywhere within seconds.
const PERIODS_PER_WRITE: u32 = 4;

/// A reply this many times as slow as the old version's high quantile counts as slow.
const SLOW_FACTOR: f64 = 1.5;

/// Moves that are running, with their evidence.
#[derive(Default)]
pub struct MoveKeeper {
    moves: Mutex<BTreeMap<PoolId, KeptMove>>,
}

struct KeptMove {
    row: MoveRow,
    pool_move: PoolMove,
    evidence: MoveEvidence,
    old_latency: LatencyWindow,
    is_written: bool,
}

/// Evidence of one host as the store holds it.
#[derive(Deserialize, Serialize)]
struct StoredEvidence {
    move_id: String,
    start_ms: u64,
    source: String,
    counts: HostEvidence,
    taken_back: Option<String>,
}

impl MoveKeeper {
    /// Takes in the orders and records of the store at wall time `wall`.
    pub(crate) fn set_moves(&self, moves: &PoolMoves, wall: SystemTime) {
        let mut kept = self.moves();
        let ids: BTreeMap<&PoolId, String> = moves
            .iter()
            .filter_map(|(pool, pool_move)| Some((pool, move_id(pool, pool_move.active_order()?))))
            .collect();
        kept.retain(|pool, kept| ids.get(pool) == Some(&kept.row.id));
        for (pool, id) in ids {
            let pool_move = &moves[pool];
            let Some(order) = pool_move.active_order() else { continue };
            let entry = kept.entry(Arc::clone(pool)).or_insert_with(|| {
                tracing::info!(pool = &**pool, version = &*order.version, "move started");
                KeptMove::new(id, order, unix_ms(wall))
            });
            entry.pool_move = pool_move.clone();
        }
    }

    /// Notes how an attempt at a target of a pool ended.
    pub(crate) fn note(
        &self,
        source: &str,
        target: &TargetState,
        end: AttemptOutcome,
        latency: Duration,
        now: Duration,
    ) {
        let mut moves = self.moves();
        let Some(kept) = moves.get_mut(&target.record.pool) else { return };
        let Some(order) = kept.pool_move.active_order() else { return };
        let is_new = target.record.version == order.version;
        let limit = kept.old_latency.high_quantile().map(|high| high.mul_f64(SLOW_FACTOR));
        let result = match end {
            AttemptOutcome::Answered => VersionResult::from_latency(latency, limit),
            AttemptOutcome::Failed | AttemptOutcome::Lost => VersionResult::Failed,
            AttemptOutcome::NotRun(_) => return,
        };
        if !is_new && end == AttemptOutcome::Answered {
            kept.old_latency.record(latency, now);
        }
        let version = if is_new { MoveVersion::New } else { MoveVersion::Old };
        let bucket = bucket_at(&kept.row, SystemTime::now());
        kept.evidence.record(source, bucket, version, result);
        kept.is_written = false;
    }

    /// Merges the evidence of another host.
    pub(crate) fn merge(&self, pool: &PoolId, encoded: &[u8]) {
        let stored: StoredEvidence = match rmp_serde::from_slice(encoded) {
            Ok(stored) => stored,
            Err(error) => {
                tracing::warn!(pool = &**pool, %error, "evidence on a move cannot be read");
                return;
            }
        };
        let mut moves = self.moves();
        let Some(kept) = moves.get_mut(pool).filter(|kept| kept.row.id == stored.move_id) else {
            return;
        };
        kept.start_no_later_than(stored.start_ms);
        let mut evidence =
            MoveEvidence { taken_back: stored.taken_back, ..MoveEvidence::default() };
        evidence.hosts.insert(stored.source, stored.counts);
        kept.evidence.merge(&evidence);
    }

    fn moves(&self) -> MutexGuard<'_, BTreeMap<PoolId, KeptMove>> {
        self.moves.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KeptMove {
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

    /// A host that has just started learns when others first saw the order.
    fn start_no_later_than(&mut self, start_ms: u64) {
        if start_ms < self.row.start_ms {
            let earlier = self.row.start_ms - start_ms;
            self.row.start_ms = start_ms;
            self.row.finish_by_ms -= earlier;
        }
    }
}

/// What one round found to do.
enum MoveStep {
    Evidence(PoolId, Vec<u8>),
    Record(PoolId, MoveRecord, u64),
}

/// Keeps the shares of all moves, publishes evidence and records ends until the process ends.
pub(crate) async fn keep_moves(host: Arc<RelayHost>, store: StoreClient) {
    let source = format!("{}/{}", host.settings.host, unix_ms(SystemTime::now()));
    host.set_evidence_source(source.clone());
    let mut round: u32 = 0;
    loop {
        tokio::time::sleep(SHARE_PERIOD).await;
        round = round.wrapping_add(1);
        for step in take_steps(&host, &source, round.is_multiple_of(PERIODS_PER_WRITE)) {
            if let Err(fault) = carry_out(&host, &store, &source, step).await {
                tracing::info!(%fault, "a move could not be written, trying again");
            }
        }
    }
}

fn take_steps(host: &RelayHost, source: &str, writes: bool) -> Vec<MoveStep> {
    let mut steps = Vec::new();
    let Some(view) = host.view() else { return steps };
    let wall = SystemTime::now();
    for (pool, kept) in host.moves.moves().iter_mut() {
        let status = move_status(&kept.row, wall, &kept.evidence);
        if let Some(pool) = view.serving.pools.get(pool) {
            pool.state.set_new_version_share(status.share);
        }
        let state = match &status.decision {
            MoveDecision::Running => MoveRecordState::Running,
            MoveDecision::Done => MoveRecordState::Completed,
            MoveDecision::TakenBack(reason) => {
                if kept.evidence.taken_back.is_none() {
                    tracing::warn!(pool = &**pool, reason, "move taken back");
                    kept.evidence.take_back(reason);
                    kept.is_written = false;
                }
                MoveRecordState::RolledBack
            }
        };
        if !writes {
            continue;
        }
        if !kept.is_written
            && let Some(encoded) = kept.encode(source)
        {
            kept.is_written = true;
            steps.push(MoveStep::Evidence(Arc::clone(pool), encoded));
        }
        let Some(order) = kept.pool_move.active_order() else { continue };
        let record = MoveRecord { version: Arc::clone(&order.version), state };
        if kept.pool_move.record.as_ref() != Some(&record) {
            let revision = kept.pool_move.record_revision;
            steps.push(MoveStep::Record(Arc::clone(pool), record, revision));
        }
    }
    steps
}

impl KeptMove {
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
            .inspect_err(|error| tracing::error!(%error, "evidence cannot be encoded"))
            .ok()
    }
}

async fn carry_out(
    host: &RelayHost,
    store: &StoreClient,
    source: &str,
    step: MoveStep,
) -> Result<(), StoreFault> {
    let wire = host.wire.store;
    match step {
        MoveStep::Evidence(pool, encoded) => {
            store.send((wire.put_evidence)(&pool, source, &encoded), Duration::ZERO).await?;
        }
        MoveStep::Record(pool, record, revision) => {
            let call = (wire.record_move)(&pool, &record, revision);
            match store.send(call, Duration::ZERO).await {
                Ok(_) => {
                    tracing::info!(pool = &*pool, version = &*record.version, state = ?record.state, "move recorded")
                }
                // Another host was first; the watch brings its record.
                Err(fault) if fault.has_status(hyper::StatusCode::PRECONDITION_FAILED) => {}
                Err(fault) => return Err(fault),
            }
        }
    }
    Ok(())
}

fn move_id(pool: &PoolId, order: &MoveOrder) -> String {
    format!("{pool}/{}", order.version)
}
