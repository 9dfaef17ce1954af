//! Decides how a request is refused whose route the configuration in force lacks.

use std::time::Duration;

/// Retry-after time while the configuration may be old: about the time that a host needs to catch up with the store, and
/// short enough that the caller can retry before most timeouts.
const CATCH_UP_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Refusal of a request without a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownRoute {
    /// The configuration is current, so there is no such route.
    Absent,
    /// A newer configuration may have the route. The request has not run and may be sent again after this time.
    MaybeNew(Duration),
}

/// Refusal of a request without a route on a host whose configuration is or may not be current.
///
/// A host that is cut from the store, or has not read all changes yet, cannot tell an unknown route from a new one. A caller
/// that is told that a route does not exist gives up; one that is told to retry reaches another host.
pub fn refuse_unknown_route(is_current: bool) -> UnknownRoute {
    if is_current { UnknownRoute::Absent } else { UnknownRoute::MaybeNew(CATCH_UP_RETRY_AFTER) }
}
