//! The command line for operators, as a library so that other programs can run commands in-process.

pub mod context;
pub mod output;
mod arguments;
mod error;
mod columns;
mod difference;
mod row_edit;
mod write;
mod hosts;
mod commands;

use std::ffi::OsString;

use crate::arguments::CommandArguments;
use crate::commands::COMMANDS;
use crate::commands::CommandEntry;
pub use crate::context::CommandContext;
use crate::error::CommandError;
pub use crate::output::CommandOutput;
pub use crate::output::ExitStatus;

const OVERVIEW: &str = "\
vanillapick-ctl reads and edits the routes and pools tables and shows their state on the hosts.

usage: vanillapick-ctl COMMAND [ARGUMENTS]
       vanillapick-ctl COMMAND --help
       vanillapick-ctl --version

commands:
";

const EXIT_STATUS_HELP: &str = "
exit status: 0 done, 1 refused or conflict, 2 invalid input, 3 platform unreachable or outcome unknown
";

/// Runs one command at the current time. `arguments` does not include the program name.
pub async fn run(arguments: Vec<OsString>, output: &mut CommandOutput) -> ExitStatus {
    run_with_context(&CommandContext::current(), arguments, output).await
}

/// Runs one command with the time, edit id and retry policy of `context`.
pub async fn run_with_context(
    context: &CommandContext,
    arguments: Vec<OsString>,
    output: &mut CommandOutput,
) -> ExitStatus {
    match dispatch(context, arguments, output).await {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            output.errors.push_str(&error.render());
            error.status
        }
    }
}

async fn dispatch(
    context: &CommandContext,
    arguments: Vec<OsString>,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let mut arguments = CommandArguments::new(arguments);
    let wants_help = arguments.flag("--help") || arguments.flag("-h");
    if arguments.flag("--version") {
        output.line(concat!("vanillapick-ctl ", env!("CARGO_PKG_VERSION")));
        return Ok(());
    }
    let name = arguments.command_name(commands::is_group)?;
    if name.is_empty() && wants_help {
        output.text.push_str(&overview());
        return Ok(());
    }
    let Some(entry) = COMMANDS.iter().find(|entry| entry.name == name) else {
        return Err(unknown_command(&name));
    };
    if wants_help {
        output.line(entry.help.trim_end());
        return Ok(());
    }
    arguments.set_command(entry.name);
    commands::execute(entry, context, arguments, output).await
}

fn overview() -> String {
    let width = COMMANDS.iter().map(|entry| entry.name.len()).max().unwrap_or(0);
    let mut text = OVERVIEW.to_owned();
    for CommandEntry { name, summary, .. } in COMMANDS {
        text.push_str(&format!("  {name:width$}  {summary}\n"));
    }
    text.push_str(EXIT_STATUS_HELP);
    text
}

fn unknown_command(name: &str) -> CommandError {
    let group = name.split(' ').next().unwrap_or_default();
    let names = COMMANDS.iter().map(|entry| entry.name);
    let group_commands: Vec<_> =
        names.filter(|name| name.split(' ').next() == Some(group)).collect();
    let help = if group_commands.is_empty() || group.is_empty() {
        "vanillapick-ctl --help lists the commands".to_owned()
    } else {
        format!("write one of: {}", group_commands.join(", "))
    };
    let label = if name.is_empty() {
        "no command is given".to_owned()
    } else {
        format!("no command is named {name:?}")
    };
    CommandError::invalid_input(label, "arguments", help)
}
