//! What a replay gave, in words of the domain, and its comparison with single fields of an expect file.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::answer::RunOutcome;
use vanillapick_policy::attempt::AttemptPurpose;
use vanillapick_policy::attempt::AttemptResult;
use vanillapick_policy::attempt::ClaimSettlement;
use vanillapick_policy::attempt::RetryReason;
use vanillapick_policy::attempt::SessionAction;
use vanillapick_policy::attempt::SessionOutcome;
use vanillapick_policy::trace::lenient_replay::LenientReplay;

/// Kind of what the caller received.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    Answer,
    Reply,
    Refused,
}

/// How the claim of an idempotency key was settled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SettledAs {
    Ran,
    Released,
    Unknown,
}

/// Coverage of an answer, in shards.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CoverageFact {
    pub answered: Option<u32>,
    pub total: Option<u32>,
}

/// Code of a refusal, and whether the request was run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RefusalFact {
    pub code: Option<RefusalCode>,
    pub outcome: Option<RunOutcome>,
}

/// What a replay gave.
#[derive(Clone, Debug, Serialize)]
pub struct ReplayFacts {
    /// None when the caller received nothing.
    pub outcome: Option<OutcomeKind>,
    /// Time from the start until the caller was answered, in whole milliseconds, rounded up.
    pub answered_after_ms: Option<u64>,
    /// Only of an answer.
    pub coverage: Option<CoverageFact>,
    /// Of an answer or a reply.
    pub snapshot: Option<u64>,
    /// Only of a refusal.
    pub refusal: Option<RefusalFact>,
    /// All attempts.
    pub attempts: u64,
    /// Attempts that hedge another.
    pub hedges: u64,
    /// Retries by reason.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Shards at which a further target was sent the request after one had been lost with it.
    pub second_replicas_risked: u64,
    /// Last settlement of the claim.
    pub settled: Option<SettledAs>,
}

/// Why a field of an expect file does not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FieldFault {
    /// The replay gave something else.
    Differs(String),
    /// The field has no such name or value.
    Malformed(String),
}

impl ReplayFacts {
    /// Counts what happened in a replay.
    pub fn new(replay: &LenientReplay) -> Self {
        let mut facts = Self {
            outcome: None,
            answered_after_ms: None,
            coverage: None,
            snapshot: None,
            refusal: None,
            attempts: 0,
            hedges: 0,
            retries: BTreeMap::new(),
            second_replicas_risked: second_replicas_risked(replay),
            settled: None,
        };
        if let Some((at, outcome)) = replay.outcome() {
            let micros = at.saturating_sub(replay.started).as_micros();
            facts.answered_after_ms = u64::try_from(micros.div_ceil(1000)).ok();
            facts.note_outcome(outcome);
        }
        for (_, order) in replay.attempts() {
            facts.attempts += 1;
            match order.purpose {
                AttemptPurpose::First => {}
                AttemptPurpose::Hedge => facts.hedges += 1,
                AttemptPurpose::Retry(reason) => *facts.retries.entry(reason).or_default() += 1,
            }
        }
        let settlements = replay.actions.iter().filter_map(|(_, action)| match action {
            SessionAction::Settle(settlement) => Some(settlement),
            _ => None,
        });
        facts.settled = settlements.last().map(|settlement| match settlement {
            ClaimSettlement::Ran(_) => SettledAs::Ran,
            ClaimSettlement::Released => SettledAs::Released,
            ClaimSettlement::Unknown => SettledAs::Unknown,
        });
        facts
    }

    fn note_outcome(&mut self, outcome: &SessionOutcome) {
        match outcome {
            SessionOutcome::Answer(answer) => {
                self.outcome = Some(OutcomeKind::Answer);
                self.snapshot = Some(answer.snapshot);
                let (answered, total) = (answer.coverage.answered, answer.coverage.total);
                self.coverage = Some(CoverageFact { answered: Some(answered), total: Some(total) });
            }
            SessionOutcome::Reply(reply) => {
                self.outcome = Some(OutcomeKind::Reply);
                self.snapshot = Some(reply.pin.snapshot);
            }
            SessionOutcome::Refused(refusal) => {
                self.outcome = Some(OutcomeKind::Refused);
                let (code, outcome) = (refusal.code, refusal.outcome);
                self.refusal = Some(RefusalFact { code: Some(code), outcome: Some(outcome) });
            }
        }
    }

