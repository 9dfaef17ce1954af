//! Separate values for searches, reads and writes. For example, latencies must not be mixed, because a read takes a
//! fraction of the time of a search.

use vanillapick_model::route::RouteKind;

/// Holds a separate value for each [`RouteKind`].
#[derive(Debug, Default)]
pub struct PerKind<T> {
    search: T,
    read: T,
    write: T,
}

impl<T> PerKind<T> {
    /// Returns the value for calls of `kind`.
    pub fn get(&self, kind: RouteKind) -> &T {
        match kind {
            RouteKind::Search => &self.search,
            RouteKind::Read => &self.read,
            RouteKind::Write => &self.write,
        }
    }

    /// Calls `visit` with each value.
    pub fn for_each(&self, mut visit: impl FnMut(&T)) {
        visit(&self.search);
        visit(&self.read);
        visit(&self.write);
    }
}
