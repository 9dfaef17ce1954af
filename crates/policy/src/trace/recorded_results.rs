//! Assigns recorded target results to the attempts of a lenient replay, which may differ from the recorded ones.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use vanillapick_model::call::ReplyTag;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::call::TargetRefusal;
use vanillapick_model::route::RouteKind;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::target::TargetId;

use crate::attempt::AttemptResult;
use crate::attempt::AttemptSpec;
use crate::trace::SessionTrace;
use crate::trace::TraceStep;
use crate::trace::UnrecordedResult;

/// Reply latency if the trace contains no replies.
const DEFAULT_LATENCY: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct RecordedAttempt {
    spec: AttemptSpec,
    latency: Duration,
    result: AttemptResult,
}

/// Recorded results that are not assigned yet, by target and shard, in the order of the original attempts.
#[derive(Debug)]
pub(super) struct RecordedResults {
    results: HashMap<(TargetId, ShardIndex), VecDeque<RecordedAttempt>>,
    /// Recorded reply latencies in ascending order.
    latencies: HashMap<TargetId, Vec<Duration>>,
    all_latencies: Vec<Duration>,
    marks: HashMap<TargetId, TargetMarks>,
    unrecorded: UnrecordedResult,
}

impl RecordedResults {
    /// Pairs the sent attempts of a trace with their results. Results without a sent attempt are ignored.
    pub(super) fn new(trace: &SessionTrace) -> Self {
        let mut results = Self {
            results: HashMap::new(),
            latencies: HashMap::new(),
            all_latencies: Vec::new(),
            marks: trace.head.marks.iter().cloned().collect(),
            unrecorded: trace.head.unrecorded,
        };
        let attempts = trace.steps.iter().filter_map(|step| match step {
            TraceStep::Sent(at, attempt) => Some((*at, attempt)),
            _ => None,
        });
        for (sent_at, attempt) in attempts {
            let recorded = trace.steps.iter().find_map(|step| match step {
                TraceStep::Event(at, event) if event.number == attempt.number => Some((*at, event)),
                _ => None,
            });
            if let Some((at, event)) = recorded {
                let result = event.result.clone();
                let latency = at.saturating_sub(sent_at);
                results.add(RecordedAttempt { spec: attempt.clone(), latency, result });
            }
        }
        results.all_latencies.sort_unstable();
        results.latencies.values_mut().for_each(|latencies| latencies.sort_unstable());
        results
    }

    fn add(&mut self, recorded: RecordedAttempt) {
        let target = recorded.spec.target.clone();
        if matches!(recorded.result, AttemptResult::Reply { .. }) {
            self.all_latencies.push(recorded.latency);
            self.latencies.entry(target.clone()).or_default().push(recorded.latency);
        }
        self.results.entry((target, recorded.spec.shard)).or_default().push_back(recorded);
    }

    /// Stores the status of a target, to be included in unrecorded replies.
    pub(super) fn record_marks(&mut self, target: TargetId, marks: TargetMarks) {
        self.marks.insert(target, marks);
    }

    /// Returns the latency and result of a new attempt.
    pub(super) fn take(
        &mut self,
        attempt: &AttemptSpec,
        request_id: &str,
    ) -> (Duration, AttemptResult) {
        let queue = self.results.entry((attempt.target.clone(), attempt.shard)).or_default();
        while let Some(recorded) = queue.pop_front() {
            // A missing snapshot is irrelevant to an attempt at another snapshot.
            let is_missing = matches!(
                recorded.result,
                AttemptResult::Refused { reason: TargetRefusal::SnapshotMissing, .. }
            );
            if is_missing && recorded.spec.pin != attempt.pin {
                continue;
            }
            return adapt_result(recorded, attempt);
        }
        self.unrecorded_result(attempt, request_id)
    }

    fn unrecorded_result(
        &self,
        attempt: &AttemptSpec,
        request_id: &str,
    ) -> (Duration, AttemptResult) {
        let latency = self.median_latency(&attempt.target);
        let Some(marks) = self.marks.get(&attempt.target) else {
            return (latency, AttemptResult::Lost);
        };
        if self.unrecorded == UnrecordedResult::Lost {
            return (latency, AttemptResult::Lost);
        }
        let marks = marks.clone();
        if attempt.kind != RouteKind::Write && !marks.snapshots.contains(&attempt.pin.snapshot) {
            return (latency, snapshot_missing(marks));
        }
        let tag = ReplyTag {
            request_id: request_id.to_owned(),
            attempt: attempt.number,
            shard: attempt.shard,
            shard_map: attempt.pin.shard_map,
            snapshot: attempt.pin.snapshot,
        };
        let body = match attempt.kind {
            RouteKind::Search => Bytes::from_static(b"{\"hits\":[]}"),
            RouteKind::Read | RouteKind::Write => Bytes::from_static(b"{}"),
        };
        (latency, AttemptResult::Reply { tag, marks, body })
    }

    fn median_latency(&self, target: &str) -> Duration {
        let own = self.latencies.get(target).unwrap_or(&self.all_latencies);
        own.get(own.len() / 2).copied().unwrap_or(DEFAULT_LATENCY)
    }
}

/// Adapts a recorded result to the attempt that receives it. Mismatched fields of recorded replies are preserved.
fn adapt_result(recorded: RecordedAttempt, attempt: &AttemptSpec) -> (Duration, AttemptResult) {
    let RecordedAttempt { spec: original, latency, result } = recorded;
    let result = match result {
        AttemptResult::Reply { mut tag, marks, body } => {
            let is_repinned = original.pin != attempt.pin && tag.snapshot == original.pin.snapshot;
            if is_repinned && !marks.snapshots.contains(&attempt.pin.snapshot) {
                return (latency, snapshot_missing(marks));
            }
            if tag.attempt == original.number {
                tag.attempt = attempt.number;
            }
            if is_repinned {
                tag.snapshot = attempt.pin.snapshot;
            }
            AttemptResult::Reply { tag, marks, body }
        }
        // The target had not replied when it was cancelled, so its latency is unknown.
        AttemptResult::Refused { reason: TargetRefusal::Cancelled, .. } => {
            return (Duration::MAX, AttemptResult::TimedOut);
        }
        other => other,
    };
    (latency, result)
}

fn snapshot_missing(marks: TargetMarks) -> AttemptResult {
    AttemptResult::Refused {
        reason: TargetRefusal::SnapshotMissing,
        marks: Some(marks),
        retry_after: None,
    }
}
