//! The attempts of one session: which run, and what their ends say about the targets.

use std::sync::Arc;
use std::time::Duration;

use vanillapick_model::call::TargetRefusal;
use vanillapick_model::snapshot::ShardIndex;

use crate::attempt::AttemptEvent;
use crate::attempt::AttemptOrder;
use crate::attempt::AttemptPurpose;
use crate::attempt::AttemptResult;
use crate::attempt::SessionAction;
use crate::counters::DropReason;
use crate::counters::SessionCounters;
use crate::gather::check_tag;
use crate::hedge::LatencyWindow;
use crate::host_state::HostState;
use crate::per_kind::PerKind;
use crate::serving_view::ReplicaView;
use crate::target_state::TargetState;

/// One attempt of a session.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    pub order: AttemptOrder,
    pub replica: usize,
    pub sent_at: Duration,
    /// The shard was answered by another attempt, or the attempt belongs to a finished session or an old pin.
    pub cancelled: bool,
    /// The target had already failed when the attempt was sent, so its loss says nothing about the request.
    pub expected_loss: bool,
    target: Arc<TargetState>,
    pool_windows: Arc<PerKind<LatencyWindow>>,
    round_trip: Duration,
    ended: bool,
}

/// All attempts of one session by number. Each is counted in flight at its target until its event, or until the
/// session is dropped.
#[derive(Debug, Default)]
pub(crate) struct AttemptLog {
    records: Vec<AttemptRecord>,
    running: usize,
    /// Time of the latest reply or refusal of a target.
    last_reply: Duration,
}

impl AttemptLog {
    pub fn with_capacity(attempts: usize) -> Self {
        Self { records: Vec::with_capacity(attempts), ..Self::default() }
    }

    /// Number of the next attempt.
    pub fn next_number(&self) -> u32 {
        u32::try_from(self.records.len()).unwrap_or(u32::MAX)
    }

    /// Whether all attempts have ended.
    pub fn is_idle(&self) -> bool {
        self.running == 0
    }

    /// Time from the first attempt to the last reply; until `now` while an attempt runs.
    pub fn service_time(&self, now: Duration) -> Duration {
        let end = if self.is_idle() { self.last_reply } else { now };
        let first = self.records.first().map_or(end, |record| record.sent_at);
        end.saturating_sub(first)
    }

    /// Notes an attempt that has been begun at the replica's target, and counts it.
    pub fn add(
        &mut self,
        host: &HostState,
        order: AttemptOrder,
        index: usize,
        replica: &ReplicaView,
        now: Duration,
    ) -> SessionAction {
        match order.purpose {
            AttemptPurpose::First => {
                host.counters.record_first_attempt();
                host.budget.record_first_attempts(1);
            }
            AttemptPurpose::Hedge => host.counters.record_hedge(),
            AttemptPurpose::Retry(reason) => host.counters.record_retry(reason),
        }
        self.running += 1;
        self.records.push(AttemptRecord {
            order: order.clone(),
            replica: index,
            sent_at: now,
            cancelled: false,
            expected_loss: false,
            target: replica.target.clone(),
            pool_windows: replica.pool_windows.clone(),
            round_trip: replica.round_trip,
            ended: false,
        });
        SessionAction::Send(order)
    }

    /// Ends an attempt and updates its target; none for an attempt that is unknown or has ended.
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
        record.note_end(request_id, &event.result, now);
        Some(record)
    }

    /// Replicas of a shard that this session has called at the shard map and snapshot of attempt numbers from `first`.
    pub fn tried(&self, shard: ShardIndex, first: u32) -> Vec<usize> {
        let records = self.records.iter().skip(first as usize);
        records.filter(|record| record.order.shard == shard).map(|record| record.replica).collect()
    }

    /// Notes that an attempt has taken unusually long, while it still runs.
    pub fn note_late(&self, shard: ShardIndex, now: Duration) {
        let runs = |record: &&AttemptRecord| record.order.shard == shard && record.is_running();
        for record in self.records.iter().filter(runs) {
            record.target.record_latency_at_least(record.order.kind, record.age(now), now);
        }
    }

    /// Cancels all running attempts.
    pub fn cancel_all(&mut self, now: Duration, actions: &mut Vec<SessionAction>) {
        for record in self.records.iter_mut().filter(|record| record.is_running()) {
            record.target.record_latency_at_least(record.order.kind, record.age(now), now);
            record.cancel(actions);
        }
    }

    /// Cancels the running attempts for the shard that `winner` has answered.
    pub fn cancel_others(
        &mut self,
        winner: &AttemptOrder,
        now: Duration,
        actions: &mut Vec<SessionAction>,
    ) {
        let is_other =
            |record: &&mut AttemptRecord| record.order.shard == winner.shard && record.is_running();
        for record in self.records.iter_mut().filter(is_other) {
            if record.order.number < winner.number {
                record.target.record_overtaken(record.order.kind, record.age(now), now);
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

    /// Time since the target received the call and could have replied to it.
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.sent_at + self.round_trip)
    }

    fn cancel(&mut self, actions: &mut Vec<SessionAction>) {
        self.cancelled = true;
        actions.push(SessionAction::Cancel(self.order.number));
    }

    fn note_end(&self, request_id: &str, result: &AttemptResult, now: Duration) {
        let elapsed = self.age(now);
        match result {
            AttemptResult::Reply { tag, marks, .. } => {
                self.target.record_reply();
                // A reply to another call may come from another target, so its marks and time say nothing about this.
                if check_tag(&self.order, request_id, tag).is_ok() {
                    self.target.record_marks(marks, now);
                    let usual = self.pool_windows.get(self.order.kind).median();
                    self.target.record_usable_reply(marks, elapsed, usual, now);
                    self.target.record_latency(self.order.kind, elapsed, now);
                }
            }
            AttemptResult::Refused { reason, marks, retry_after } => {
                self.target.record_reply();
                if let Some(marks) = marks {
                    self.target.record_marks(marks, now);
                }
                self.note_refusal(*reason, *retry_after, now);
            }
            // The target replied, so it is not lost.
            AttemptResult::Malformed => self.target.record_reply(),
            AttemptResult::NotSent | AttemptResult::Lost => {
                // The driver may close the connection of a cancelled attempt, which says nothing about the target.
                if !self.cancelled {
                    self.target.record_failure(now);
                }
            }
            AttemptResult::TimedOut => {
                self.target.record_latency_at_least(self.order.kind, elapsed, now)
            }
        }
    }

    fn note_refusal(&self, reason: TargetRefusal, pause: Option<Duration>, now: Duration) {
        match reason {
            TargetRefusal::Draining => self.target.record_draining(now),
            TargetRefusal::Cold => {
                self.target.record_cold_refusal(now);
                self.target.record_shed(pause, now);
            }
            TargetRefusal::Shed => self.target.record_shed(pause, now),
            TargetRefusal::SnapshotMissing => self.target.drop_snapshot(self.order.pin.snapshot),
            TargetRefusal::WrongShard | TargetRefusal::Deadline | TargetRefusal::Cancelled => {}
        }
    }
}
