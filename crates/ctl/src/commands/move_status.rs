//! Implements `move status [ROUTE]`.

use vanillapick_model::route::MoveRow;
use vanillapick_model::route::MoveState;
use vanillapick_platform::config_edit::read_config;

use crate::arguments::CommandArguments;
use crate::columns::align_columns;
use crate::columns::relative_time;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::hosts::HostResponse;
use crate::hosts::MoveView;
use crate::hosts::query_hosts;
use crate::output::CommandOutput;
use crate::output::ExitStatus;
use crate::row_edit::require_row;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl move status [ROUTE] --platform IP:PORT

Shows the moves in the routes table, with the share, the evidence and the state of each move on every host.

example:
  vanillapick-ctl move status stock-check --platform 127.0.0.1:7300
";

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let client = arguments.platform()?;
    let name = arguments.optional_positional()?;
    arguments.finish()?;

    let stored = read_config(&client).await;
    let place = format!("platform {}", client.address());
    let table = stored.map_err(|error| CommandError::from_platform_error(&error, place))?.table;
    if let Some(name) = &name {
        require_row("routes", &table.routes, name)
            .map_err(|findings| CommandError::new(ExitStatus::InvalidInput, findings))?;
    }
    let routes = table.routes.values();
    let wanted = routes.filter(|row| name.as_ref().is_none_or(|name| *name == row.name));
    let moves: Vec<_> = wanted.filter_map(|row| Some((row, row.version_move.as_ref()?))).collect();
    if moves.is_empty() {
        output.line("no moves");
        return Ok(());
    }
    let responses = query_hosts(&client).await?;
    for (row, version_move) in moves {
        let text = move_progress_text(version_move, context.now_ms());
        output.line(&format!("{}: {} from {} {text}", row.name, version_move.id, row.pool));
        output.text.push_str(&host_lines(&responses, &row.name, &version_move.id));
    }
    Ok(())
}

/// Formats the destination pool, times and progress of a move.
pub(crate) fn move_progress_text(row: &MoveRow, now_ms: u64) -> String {
    let progress = match &row.progress {
        MoveState::Running => {
            let start = relative_time(row.start_ms, now_ms);
            let finish = relative_time(row.finish_by_ms, now_ms);
            format!("running, started {start}, finishes {finish}")
        }
        MoveState::Done => "done".to_owned(),
        MoveState::TakenBack { reason } => format!("taken back: {reason}"),
    };
    format!("to {}: {progress}", row.to)
}

/// Formats the state of one move, with one line per host.
fn host_lines(responses: &[HostResponse], route: &str, move_id: &str) -> String {
    let lines: Vec<_> = responses
        .iter()
        .map(|response| {
            let host = format!("  {}", response.entry.id);
            let Some(status) = &response.status else {
                let error = response.error.as_deref().unwrap_or_default();
                return vec![host, format!("no answer: {error}")];
            };
            let mut views = status.moves.iter();
            match views.find(|view| view.route == route && view.move_id == move_id) {
                None => vec![host, "does not know the move yet".to_owned()],
                Some(view) => vec![host, share_text(view), move_state_text(view)],
            }
        })
        .collect();
    align_columns(&lines)
}

/// Formats the share of the new pool as a percentage.
pub(crate) fn share_text(view: &MoveView) -> String {
    // Two decimals are enough for the first step of 1% and hide rounding errors of the fraction.
    format!("share {}%", (view.share * 10_000.0).round() / 100.0)
}

/// Formats the state, reason and evidence of a move at one host.
pub(crate) fn move_state_text(view: &MoveView) -> String {
    let mut text = view.state.replace('_', " ");
    if let Some(reason) = &view.reason {
        text.push_str(&format!(": {reason}"));
    }
    match &view.evidence {
        serde_json::Value::Null => {}
        serde_json::Value::String(evidence) => text.push_str(&format!("; evidence {evidence}")),
        evidence => text.push_str(&format!("; evidence {evidence}")),
    }
    text
}
