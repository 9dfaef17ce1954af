//! Shapes that values of a file must have, as data, so that one walk finds every fault.

/// Characters of the longest name of a row, host, target or failure domain.
const MAX_NAME_LENGTH: usize = 64;

/// What a value must look like.
#[derive(Debug)]
pub(crate) enum ValueSchema {
    /// 1 to 64 of letters, digits, `-`, `_` and `.`, because names are parts of URLs and of places in findings.
    Name,
    /// Any string.
    Text,
    /// A whole number from `least` to `most`.
    Integer { min: u64, max: u64 },
    /// A number from 0 to 1.
    Fraction,
    /// A number of 0 or more.
    NonNegative,
    /// `true` or `false`.
    Boolean,
    /// IP number and port; port 0 only where the system may choose one.
    Address { allows_port_zero: bool },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// Values of one shape in order.
    List(&'static ValueSchema),
    /// Values of one shape by name.
    Map(&'static ValueSchema),
    /// Fixed fields.
    Record(&'static [FieldSchema]),
    /// Fixed fields that depend on the word in the field `state`.
    Tagged(&'static [(&'static str, &'static [FieldSchema])]),
}

/// One field of a record.
#[derive(Debug)]
pub(crate) struct FieldSchema {
    pub(crate) name: &'static str,
    pub(crate) presence: FieldPresence,
    pub(crate) schema: ValueSchema,
}

/// What happens when a field is missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FieldPresence {
    /// It is a finding.
    Required,
    /// The type's own default holds.
    Optional,
    /// The least value of the shape is filled in, because the type has no default.
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
    /// What to write, as the help line of a finding.
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
            Self::Boolean => "write true or false, without quotes".to_owned(),
            Self::Address { allows_port_zero: true } => {
                "write an IP number and a port, for example \"127.0.0.1:7400\"".to_owned()
            }
            Self::Address { allows_port_zero: false } => {
                "write an IP number and a port from 1 to 65535, for example \"127.0.0.1:7400\""
                    .to_owned()
            }
            Self::Choice(words) => format!("write one of {}", quoted(words.iter().copied())),
            Self::List(_) => "write a list in [ ]".to_owned(),
            Self::Map(_) => "write an object in { } with one entry a name".to_owned(),
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

/// Whether `text` can be the name of a row, host, target or failure domain.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.bytes().all(allowed)
}

/// The words in double quotes, with commas between.
pub(crate) fn quoted<'a>(words: impl Iterator<Item = &'a str>) -> String {
    words.map(|word| format!("\"{word}\"")).collect::<Vec<_>>().join(", ")
}
