//! Edits of the configuration by operators. They go through the platform's HTTP service, with its faults.

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

/// Longest time for one call of an operator to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What an operator does.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum OperatorCommand {
    /// Arguments of `vanillapick-ctl`, without `--platform`.
    Ctl(Vec<String>),
    /// Lists a shard map and its targets in a pool.
    ListShardMap {
        /// The pool.
        pool: PoolId,
        /// The shard map.
        id: ShardMapId,
        /// Its number of shards.
        shards: ShardIndex,
    },
    /// Removes a shard map and its targets from a pool.
    UnlistShardMap {
        /// The pool.
        pool: PoolId,
        /// The shard map.
        id: ShardMapId,
    },
}

impl OperatorCommand {
    /// Runs the command against the platform; the error is its message.
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
    let place = ["--platform".to_owned(), platform.to_string()];
    let arguments = words.iter().chain(&place).map(OsString::from).collect();
    let mut output = CommandOutput::default();
    match vanillapick_ctl::run(arguments, &mut output).await {
        ExitStatus::Done => Ok(()),
        _ => Err(output.errors),
    }
}
