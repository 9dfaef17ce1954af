//! Bookkeeping for the attempts of a session, and updates of target state from their results.

use std::sync::Arc;
use std::time::Duration;

use vanillapick_model::call::TargetRefusal;
use vanillapick_model::snapshot::ShardIndex;

use crate::attempt::AttemptEvent;
use crate::attempt::AttemptPurpose;
use crate::attempt::AttemptResult;
use crate::attempt::AttemptSpec;
use crate::attempt::SessionAction;
use crate::counters::DropReason;
use crate::counters::SessionCounters;
use crate::gather::check_tag;
use crate::hedge::LatencyWindow;
use crate::host_state::HostState;
use crate::per_kind::PerKind;
use crate::serving_view::ReplicaView;
use crate::target_state::TargetState;

/// State of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    pub spec: AttemptSpec,
    pub replica: usize,
    pub sent_at: Duration,
    /// Whether another attempt answered the shard, the session finished, or the request was pinned to another snapshot.
    pub cancelled: bool,
    /// Whether the target was already failing when the attempt was sent, so that its loss is no evidence of a crashing
    /// request.
    pub expected_loss: bool,
    target: Arc<TargetState>,
    pool_windows: Arc<PerKind<LatencyWindow>>,
    round_trip: Duration,
    ended: bool,
}

/// All attempts of a session, indexed by number. Each one counts as in flight at its target until its event arrives or
/// the session is dropped.
#[derive(Debug, Default)]
pub(crate) struct AttemptLog {
    records: Vec<AttemptRecord>,
    running: usize,
    /// Time of the most recent reply or refusal.
    last_reply: Duration,
}

impl AttemptLog {
    pub fn with_capacity(attempts: usize) -> Self {
        Self { records: Vec::with_capacity(attempts), ..Self::default() }
    }

    /// Returns the number to use for a new attempt.
    pub fn next_number(&self) -> u32 {
        u32::try_from(self.records.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether no attempt is running.
    pub fn is_idle(&self) -> bool {
        self.running == 0
    }

    /// Returns the time from the first attempt to the last reply, or to `now` while an attempt is running.
    pub fn service_time(&self, now: Duration) -> Duration {
        let end = if self.is_idle() { self.last_reply } else { now };
        let first = self.records.first().map_or(end, |record| record.sent_at);
        end.saturating_sub(first)
    }

    /// Adds an attempt that was already started at the replica's target, and updates the counters.
    pub fn add(
        &mut self,
        host: &HostState,
        attempt: AttemptSpec,
        index: usize,
        replica: &ReplicaView,
        now: Duration,
    ) -> SessionAction {
        match attempt.purpose {
            AttemptPurpose::First => {
                host.counters.record_first_attempt();
                host.budget.record_first_attempts(1);
            }
            AttemptPurpose::Hedge => host.counters.record_hedge(),
            AttemptPurpose::Retry(reason) => host.counters.record_retry(reason),
        }
        self.running += 1;
        self.records.push(AttemptRecord {
            spec: attempt.clone(),
            replica: index,
            sent_at: now,
            cancelled: false,
            expected_loss: false,
            target: replica.target.clone(),
            pool_windows: replica.pool_windows.clone(),
            round_trip: replica.round_trip,
            ended: false,
        });
        SessionAction::Send(attempt)
    }

    /// Ends an attempt and updates its target. Returns `None` if the attempt is unknown or has already ended.
    pub fn end(
        &mut self,
        counters: &SessionCounters,
        request_id: &str,
        event: &AttemptEvent,
        now: Duration,
    ) -> Option<&AttemptRecord> {
        let record = self.records.get_mut(event.number as usize).filter(|record| !record.ended);
        let Some(record) = record else {
            counters.record_dropped_reply(DropReason::Duplicate);
            return None;
        };
        record.ended = true;
        record.expected_loss = record.target.was_failing(record.sent_at);
        record.target.end();
        self.running -= 1;
        if matches!(event.result, AttemptResult::Reply { .. } | AttemptResult::Refused { .. }) {
            self.last_reply = now;
        }
        record.record_result(request_id, &event.result, now);
        Some(record)
    }

    /// Returns the replicas of a shard that were called by attempts numbered `first` or higher, which share a pin.
    pub fn tried(&self, shard: ShardIndex, first: u32) -> Vec<usize> {
        let records = self.records.iter().skip(first as usize);
        records.filter(|record| record.spec.shard == shard).map(|record| record.replica).collect()
    }

    /// Records the age of a shard's running attempts as a lower bound of their targets' latency.
    pub fn record_late(&self, shard: ShardIndex, now: Duration) {
        let runs = |record: &&AttemptRecord| record.spec.shard == shard && record.is_running();
        for record in self.records.iter().filter(runs) {
            record.target.record_latency_at_least(record.spec.kind, record.age(now), now);
        }
    }

    /// Cancels every attempt that is still running.
    pub fn cancel_all(&mut self, now: Duration, actions: &mut Vec<SessionAction>) {
        for record in self.records.iter_mut().filter(|record| record.is_running()) {
            record.target.record_latency_at_least(record.spec.kind, record.age(now), now);
            record.cancel(actions);
        }
    }

    /// Cancels all other running attempts for the shard that was answered by `winner`.
    pub fn cancel_others(
        &mut self,
        winner: &AttemptSpec,
        now: Duration,
        actions: &mut Vec<SessionAction>,
    ) {
        let is_other =
            |record: &&mut AttemptRecord| record.spec.shard == winner.shard && record.is_running();
        for record in self.records.iter_mut().filter(is_other) {
            if record.spec.number < winner.number {
                record.target.record_overtaken(record.spec.kind, record.age(now), now);
            }
            record.cancel(actions);
        }
    }
}

impl Drop for AttemptLog {
    fn drop(&mut self) {
        for record in self.records.iter().filter(|record| !record.ended) {
            record.target.end();
        }
    }
}

impl AttemptRecord {
    fn is_running(&self) -> bool {
        !self.ended && !self.cancelled
    }

    /// Returns the time since the attempt was sent, without the network round trip.
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.sent_at + self.round_trip)
    }

