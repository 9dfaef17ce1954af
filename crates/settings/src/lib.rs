//! Parses and validates settings and tables in JSON with comments, and reports all findings with their locations.

pub mod entry_settings;
pub mod finding;
pub mod load;
pub mod loaded_settings;
pub mod relay_settings;
pub mod table_file;
mod duration_unit;
mod schema;
mod entry_schema;
mod relay_check;
mod relay_schema;
mod table_schema;
mod validate;
mod scalar;
mod entry_check;

pub use entry_settings::EntrySettings;
pub use finding::FindingReport;
pub use finding::SourceFinding;
pub use load::CheckedFile;
pub use load::check_table;
pub use load::load_config_table;
pub use load::load_entry_settings;
pub use load::load_relay_settings;
pub use load::load_settings_or_tables;
pub use load::load_table_file;
pub use load::parse_config_table;
pub use load::parse_entry_settings;
pub use load::parse_relay_settings;
pub use load::parse_table_file;
pub use loaded_settings::LoadedSettings;
pub use relay_settings::RelaySettings;
pub use table_file::TableBase;
pub use table_file::TableFile;
