//! Implements `pool remove NAME`.

use crate::arguments::CommandArguments;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::output::CommandOutput;
use crate::row_edit::RowConflictGuard;
use crate::row_edit::require_row;
use crate::write::WriteSession;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl pool remove NAME --platform IP:PORT [--dry-run]

Removes the pool. A pool that a route or a move refers to is not removed.

  --dry-run   show the difference by row and write nothing

example:
  vanillapick-ctl pool remove stock-2 --platform 127.0.0.1:7300 --dry-run
";

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let session = WriteSession::new(&mut arguments)?;
    let name = arguments.positional("NAME")?;
    arguments.finish()?;

    let mut guard = RowConflictGuard::new("pools", &name);
    session
        .write(context, output, |current| {
            guard.check(current.pools.get(&name), None)?;
            require_row("pools", &current.pools, &name)?;
            let mut edited = current.clone();
            edited.pools.remove(&name);
            Ok(edited)
        })
        .await
}
