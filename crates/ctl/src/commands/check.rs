//! Implements `check FILE`.

use std::path::Path;

use vanillapick_settings::CheckedFile;
use vanillapick_settings::load_settings_or_tables;

use crate::arguments::CommandArguments;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::output::CommandOutput;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl check FILE [--plain]

Checks a file of entry settings or of tables and reports all findings. A file with the field \"routes\" or \"pools\"
is checked as a file of tables. The exit status is 2 if there are findings.

  --plain   print one line per finding, in the form file:line:column: problem; correction

example:
  vanillapick-ctl check tables-2.jsonc
";

pub(crate) fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let is_plain = arguments.flag("--plain");
    let file = arguments.positional("FILE")?;
    arguments.finish()?;

    let checked = load_settings_or_tables(Path::new(&file)).map_err(|report| {
        CommandError::from_report(if is_plain {
            format!("{report}\n")
        } else {
            report.render(context.color)
        })
    })?;
    match checked {
        CheckedFile::Settings(settings) => {
            let domain = &settings.domain;
            output.line(&format!("{file}: settings of {} in {domain}: no findings", settings.host));
        }
        CheckedFile::Tables(table) => {
            let (routes, pools) = (table.routes.len(), table.pools.len());
            output.line(&format!("{file}: {routes} routes, {pools} pools: no findings"));
        }
    }
    Ok(())
}
