//! Shared implementation of the commands that write: dry run, edit and report of the difference.

use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::TableFinding;
use vanillapick_platform::PlatformClient;
use vanillapick_platform::config_edit::edit_config;
use vanillapick_platform::config_edit::read_config;
use vanillapick_settings::check_table;

use crate::arguments::CommandArguments;
use crate::context::CommandContext;
use crate::difference::table_difference;
use crate::error::CommandError;
use crate::output::CommandOutput;
use crate::output::ExitStatus;

/// Platform client and mode of a command that writes.
pub(crate) struct WriteSession {
    client: PlatformClient,
    is_dry_run: bool,
}

impl WriteSession {
    /// Consumes `--platform`, `--timeout-ms` and `--dry-run`.
    pub(crate) fn new(arguments: &mut CommandArguments) -> Result<Self, CommandError> {
        let is_dry_run = arguments.flag("--dry-run");
        Ok(Self { client: arguments.platform()?, is_dry_run })
    }

    /// Applies the edit, or prints its difference with `--dry-run`.
    pub(crate) async fn write(
        &self,
        context: &CommandContext,
        output: &mut CommandOutput,
        mut apply: impl FnMut(&ConfigTable) -> Result<ConfigTable, Vec<TableFinding>>,
    ) -> Result<(), CommandError> {
        let place = format!("platform {}, edit {}", self.client.address(), context.edit_id);
        if self.is_dry_run {
            let stored = read_config(&self.client).await;
            let current =
                stored.map_err(|error| CommandError::from_platform_error(&error, place))?.table;
            let refused = |findings| CommandError::new(ExitStatus::Refused, findings);
            let edited = apply(&current).map_err(refused)?;
            check_edit(&current, &edited).map_err(refused)?;
            report_difference(&current, &edited, output);
            output.line(&format!("dry run at revision {}: nothing was written", current.revision));
            return Ok(());
        }

        let mut last = None;
        let edited = edit_config(&self.client, &context.edit_id, context.retry_policy, |current| {
            let edited = apply(current)?;
            check_edit(current, &edited)?;
            last = Some((current.clone(), edited.clone()));
            Ok(edited)
        });
        let stored = edited.await.map_err(|error| CommandError::from_edit_error(error, place))?;
        let changed =
            last.is_some_and(|(before, after)| report_difference(&before, &after, output));
        if changed {
            let ConfigTable { revision, .. } = stored;
            output.line(&format!("revision {revision} is written (edit {})", context.edit_id));
        }
        Ok(())
    }
}

/// Returns the findings that the edit introduces. Existing findings are ignored, because an invalid value written by
/// another program must not prevent an operator from taking a failure domain out of service.
fn check_edit(current: &ConfigTable, edited: &ConfigTable) -> Result<(), Vec<TableFinding>> {
    let mut findings = check_table(edited);
    if findings.is_empty() {
        return Ok(());
    }
    let known = check_table(current);
    findings.retain(|finding| !known.contains(finding));
    if findings.is_empty() { Ok(()) } else { Err(findings) }
}

/// Prints the changed rows; returns `false` if there are none.
fn report_difference(
    before: &ConfigTable,
    after: &ConfigTable,
    output: &mut CommandOutput,
) -> bool {
    let lines = table_difference(before, after);
    if lines.is_empty() {
        output.line(&format!("no row differs from revision {}", before.revision));
    }
    for line in &lines {
        output.line(line);
    }
    !lines.is_empty()
}
