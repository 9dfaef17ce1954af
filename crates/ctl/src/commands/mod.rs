//! The commands, each in its own module.

mod check;
mod show;
mod edit;
mod route_set;
mod route_remove;
mod pool_set;
mod pool_remove;
mod domain_out;
mod domain_return;
mod move_start;
mod move_status;
mod move_cancel;
mod status;
mod explain;

use crate::arguments::CommandArguments;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::output::CommandOutput;

/// Name and help texts of a command.
pub(crate) struct CommandEntry {
    /// One word, or a group and a word.
    pub(crate) name: &'static str,
    /// One-line description in the overview.
    pub(crate) summary: &'static str,
    /// Usage, description and an example.
    pub(crate) help: &'static str,
}

/// All commands, in the order in which the overview lists them.
pub(crate) const COMMANDS: &[CommandEntry] = &[
    CommandEntry {
        name: "check",
        summary: "check a file of settings or tables",
        help: check::HELP,
    },
    CommandEntry { name: "show", summary: "show the tables", help: show::HELP },
    CommandEntry { name: "edit", summary: "replace both tables from a file", help: edit::HELP },
    CommandEntry { name: "route set", summary: "add or change a route", help: route_set::HELP },
    CommandEntry { name: "route remove", summary: "remove a route", help: route_remove::HELP },
    CommandEntry { name: "pool set", summary: "add or change a pool", help: pool_set::HELP },
    CommandEntry { name: "pool remove", summary: "remove a pool", help: pool_remove::HELP },
    CommandEntry {
        name: "domain out",
        summary: "take a failure domain out of service",
        help: domain_out::HELP,
    },
    CommandEntry {
        name: "domain return",
        summary: "return a failure domain to service",
        help: domain_return::HELP,
    },
    CommandEntry {
        name: "move start",
        summary: "move a route's traffic to another pool",
        help: move_start::HELP,
    },
    CommandEntry {
        name: "move status",
        summary: "show the progress of moves",
        help: move_status::HELP,
    },
    CommandEntry {
        name: "move cancel",
        summary: "roll back a running move",
        help: move_cancel::HELP,
    },
    CommandEntry { name: "status", summary: "show the status of all hosts", help: status::HELP },
    CommandEntry {
        name: "explain",
        summary: "show the log lines of a request",
        help: explain::HELP,
    },
];

/// Whether the names of commands that start with `word` consist of two words.
pub(crate) fn is_group(word: &str) -> bool {
    matches!(word, "route" | "pool" | "domain" | "move")
}

/// Runs the command with the arguments that follow its name.
pub(crate) async fn execute(
    entry: &CommandEntry,
    context: &CommandContext,
    arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    match entry.name {
        "check" => check::run(context, arguments, output),
        "show" => show::run(context, arguments, output).await,
        "edit" => edit::run(context, arguments, output).await,
        "route set" => route_set::run(context, arguments, output).await,
        "route remove" => route_remove::run(context, arguments, output).await,
        "pool set" => pool_set::run(context, arguments, output).await,
        "pool remove" => pool_remove::run(context, arguments, output).await,
        "domain out" => domain_out::run(context, arguments, output).await,
        "domain return" => domain_return::run(context, arguments, output).await,
        "move start" => move_start::run(context, arguments, output).await,
        "move status" => move_status::run(context, arguments, output).await,
        "move cancel" => move_cancel::run(context, arguments, output).await,
        "explain" => explain::run(arguments, output),
        _ => status::run(context, arguments, output).await,
    }
}
