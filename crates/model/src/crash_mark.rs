//! Marks of requests that crash the targets that run them, as hosts exchange them.

use serde::Deserialize;
use serde::Serialize;

/// Fingerprint of a request, see [`crate::hash::request_fingerprint`].
pub type RequestFingerprint = u64;

/// What is known of a marked request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkStage {
    /// Lost several targets; the cause is told by the end of the mark. Without a confirmation the mark lapses.
    Suspected,
    /// Crashes targets; refused until the end of the mark.
    Marked,
    /// The mark has ended and one host tries the request on one target; refused elsewhere until the end.
    Probing,
    /// Succeeded since; no mark any more.
    Cleared,
}

/// Mark of one request. Of two marks with the same fingerprint the greater is in force: by generation, then the latest
/// end time, then stage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashMark {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Grows when a success clears the mark, and when a cleared request is suspected again. Without it a cleared mark
    /// would come back from a host that has not heard of the success.
    pub generation: u32,
    /// Wall time of the end, milliseconds since 1970.
    pub until_ms: u64,
    /// What is known of the request.
    pub stage: MarkStage,
    /// Times that the request has been marked in this generation.
    #[serde(rename = "strikes")]
    pub mark_count: u32,
}

impl CrashMark {
    /// Whether the mark still holds at `wall_ms`.
    pub fn is_in_force(&self, wall_ms: u64) -> bool {
        self.stage != MarkStage::Cleared && wall_ms < self.until_ms
    }

    /// Whether the request has been found to crash targets and has not succeeded since.
    pub fn is_confirmed(&self) -> bool {
        matches!(self.stage, MarkStage::Marked | MarkStage::Probing)
    }
}
