//! Network links between failure domains.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::failure_domain::DomainId;
use crate::millis;

/// Symmetric network delay between two failure domains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkDelay {
    /// One end of the link.
    pub from: DomainId,
    /// The other end of the link.
    pub to: DomainId,
    /// One-way delay.
    #[serde(rename = "one_way_ms", with = "millis")]
    pub delay: Duration,
}
