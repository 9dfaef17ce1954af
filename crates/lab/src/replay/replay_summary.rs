//! Summary of a replay, and its comparison with the fields of an expect file.

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

/// Type of response that the caller received.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    Answer,
    Reply,
    Refused,
}

/// How the claim on an idempotency key was settled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SettlementKind {
    Ran,
    Released,
    Unknown,
}

/// Coverage of an answer, in shards. In an expect file, a field that is not given matches any number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CoverageSummary {
    pub answered: Option<u32>,
    pub total: Option<u32>,
}

/// Code of a refusal, and whether the request ran. In an expect file, a field that is not given matches any value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RefusalSummary {
    pub code: Option<RefusalCode>,
    pub outcome: Option<RunOutcome>,
}

/// Summary of a replay, in the format of `--json`.
#[derive(Clone, Debug, Serialize)]
pub struct ReplaySummary {
    /// None if the caller received no response.
    pub outcome: Option<OutcomeKind>,
    /// Time from the start of the session to the response, in milliseconds, rounded up.
    pub answered_after_ms: Option<u64>,
    /// Set for an answer only.
    pub coverage: Option<CoverageSummary>,
    /// Set for an answer or a reply.
    pub snapshot: Option<u64>,
    /// Set for a refusal only.
    pub refusal: Option<RefusalSummary>,
    /// Number of all attempts, including hedges and retries.
    pub attempts: u64,
    /// Number of attempts that were sent as hedges.
    pub hedges: u64,
    /// Counts only reasons that occurred.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Number of shards where the request was sent to another target after an attempt was lost at one.
    pub second_replicas_risked: u64,
    /// How the idempotency key was last settled; none if it was not.
    pub settled: Option<SettlementKind>,
}

/// Why the check of an expect field fails.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FieldError {
    /// The replay has a different value.
    Mismatch(String),
    /// The name or value of the field is invalid.
    Malformed(String),
}

impl ReplaySummary {
    /// Summarizes the outcome and the attempts of a replay.
    pub fn new(replay: &LenientReplay) -> Self {
        let mut summary = Self {
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
            summary.answered_after_ms = u64::try_from(micros.div_ceil(1000)).ok();
            summary.set_outcome(outcome);
        }
        for (_, attempt) in replay.attempts() {
            summary.attempts += 1;
            match attempt.purpose {
                AttemptPurpose::First => {}
                AttemptPurpose::Hedge => summary.hedges += 1,
                AttemptPurpose::Retry(reason) => *summary.retries.entry(reason).or_default() += 1,
            }
        }
        let settlements = replay.actions.iter().filter_map(|(_, action)| match action {
            SessionAction::Settle(settlement) => Some(settlement),
            _ => None,
        });
        summary.settled = settlements.last().map(|settlement| match settlement {
            ClaimSettlement::Ran(_) => SettlementKind::Ran,
            ClaimSettlement::Released => SettlementKind::Released,
            ClaimSettlement::Unknown => SettlementKind::Unknown,
        });
        summary
    }

    fn set_outcome(&mut self, outcome: &SessionOutcome) {
        match outcome {
            SessionOutcome::Answer(answer) => {
                self.outcome = Some(OutcomeKind::Answer);
                self.snapshot = Some(answer.snapshot);
                let (answered, total) = (answer.coverage.answered, answer.coverage.total);
                self.coverage =
                    Some(CoverageSummary { answered: Some(answered), total: Some(total) });
            }
            SessionOutcome::Reply(reply) => {
                self.outcome = Some(OutcomeKind::Reply);
                self.snapshot = Some(reply.pin.snapshot);
            }
            SessionOutcome::Refused(refusal) => {
                self.outcome = Some(OutcomeKind::Refused);
                let (code, outcome) = (refusal.code, refusal.outcome);
                self.refusal = Some(RefusalSummary { code: Some(code), outcome: Some(outcome) });
            }
        }
    }

    /// Compares a field of an expect file with the replay.
    pub fn check(&self, field: &str, value: &Value) -> Result<(), FieldError> {
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
            _ => Err(FieldError::Malformed("unknown field".to_owned())),
        }
    }

    fn check_coverage(&self, value: &Value) -> Result<(), FieldError> {
        let expected: CoverageSummary = read_value(value)?;
        let found = self.coverage.unwrap_or_default();
        let holds = self.coverage.is_some()
            && matches_expected(expected.answered, found.answered)
            && matches_expected(expected.total, found.total);
        check(holds, value, &self.coverage)
    }

    fn check_refusal(&self, value: &Value) -> Result<(), FieldError> {
        let expected: RefusalSummary = read_value(value)?;
        let found = self.refusal.unwrap_or_default();
        let holds = self.refusal.is_some()
            && matches_expected(expected.code, found.code)
            && matches_expected(expected.outcome, found.outcome);
        check(holds, value, &self.refusal)
    }

    fn check_retries(&self, value: &Value) -> Result<(), FieldError> {
        let expected: BTreeMap<RetryReason, u64> = read_value(value)?;
        let count = |reason: &RetryReason| self.retries.get(reason).copied().unwrap_or_default();
        let holds = expected.iter().all(|(reason, expected)| count(reason) == *expected);
        check(holds, value, &self.retries)
    }
}

fn second_replicas_risked(replay: &LenientReplay) -> u64 {
    let mut shards = BTreeSet::new();
    for (lost_at, lost, result) in &replay.completed {
        let is_risked = replay.attempts().any(|(sent_at, attempt)| {
            attempt.shard == lost.shard
                && attempt.target != lost.target
                && lost.number < attempt.number
                && *lost_at <= sent_at
        });
        if *result == AttemptResult::Lost && is_risked {
            shards.insert(lost.shard);
        }
    }
    shards.len() as u64
}

/// Whether `found` matches `expected`; nothing expected matches any value.
fn matches_expected<T: PartialEq>(expected: Option<T>, found: Option<T>) -> bool {
    expected.is_none() || expected == found
}

fn check_equal<T>(value: &Value, found: Option<T>) -> Result<(), FieldError>
where
    T: DeserializeOwned + PartialEq + Serialize,
{
    let expected = Some(read_value::<T>(value)?);
    check(expected == found, value, &found)
}

fn check_at_most(value: &Value, found: Option<u64>) -> Result<(), FieldError> {
    let most: u64 = read_value(value)?;
    check(found.is_some_and(|found| found <= most), value, &found)
}

fn check<T: Serialize>(holds: bool, expected: &Value, found: &T) -> Result<(), FieldError> {
    if holds {
        return Ok(());
    }
    let found = serde_json::to_string(found).unwrap_or_default();
    Err(FieldError::Mismatch(format!("expected {expected}, but the replay has {found}")))
}

fn read_value<T: DeserializeOwned>(value: &Value) -> Result<T, FieldError> {
    serde_json::from_value(value.clone()).map_err(|error| FieldError::Malformed(error.to_string()))
}
