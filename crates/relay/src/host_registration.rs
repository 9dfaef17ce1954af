//! Registers this host in the store under a lease, so that hosts know how many share the limits of targets.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use vanillapick_dispatch::host_record::HostRecord;

use crate::relay_host::RelayHost;
use crate::store_client::StoreClient;
use crate::store_client::StoreFault;
use crate::wire::LeaseNumber;

/// Length of the lease. It outlasts short outages of the store, so that the count of hosts does not change by them.
const LEASE_TIME: Duration = Duration::from_secs(40);

/// Time between two renewals.
const RENEWAL_PERIOD: Duration = Duration::from_secs(15);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the host registered until the process ends.
pub(crate) async fn keep_registered(host: Arc<RelayHost>, store: StoreClient) {
    let mut lease = None;
    loop {
        let step = match lease {
            None => register(&host, &store).await.map(Some),
            Some(number) => renew(&host, &store, number).await,
        };
        let pause = match step {
            Ok(renewed) => {
                lease = renewed;
                if lease.is_some() { RENEWAL_PERIOD } else { Duration::ZERO }
            }
            Err(fault) => {
                tracing::debug!(%fault, "host registration failed");
                RETRY_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

async fn register(host: &RelayHost, store: &StoreClient) -> Result<LeaseNumber, StoreFault> {
    let wire = host.wire.store;
    let lease = store.read((wire.lease)(LEASE_TIME), Duration::ZERO, wire.read_lease).await?;
    let settings = &host.settings;
    let record =
        HostRecord { domain: Some(settings.domain.as_str().into()), peer_address: settings.peers };
    store.send((wire.register_host)(&settings.host, &record, lease), Duration::ZERO).await?;
    tracing::info!(lease, "host registered");
    Ok(lease)
}

async fn renew(
    host: &RelayHost,
    store: &StoreClient,
    lease: LeaseNumber,
) -> Result<Option<LeaseNumber>, StoreFault> {
    match store.send((host.wire.store.renew)(lease), Duration::ZERO).await {
        Ok(_) => Ok(Some(lease)),
        Err(fault) if fault.has_status(StatusCode::NOT_FOUND) => {
            tracing::info!(lease, "lease of the host has ended, registering again");
            Ok(None)
        }
        Err(fault) => Err(fault),
    }
}