    /// Compares one field of an expect file.
    pub fn check(&self, field: &str, value: &Value) -> Result<(), FieldFault> {
        match field {
            "outcome" => check_equal(value, self.outcome),
            "answered_within_ms" => check_at_most(value, self.answered_after_ms),
            "coverage" => self.check_coverage(value),
            "snapshot" => check_equal(value, self.snapshot),
            "refusal" => self.check_refusal(value),
            "attempts_at_most" => check_at_most(value, Some(self.attempts)),
            "hedges_at_most" => check_at_most(value, Some(self.hedges)),
            "retries" => self.check_retries(value),
            "second_replicas_risked" => check_equal(value, Some(self.second_replicas_risked)),
            "settled" => check_equal(value, self.settled),
            _ => Err(FieldFault::Malformed("no such field".to_owned())),
        }
    }

    fn check_coverage(&self, value: &Value) -> Result<(), FieldFault> {
        let expected: CoverageFact = read_value(value)?;
        let found = self.coverage.unwrap_or_default();
        let holds = self.coverage.is_some()
            && is_met(expected.answered, found.answered)
            && is_met(expected.total, found.total);
        check(holds, value, &self.coverage)
    }

    fn check_refusal(&self, value: &Value) -> Result<(), FieldFault> {
        let expected: RefusalFact = read_value(value)?;
        let found = self.refusal.unwrap_or_default();
        let holds = self.refusal.is_some()
            && is_met(expected.code, found.code)
            && is_met(expected.outcome, found.outcome);
        check(holds, value, &self.refusal)
    }

    fn check_retries(&self, value: &Value) -> Result<(), FieldFault> {
        let expected: BTreeMap<RetryReason, u64> = read_value(value)?;
        let count = |reason: &RetryReason| self.retries.get(reason).copied().unwrap_or_default();
        let holds = expected.iter().all(|(reason, expected)| count(reason) == *expected);
        check(holds, value, &self.retries)
    }
}

fn second_replicas_risked(replay: &LenientReplay) -> u64 {
    let mut shards = BTreeSet::new();
    for (lost_at, lost, result) in &replay.completed {
        let is_risked = replay.attempts().any(|(sent_at, order)| {
            order.shard == lost.shard
                && order.target != lost.target
                && lost.number < order.number
                && *lost_at <= sent_at
        });
        if *result == AttemptResult::Lost && is_risked {
            shards.insert(lost.shard);
        }
    }
    shards.len() as u64
}

/// Whether a part of an expectation holds; one that is not given does.
fn is_met<T: PartialEq>(expected: Option<T>, found: Option<T>) -> bool {
    expected.is_none() || expected == found
}

fn check_equal<T>(value: &Value, found: Option<T>) -> Result<(), FieldFault>
where
    T: DeserializeOwned + PartialEq + Serialize,
{
    let expected = Some(read_value::<T>(value)?);
    check(expected == found, value, &found)
}

fn check_at_most(value: &Value, found: Option<u64>) -> Result<(), FieldFault> {
    let most: u64 = read_value(value)?;
    check(found.is_some_and(|found| found <= most), value, &found)
}

fn check<T: Serialize>(holds: bool, expected: &Value, found: &T) -> Result<(), FieldFault> {
    if holds {
        return Ok(());
    }
    let found = serde_json::to_string(found).unwrap_or_default();
    Err(FieldFault::Differs(format!("expected {expected}, the replay gave {found}")))
}

fn read_value<T: DeserializeOwned>(value: &Value) -> Result<T, FieldFault> {
    serde_json::from_value(value.clone()).map_err(|error| FieldFault::Malformed(error.to_string()))
}
