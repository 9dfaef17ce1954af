//! Fault injection settings of the platform stand-in.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::host::HostId;
use vanillapick_model::millis;

/// Faults to inject; the default injects none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes the connection of every call without a reply.
    pub down: bool,
    /// Delay of every call before it takes effect.
    #[serde(rename = "slow_ms", with = "millis")]
    pub slow: Duration,
    /// Drops the reply to every n-th write or lease call after it took effect; 0 drops none.
    pub lose_every: u64,
    /// Drops the replies to this number of next write or lease calls after they took effect.
    pub lose_next: u64,
    /// Reads return the value before the current one.
    pub stale_reads: bool,
    /// Closes the connections of calls from these hosts; `""` stands for clients without a host id.
    pub closed_to: BTreeSet<HostId>,
}
