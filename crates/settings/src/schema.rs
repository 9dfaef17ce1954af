//! Schemas of file contents, expressed as data so that a single traversal can report every error.

use std::time::Duration;

use crate::duration_unit::DurationUnit;

/// Maximum length, in characters, of the name of a row, host, target or failure domain.
const MAX_NAME_LENGTH: usize = 64;

/// Type and range that a value in a file must have.
#[derive(Debug)]
pub(crate) enum ValueSchema {
    /// A string of 1 to 64 letters, digits, `-`, `_` and `.`. Names appear in URLs and in the places of findings.
    Name,
    /// Any string.
    Text,
    /// An integer from `min` to `max`, inclusive.
    Integer { min: u64, max: u64 },
    /// A number from 0 to 1.
    Fraction,
    /// A number greater than or equal to 0.
    NonNegative,
    /// A duration from `min` to `max`, inclusive, as a whole or fractional number of `unit`.
    Duration { unit: DurationUnit, min: Duration, max: Duration },
    /// `true` or `false`.
    Boolean,
    /// IP address and port. Port 0 is allowed only where the operating system may choose the port.
    Address { allows_port_zero: bool },
    /// One of the given strings.
    Choice(&'static [&'static str]),
    /// A list whose elements share a schema.
    List(&'static ValueSchema),
    /// An object with arbitrary names as keys, whose values share a schema.
    Map(&'static ValueSchema),
    /// An object with a fixed set of fields.
    Record(&'static [FieldSchema]),
    /// An object whose set of fields depends on the value of its field `state`.
    Tagged(&'static [(&'static str, &'static [FieldSchema])]),
}

/// One field of a record.
#[derive(Debug)]
pub(crate) struct FieldSchema {
    pub(crate) name: &'static str,
    pub(crate) presence: FieldPresence,
    pub(crate) schema: ValueSchema,
}

/// How a missing field is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FieldPresence {
    /// Reported as a finding.
    Required,
    /// The deserializer supplies the default of the Rust type.
    Optional,
    /// The smallest valid value is inserted, because the Rust type has no default for the field.
    DefaultsToMin,
}

pub(crate) const fn required(name: &'static str, schema: ValueSchema) -> FieldSchema {
    FieldSchema { name, presence: FieldPresence::Required, schema }
}

pub(crate) const fn optional(name: &'static str, schema: ValueSchema) -> FieldSchema {
    FieldSchema { name, presence: FieldPresence::Optional, schema }
}

pub(crate) const fn defaults_to_min(name: &'static str, schema: ValueSchema) -> FieldSchema {
    FieldSchema { name, presence: FieldPresence::DefaultsToMin, schema }
}

impl FieldSchema {
    pub(crate) fn is_required(&self) -> bool {
        self.presence == FieldPresence::Required
    }
}

impl ValueSchema {
    /// Help line of a finding: describes a valid value.
    pub(crate) fn help(&self) -> String {
        match self {
            Self::Name => {
                format!("write a string of 1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' or '.'")
            }
            Self::Text => "write a string in double quotes".to_owned(),
            Self::Integer { min, max: u64::MAX } => {
                format!("write a whole number, {min} or more, without quotes")
            }
            Self::Integer { min, max } => {
                format!("write a whole number from {min} to {max}, without quotes")
            }
            Self::Fraction => "write a number from 0 to 1".to_owned(),
            Self::NonNegative => "write a number of 0 or more, without quotes".to_owned(),
            Self::Duration { unit, min, max } => {
                let [min, max] = [min, max].map(|limit| unit.count(*limit));
                format!("write a number of {unit} from {min} to {max}, without quotes")
            }
            Self::Boolean => "write true or false, without quotes".to_owned(),
            Self::Address { allows_port_zero: true } => {
                "write an IP address and a port, for example \"127.0.0.1:7400\"".to_owned()
            }
            Self::Address { allows_port_zero: false } => {
                "write an IP address and a port from 1 to 65535, for example \"127.0.0.1:7400\""
                    .to_owned()
            }
            Self::Choice(words) => format!("write one of {}", quoted(words.iter().copied())),
            Self::List(_) => "write a list in [ ]".to_owned(),
            Self::Map(_) => "write an object in { } with one entry per name".to_owned(),
            Self::Record(fields) => {
                let names =
                    fields.iter().filter(|field| field.is_required()).map(|field| field.name);
                format!("write an object in {{ }} with the fields {}", quoted(names))
            }
            Self::Tagged(variants) => {
                let words = variants.iter().map(|(word, _)| *word);
                format!("write an object in {{ }} with \"state\" as one of {}", quoted(words))
            }
        }
    }
}

/// Whether `text` is a valid name of a row, host, target or failure domain.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.bytes().all(allowed)
}

/// Joins the words with commas, each in double quotes.
pub(crate) fn quoted<'a>(words: impl Iterator<Item = &'a str>) -> String {
    words.map(|word| format!("\"{word}\"")).collect::<Vec<_>>().join(", ")
}
