//! Measurements of a load phase.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use vanillapick_model::answer::CoverageReport;
use vanillapick_model::call::RequestId;
use vanillapick_model::snapshot::ShardMapId;

use crate::load_generator::answer_check::AnswerFaults;

/// Largest latency of the histogram, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Outcome of one request as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// A reply with a success status arrived.
    Answered {
        /// Time from the scheduled send time to the answer.
        latency: Duration,
        /// Whether the answer arrived within the deadline of the caller.
        in_time: bool,
        /// Shard map and coverage, for the answer to a search.
        search: Option<(ShardMapId, CoverageReport)>,
        /// Faults found in the answer.
        faults: AnswerFaults,
    },
    /// A refusal with this code arrived.
    Refused(String),
    /// No complete reply arrived: the connection closed early, the wait timed out or no entry host was ready.
    NoReply,
}

/// Measurements of one kind of request in one phase.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Latency of answers from the scheduled send time, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests scheduled, whatever their outcome.
    pub sent: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Answers within the deadline of the caller.
    pub in_time: u64,
    /// Answers that cover all shards.
    pub full: u64,
    /// Answers within the deadline of the caller that cover all shards.
    pub good: u64,
    /// Answers that report a wrong coverage.
    pub misreported: u64,
    /// Answers with hits of another snapshot or shard map than they name.
    pub mixed: u64,
    /// Answers with content of another request.
    pub foreign: u64,
    /// Search answers by shard map.
    pub shard_maps: BTreeMap<ShardMapId, u64>,
    /// Missing shards of search answers by reason.
    pub missing: BTreeMap<String, u64>,
    /// Requests without a complete reply.
    pub no_reply: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Request ids whose refusal says that nothing ran.
    pub not_run: Vec<RequestId>,
    /// Request ids under which each write was sent. Each write must run at most once in total.
    pub writes: Vec<Vec<RequestId>>,
}

impl Default for LoadRecord {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            latency: latency.expect("the bounds are valid for three digits"),
            sent: 0,
            answered: 0,
            in_time: 0,
            full: 0,
            good: 0,
            misreported: 0,
            mixed: 0,
            foreign: 0,
            shard_maps: BTreeMap::new(),
            missing: BTreeMap::new(),
            no_reply: 0,
            refused: BTreeMap::new(),
            not_run: Vec::new(),
            writes: Vec::new(),
        }
    }
}

impl LoadRecord {
    /// Counts a finished request.
    pub fn add(&mut self, outcome: RequestOutcome) {
        self.sent += 1;
        match outcome {
            RequestOutcome::Answered { latency, in_time, search, faults } => {
                let full = search.as_ref().is_none_or(|(_, coverage)| coverage.is_full());
                let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
                self.latency.saturating_record(micros);
                self.answered += 1;
                self.in_time += u64::from(in_time);
                self.full += u64::from(full);
                self.good += u64::from(in_time && full);
                self.misreported += u64::from(faults.misreported);
                self.mixed += u64::from(faults.mixed);
                self.foreign += u64::from(faults.foreign);
                let Some((shard_map, coverage)) = search else { return };
                *self.shard_maps.entry(shard_map).or_default() += 1;
                for missing in coverage.missing {
                    *self.missing.entry(missing.reason.to_string()).or_default() += 1;
                }
            }
            RequestOutcome::Refused(code) => *self.refused.entry(code).or_default() += 1,
            RequestOutcome::NoReply => self.no_reply += 1,
        }
    }

    /// Adds all measurements of `other` to these.
    pub fn merge(&mut self, other: &Self) {
        let added = self.latency.add(&other.latency);
        added.expect("all histograms have the same bounds");
        self.sent += other.sent;
        self.answered += other.answered;
        self.in_time += other.in_time;
        self.full += other.full;
        self.good += other.good;
        self.misreported += other.misreported;
        self.mixed += other.mixed;
        self.foreign += other.foreign;
        self.no_reply += other.no_reply;
        for (shard_map, count) in &other.shard_maps {
            *self.shard_maps.entry(*shard_map).or_default() += count;
        }
        for (reason, count) in &other.missing {
            *self.missing.entry(reason.clone()).or_default() += count;
        }
        for (code, count) in &other.refused {
            *self.refused.entry(code.clone()).or_default() += count;
        }
        self.not_run.extend_from_slice(&other.not_run);
        self.writes.extend_from_slice(&other.writes);
    }
}
