//! Records the end of moves in the platform's service, whichever host reaches it first.

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

/// Time between two looks at the moves.
const ROUND: Duration = Duration::from_millis(500);

/// Rounds that each host waits for the hosts before it by rendezvous rank, so that not all write at once.
const ROUNDS_PER_RANK: usize = 4;

/// Hosts from this rank on wait alike; one of them is enough.
const LAST_RANK: usize = 8;

/// Runs until the host ends.
pub async fn record_moves(host: Arc<EntryHost>) {
    let mut waited: usize = 0;
    loop {
        tokio::time::sleep(ROUND).await;
        let ended = ended_moves(&host);
        // The store's watchers are two hosts a domain. If all hosts recorded, each would read the whole configuration at
        // the end of an outage.
        if ended.is_empty() || !host.peers.is_watcher() {
            waited = 0;
            continue;
        }
        waited += 1;
        for (move_id, progress) in ended {
            if waited <= rank(&host, &move_id) * ROUNDS_PER_RANK {
                continue;
            }
            if host.rule.pass(host.platform.address()).await {
                record(&host, &move_id, progress).await;
            }
        }
    }
}

/// Moves that have ended by the evidence and not yet in the configuration in force.
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
    order.iter().position(|id| *id == host.me.id).unwrap_or(LAST_RANK).min(LAST_RANK)
}

async fn record(host: &Arc<EntryHost>, move_id: &str, progress: MoveState) {
    // The same edit id on every host, so that a write whose reply was lost settles the tries of all.
    let edit_id = format!(
        "end-{move_id}-{}",
        if progress == MoveState::Done { "done" } else { "taken-back" }
    );
    let apply = |table: &vanillapick_model::table::ConfigTable| {
        // Without a change nothing is written.
        Ok(end_move(table, move_id, progress.clone()).unwrap_or_else(|| table.clone()))
    };
    let retry_policy = EditRetryPolicy { max_attempts: 2, ..EditRetryPolicy::default() };
    match edit_config(&host.platform, &edit_id, retry_policy, apply).await {
        Ok(table) => {
            tracing::info!(move_id, ?progress, "end of a move recorded");
            host.peers.take_store_config(host, table);
        }
        Err(EditError::Refused { findings }) => {
            tracing::warn!(move_id, ?findings, "end of a move not recorded");
        }
        Err(error) => tracing::debug!(move_id, %error, "end of a move not recorded yet"),
    }
}
