//! Requests that were sent on one connection to a target.

use std::collections::VecDeque;
use std::time::Duration;

use hyper::header::HeaderValue;
use xxhash_rust::xxh3::xxh3_64;

/// Time after the deadline of a request in which this host may still be asked to send it: a message of another host carries the
/// time that was left when it was written, and takes some time on the way.
const MESSAGE_TIME: Duration = Duration::from_secs(2);

/// Identity of a request, which all of its sends share.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity {
    /// Hash of the id that targets return in their replies. Two ids with the same hash only cause a new connection.
    id_hash: u64,
    /// End of the caller's timeout, as time since the start of the process.
    deadline: Duration,
}

impl RequestIdentity {
    /// Identity of the request with this id of the caller, which is over at `deadline`.
    pub fn new(id: &HeaderValue, deadline: Duration) -> Self {
        Self { id_hash: xxh3_64(id.as_bytes()), deadline }
    }
}

/// Requests sent on one connection that may be sent again.
///
/// A reply names its request but not the send that it belongs to, so a late copy of the reply to one send could be taken for the
/// reply to the next.
///
/// Invariant: a request is sent at most once on a connection.
#[derive(Debug, Default)]
pub(crate) struct SentRequests {
    /// Hash of the id, and when it is forgotten.
    sent: VecDeque<(u64, Duration)>,
}

impl SentRequests {
    /// Whether the request was sent on the connection.
    pub(crate) fn contains(&self, request: RequestIdentity) -> bool {
        self.sent.iter().any(|(sent, _)| *sent == request.id_hash)
    }

    /// Records that the request is sent, and forgets earlier ones that are not sent any more.
    pub(crate) fn record(&mut self, request: RequestIdentity, now: Duration) {
        while self.sent.front().is_some_and(|(_, until)| *until <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back((request.id_hash, request.deadline.saturating_add(MESSAGE_TIME)));
    }
}
