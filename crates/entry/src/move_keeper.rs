//! Moves between versions at this host: which pool a request goes to, and what its end says about the pool.

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

/// Time between two decisions on running moves.
const TICK: Duration = Duration::from_millis(200);

/// Bucket that counts the whole move. Peers keep the newest buckets, so the highest number is always kept.
const WHOLE_MOVE: u64 = u64::MAX;

/// All moves of the configuration in force, replaced as a whole.
#[derive(Default)]
pub struct MoveKeeper {
    moves: ArcSwap<HashMap<RouteId, Arc<RouteMove>>>,
}

/// The move of one route.
pub struct RouteMove {
    row: MoveRow,
    route: RouteId,
    from: PoolId,
    status: ArcSwap<MoveStatus>,
    old: VersionTally,
    new: VersionTally,
    /// Latency of whole requests at the old pool.
    old_latency: LatencyWindow,
}

/// Requests that ended since the last tick, which hands them to the peer state.
#[derive(Default)]
struct VersionTally {
    requests: AtomicU64,
    failures: AtomicU64,
    slow: AtomicU64,
}

/// Which pool a request of a moving route goes to.
#[derive(Clone)]
pub struct MoveChoice {
    /// The move.
    pub route_move: Arc<RouteMove>,
    /// Side of the move.
    pub version: MoveVersion,
}

/// One move as operators read it.
#[derive(Debug, Serialize)]
pub struct MoveLine {
    route: RouteId,
    #[serde(rename = "move")]
    move_id: MoveId,
    from: PoolId,
    to: PoolId,
    /// Share of new traffic for the new pool, from 0 to 1.
    share: f64,
    state: &'static str,
    evidence: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

impl MoveKeeper {
    /// Takes the moves of the configuration in force; counters of moves that go on are kept.
    pub fn install(&self, host: &EntryHost) {
        let before = self.moves.load();
        let view = host.policy.view();
        let mut moves = HashMap::new();
        for (name, route) in &view.table().routes {
            let Some(row) = &route.version_move else { continue };
            let kept = before.get(name).filter(|kept| kept.row == *row && kept.from == route.pool);
            let route_move = match kept {
                Some(kept) => Arc::clone(kept),
                None => {
                    Arc::new(RouteMove::new(row.clone(), name.clone(), route.pool.clone(), host))
                }
            };
            moves.insert(name.clone(), route_move);
        }
        self.moves.store(Arc::new(moves));
    }

    /// The pool for one request; none when the route has no move.
    pub fn choose(&self, route: &str, request_id: &str) -> Option<MoveChoice> {
        let route_move = Arc::clone(self.moves.load().get(route)?);
        let share = route_move.status.load().share;
        let is_new = picks_new_pool(&route_move.row.id, request_id, share);
        let version = if is_new { MoveVersion::New } else { MoveVersion::Old };
        Some(MoveChoice { route_move, version })
    }

    /// Moves of the configuration in force.
    pub fn moves(&self) -> Arc<HashMap<RouteId, Arc<RouteMove>>> {
        self.moves.load_full()
    }

    /// Moves as operators read them, by route.
    pub fn lines(&self) -> Vec<MoveLine> {
        let mut lines: Vec<_> =
            self.moves.load().values().map(|route_move| route_move.line()).collect();
        lines.sort_by(|left, right| left.route.cmp(&right.route));
        lines
    }

    /// Decides on all moves anew.
    pub fn decide(&self, host: &Arc<EntryHost>) {
        for route_move in self.moves.load().values() {
            route_move.publish(host);
            route_move.decide(host);
        }
    }
}

/// Runs until the host ends: hands counters to the peer state and decides on moves.
pub async fn keep_moves(host: Arc<EntryHost>) {
    loop {
        tokio::time::sleep(TICK).await;
        host.moves.decide(&host);
    }
}

impl MoveChoice {
    /// The pool that the request goes to; none for the route's own.
    pub fn pool(&self) -> Option<PoolId> {
        (self.version == MoveVersion::New).then(|| self.route_move.row.to.clone())
    }

