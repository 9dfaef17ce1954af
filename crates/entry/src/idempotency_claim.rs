//! Claims an idempotency key in the platform's store for the duration of a write.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex as AsyncMutex;
use vanillapick_model::hash::request_fingerprint;
use vanillapick_platform::claim;
use vanillapick_platform::claim::ClaimOutcome;
use vanillapick_platform::claim::HeldClaim;
use vanillapick_platform::client::LeaseId;
use vanillapick_policy::attempt::ClaimResult;
use vanillapick_policy::attempt::ClaimSettlement;

use crate::entry_host::EntryHost;
use crate::entry_host::lock;

/// Time to live of a claim; a resend within it receives the first reply.
const CLAIM_TTL: Duration = Duration::from_secs(24 * 3600);

/// Time during which new claims share one lease, so that leases cost the platform one write per hour and host.
const LEASE_REUSE_PERIOD: Duration = Duration::from_secs(3600);

/// Delays between attempts to settle a claim while the platform is unavailable.
const SETTLE_RETRY_DELAYS: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(10),
];

/// Lease attached to new claims of this host; the claims expire with it.
#[derive(Debug, Default)]
pub struct ClaimLease {
    current: AsyncMutex<Option<(LeaseId, Duration)>>,
}

impl ClaimLease {
    async fn get(&self, host: &EntryHost) -> Option<LeaseId> {
        // Concurrent keyed writes wait here for the lease that the first one creates; other requests do not take this
        // lock.
        let mut current = self.current.lock().await;
        let now = host.now();
        if let Some((lease, created)) = current.as_ref()
            && now < *created + LEASE_REUSE_PERIOD
        {
            return Some(lease.clone());
        }
        let lease = host.platform.create_lease(CLAIM_TTL + LEASE_REUSE_PERIOD).await.ok()?;
        *current = Some((lease.clone(), now));
        Some(lease)
    }
}

/// Claim of one idempotency key. The nonce is unique to the request, so that a claim whose reply was lost is
/// recognized as its own.
#[derive(Clone, Debug)]
pub struct IdempotencyClaim {
    key_hash: String,
    nonce: String,
    state: Arc<Mutex<ClaimState>>,
}

#[derive(Debug, Default)]
struct ClaimState {
    held: Option<HeldClaim>,
    /// Lease of a claim whose write to the store has an unknown result.
    may_be_stored: Option<LeaseId>,
}

impl IdempotencyClaim {
    /// Prepares a claim of `key` on `route` with a random nonce; nothing is written yet.
    pub fn new(route: &str, key: &str, rng: &mut ChaCha8Rng) -> Self {
        // Two independent hashes of the pair: with 64 bits and a few million keys a day, two keys would collide within
        // years.
        let first = request_fingerprint(route, key.as_bytes());
        let second = request_fingerprint(key, route.as_bytes());
        Self {
            key_hash: format!("{first:016x}{second:016x}"),
            nonce: format!("{:032x}", rng.random::<u128>()),
            state: Arc::default(),
        }
    }

    /// Writes the claim to the store; reports the result of an earlier write with the same key.
    pub async fn acquire(&self, host: &Arc<EntryHost>) -> ClaimResult {
        if !host.rule.pass(host.platform.address()).await {
            return ClaimResult::Unavailable;
        }
        let Some(lease) = host.claim_lease.get(host).await else { return ClaimResult::Unavailable };
        match claim::claim(&host.platform, &self.key_hash, &self.nonce, &lease).await {
            claim::ClaimResult::Held(held) => {
                lock(&self.state).held = Some(held);
                ClaimResult::Held
            }
            claim::ClaimResult::AlreadyRan(body) => ClaimResult::AlreadyRan(body),
            claim::ClaimResult::InProgress | claim::ClaimResult::OutcomeUnknown => {
                ClaimResult::InProgress
            }
            claim::ClaimResult::Unavailable { cause, may_be_stored } => {
                tracing::debug!(%cause, "could not claim an idempotency key");
                lock(&self.state).may_be_stored = may_be_stored.then_some(lease);
                ClaimResult::Unavailable
            }
        }
    }

    /// Settles the claim in a background task, because the caller does not wait for it.
    pub fn settle(&self, host: &Arc<EntryHost>, settlement: ClaimSettlement) {
        let host = Arc::clone(host);
        let claim = self.clone();
        tokio::spawn(async move { claim.settle_with_retries(&host, settlement).await });
    }

    async fn settle_with_retries(&self, host: &EntryHost, settlement: ClaimSettlement) {
        let outcome = match settlement {
            ClaimSettlement::Ran(body) => ClaimOutcome::Ran(body),
            ClaimSettlement::Released => ClaimOutcome::Released,
            ClaimSettlement::Unknown => ClaimOutcome::Unknown,
        };
        let mut delays = SETTLE_RETRY_DELAYS.iter();
        while let Err(cause) = self.settle_once(host, outcome.clone()).await {
            let Some(delay) = delays.next() else {
                tracing::warn!(%cause, "idempotency claim not settled; it stays in progress until its lease expires");
                return;
            };
            tokio::time::sleep(*delay).await;
        }
    }

    async fn settle_once(
        &self,
        host: &EntryHost,
        outcome: ClaimOutcome,
    ) -> Result<(), vanillapick_platform::error::PlatformError> {
        let (held, may_be_stored) = {
            let state = lock(&self.state);
            (state.held.clone(), state.may_be_stored.clone())
        };
        if let Some(held) = held {
            return claim::record_outcome(&host.platform, &held, outcome).await;
        }
        match may_be_stored {
            Some(lease) => {
                claim::release_unconfirmed(&host.platform, &self.key_hash, &self.nonce, &lease)
                    .await
            }
            None => Ok(()),
        }
    }
}
