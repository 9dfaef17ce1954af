//! Request mix of a load phase, as written in experiment files.

use serde::Deserialize;
use serde::Serialize;
use vanillapick_model::route::RouteId;

/// One kind of request in a mix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MixEntry {
    /// Route that the requests are sent to.
    pub route: RouteId,
    /// Name in figures and request ids; the route name if empty. Contains only letters, digits and `-`.
    #[serde(default)]
    pub label: String,
    /// Weight of this kind of request, relative to the other kinds of the mix.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Deadline of the caller, in milliseconds.
    pub deadline_ms: u64,
    /// Calls the shards directly instead of an entry host. Only for searches.
    #[serde(default)]
    pub direct: bool,
    /// Sends every write with an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Maximum number of resends, each to another host and with a new request id. Keyed writes are resent after
    /// anything but an answer, all other requests only if the refusal says that nothing ran.
    #[serde(default)]
    pub resends: u32,
    /// Time in milliseconds after which an unanswered keyed write is resent, although the first one may still run.
    #[serde(default)]
    pub resend_after_ms: Option<u64>,
    /// Text that is appended to the query in every body.
    #[serde(default)]
    pub marker: String,
    /// Number of different bodies; with 0, every body is different.
    #[serde(default)]
    pub distinct_bodies: u64,
}

fn default_weight() -> f64 {
    1.0
}

impl MixEntry {
    /// Returns the name in figures and request ids.
    pub fn label(&self) -> &str {
        if self.label.is_empty() { &self.route } else { &self.label }
    }

    /// Builds the body of request `number`.
    pub fn body(&self, number: u64) -> String {
        let number = if self.distinct_bodies == 0 { number } else { number % self.distinct_bodies };
        format!("{{\"query\":\"{}-{number}{}\"}}", self.label(), self.marker)
    }
}
