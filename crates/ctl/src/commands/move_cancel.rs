//! Implements `move cancel ROUTE`.

use vanillapick_model::route::MoveState;

use crate::arguments::CommandArguments;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::error::finding;
use crate::output::CommandOutput;
use crate::row_edit::RowConflictGuard;
use crate::row_edit::require_row;
use crate::write::WriteSession;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl move cancel ROUTE --platform IP:PORT [--dry-run]

Rolls back the running move of a route: all traffic of the route returns to the old pool.

  --dry-run   show the difference by row and write nothing

example:
  vanillapick-ctl move cancel stock-check --platform 127.0.0.1:7300
";

/// Reason recorded in the row.
const REASON: &str = "cancelled by the operator";

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let session = WriteSession::new(&mut arguments)?;
    let name = arguments.positional("ROUTE")?;
    arguments.finish()?;

    let mut guard = RowConflictGuard::new("routes", &name);
    session
        .write(context, output, |current| {
            let stored = require_row("routes", &current.routes, &name)?;
            let mut row = stored.clone();
            let running =
                row.version_move.as_mut().filter(|row| row.progress == MoveState::Running);
            let Some(running) = running else {
                let label = format!("no move of {name} is running");
                let help = "`vanillapick-ctl move status` shows all moves";
                return Err(vec![finding(format!("routes.{name}.move"), label, help)]);
            };
            running.progress = MoveState::TakenBack { reason: REASON.to_owned() };
            guard.check(Some(stored), Some(&row))?;
            let mut edited = current.clone();
            edited.routes.insert(name.clone(), row);
            Ok(edited)
        })
        .await
}
