//! Decides when a host that watches the store reads on: at once while it is behind, after a delay otherwise.
//!
//! Every watch is charged for and a watch returns after the first change, so a delay after each one lets changes in quick
//! succession share a watch. A host that is behind must not wait, because each page carries only a part of what it lacks.

use std::time::Duration;

/// Number of changes in one page from which more are assumed to be waiting; the platform limits a page to about 500 items.
const FULL_PAGE_CHANGES: usize = 450;

/// Number of changes from which two largest pages of equal size are taken for the limit of a page.
const MIN_PAGE_LIMIT: usize = 32;

/// Minimum delay before the next watch after a change. It doubles while changes keep coming.
const MIN_CHANGE_DELAY: Duration = Duration::from_millis(150);

/// A watch that waited longer than this ends a burst of changes and resets the delay.
const CHANGE_BURST_GAP: Duration = Duration::from_millis(500);

/// Minimum interval between reads of the operators' documents while a host catches up.
const ORDERS_INTERVAL: Duration = Duration::from_secs(1);

/// Pace of one host's watches.
#[derive(Debug)]
pub struct FollowPace {
    delay: Duration,
    is_behind: bool,
    /// Number of changes in the largest page so far.
    largest_page: usize,
    /// When the operators' documents were last read ahead of other changes.
    orders_read: Option<Duration>,
}

/// What a host does next after a page of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowStep {
    /// More changes are likely to be waiting, and the operators' documents may be among the last of them: read those
    /// documents first, then the next page.
    ReadOrders,
    /// Read the next page after this delay.
    Watch(Duration),
}

impl Default for FollowPace {
    fn default() -> Self {
        Self { delay: MIN_CHANGE_DELAY, is_behind: false, largest_page: 0, orders_read: None }
    }
}

impl FollowPace {
    /// Step after a page with this number of changes, for which the host waited. `max_delay` limits the delay.
    pub fn after_page(
        &mut self,
        changes: usize,
        waited: Duration,
        max_delay: Duration,
        now: Duration,
    ) -> FollowStep {
        let is_limit = MIN_PAGE_LIMIT <= changes && changes == self.largest_page;
        self.largest_page = self.largest_page.max(changes);
        self.is_behind = FULL_PAGE_CHANGES <= changes || is_limit;
        if self.is_behind {
            let is_due = self.orders_read.is_none_or(|read| read + ORDERS_INTERVAL <= now);
            if is_due {
                self.orders_read = Some(now);
                return FollowStep::ReadOrders;
            }
            return FollowStep::Watch(Duration::ZERO);
        }
        if changes == 0 {
            return FollowStep::Watch(Duration::ZERO);
        }
        let next = (self.delay * 2).min(max_delay);
        self.delay = if waited < CHANGE_BURST_GAP { next } else { MIN_CHANGE_DELAY };
        FollowStep::Watch(self.delay)
    }

    /// Whether the last page suggested that more changes are waiting.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }
}
