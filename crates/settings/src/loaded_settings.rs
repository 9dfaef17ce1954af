//! Settings of a file together with what was replaced in it.

use crate::finding::FindingReport;

/// Valid settings, in which unusable values of the file may have been replaced.
#[derive(Clone, Debug)]
pub struct LoadedSettings<T> {
    pub settings: T,
    /// Values that were replaced or left out because the file asks for that, each with its place; `None` if all are used as
    /// written.
    pub replaced: Option<FindingReport>,
}
