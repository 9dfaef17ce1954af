//! Follows the configuration and the host list in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use vanillapick_fleet::table_edit::republished_table;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_model::table::ConfigTable;
use vanillapick_platform::client::StoredValue;
use vanillapick_platform::client::WatchEvent;

use crate::entry_host::EntryHost;

/// Timeout of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which a host that does not watch checks whether it has become a watcher.
const WATCHER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between reads of the host list. With 480 hosts this is 96 of the roughly 2000 reads per second that the
/// platform serves.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between reads of the host list until the first one succeeds.
const INITIAL_HOST_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Runs until the host stops: watches the configuration while this host is one of its domain's watchers or has no
/// configuration yet.
pub async fn follow_config(host: Arc<EntryHost>) {
    // Revision of the value in the store and its era. It grows with every write, unlike the revision of the table.
    let (mut seen_revision, mut seen_era) = (0, 0);
    loop {
        if host.lifecycle.is_configured() && !host.peers.is_watcher() {
            // A later watch starts with the value that is current then.
            seen_revision = 0;
            tokio::time::sleep(WATCHER_POLL_INTERVAL).await;
            continue;
        }
        if !host.rule.pass(host.platform.address()).await {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let watch = host.platform.watch(CONFIG_KEY, seen_era, seen_revision, WATCH_TIMEOUT);
        let event = tokio::select! {
            event = watch => event,
            () = host.rule.cut(host.platform.address()) => continue,
        };
        match event {
            Ok(WatchEvent::Changed(stored)) => {
                (seen_revision, seen_era) = (stored.revision, stored.era);
                apply_stored_config(&host, &stored).await;
            }
            Ok(WatchEvent::Restored) => {
                tracing::warn!(seen_revision, seen_era, "the store was restored from a copy");
                seen_revision = 0;
            }
            Ok(WatchEvent::Unchanged) => {}
            Ok(WatchEvent::Absent) => tokio::time::sleep(RETRY_DELAY).await,
            Err(cause) => {
                tracing::debug!(%cause, "configuration watch failed");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn apply_stored_config(host: &Arc<EntryHost>, stored: &StoredValue) {
    match serde_json::from_slice::<ConfigTable>(&stored.value) {
        Ok(table) => {
            republish(host, stored, &table).await;
            host.peers.take_store_config(host, table);
        }
        Err(error) => {
            tracing::error!(%error, "cannot parse the configuration in the store; keeping the current one")
        }
    }
}

/// Writes the configuration again if the store is behind the one in force, as after a restore from a copy. Other watchers do
/// the same, and the first succeeds.
async fn republish(host: &Arc<EntryHost>, stored: &StoredValue, table: &ConfigTable) {
    let Some(active) = host.peers.config() else { return };
    let Some(republished) = republished_table(table, &active) else { return };
    let (behind, revision) = (table.revision, republished.revision);
    let value = match serde_json::to_vec(&republished) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(%error, "encoding the configuration failed");
            return;
        }
    };
    // A conflict means that the value has changed; the next watch returns it.
    match host.platform.put(CONFIG_KEY, value, stored.revision, None).await {
        Ok(_) => {
            tracing::warn!(behind, revision, "the store was behind; configuration written again")
        }
        Err(cause) => tracing::info!(%cause, "the configuration was not written again"),
    }
}

/// Runs until the host stops: reads the host list periodically. The list lags behind the running hosts.
pub async fn follow_host_list(host: Arc<EntryHost>) {
    let mut interval = INITIAL_HOST_LIST_INTERVAL;
    loop {
        if host.rule.pass(host.platform.address()).await {
            match host.platform.hosts().await {
                Ok(list) => {
                    interval = HOST_LIST_INTERVAL;
                    host.peers.take_host_list(&host, list);
                }
                Err(cause) => tracing::debug!(%cause, "could not read the host list"),
            }
        }
        tokio::time::sleep(interval).await;
    }
}
