//! Writes the end of moves to the configuration in the platform's store. Any watcher host may do so; the first
//! succeeds.

use std::sync::Arc;
use std::time::Duration;

use vanillapick_fleet::table_edit::end_move;
use vanillapick_model::hash::rendezvous_order;
use vanillapick_model::route::MoveState;
use vanillapick_platform::config_edit::EditError;
use vanillapick_platform::config_edit::EditRetryPolicy;
use vanillapick_platform::config_edit::edit_config;
use vanillapick_policy::version_move::MoveDecision;

use crate::entry_host::EntryHost;

/// Interval between checks for ended moves.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Checks for which a host waits per rendezvous rank, so that the hosts do not all write at once.
const CHECKS_PER_RANK: usize = 4;

/// Hosts of this or a higher rank wait equally long, because one of them is enough to record the end of a move.
const MAX_RANK: usize = 8;

/// Runs until the host stops: records each ended move after a wait that depends on the rank of this host.
pub async fn record_moves(host: Arc<EntryHost>) {
    let mut checks: usize = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let ended = ended_moves(&host);
        // Only the store's watchers, two hosts per domain, record moves. Otherwise every host would read the whole
        // configuration at the end of an outage.
        if ended.is_empty() || !host.peers.is_watcher() {
            checks = 0;
            continue;
        }
        checks += 1;
        for (move_id, progress) in ended {
            if checks <= rank(&host, &move_id) * CHECKS_PER_RANK {
                continue;
            }
            if host.rule.pass(host.platform.address()).await {
                record_end(&host, &move_id, progress).await;
            }
        }
    }
}

/// Moves that the evidence has ended but that the current configuration does not yet show as ended.
fn ended_moves(host: &EntryHost) -> Vec<(String, MoveState)> {
    let moves = host.moves.moves();
    let ends = moves.values().filter_map(|route_move| {
        let progress = match &route_move.status().decision {
            MoveDecision::Running => return None,
            MoveDecision::Done => MoveState::Done,
            MoveDecision::TakenBack(reason) => MoveState::TakenBack { reason: reason.clone() },
        };
        let is_recorded = match (&route_move.row().progress, &progress) {
            (MoveState::TakenBack { .. }, _) | (MoveState::Done, MoveState::Done) => true,
            (MoveState::Running | MoveState::Done, _) => false,
        };
        (!is_recorded).then(|| (route_move.row().id.clone(), progress))
    });
    ends.collect()
}

fn rank(host: &EntryHost, move_id: &str) -> usize {
    let live = host.peers.live_ids();
    let order = rendezvous_order(move_id, live.iter().map(String::as_str));
    order.iter().position(|id| *id == host.me.id).unwrap_or(MAX_RANK).min(MAX_RANK)
}

async fn record_end(host: &Arc<EntryHost>, move_id: &str, progress: MoveState) {
    // All hosts use the same edit id, so that one successful write, even one whose reply was lost, completes the edit
    // for all of them.
    let edit_id = format!(
        "end-{move_id}-{}",
        if progress == MoveState::Done { "done" } else { "taken-back" }
    );
    let apply = |table: &vanillapick_model::table::ConfigTable| {
        // An unchanged table is not written.
        Ok(end_move(table, move_id, progress.clone()).unwrap_or_else(|| table.clone()))
    };
    let retry_policy = EditRetryPolicy { max_attempts: 2, ..EditRetryPolicy::default() };
    match edit_config(&host.platform, &edit_id, retry_policy, apply).await {
        Ok(table) => {
            tracing::info!(move_id, ?progress, "recorded the end of a move");
            host.peers.take_store_config(host, table);
        }
        Err(EditError::Refused { findings }) => {
            tracing::warn!(
                move_id,
                ?findings,
                "the configuration with the end of a move failed its checks"
            );
        }
        Err(error) => {
            tracing::debug!(move_id, %error, "could not record the end of a move; retrying")
        }
    }
}
