//! Registers this host in the store under a lease, so that all hosts know how many of them share the limits of targets.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use rand::Rng;
use tokio::sync::watch;
use vanillapick_dispatch::host_lease::HostLease;
use vanillapick_dispatch::host_record::HOST_LEASE_TTL;
use vanillapick_dispatch::host_record::HostRecord;

use crate::relay_host::RelayHost;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;
use crate::wire::LeaseId;
use crate::wire::StoreEra;

/// Interval between renewals of the lease.
const RENEWAL_PERIOD: Duration = Duration::from_secs(15);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time for which the registration must be missing before it is written again, because a change that this host has made
/// reaches it with a delay.
const MISSING_TIME: Duration = Duration::from_secs(2);

/// Maximum delay of the registration after a restore of the store, so that the hosts do not register all at once.
const MAX_RESTORE_DELAY: Duration = Duration::from_millis(500);

/// Lease that keeps this host registered, renewed until the store forgets it.
#[derive(Clone, Copy)]
struct RegistrationLease {
    id: LeaseId,
    /// Era in which the lease was granted. In a later one its id may belong to another host.
    era: StoreEra,
}

/// Keeps the host registered until the process ends.
pub(crate) async fn maintain_registration(
    host: Arc<RelayHost>,
    store: StoreClient,
    host_lease: Arc<HostLease>,
) {
    let mut lease = None;
    let mut is_unregistered = host.is_unregistered();
    let mut store_era = host.store_era();
    loop {
        let sent = host.now();
        let step = match lease {
            None => register(&host, &store).await.map(Some),
            Some(lease) => renew(&host, &store, lease).await,
        };
        let delay = match step {
            Ok(renewed) => {
                lease = renewed;
                if lease.is_some() {
                    host_lease.renew(sent, HOST_LEASE_TTL);
                    RENEWAL_PERIOD
                } else {
                    Duration::ZERO
                }
            }
            Err(error) => {
                tracing::debug!(fault = %error, "host registration failed");
                RETRY_DELAY
            }
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = wait_until_missing(&mut is_unregistered) => {
                tracing::info!("host registration was removed; registering again");
                lease = None;
            }
            era = wait_until_restored(&mut store_era, lease) => {
                tracing::info!(era, "host registration is of an earlier era of the store; registering again");
                let delay = MAX_RESTORE_DELAY.mul_f64(host.rng().random());
                tokio::time::sleep(delay).await;
                lease = None;
            }
        }
    }
}

/// Waits until the store is in a later era than the one that granted the lease. Without a lease this never happens.
async fn wait_until_restored(
    store_era: &mut watch::Receiver<StoreEra>,
    lease: Option<RegistrationLease>,
) -> StoreEra {
    let Some(lease) = lease else { return std::future::pending().await };
    let later = store_era.wait_for(|era| lease.era < *era).await.map(|era| *era);
    match later {
        Ok(era) => era,
        // Not reached, because the sender lives as long as the host.
        Err(_) => std::future::pending().await,
    }
}

/// Waits until the registration of this host has been missing for [`MISSING_TIME`]. The store removes it with the lease, and may
/// remove it while the lease lasts.
async fn wait_until_missing(is_unregistered: &mut watch::Receiver<bool>) {
    loop {
        // Errors don't occur, because the sender lives as long as the host.
        let _ = is_unregistered.wait_for(|is_missing| *is_missing).await;
        let returns = is_unregistered.wait_for(|is_missing| !is_missing);
        if tokio::time::timeout(MISSING_TIME, returns).await.is_err() {
            return;
        }
    }
}

async fn register(host: &RelayHost, store: &StoreClient) -> Result<RegistrationLease, StoreError> {
    let wire = host.wire.store;
    let call = (wire.lease)(HOST_LEASE_TTL);
    let (lease, era) = store.read_in_era(call, Duration::ZERO, wire.read_lease).await?;
    let settings = &host.settings;
    let record = HostRecord {
        domain: Some(settings.domain.as_str().into()),
        peer_address: settings.peers,
        parts_address: settings.parts,
        knows_order_ids: true,
    };
    store.send((wire.register_host)(&settings.host, &record, lease), Duration::ZERO).await?;
    tracing::info!(lease, era, "host registered");
    Ok(RegistrationLease { id: lease, era })
}

async fn renew(
    host: &RelayHost,
    store: &StoreClient,
    lease: RegistrationLease,
) -> Result<Option<RegistrationLease>, StoreError> {
    let call = (host.wire.store.renew)(lease.id);
    match store.read_in_era(call, Duration::ZERO, |_| Ok(())).await {
        Ok(((), era)) if era == lease.era => Ok(Some(lease)),
        Ok(((), era)) => {
            tracing::info!(
                lease = lease.id,
                era,
                "host lease is of an earlier era of the store; registering again"
            );
            Ok(None)
        }
        Err(error) if error.has_status(StatusCode::NOT_FOUND) => {
            tracing::info!(lease = lease.id, "host lease expired; registering again");
            Ok(None)
        }
        Err(error) => Err(error),
    }
}
