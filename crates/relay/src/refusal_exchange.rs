//! Tells other hosts through the store which targets have refused connections. A host that starts, or has sent nothing to such a
//! target, would give it the usual load as soon as it is back, before its registration says that it is cold.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use vanillapick_dispatch::target_record::TargetId;
use vanillapick_dispatch::target_state::SHARED_REFUSAL_TIME;
use vanillapick_dispatch::target_state::TargetState;

use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;
use crate::shared_write::shared_write_delay;
use crate::shared_write::sleep_if;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;

/// Bounds of the longest delay of a write. A process takes longer than the latter to end and start again.
const WRITE_DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));

/// Time in which refusals are collected before the host looks for those that the store lacks. When a failure domain is lost, many
/// attempts fail at once.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Delay of the next write after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of targets in one write. A transaction of the store has at most 32 entries.
const MAX_WRITTEN_TARGETS: usize = 30;

/// Writes refusals of targets that have a cold allowance to the store until the process ends.
pub(crate) async fn share_refusals(host: Arc<RelayHost>, store: StoreClient) {
    let mut due: HashMap<TargetId, Duration> = HashMap::new();
    loop {
        let next = due.values().min().map(|due| due.saturating_sub(host.now()));
        tokio::select! {
            () = host.target_unreachable.notified() => tokio::time::sleep(COLLECT_TIME).await,
            () = sleep_if(next) => {}
        }
        let Some(view) = host.view() else { continue };
        let now = host.now();
        let unshared = unshared_targets(&view, now);
        due.retain(|id, _| unshared.iter().any(|target| target.record.id == *id));
        for target in &unshared {
            let hosts = view.serving.host_count;
            let delay = || shared_write_delay(hosts, WRITE_DELAY_BOUNDS, &mut host.rng());
            due.entry(Arc::clone(&target.record.id)).or_insert_with(|| now + delay());
        }
        let is_due =
            |target: &&Arc<TargetState>| due.get(&target.record.id).is_some_and(|due| *due <= now);
        let targets: Vec<&Arc<TargetState>> =
            unshared.iter().filter(is_due).take(MAX_WRITTEN_TARGETS).collect();
        if targets.is_empty() {
            continue;
        }
        match write_refusals(&host, &store, &targets).await {
            Ok(()) => targets.iter().for_each(|target| target.record_shared_refusal(now)),
            Err(error) => {
                metrics::counter!("vanillapick_refusal_write_failures_total").increment(1);
                tracing::info!(fault = %error, "writing refused connections failed; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Targets with a cold allowance whose refusals the store lacks.
fn unshared_targets(view: &RelayView, now: Duration) -> Vec<Arc<TargetState>> {
    let pools = view.serving.pools.values();
    let limited = pools.filter(|pool| 0.0 < pool.contract.cold_requests_per_s);
    let targets = limited.flat_map(|pool| &pool.targets);
    targets.filter(|target| target.has_unshared_refusal(now)).cloned().collect()
}

async fn write_refusals(
    host: &RelayHost,
    store: &StoreClient,
    targets: &[&Arc<TargetState>],
) -> Result<(), StoreError> {
    let wire = host.wire.store;
    let call = (wire.lease)(SHARED_REFUSAL_TIME);
    let lease = store.read(call, Duration::ZERO, wire.read_lease).await?;
    let refused: Vec<(&TargetId, u64)> =
        targets.iter().map(|target| (&target.record.id, target.record.started_ms)).collect();
    store.send((wire.put_refusals)(&refused, lease), Duration::ZERO).await?;
    metrics::counter!("vanillapick_refusal_writes_total").increment(1);
    tracing::info!(targets = targets.len(), "refused connections recorded");
    Ok(())
}