    fn cancel(&mut self, actions: &mut Vec<SessionAction>) {
        self.cancelled = true;
        actions.push(SessionAction::Cancel(self.spec.number));
    }

    fn record_result(&self, request_id: &str, result: &AttemptResult, now: Duration) {
        let elapsed = self.age(now);
        match result {
            AttemptResult::Reply { tag, marks, .. } => {
                self.target.record_reply();
                // A reply to another call may come from another target, so its marks and latency are ignored.
                if check_tag(&self.spec, request_id, tag).is_ok() {
                    self.target.record_marks(marks, now);
                    let usual = self.pool_windows.get(self.spec.kind).median();
                    self.target.record_usable_reply(marks, elapsed, usual, now);
                    self.target.record_latency(self.spec.kind, elapsed, now);
                }
            }
            AttemptResult::Refused { reason, marks, retry_after } => {
                self.target.record_reply();
                if let Some(marks) = marks {
                    self.target.record_marks(marks, now);
                }
                self.record_refusal(*reason, *retry_after, now);
            }
            // Even a malformed reply shows that the target is reachable.
            AttemptResult::Malformed => self.target.record_reply(),
            AttemptResult::NotSent | AttemptResult::Lost => {
                // The driver may close the connection of a cancelled attempt, which is not a failure of the target.
                if !self.cancelled {
                    self.target.record_failure(now);
                }
            }
            AttemptResult::TimedOut => {
                self.target.record_latency_at_least(self.spec.kind, elapsed, now)
            }
        }
    }

    fn record_refusal(&self, reason: TargetRefusal, pause: Option<Duration>, now: Duration) {
        match reason {
            TargetRefusal::Draining => self.target.record_draining(now),
            TargetRefusal::Cold => {
                self.target.record_cold_refusal(now);
                self.target.record_shed(pause, now);
            }
            TargetRefusal::Shed => self.target.record_shed(pause, now),
            TargetRefusal::SnapshotMissing => self.target.drop_snapshot(self.spec.pin.snapshot),
            TargetRefusal::WrongShard | TargetRefusal::Deadline | TargetRefusal::Cancelled => {}
        }
    }
}
