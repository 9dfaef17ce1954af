//! Configuration edits by operators. They use the platform's HTTP service and so are subject to its simulated faults.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use vanillapick_ctl::CommandOutput;
use vanillapick_ctl::ExitStatus;
use vanillapick_model::pool::PoolId;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::ShardMapId;
use vanillapick_model::table::ConfigTable;
use vanillapick_platform::client::PlatformClient;
use vanillapick_platform::config_edit::EditRetryPolicy;
use vanillapick_platform::config_edit::edit_config;

use crate::experiment::topology::list_shard_map;
use crate::target_stand_in::TargetStandIn;

/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Command of an operator action in an experiment file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum OperatorCommand {
    /// Arguments of `vanillapick-ctl`, without `--platform`.
    Ctl(Vec<String>),
    /// Lists a shard map and its targets in a pool.
    ListShardMap {
        /// Nothing is listed if this pool does not exist.
        pool: PoolId,
        /// Its targets must have been started with the system.
        id: ShardMapId,
        /// Number of shards in the map.
        shards: ShardIndex,
    },
    /// Removes a shard map and its targets from a pool.
    UnlistShardMap {
        /// Nothing is removed if this pool does not exist.
        pool: PoolId,
        /// Its targets keep running.
        id: ShardMapId,
    },
}

impl OperatorCommand {
    /// Runs the command against the platform; returns the error message on failure.
    pub async fn run(&self, platform: SocketAddr, targets: &[TargetStandIn]) -> Result<(), String> {
        if let Self::Ctl(words) = self {
            return run_ctl(words, platform).await;
        }
        let client = PlatformClient::new(platform, CALL_TIMEOUT);
        let edit_id = format!("lab-{:016x}", rand::random::<u64>());
        let edit = |table: &ConfigTable| {
            let mut edited = table.clone();
            self.edit(&mut edited, targets);
            Ok(edited)
        };
        let edited = edit_config(&client, &edit_id, EditRetryPolicy::default(), edit).await;
        edited.map(|_| ()).map_err(|error| error.to_string())
    }

    fn edit(&self, table: &mut ConfigTable, targets: &[TargetStandIn]) {
        match self {
            Self::Ctl(_) => {}
            Self::ListShardMap { pool, id, shards } => {
                list_shard_map(table, pool, *id, *shards, targets);
            }
            Self::UnlistShardMap { pool, id } => {
                let Some(row) = table.pools.get_mut(pool) else { return };
                row.shard_maps.retain(|map| map.id != *id);
                row.targets.retain(|target| target.shard_map != *id);
            }
        }
    }
}

async fn run_ctl(words: &[String], platform: SocketAddr) -> Result<(), String> {
    let platform_arguments = ["--platform".to_owned(), platform.to_string()];
    let arguments = words.iter().chain(&platform_arguments).map(OsString::from).collect();
    let mut output = CommandOutput::default();
    match vanillapick_ctl::run(arguments, &mut output).await {
        ExitStatus::Done => Ok(()),
        _ => Err(output.errors),
    }
}
