//! Requests that were sent on one connection to a target.

use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use hyper::header::HeaderValue;

/// Time after the deadline of a request in which this host may still be asked to send it: a message of another host carries the
/// time that was left when it was written, and takes some time on the way.
const MESSAGE_TIME: Duration = Duration::from_secs(2);

/// Identity of a request, which all of its sends share.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Id from the caller's request, which targets return in their replies.
    pub id: &'a HeaderValue,
    /// End of the caller's timeout, as time since the start of the process.
    pub deadline: Duration,
}

/// Requests sent on one connection that may be sent again.
///
/// A reply names its request but not the send that it belongs to, so a late copy of the reply to one send could be taken for the
/// reply to the next.
///
/// Invariant: a request is sent at most once on a connection.
#[derive(Debug, Default)]
pub(crate) struct SentRequests {
    /// Hash of the id, and when it is forgotten. Two ids with the same hash only cause a new connection.
    sent: VecDeque<(u64, Duration)>,
}

impl SentRequests {
    /// Whether the request was sent on the connection.
    pub(crate) fn contains(&self, id: &HeaderValue) -> bool {
        let hash = hash(id);
        self.sent.iter().any(|(sent, _)| *sent == hash)
    }

    /// Records that the request is sent, and forgets earlier ones that are not sent any more.
    pub(crate) fn record(&mut self, request: RequestIdentity<'_>, now: Duration) {
        while self.sent.front().is_some_and(|(_, until)| *until <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back((hash(request.id), request.deadline.saturating_add(MESSAGE_TIME)));
    }
}

fn hash(id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}
