//! Idempotency claims: at most one host runs a request with a given key.
//!
//! A claim is written by compare-and-swap before the first byte of the request is sent. Every write of a claim carries its
//! nonce, so after a lost reply the holder reads the claim back and compares the nonce.

use bytes::Bytes;

use crate::claim_record::ClaimRecord;
use crate::claim_record::ClaimState;
use crate::client::PlatformClient;
use crate::client::StoreRevision;
use crate::client::StoredValue;
use crate::error::PlatformError;

/// Key prefix of all claims in the store.
pub const CLAIM_PREFIX: &str = "vanillapick/claims/";

/// Each attempt costs at most two calls (a write and a read), and the deadline of a caller rarely covers more than four.
const MAX_CLAIM_ATTEMPTS: u32 = 4;

/// Claim that this process owns, with the revision that its next write expects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldClaim {
    key: String,
    nonce: String,
    revision: StoreRevision,
    lease: String,
}

/// Whether this process may run the request, as decided by [`claim`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The request may be sent once; its outcome must then be recorded with [`record_outcome`].
    Held(HeldClaim),
    /// The request ran earlier and returned this response.
    AlreadyRan(Bytes),
    /// Another process holds the claim and may be running the request.
    InProgress,
    /// The request may have run, and its response is lost.
    OutcomeUnknown,
    /// The claim could not be written or read; the request must not be sent.
    Unavailable {
        /// Error of the last call.
        cause: PlatformError,
        /// Whether an unconfirmed write may have stored the claim; [`release_unconfirmed`] releases it.
        may_be_stored: bool,
    },
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// It ran and returned this response.
    Ran(Bytes),
    /// It provably did not run, so the key may be claimed again.
    Released,
    /// It may have run.
    Unknown,
}

/// Claims the request with the key `key_hash`. `nonce` must be random and unique to this call. The store removes the
/// record when `lease` expires. If the returned future is dropped before it completes, treat the claim as
/// [`ClaimResult::Unavailable`] with `may_be_stored`.
pub async fn claim(
    client: &PlatformClient,
    key_hash: &str,
    nonce: &str,
    lease: &str,
) -> ClaimResult {
    let key = format!("{CLAIM_PREFIX}{key_hash}");
    let record = claim_record(nonce, ClaimState::Running);
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
    let mut last_error = PlatformError::Unavailable;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        match client.put(&key, encode(&record), expect, Some(lease)).await {
            Ok(revision) => return held(revision),
            Err(cause) => {
                may_be_stored |= cause.may_have_taken_effect();
                let must_read_back =
                    may_be_stored || matches!(cause, PlatformError::Conflict { .. });
                last_error = cause;
                if !must_read_back {
                    break;
                }
            }
        }
        let stored = match client.get(&key).await {
            Ok(stored) => stored,
            Err(cause) => {
                last_error = cause;
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
                last_error = cause;
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
    ClaimResult::Unavailable { cause: last_error, may_be_stored }
}

/// Records the outcome of the claimed request. After an error the stored claim may stay in progress until its lease
/// expires, so the request still cannot run a second time.
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
    let record = claim_record(&held.nonce, state);
    let mut last_error = PlatformError::Unavailable;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let written =
            client.put(&held.key, encode(&record), held.revision, Some(&held.lease)).await;
        let Err(cause) = written else { return Ok(()) };
        let is_conflict = matches!(cause, PlatformError::Conflict { .. });
        let is_uncertain = cause.may_have_taken_effect();
        last_error = cause;
        if !is_conflict && !is_uncertain {
            return Err(last_error);
        }
        let Ok(stored) = client.get(&held.key).await else { continue };
        let found = stored.as_ref().and_then(|stored| decode(stored).ok());
        match found {
            Some(found) if found == record => return Ok(()),
            // Only the holder releases its claim, so a claim with another nonce shows that the release took effect.
            Some(found) if found.nonce != held.nonce && is_release => return Ok(()),
            _ if is_conflict => return Err(last_error),
            _ => {}
        }
    }
    Err(last_error)
}

/// Releases a claim that [`claim`] may have stored without confirming it. The record is rewritten even if it is absent or
/// already released, because the new revision makes a write that is still in flight fail.
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
    let record = claim_record(nonce, ClaimState::Released);
    client.put(&key, encode(&record), expect, Some(lease)).await.map(|_| ())
}

fn claim_record(nonce: &str, state: ClaimState) -> ClaimRecord {
    ClaimRecord { nonce: nonce.to_owned(), state }
}

fn encode(record: &ClaimRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("a claim has only string keys")
}

fn decode(stored: &StoredValue) -> Result<ClaimRecord, PlatformError> {
    serde_json::from_slice(&stored.value).map_err(|error| PlatformError::Malformed {
        detail: format!("the stored claim is not valid JSON of a claim: {error}"),
        uncertain: false,
    })
}
