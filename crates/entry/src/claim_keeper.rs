//! The claim of one idempotency key during one write.

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

/// Time for which a claim is kept; a resend within it receives the first reply.
const CLAIM_LIFE: Duration = Duration::from_secs(24 * 3600);

/// Time for which one lease is given to new claims. One lease serves the claims of an hour, so that leases cost the
/// platform one write an hour and host.
const LEASE_USE: Duration = Duration::from_secs(3600);

/// Pauses between tries to settle a claim while the platform does not answer.
const SETTLE_PAUSES: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(10),
];

/// The lease that new claims of this host end with.
#[derive(Debug, Default)]
pub struct ClaimLease {
    current: AsyncMutex<Option<(LeaseId, Duration)>>,
}

impl ClaimLease {
    async fn get(&self, host: &EntryHost) -> Option<LeaseId> {
        // Waiting callers use the lease that the first one creates; nobody on the path of another request waits here.
        let mut current = self.current.lock().await;
        let now = host.now();
        if let Some((lease, created)) = current.as_ref()
            && now < *created + LEASE_USE
        {
            return Some(lease.clone());
        }
        let lease = host.platform.create_lease(CLAIM_LIFE + LEASE_USE).await.ok()?;
        *current = Some((lease.clone(), now));
        Some(lease)
    }
}

/// Claim of one key. The nonce is this request's own, so that a claim whose reply was lost is recognized.
#[derive(Clone, Debug)]
pub struct ClaimKeeper {
    key_hash: String,
    nonce: String,
    state: Arc<Mutex<KeptClaim>>,
}

#[derive(Debug, Default)]
struct KeptClaim {
    held: Option<HeldClaim>,
    /// Lease of a claim that may stand in the store although it is not held.
    may_stand: Option<LeaseId>,
}

impl ClaimKeeper {
    /// Claim of `key` on `route`.
    pub fn new(route: &str, key: &str, rng: &mut ChaCha8Rng) -> Self {
        // Two independent hashes of the pair: with 64 bits alone, two of a few million keys a day would meet within
        // years.
        let first = request_fingerprint(route, key.as_bytes());
        let second = request_fingerprint(key, route.as_bytes());
        Self {
            key_hash: format!("{first:016x}{second:016x}"),
            nonce: format!("{:032x}", rng.random::<u128>()),
            state: Arc::default(),
        }
    }

    /// Claims the key.
    pub async fn ask(&self, host: &Arc<EntryHost>) -> ClaimResult {
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
                tracing::debug!(%cause, "idempotency key not claimed");
                lock(&self.state).may_stand = may_be_stored.then_some(lease);
                ClaimResult::Unavailable
            }
        }
    }

    /// Settles the claim in a task of its own, because the caller does not wait for it.
    pub fn settle(&self, host: &Arc<EntryHost>, settlement: ClaimSettlement) {
        let host = Arc::clone(host);
        let keeper = self.clone();
        tokio::spawn(async move { keeper.settle_patiently(&host, settlement).await });
    }

    async fn settle_patiently(&self, host: &EntryHost, settlement: ClaimSettlement) {
        let outcome = match settlement {
            ClaimSettlement::Ran(body) => ClaimOutcome::Ran(body),
            ClaimSettlement::Released => ClaimOutcome::Released,
            ClaimSettlement::Unknown => ClaimOutcome::Unknown,
        };
        let mut pauses = SETTLE_PAUSES.iter();
        while let Err(cause) = self.settle_once(host, outcome.clone()).await {
            let Some(pause) = pauses.next() else {
                tracing::warn!(%cause, "a claim stays in progress until its lease ends");
                return;
            };
            tokio::time::sleep(*pause).await;
        }
    }

    async fn settle_once(
        &self,
        host: &EntryHost,
        outcome: ClaimOutcome,
    ) -> Result<(), vanillapick_platform::error::PlatformError> {
        let (held, may_stand) = {
            let state = lock(&self.state);
            (state.held.clone(), state.may_stand.clone())
        };
        if let Some(held) = held {
            return claim::record_outcome(&host.platform, &held, outcome).await;
        }
        match may_stand {
            Some(lease) => {
                claim::release_unconfirmed(&host.platform, &self.key_hash, &self.nonce, &lease)
                    .await
            }
            None => Ok(()),
        }
    }
}
