//! Marks for requests that crash targets, exchanged between hosts.

use serde::Deserialize;
use serde::Serialize;

/// Hash of a request's route and body; see [`crate::hash::request_fingerprint`].
pub type RequestFingerprint = u64;

/// State of a crash mark.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkStage {
    /// Several targets were lost while running the request. Expires unless the crash is confirmed.
    Suspected,
    /// The request crashes targets and is refused until the mark expires.
    Marked,
    /// The mark has expired, and one host retries the request on one target. All other hosts still refuse it.
    Probing,
    /// The request has succeeded since it was marked and is no longer restricted.
    Cleared,
}

/// Mark for a request. Of two marks with the same fingerprint, the greater one takes precedence: by generation, then
/// expiry time, then stage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashMark {
    /// Identifies the marked request.
    pub fingerprint: RequestFingerprint,
    /// Incremented when a success clears the mark and when a cleared request is suspected again. Without it, a host
    /// that has not learned of the success would restore the cleared mark.
    pub generation: u32,
    /// Expiry time, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Whether the crash is suspected, confirmed, being probed or cleared.
    pub stage: MarkStage,
    /// Number of times the request has been marked in this generation.
    #[serde(rename = "strikes")]
    pub mark_count: u32,
}

impl CrashMark {
    /// Returns whether the mark is neither cleared nor expired at `wall_ms`.
    pub fn is_in_force(&self, wall_ms: u64) -> bool {
        self.stage != MarkStage::Cleared && wall_ms < self.until_ms
    }

    /// Returns whether the request is known to crash targets and has not succeeded since.
    pub fn is_confirmed(&self) -> bool {
        matches!(self.stage, MarkStage::Marked | MarkStage::Probing)
    }
}