    /// Counts the end of a request.
    pub fn note(&self, outcome: &SessionOutcome, latency: Duration, now: Duration) {
        let Some(is_failure) = verdict(outcome) else { return };
        let route_move = &self.route_move;
        let usual = route_move.old_latency.high_quantile();
        let is_slow = !is_failure && usual.is_some_and(|usual| usual < latency);
        let tally = match self.version {
            MoveVersion::Old => &route_move.old,
            MoveVersion::New => &route_move.new,
        };
        tally.requests.fetch_add(1, Ordering::Relaxed);
        tally.failures.fetch_add(u64::from(is_failure), Ordering::Relaxed);
        tally.slow.fetch_add(u64::from(is_slow), Ordering::Relaxed);
        if self.version == MoveVersion::Old && !is_failure {
            route_move.old_latency.record(latency, now);
        }
    }

    /// Whether a request that ended like this runs again at the old pool.
    pub fn is_failure(&self, outcome: &SessionOutcome) -> bool {
        self.version == MoveVersion::New && verdict(outcome) == Some(true)
    }
}

/// Whether the outcome is a failure of the pool's version; none when it says nothing about it.
fn verdict(outcome: &SessionOutcome) -> Option<bool> {
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
            old: VersionTally::default(),
            new: VersionTally::default(),
            old_latency: LatencyWindow::default(),
        }
    }

    /// The move's row.
    pub fn row(&self) -> &MoveRow {
        &self.row
    }

    /// State at the last decision.
    pub fn status(&self) -> Arc<MoveStatus> {
        self.status.load_full()
    }

    fn line(&self) -> MoveLine {
        let status = self.status.load();
        let (state, reason) = match &status.decision {
            MoveDecision::Running => ("running", None),
            MoveDecision::Done => ("done", None),
            MoveDecision::TakenBack(reason) => ("taken_back", Some(reason.clone())),
        };
        MoveLine {
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

    /// Hands the counters since the last tick to the peer state.
    fn publish(&self, host: &Arc<EntryHost>) {
        let bucket = bucket_at(&self.row, host.policy.wall_time(host.now()));
        for (version, tally) in [(MoveVersion::Old, &self.old), (MoveVersion::New, &self.new)] {
            let counters = tally.take();
            if counters.requests == 0 {
                continue;
            }
            for bucket in [bucket, WHOLE_MOVE] {
                let key = EvidenceKey {
                    route: self.route.clone(),
                    move_id: self.row.id.clone(),
                    version,
                    bucket,
                };
                host.peers.note_evidence(host, &key, counters);
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
            tracing::warn!(route = self.route, move_id = self.row.id, reason, "move taken back");
            let flag = RollbackFlag {
                move_id: self.row.id.clone(),
                decided_ms: host.wall_ms(),
                route: self.route.clone(),
                reason: reason.clone(),
            };
            host.peers.note_rollback(host, flag);
        }
        self.status.store(Arc::new(status));
    }
}

impl VersionTally {
    fn take(&self) -> EvidenceCounters {
        EvidenceCounters {
            requests: self.requests.swap(0, Ordering::Relaxed),
            failures: self.failures.swap(0, Ordering::Relaxed),
            slow: self.slow.swap(0, Ordering::Relaxed),
        }
    }
}

/// The counters of all hosts as one source, which is what the sums over domains leave of them.
fn merged_evidence(table: &EvidenceTable, taken_back: Option<String>) -> MoveEvidence {
    let mut evidence = MoveEvidence { taken_back, ..MoveEvidence::default() };
    let host = evidence.hosts.entry(String::new()).or_default();
    for (key, counters) in table {
        let counts = VersionCounts {
            requests: counters.requests,
            failures: counters.failures,
            slow: counters.slow,
        };
        let pair = if key.bucket == WHOLE_MOVE {
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
