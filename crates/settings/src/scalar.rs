//! Parses scalar values, and supplies placeholders for invalid values.

use std::net::SocketAddr;

use jsonc_parser::ast;
use serde_json::Map;
use serde_json::Value;

use crate::schema::FieldPresence;
use crate::schema::ValueSchema;
use crate::schema::is_name;
use crate::validate::TAG_FIELD;

/// Parses a scalar node; the error describes why it does not match the schema.
pub(crate) fn parse_scalar(node: &ast::Value<'_>, schema: &ValueSchema) -> Result<Value, String> {
    let wrong_type = || format!("wrong type: {}", json_type_name(node));
    match schema {
        ValueSchema::Boolean => {
            node.as_boolean_lit().map(|flag| Value::from(flag.value)).ok_or_else(wrong_type)
        }
        ValueSchema::Integer { min, max } => {
            let digits = node.as_number_lit().ok_or_else(wrong_type)?.value;
            let has_fraction = |number: f64| number.is_finite() && number.fract() != 0.0;
            if digits.parse::<f64>().is_ok_and(has_fraction) {
                return Err(format!("{digits} is not a whole number"));
            }
            match parse_whole(digits) {
                Some(number) if (*min..=*max).contains(&number) => Ok(Value::from(number)),
                _ => Err(format!("{digits} is out of range")),
            }
        }
        ValueSchema::Duration { unit, min, max } => {
            let digits = node.as_number_lit().ok_or_else(wrong_type)?.value;
            let duration = digits.parse::<f64>().ok().and_then(|count| unit.duration(count));
            match duration {
                Some(duration) if (*min..=*max).contains(&duration) => {
                    Ok(Value::from(unit.count(duration)))
                }
                _ => Err(format!("{digits} is out of range")),
            }
        }
        ValueSchema::Fraction | ValueSchema::NonNegative => {
            let max = if matches!(schema, ValueSchema::Fraction) { 1.0 } else { f64::MAX };
            let digits = node.as_number_lit().ok_or_else(wrong_type)?.value;
            match digits.parse::<f64>() {
                Ok(number) if (0.0..=max).contains(&number) => Ok(Value::from(number)),
                _ => Err(format!("{digits} is out of range")),
            }
        }
        ValueSchema::Name
        | ValueSchema::Text
        | ValueSchema::Address { .. }
        | ValueSchema::Choice(_) => {
            let text = node.as_string_lit().ok_or_else(wrong_type)?.value.as_ref();
            check_text(text, schema).map(|()| Value::from(text))
        }
        _ => Err(wrong_type()),
    }
}

/// Returns the valid value that is nearest to the number of an invalid node; `None` if the node is not a number, the schema does
/// not describe one, or zero or less stands where only a positive number makes sense.
pub(crate) fn nearest_value(node: &ast::Value<'_>, schema: &ValueSchema) -> Option<Value> {
    let digits = node.as_number_lit()?.value;
    let number = digits.parse::<f64>().ok()?;
    let is_positive = match schema {
        ValueSchema::Integer { min, .. } => 0 < *min,
        ValueSchema::Duration { min, .. } => !min.is_zero(),
        _ => false,
    };
    if is_positive && number <= 0.0 {
        return None;
    }
    match schema {
        // The cast rounds down and saturates.
        ValueSchema::Integer { min, max } => Some(Value::from((number as u64).clamp(*min, *max))),
        ValueSchema::Fraction => Some(Value::from(number.clamp(0.0, 1.0))),
        ValueSchema::NonNegative => Some(Value::from(number.clamp(0.0, f64::MAX))),
        ValueSchema::Duration { unit, min, max } => {
            Some(Value::from(number.clamp(unit.count(*min), unit.count(*max))))
        }
        _ => None,
    }
}

/// Parses a whole number, which may be written as a fraction or with an exponent, such as `6.0` or `1e1`.
fn parse_whole(digits: &str) -> Option<u64> {
    if let Ok(number) = digits.parse::<u64>() {
        return Some(number);
    }
    let number = digits.parse::<f64>().ok().filter(|number| number.fract() == 0.0)?;
    // Larger numbers with a fraction or an exponent are not exact.
    const MAX_EXACT: f64 = (1_u64 << f64::MANTISSA_DIGITS) as f64;
    (0.0..=MAX_EXACT).contains(&number).then_some(number as u64)
}

fn check_text(text: &str, schema: &ValueSchema) -> Result<(), String> {
    match schema {
        ValueSchema::Name if !is_name(text) => Err(format!("{text:?} is not a valid name")),
        ValueSchema::Choice(words) if !words.contains(&text) => {
            Err(format!("{text:?} is not an allowed value"))
        }
        ValueSchema::Address { allows_port_zero } => check_address(text, *allows_port_zero),
        _ => Ok(()),
    }
}

fn check_address(text: &str, allows_port_zero: bool) -> Result<(), String> {
    if let Ok(address) = text.parse::<SocketAddr>() {
        if allows_port_zero {
            return Ok(());
        }
        if address.port() == 0 {
            return Err("port 0 is not a valid destination port".to_owned());
        }
        if address.ip().is_unspecified() {
            return Err(format!("{} is not the address of a single host", address.ip()));
        }
        return Ok(());
    }
    let Some((host, port)) = text.rsplit_once(':') else {
        return Err(format!("{text:?} has no port"));
    };
    if port.parse::<u16>().is_err() {
        return Err(format!("{port:?} is not a valid port"));
    }
    Err(format!("{host:?} is not an IP address"))
}

/// Returns a value that matches the schema, to replace an invalid one so that the rest of the file can be checked.
pub(crate) fn placeholder_value(schema: &ValueSchema) -> Value {
    match schema {
        ValueSchema::Name | ValueSchema::Text => Value::from("?"),
        ValueSchema::Integer { min, .. } => Value::from(*min),
        ValueSchema::Fraction | ValueSchema::NonNegative => Value::from(0.0),
        ValueSchema::Duration { unit, min, .. } => Value::from(unit.count(*min)),
        ValueSchema::Boolean => Value::from(false),
        ValueSchema::Address { .. } => Value::from("127.0.0.1:1"),
        ValueSchema::Choice(words) => Value::from(words[0]),
        ValueSchema::List(_) => Value::Array(Vec::new()),
        ValueSchema::Map(_) => Value::Object(Map::new()),
        ValueSchema::Record(fields) => {
            let parts = fields.iter().filter(|field| field.presence != FieldPresence::Optional);
            Value::Object(
                parts
                    .map(|field| (field.name.to_owned(), placeholder_value(&field.schema)))
                    .collect(),
            )
        }
        ValueSchema::Tagged(variants) => {
            Value::Object(Map::from_iter([(TAG_FIELD.to_owned(), Value::from(variants[0].0))]))
        }
    }
}

fn json_type_name(node: &ast::Value<'_>) -> &'static str {
    match node {
        ast::Value::StringLit(_) => "a string",
        ast::Value::NumberLit(_) => "a number",
        ast::Value::BooleanLit(_) => "true or false",
        ast::Value::Object(_) => "an object",
        ast::Value::Array(_) => "a list",
        ast::Value::NullKeyword(_) => "null",
    }
}
