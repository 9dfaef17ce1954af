//! Moves between versions on this host: selects the pool of each request and collects evidence from the outcomes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use serde::Serialize;
use vanillapick_fleet::evidence::EvidenceCounters;
use vanillapick_fleet::evidence::EvidenceKey;
use vanillapick_fleet::evidence::EvidenceTable;
use vanillapick_fleet::evidence::MoveVersion;
use vanillapick_fleet::urgent::RollbackFlag;
use vanillapick_model::answer::MissingReason;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::pool::PoolId;
use vanillapick_model::route::MoveId;
use vanillapick_model::route::MoveRow;
use vanillapick_model::route::RouteId;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::hedge::LatencyWindow;
use vanillapick_policy::version_move::MoveDecision;
use vanillapick_policy::version_move::MoveStatus;
use vanillapick_policy::version_move::bucket_at;
use vanillapick_policy::version_move::evidence::MoveEvidence;
use vanillapick_policy::version_move::evidence::VersionCounts;
use vanillapick_policy::version_move::move_status;
use vanillapick_policy::version_move::picks_new_pool;

use crate::entry_host::EntryHost;

/// Interval between decisions on running moves.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// Bucket for the totals of a whole move. Peers keep the buckets with the highest numbers, so this one is never
/// dropped.
const WHOLE_MOVE_BUCKET: u64 = u64::MAX;

/// All moves of the current configuration. The map is replaced as a whole.
#[derive(Default)]
pub struct MoveTracker {
    moves: ArcSwap<HashMap<RouteId, Arc<RouteMove>>>,
}

/// State of the move of one route: its row in the configuration, its last decision and its counters.
pub struct RouteMove {
    row: MoveRow,
    route: RouteId,
    from: PoolId,
    status: ArcSwap<MoveStatus>,
    old: PendingCounts,
    new: PendingCounts,
    /// Latency of whole requests on the old pool.
    old_latency: LatencyWindow,
}

/// Requests that ended since the last tick. Each tick adds the counts to the peer state and resets them.
#[derive(Default)]
struct PendingCounts {
    requests: AtomicU64,
    failures: AtomicU64,
    slow: AtomicU64,
}

/// Selected version for a request on a route with a move.
#[derive(Clone)]
pub struct MoveChoice {
    pub route_move: Arc<RouteMove>,
    pub version: MoveVersion,
}

/// A move as the status page shows it.
#[derive(Debug, Serialize)]
pub struct MoveSummary {
    route: RouteId,
    #[serde(rename = "move")]
    move_id: MoveId,
    from: PoolId,
    to: PoolId,
    /// Share of requests that go to the new pool, from 0 to 1.
    share: f64,
    state: &'static str,
    evidence: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

impl MoveTracker {
    /// Installs the moves of the current configuration; moves that are unchanged keep their counters.
    pub fn install(&self, host: &EntryHost) {
        let before = self.moves.load();
        let view = host.policy.view();
        let mut moves = HashMap::new();
        for (name, route) in &view.table().routes {
            let Some(row) = &route.version_move else { continue };
            let previous_move = before.get(name).filter(|previous_move| {
                previous_move.row == *row && previous_move.from == route.pool
            });
            let route_move = match previous_move {
                Some(previous_move) => Arc::clone(previous_move),
                None => {
                    Arc::new(RouteMove::new(row.clone(), name.clone(), route.pool.clone(), host))
                }
            };
            moves.insert(name.clone(), route_move);
        }
        self.moves.store(Arc::new(moves));
    }

    /// Selects the version for one request; `None` if the route has no move.
    pub fn choose(&self, route: &str, request_id: &str) -> Option<MoveChoice> {
        let route_move = Arc::clone(self.moves.load().get(route)?);
        let share = route_move.status.load().share;
        let is_new = picks_new_pool(&route_move.row.id, request_id, share);
        let version = if is_new { MoveVersion::New } else { MoveVersion::Old };
        Some(MoveChoice { route_move, version })
    }

    /// All moves of the current configuration, by route.
    pub fn moves(&self) -> Arc<HashMap<RouteId, Arc<RouteMove>>> {
        self.moves.load_full()
    }

    /// Summaries for the status page, sorted by route.
    pub fn lines(&self) -> Vec<MoveSummary> {
        let mut lines: Vec<_> =
            self.moves.load().values().map(|route_move| route_move.line()).collect();
        lines.sort_by(|left, right| left.route.cmp(&right.route));
        lines
    }

    /// Publishes the counters of all moves and updates their decisions.
    pub fn decide(&self, host: &Arc<EntryHost>) {
        for route_move in self.moves.load().values() {
            route_move.publish(host);
            route_move.decide(host);
        }
    }
}

/// Runs until the host stops: publishes counters to the peer state and decides on moves.
pub async fn track_moves(host: Arc<EntryHost>) {
    loop {
        tokio::time::sleep(DECISION_INTERVAL).await;
        host.moves.decide(&host);
    }
}

impl MoveChoice {
    /// The new pool if the request goes there; `None` for the route's current pool.
    pub fn pool(&self) -> Option<PoolId> {
        (self.version == MoveVersion::New).then(|| self.route_move.row.to.clone())
    }

