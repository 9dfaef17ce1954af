//! One value for each kind of call, where kinds must not mix: a read takes a fraction of the time of a search.

use vanillapick_model::route::RouteKind;

/// One value for each kind of call.
#[derive(Debug, Default)]
pub struct PerKind<T> {
    search: T,
    read: T,
    write: T,
}

impl<T> PerKind<T> {
    /// The value for calls of `kind`.
    pub fn get(&self, kind: RouteKind) -> &T {
        match kind {
            RouteKind::Search => &self.search,
            RouteKind::Read => &self.read,
            RouteKind::Write => &self.write,
        }
    }

    /// Visits all values.
    pub fn for_each(&self, mut visit: impl FnMut(&T)) {
        visit(&self.search);
        visit(&self.read);
        visit(&self.write);
    }
}
