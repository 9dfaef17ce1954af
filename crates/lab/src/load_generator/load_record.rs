//! What a load phase measured.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use vanillapick_model::answer::CoverageReport;
use vanillapick_model::call::RequestId;
use vanillapick_model::snapshot::ShardMapId;

use crate::load_generator::answer_check::AnswerFaults;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// How one request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// Answered.
    Answered {
        /// Time from the intended sending to the answer.
        latency: Duration,
        /// Whether the answer came within the caller's deadline.
        in_time: bool,
        /// Shard map and coverage of a search's answer.
        search: Option<(ShardMapId, CoverageReport)>,
        /// What is wrong with the answer.
        faults: AnswerFaults,
    },
    /// Refused with this code.
    Refused(String),
    /// The connection ended without a whole reply, or none came.
    NoReply,
}

/// Measurements of one kind of request in one phase.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Latency of answers from the intended sending, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests due, whatever became of them.
    pub sent: u64,
    /// Answers.
    pub answered: u64,
    /// Answers within the caller's deadline.
    pub in_time: u64,
    /// Answers that cover all shards.
    pub full: u64,
    /// Answers within the caller's deadline that cover all shards.
    pub good: u64,
    /// Answers with untrue coverage.
    pub misreported: u64,
    /// Answers from more than one snapshot.
    pub mixed: u64,
    /// Answers with content of another request.
    pub foreign: u64,
    /// Search answers by shard map.
    pub shard_maps: BTreeMap<ShardMapId, u64>,
    /// Missing shards of search answers by reason.
    pub missing: BTreeMap<String, u64>,
    /// Requests without a whole reply.
    pub no_reply: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Sendings whose refusal says not run.
    pub not_run: Vec<RequestId>,
    /// Sendings of each write that must run at most once.
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
    /// Adds the end of one request.
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

    /// Adds all measurements of another kind.
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