    /// Counts a finished request as failed, slow or neither.
    pub fn record(&self, outcome: &SessionOutcome, latency: Duration, now: Duration) {
        let Some(is_failure) = is_version_failure(outcome) else { return };
        let route_move = &self.route_move;
        let usual = route_move.old_latency.high_quantile();
        let is_slow = !is_failure && usual.is_some_and(|usual| usual < latency);
        let pending = match self.version {
            MoveVersion::Old => &route_move.old,
            MoveVersion::New => &route_move.new,
        };
        pending.requests.fetch_add(1, Ordering::Relaxed);
        pending.failures.fetch_add(u64::from(is_failure), Ordering::Relaxed);
        pending.slow.fetch_add(u64::from(is_slow), Ordering::Relaxed);
        if self.version == MoveVersion::Old && !is_failure {
            route_move.old_latency.record(latency, now);
        }
    }

    /// Whether a request with this outcome is rerun on the old pool.
    pub fn is_failure(&self, outcome: &SessionOutcome) -> bool {
        self.version == MoveVersion::New && is_version_failure(outcome) == Some(true)
    }
}

/// Whether the outcome is a failure of the pool's version; `None` if it is no evidence either way.
fn is_version_failure(outcome: &SessionOutcome) -> Option<bool> {
    match outcome {
        SessionOutcome::Reply(_) => Some(false),
        SessionOutcome::Answer(answer) => {
            let is_fault = |reason: MissingReason| {
                matches!(
                    reason,
                    MissingReason::Deadline
                        | MissingReason::Lost
                        | MissingReason::BadReply
                        | MissingReason::GivenUp
                )
            };
            Some(answer.coverage.missing.iter().any(|missing| is_fault(missing.reason)))
        }
        SessionOutcome::Refused(refusal) => match refusal.code {
            RefusalCode::CoverageTooLow
            | RefusalCode::DeadlineExceeded
            | RefusalCode::OutcomeUnknown
            | RefusalCode::NoReplica
            | RefusalCode::BadReply => Some(true),
            _ => None,
        },
    }
}

impl RouteMove {
    fn new(row: MoveRow, route: RouteId, from: PoolId, host: &EntryHost) -> Self {
        let status = move_status(&row, host.policy.wall_time(host.now()), &MoveEvidence::default());
        Self {
            row,
            route,
            from,
            status: ArcSwap::from_pointee(status),
            old: PendingCounts::default(),
            new: PendingCounts::default(),
            old_latency: LatencyWindow::default(),
        }
    }

    /// Row of the move in the configuration.
    pub fn row(&self) -> &MoveRow {
        &self.row
    }

    /// Status as of the last decision.
    pub fn status(&self) -> Arc<MoveStatus> {
        self.status.load_full()
    }

    fn line(&self) -> MoveSummary {
        let status = self.status.load();
        let (state, reason) = match &status.decision {
            MoveDecision::Running => ("running", None),
            MoveDecision::Done => ("done", None),
            MoveDecision::TakenBack(reason) => ("taken_back", Some(reason.clone())),
        };
        MoveSummary {
            route: self.route.clone(),
            move_id: self.row.id.clone(),
            from: self.from.clone(),
            to: self.row.to.clone(),
            share: status.share,
            state,
            evidence: status.summary.clone(),
            reason,
        }
    }

    /// Adds the counters since the last tick to the peer state.
    fn publish(&self, host: &Arc<EntryHost>) {
        let bucket = bucket_at(&self.row, host.policy.wall_time(host.now()));
        for (version, pending) in [(MoveVersion::Old, &self.old), (MoveVersion::New, &self.new)] {
            let counters = pending.take();
            if counters.requests == 0 {
                continue;
            }
            for bucket in [bucket, WHOLE_MOVE_BUCKET] {
                let key = EvidenceKey {
                    route: self.route.clone(),
                    move_id: self.row.id.clone(),
                    version,
                    bucket,
                };
                host.peers.record_evidence(host, &key, counters);
            }
        }
    }

    fn decide(&self, host: &Arc<EntryHost>) {
        let (table, rollback) = host.peers.evidence(&self.row.id);
        let evidence = merged_evidence(&table, rollback.map(|flag| flag.reason));
        let is_flagged = evidence.taken_back.is_some();
        let status = move_status(&self.row, host.policy.wall_time(host.now()), &evidence);
        if let MoveDecision::TakenBack(reason) = &status.decision
            && !is_flagged
        {
            tracing::warn!(
                route = self.route,
                move_id = self.row.id,
                reason,
                "rolling back a move"
            );
            let flag = RollbackFlag {
                move_id: self.row.id.clone(),
                decided_ms: host.wall_ms(),
                route: self.route.clone(),
                reason: reason.clone(),
            };
            host.peers.announce_rollback(host, flag);
        }
        self.status.store(Arc::new(status));
    }
}

impl PendingCounts {
    fn take(&self) -> EvidenceCounters {
        EvidenceCounters {
            requests: self.requests.swap(0, Ordering::Relaxed),
            failures: self.failures.swap(0, Ordering::Relaxed),
            slow: self.slow.swap(0, Ordering::Relaxed),
        }
    }
}

/// Evidence with the counters of all hosts under a single source, because the peer state holds sums rather than counts
/// per host.
fn merged_evidence(table: &EvidenceTable, taken_back: Option<String>) -> MoveEvidence {
    let mut evidence = MoveEvidence { taken_back, ..MoveEvidence::default() };
    let host = evidence.hosts.entry(String::new()).or_default();
    for (key, counters) in table {
        let counts = VersionCounts {
            requests: counters.requests,
            failures: counters.failures,
            slow: counters.slow,
        };
        let pair = if key.bucket == WHOLE_MOVE_BUCKET {
            &mut host.total
        } else {
            host.recent.entry(key.bucket).or_default()
        };
        match key.version {
            MoveVersion::Old => pair.old = counts,
            MoveVersion::New => pair.new = counts,
        }
    }
    evidence
}
