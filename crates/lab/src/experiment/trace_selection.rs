//! Selects the session traces of an experiment that `--record` writes.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::mpsc;
use vanillapick_entry::entry_host::lock;
use vanillapick_entry::session_recorder::TraceSender;
use vanillapick_model::answer::RefusalCode;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::trace::SessionTrace;
use vanillapick_policy::trace::TraceStep;

/// Limit on the traces of the slowest sessions.
const MAX_SLOWEST: usize = 4;

/// Limit on the traces of the answers with the least coverage.
const MAX_LEAST_COVERED: usize = 3;

/// Limit on the traces of refused sessions. Different refusal codes take precedence over repeated ones.
const MAX_REFUSED: usize = 3;

/// Traces with their ranks, highest rank first.
type RankedTraces = Vec<(f64, SessionTrace)>;

/// Traces selected so far.
#[derive(Default)]
pub struct TraceSelection {
    slowest: RankedTraces,
    least_covered: RankedTraces,
    refused: RankedTraces,
    refusals: BTreeMap<RefusalCode, u32>,
}

impl TraceSelection {
    /// Starts a task that selects from all traces sent to the returned sender. The selection is readable at any time:
    /// killed hosts may hold their senders for a while, so it does not wait for the channel to close.
    pub fn start() -> (TraceSender, Arc<Mutex<Self>>) {
        let (sender, mut traces) = mpsc::unbounded_channel();
        let selection = Arc::new(Mutex::new(Self::default()));
        let shared = Arc::clone(&selection);
        tokio::spawn(async move {
            while let Some(trace) = traces.recv().await {
                lock(&shared).add(trace);
            }
        });
        (sender, selection)
    }

    /// Selects the trace if it ranks among the first of its list.
    pub fn add(&mut self, trace: SessionTrace) {
        let Some((latency, outcome)) = outcome_of(&trace) else { return };
        match outcome {
            SessionOutcome::Refused(refusal) => {
                let count = self.refusals.entry(refusal.code).or_default();
                *count += 1;
                let rank = 1.0 / f64::from(*count);
                insert_ranked(&mut self.refused, MAX_REFUSED, rank, trace);
            }
            SessionOutcome::Answer(answer) if !answer.coverage.is_full() => {
                let rank = 1.0 - answer.coverage.fraction;
                insert_ranked(&mut self.least_covered, MAX_LEAST_COVERED, rank, trace);
            }
            SessionOutcome::Answer(_) | SessionOutcome::Reply(_) => {
                insert_ranked(&mut self.slowest, MAX_SLOWEST, latency.as_secs_f64(), trace);
            }
        }
    }

    /// Writes the selected traces into a folder, which is created if needed.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let lists = [
            ("slowest", &self.slowest),
            ("least-covered", &self.least_covered),
            ("refused", &self.refused),
        ];
        for (name, traces) in lists {
            for (index, (_, trace)) in traces.iter().enumerate() {
                fs::write(folder.join(format!("{name}-{}.jsonl", index + 1)), trace.to_lines())?;
            }
        }
        Ok(())
    }
}

fn outcome_of(trace: &SessionTrace) -> Option<(Duration, SessionOutcome)> {
    trace.steps.iter().find_map(|step| match step {
        TraceStep::Outcome(at, outcome) => {
            Some((at.saturating_sub(trace.head.at), outcome.clone()))
        }
        _ => None,
    })
}

fn insert_ranked(traces: &mut RankedTraces, limit: usize, rank: f64, trace: SessionTrace) {
    let place = traces.partition_point(|(other, _)| rank <= *other);
    traces.insert(place, (rank, trace));
    traces.truncate(limit);
}
