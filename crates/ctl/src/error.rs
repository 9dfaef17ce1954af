//! Errors of commands. Each error has a label, a place and a help line.

use vanillapick_model::table::TableFinding;
use vanillapick_platform::PlatformError;
use vanillapick_platform::config_edit::EditError;

use crate::output::ExitStatus;

/// Reason why a command failed, with the exit status of the process.
#[derive(Clone, Debug)]
pub(crate) struct CommandError {
    pub(crate) status: ExitStatus,
    /// Empty only if `report` is set.
    findings: Vec<TableFinding>,
    /// A report rendered by `vanillapick_settings`.
    report: String,
}

impl CommandError {
    pub(crate) fn new(status: ExitStatus, findings: Vec<TableFinding>) -> Self {
        Self { status, findings, report: String::new() }
    }

    pub(crate) fn invalid_input(
        label: impl Into<String>,
        place: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        Self::new(ExitStatus::InvalidInput, vec![finding(place, label, help)])
    }

    pub(crate) fn refused(
        label: impl Into<String>,
        place: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        Self::new(ExitStatus::Refused, vec![finding(place, label, help)])
    }

    /// Creates an error from the rendered report on a file.
    pub(crate) fn from_report(report: String) -> Self {
        Self { status: ExitStatus::InvalidInput, findings: Vec::new(), report }
    }

    pub(crate) fn from_platform_error(error: &PlatformError, place: impl Into<String>) -> Self {
        let help = "check --platform and whether the platform is running, then repeat the command";
        Self::new(ExitStatus::Unreachable, vec![finding(place, error.to_string(), help)])
    }

    pub(crate) fn from_edit_error(error: EditError, place: impl Into<String>) -> Self {
        let label = error.to_string();
        match error {
            EditError::Refused { findings } => Self::new(ExitStatus::Refused, findings),
            EditError::Contended { .. } => Self::new(
                ExitStatus::Refused,
                vec![finding(place, label, "nothing was written; repeat the command")],
            ),
            EditError::NotWritten { .. } => Self::new(
                ExitStatus::Unreachable,
                vec![finding(
                    place,
                    label,
                    "check --platform and whether the platform is running, then repeat the command",
                )],
            ),
            EditError::OutcomeUnknown { .. } => Self::new(
                ExitStatus::Unreachable,
                vec![finding(
                    place,
                    label,
                    "check with `vanillapick-ctl show --json` whether the edit id is listed before repeating the command",
                )],
            ),
        }
    }

    pub(crate) fn render(&self) -> String {
        let mut text = self.report.clone();
        for TableFinding { place, label, help } in &self.findings {
            text.push_str(&format!("error: {label}\n  place: {place}\n  help: {help}\n"));
        }
        text
    }
}

pub(crate) fn finding(
    place: impl Into<String>,
    label: impl Into<String>,
    help: impl Into<String>,
) -> TableFinding {
    TableFinding { place: place.into(), label: label.into(), help: help.into() }
}
