//! Loads files into typed settings and tables.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use miette::NamedSource;
use serde::de::DeserializeOwned;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::TableFinding;

use crate::entry_check::check_entry_settings;
use crate::entry_schema::ENTRY_SETTINGS;
use crate::entry_settings::EntrySettings;
use crate::finding::FindingReport;
use crate::finding::SourceFinding;
use crate::loaded_settings::LoadedSettings;
use crate::relay_check::check_relay_settings;
use crate::relay_schema::RELAY_SETTINGS;
use crate::relay_settings::RelaySettings;
use crate::schema::ValueSchema;
use crate::table_file::TableFile;
use crate::table_schema::CONFIG_TABLE;
use crate::validate::FileValidation;
use crate::validate::looks_like_tables;

/// Loads the settings of an entry host; the error contains all findings.
pub fn load_entry_settings(path: &Path) -> Result<EntrySettings, FindingReport> {
    parse_entry_settings(&path.display().to_string(), &read_file(path)?)
}

/// Parses the settings of an entry host from `text`; `name` is the file name shown in findings.
pub fn parse_entry_settings(name: &str, text: &str) -> Result<EntrySettings, FindingReport> {
    parse_and_check(name, text, &ENTRY_SETTINGS, check_entry_settings)
}

/// Loads the settings of a relay; the error contains all findings.
pub fn load_relay_settings(path: &Path) -> Result<LoadedSettings<RelaySettings>, FindingReport> {
    parse_relay_settings(&path.display().to_string(), &read_file(path)?)
}

/// Parses the settings of a relay from `text`; `name` is the file name shown in findings.
pub fn parse_relay_settings(
    name: &str,
    text: &str,
) -> Result<LoadedSettings<RelaySettings>, FindingReport> {
    parse_with_replacements(name, text, &RELAY_SETTINGS, check_relay_settings)
}

/// Loads both tables; the error contains all findings, including those of [`ConfigTable::check`].
pub fn load_config_table(path: &Path) -> Result<ConfigTable, FindingReport> {
    parse_config_table(&path.display().to_string(), &read_file(path)?)
}

/// Parses both tables from `text` of the form `{ "routes": {...}, "pools": {...} }`. The optional fields `revision`
/// and `edits` default to 0 and an empty list. `name` is the file name shown in findings.
pub fn parse_config_table(name: &str, text: &str) -> Result<ConfigTable, FindingReport> {
    parse_and_check(name, text, &CONFIG_TABLE, ConfigTable::check)
}

/// Loads a table file together with the row fingerprints that it is based on, see [`TableFile`].
pub fn load_table_file(path: &Path) -> Result<TableFile, FindingReport> {
    parse_table_file(&path.display().to_string(), &read_file(path)?)
}

/// Parses a table file from `text`; `name` is the file name shown in findings.
pub fn parse_table_file(name: &str, text: &str) -> Result<TableFile, FindingReport> {
    parse_and_check(name, text, &CONFIG_TABLE, |file: &TableFile| file.table.check())
}

/// Validates tables that were built in memory. Reports the findings of [`ConfigTable::check`] and values that a table
/// file cannot contain, such as a row name with a space.
pub fn check_table(table: &ConfigTable) -> Vec<TableFinding> {
    let text = serde_json::to_string(table).expect("tables have only string keys");
    let Err(report) = parse_config_table("", &text) else { return Vec::new() };
    let findings = report.findings().iter().map(|finding| TableFinding {
        place: finding.place.clone(),
        label: finding.label.clone(),
        help: finding.help.clone(),
    });
    findings.collect()
}

/// A valid file of settings or tables.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedFile {
    /// Settings of an entry host.
    Settings(Box<EntrySettings>),
    /// The routes and pools tables.
    Tables(ConfigTable),
}

/// Loads a file of settings or tables; a file with the field `routes` or `pools` is treated as a table file.
pub fn load_settings_or_tables(path: &Path) -> Result<CheckedFile, FindingReport> {
    let name = path.display().to_string();
    let text = read_file(path)?;
    if looks_like_tables(&text) {
        return parse_config_table(&name, &text).map(CheckedFile::Tables);
    }
    parse_entry_settings(&name, &text).map(|settings| CheckedFile::Settings(Box::new(settings)))
}

fn read_file(path: &Path) -> Result<String, FindingReport> {
    fs::read_to_string(path).map_err(|error| {
        let source = Arc::new(NamedSource::new(path.display().to_string(), String::new()));
        let label = format!("the file cannot be read: {error}");
        let help = "specify a readable file in UTF-8".to_owned();
        FindingReport::new(vec![SourceFinding::new(&source, "", 0..0, label, help)])
    })
}

fn parse_and_check<T: DeserializeOwned>(
    name: &str,
    text: &str,
    schema: &'static ValueSchema,
    check: fn(&T) -> Vec<TableFinding>,
) -> Result<T, FindingReport> {
    parse_with_replacements(name, text, schema, check).map(|loaded| loaded.settings)
}

fn parse_with_replacements<T: DeserializeOwned>(
    name: &str,
    text: &str,
    schema: &'static ValueSchema,
    check: fn(&T) -> Vec<TableFinding>,
) -> Result<LoadedSettings<T>, FindingReport> {
    let mut validation = FileValidation::new(name, text);
    let Some(value) = validation.validate(schema) else {
        return Err(FindingReport::new(validation.into_findings()));
    };
    let typed = serde_json::from_value::<T>(value);
    match &typed {
        Ok(typed) => {
            for finding in check(typed) {
                validation.add_check_finding(finding);
            }
        }
        Err(error) => validation.add_check_finding(TableFinding {
            place: String::new(),
            label: error.to_string(),
            help: "see docs/operators/settings.md for the expected format".to_owned(),
        }),
    }
    let replaced = validation.take_replaced();
    let findings = validation.into_findings();
    match typed {
        Ok(settings) if findings.is_empty() => Ok(LoadedSettings { settings, replaced }),
        _ => Err(FindingReport::new(findings)),
    }
}
