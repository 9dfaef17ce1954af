//! Which statuses end a request.

use hyper::StatusCode;

/// Whether a reply with this status is the final one to its request. Interim ones (1xx) are followed by another; 101 would
/// switch to a protocol that no host asks for; above 599 there is none.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
