//! Serializes a [`Duration`] as whole milliseconds; use with `#[serde(with = "millis")]`.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;

/// Serializes the duration as whole milliseconds, rounding down.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Deserializes a whole number of milliseconds.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
