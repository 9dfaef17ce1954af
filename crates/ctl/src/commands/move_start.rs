//! Implements `move start ROUTE`.

use vanillapick_model::route::MoveRow;
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
usage: vanillapick-ctl move start ROUTE --to POOL --finish-in SECONDS --platform IP:PORT [--dry-run]

Starts a move of the route's traffic to another pool, in steps that end before the given time. The hosts roll the move
back if the new pool fails or is slow. If the previous move of the route is done, the new move starts from the
pool that received its traffic.

  --to POOL             pool that receives the traffic
  --finish-in SECONDS   time until the new pool receives all traffic
  --dry-run             show the difference by row and write nothing

example:
  vanillapick-ctl move start stock-check --to stock-2 --finish-in 1800 --platform 127.0.0.1:7300
";

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let session = WriteSession::new(&mut arguments)?;
    let pool: String = arguments.required("--to", "--to POOL")?;
    let seconds: u32 = arguments.required("--finish-in", "--finish-in SECONDS")?;
    let name = arguments.positional("ROUTE")?;
    arguments.finish()?;

    let start_ms = context.now_ms();
    let version_move = MoveRow {
        id: format!("move-{}", context.edit_id),
        to: pool,
        start_ms,
        finish_by_ms: start_ms + u64::from(seconds) * 1_000,
        progress: MoveState::Running,
    };
    let mut guard = RowConflictGuard::new("routes", &name);
    session
        .write(context, output, |current| {
            let stored = require_row("routes", &current.routes, &name)?;
            let mut row = stored.clone();
            if let Some(earlier) = &row.version_move {
                match earlier.progress {
                    MoveState::Running => {
                        let label = format!("the move {} to {} is running", earlier.id, earlier.to);
                        let help = "wait until it has finished, or cancel it with `move cancel`";
                        return Err(vec![finding(format!("routes.{name}.move"), label, help)]);
                    }
                    MoveState::Done => row.pool = earlier.to.clone(),
                    MoveState::TakenBack { .. } => {}
                }
            }
            row.version_move = Some(version_move.clone());
            guard.check(Some(stored), Some(&row))?;
            let mut edited = current.clone();
            edited.routes.insert(name.clone(), row);
            Ok(edited)
        })
        .await
}
