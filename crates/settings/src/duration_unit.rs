//! Units of durations in files, and their conversion to and from [`Duration`].

use std::fmt;
use std::time::Duration;

/// Unit in which a file gives a duration, as a whole or fractional number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DurationUnit {
    Milliseconds,
    Seconds,
}

impl DurationUnit {
    /// Duration of `count` units; `None` if it is negative or cannot be represented.
    pub(crate) fn duration(self, count: f64) -> Option<Duration> {
        Duration::try_from_secs_f64(count / self.per_second()).ok()
    }

    /// Number of units in `duration`.
    pub(crate) fn count(self, duration: Duration) -> f64 {
        duration.as_secs_f64() * self.per_second()
    }

    fn per_second(self) -> f64 {
        match self {
            Self::Milliseconds => 1000.0,
            Self::Seconds => 1.0,
        }
    }
}

impl fmt::Display for DurationUnit {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Milliseconds => "milliseconds",
            Self::Seconds => "seconds",
        })
    }
}

macro_rules! duration_format {
    ($name:ident, $unit:expr) => {
        pub(crate) mod $name {
            use std::time::Duration;

            use serde::Deserialize;
            use serde::Deserializer;
            use serde::Serializer;
            use serde::de::Error;

            use super::DurationUnit;

            pub(crate) fn serialize<S: Serializer>(
                duration: &Duration,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                serializer.serialize_f64($unit.count(*duration))
            }

            pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<Duration, D::Error> {
                let count = f64::deserialize(deserializer)?;
                let duration = $unit.duration(count);
                duration.ok_or_else(|| D::Error::custom(format!("{count} is not a duration")))
            }
        }
    };
}

duration_format!(milliseconds, DurationUnit::Milliseconds);
duration_format!(seconds, DurationUnit::Seconds);
