//! Record of the calls that actually ran, by request id. All targets of an experiment share it.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use vanillapick_model::call::RequestId;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::ShardMapId;

/// Calls that ran for one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunCount {
    /// Number of calls that started to run.
    pub runs: u32,
    /// Shards that the calls ran for, without duplicates.
    pub parts: Vec<(ShardMapId, ShardIndex)>,
}

/// Sums over the calls of several requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTotal {
    /// Number of calls that started to run.
    pub runs: u64,
    /// Number of calls that were the first to run for their request and shard.
    pub first_runs: u64,
}

impl RunTotal {
    /// Returns the number of repeated calls for the same request and shard, relative to the first ones.
    pub fn extra_load(&self) -> f64 {
        if self.first_runs == 0 {
            return 0.0;
        }
        (self.runs - self.first_runs) as f64 / self.first_runs as f64
    }
}

/// Runs by request id. A run counts as soon as it starts, whether or not its reply is delivered.
#[derive(Debug, Default)]
pub struct RunLedger {
    requests: Mutex<BTreeMap<RequestId, RunCount>>,
}

impl RunLedger {
    /// Records the start of a run.
    pub fn record(&self, request_id: &str, shard_map: ShardMapId, shard: ShardIndex) {
        let mut requests = self.lock();
        let count = requests.entry(request_id.to_owned()).or_default();
        count.runs += 1;
        if !count.parts.contains(&(shard_map, shard)) {
            count.parts.push((shard_map, shard));
        }
    }

    /// Returns how many calls ran for one request.
    pub fn runs(&self, request_id: &str) -> u32 {
        self.lock().get(request_id).map_or(0, |count| count.runs)
    }

    /// Sums the runs of all requests whose id begins with `prefix`.
    pub fn total(&self, prefix: &str) -> RunTotal {
        let requests = self.lock();
        let range = requests.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let mut total = RunTotal::default();
        for (_, count) in range.take_while(|(request_id, _)| request_id.starts_with(prefix)) {
            total.runs += u64::from(count.runs);
            total.first_runs += count.parts.len() as u64;
        }
        total
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestId, RunCount>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
