//! Idempotency claims: at most one host runs a request with a given key.
//!
//! A claim is written by compare-and-swap before the first byte of the request is sent. All writes of one claim carry
//! its nonce, so that a lost reply is settled by reading the nonce back.

use bytes::Bytes;

use crate::claim_record::ClaimRecord;
use crate::claim_record::ClaimState;
use crate::client::PlatformClient;
use crate::client::StoreRevision;
use crate::client::StoredValue;
use crate::error::PlatformError;

/// Keys of claims start with this.
pub const CLAIM_PREFIX: &str = "vanillapick/claims/";

/// Rounds of writing and reading back; each costs at most two calls, and a caller's deadline rarely covers more.
const CLAIM_TRIES: u32 = 4;

/// A claim that this process holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldClaim {
    key: String,
    nonce: String,
    revision: StoreRevision,
    lease: String,
}

/// Answer to the question whether the request may be run here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The request may be sent once; the claim must then be settled.
    Held(HeldClaim),
    /// The request ran before, with this answer.
    AlreadyRan(Bytes),
    /// Another holder may be running the request.
    InProgress,
    /// The request may have run, and its answer is lost.
    OutcomeUnknown,
    /// The store could not be asked; the request must not be sent.
    Unavailable {
        /// Error of the last call.
        cause: PlatformError,
        /// The claim may stand in the store although it is not held; [`release_unconfirmed`] releases it.
        may_be_stored: bool,
    },
}

/// How a claimed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// It ran and gave this answer.
    Ran(Bytes),
    /// It is proven not to have run.
    Released,
    /// It may have run.
    Unknown,
}

/// Claims the request with the key `key_hash`. `nonce` is random and used for this call only. The record ends with
/// `lease`. A caller that drops the future early must treat the claim as [`ClaimResult::Unavailable`] that may stand.
pub async fn claim(
    client: &PlatformClient,
    key_hash: &str,
    nonce: &str,
    lease: &str,
) -> ClaimResult {
    let key = format!("{CLAIM_PREFIX}{key_hash}");
    let record = record_of(nonce, ClaimState::Running);
    let held = |revision| {
        ClaimResult::Held(HeldClaim {
            key: key.clone(),
            nonce: nonce.to_owned(),
            revision,
            lease: lease.to_owned(),
        })
    };
    let mut may_be_stored = false;
    let mut expect = 0;
    let mut last = PlatformError::Unavailable;
    for _ in 0..CLAIM_TRIES {
        match client.put(&key, encode(&record), expect, Some(lease)).await {
            Ok(revision) => return held(revision),
            Err(cause) => {
                may_be_stored |= cause.may_have_taken_effect();
                let is_settled_by_reading =
                    may_be_stored || matches!(cause, PlatformError::Conflict { .. });
                last = cause;
                if !is_settled_by_reading {
                    break;
                }
            }
        }
        let stored = match client.get(&key).await {
            Ok(stored) => stored,
            Err(cause) => {
                last = cause;
                continue;
            }
        };
        let Some(stored) = stored else {
            expect = 0;
            continue;
        };
        let found = match decode(&stored) {
            Ok(found) => found,
            Err(cause) => {
                last = cause;
                break;
            }
        };
        match found.state {
            ClaimState::Running if found.nonce == nonce => return held(stored.revision),
            ClaimState::Running => return ClaimResult::InProgress,
            ClaimState::Ran { body } => return ClaimResult::AlreadyRan(body.into()),
            ClaimState::Unknown => return ClaimResult::OutcomeUnknown,
            ClaimState::Released => expect = stored.revision,
        }
    }
    ClaimResult::Unavailable { cause: last, may_be_stored }
}

/// Records how the claimed request ended. After an error the claim may still stand as in progress until its lease
/// ends, which keeps the request from running a second time.
pub async fn record_outcome(
    client: &PlatformClient,
    held: &HeldClaim,
    outcome: ClaimOutcome,
) -> Result<(), PlatformError> {
    let is_release = outcome == ClaimOutcome::Released;
    let state = match outcome {
        ClaimOutcome::Ran(body) => ClaimState::Ran { body: (&body).into() },
        ClaimOutcome::Released => ClaimState::Released,
        ClaimOutcome::Unknown => ClaimState::Unknown,
    };
    let record = record_of(&held.nonce, state);
    let mut last = PlatformError::Unavailable;
    for _ in 0..CLAIM_TRIES {
        let written =
            client.put(&held.key, encode(&record), held.revision, Some(&held.lease)).await;
        let Err(cause) = written else { return Ok(()) };
        let is_conflict = matches!(cause, PlatformError::Conflict { .. });
        let is_uncertain = cause.may_have_taken_effect();
        last = cause;
        if !is_conflict && !is_uncertain {
            return Err(last);
        }
        let Ok(stored) = client.get(&held.key).await else { continue };
        let found = stored.as_ref().and_then(|stored| decode(stored).ok());
        match found {
            Some(found) if found == record => return Ok(()),
            // Only this holder ends its own claim, so a claim of another one follows an end by this one.
            Some(found) if found.nonce != held.nonce && is_release => return Ok(()),
            _ if is_conflict => return Err(last),
            _ => {}
        }
    }
    Err(last)
}

/// Releases a claim that may stand in the store although [`claim`] could not confirm it. The record is rewritten even
/// if it is absent or released, because the new revision makes a write that is still under way fail.
pub async fn release_unconfirmed(
    client: &PlatformClient,
    key_hash: &str,
    nonce: &str,
    lease: &str,
) -> Result<(), PlatformError> {
    let key = format!("{CLAIM_PREFIX}{key_hash}");
    let stored = client.get(&key).await?;
    let expect = match &stored {
        None => 0,
        Some(stored) => {
            let found = decode(stored)?;
            let is_own = found.nonce == nonce && found.state == ClaimState::Running;
            if !is_own && found.state != ClaimState::Released {
                return Ok(());
            }
            stored.revision
        }
    };
    let record = record_of(nonce, ClaimState::Released);
    client.put(&key, encode(&record), expect, Some(lease)).await.map(|_| ())
}

fn record_of(nonce: &str, state: ClaimState) -> ClaimRecord {
    ClaimRecord { nonce: nonce.to_owned(), state }
}

fn encode(record: &ClaimRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("a claim has only string keys")
}

fn decode(stored: &StoredValue) -> Result<ClaimRecord, PlatformError> {
    serde_json::from_slice(&stored.value).map_err(|error| PlatformError::Malformed {
        detail: format!("the stored claim cannot be read: {error}"),
        uncertain: false,
    })
}
