//! Failure domains and their operator-controlled serving state.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

use crate::millis;

/// Unique name of a failure domain, such as a zone.
pub type DomainId = String;

/// Whether targets in a failure domain accept new work. Operators set it for each pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum DomainState {
    /// The domain receives its full share of the load.
    #[default]
    Serving,
    /// The domain receives no new work.
    Out,
    /// The domain receives a share that grows linearly from 0 to 1 over `ramp`.
    Returning {
        /// Time of the operator's edit, in milliseconds since the Unix epoch.
        since_ms: u64,
        /// Time until the domain receives its full share again.
        #[serde(rename = "ramp_ms", with = "millis")]
        ramp: Duration,
    },
}

impl DomainState {
    /// Returns the fraction of its usual load that the domain receives at `now`, from 0 to 1.
    pub fn share_at(&self, now: SystemTime) -> f64 {
        match self {
            Self::Serving => 1.0,
            Self::Out => 0.0,
            Self::Returning { since_ms, ramp } => {
                let since = UNIX_EPOCH + Duration::from_millis(*since_ms);
                let elapsed = now.duration_since(since).unwrap_or_default();
                (elapsed.as_secs_f64() / ramp.as_secs_f64().max(0.001)).min(1.0)
            }
        }
    }
}
