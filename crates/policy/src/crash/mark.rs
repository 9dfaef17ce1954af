//! Crash marks known to one host.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::RequestFingerprint;

/// Maximum number of marks; the mark that ends first is dropped.
pub const MAX_MARKS: usize = 1024;

/// Time for which a mark is kept after its end, so that the request runs on a single target first.
pub const ENDED_MARK_RETENTION: Duration = Duration::from_secs(600);

/// Bounded table of the latest mark for each request.
#[derive(Clone, Debug, Default)]
pub(super) struct MarkTable {
    marks: BTreeMap<RequestFingerprint, CrashMark>,
}

impl MarkTable {
    pub(super) fn get(&self, fingerprint: RequestFingerprint) -> Option<&CrashMark> {
        self.marks.get(&fingerprint)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &CrashMark> {
        self.marks.values()
    }

    /// Stores `mark` if it is greater than the known mark of the request and not outdated. Returns whether it was
    /// stored.
    pub(super) fn merge(&mut self, mark: CrashMark, wall_ms: u64) -> bool {
        if self.get(mark.fingerprint).is_some_and(|known| *known >= mark) {
            return false;
        }
        let kept_until = |mark: &CrashMark| mark.until_ms.saturating_add(retention_ms());
        if kept_until(&mark) <= wall_ms {
            return false;
        }
        self.marks.insert(mark.fingerprint, mark);
        if self.marks.len() > MAX_MARKS {
            self.marks.retain(|_, mark| kept_until(mark) > wall_ms);
        }
        if self.marks.len() > MAX_MARKS {
            let first = self.marks.values().min_by_key(|mark| mark.until_ms).copied();
            first.map(|mark| self.marks.remove(&mark.fingerprint));
        }
        true
    }
}

fn retention_ms() -> u64 {
    u64::try_from(ENDED_MARK_RETENTION.as_millis()).unwrap_or(u64::MAX)
}
