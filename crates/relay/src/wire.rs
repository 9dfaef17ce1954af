//! Protocols of callers, targets and the store as plain structs of functions, which an adapter for a platform provides.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::crash_guard::CrashMark;
use vanillapick_dispatch::host_record::HostRecord;
use vanillapick_dispatch::pool_versions::PoolVersions;
use vanillapick_dispatch::registry::EvidenceKey;
use vanillapick_dispatch::registry::StoreChange;
pub use vanillapick_dispatch::store_position::StoreEra;
pub use vanillapick_dispatch::store_position::StorePosition;
pub use vanillapick_dispatch::store_position::StoreRevision;
use vanillapick_dispatch::target_record::TargetId;
use vanillapick_dispatch::version_split::MoveRecord;

/// All protocols of one platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformWire {
    /// Protocol between callers and this host.
    pub caller: CallerWire,
    /// Protocol between this host and targets.
    pub target: TargetWire,
    /// Protocol between this host and the store.
    pub store: StoreWire,
    /// Path of the balancer's readiness check.
    pub readiness_path: &'static str,
}

/// Headers of caller requests and of the responses to them.
#[derive(Clone, Copy, Debug)]
pub struct CallerWire {
    /// Reads the headers of a request that do not concern routing.
    pub read_head: fn(&HeaderMap) -> Result<CallerRequestHead, RequestHeadError>,
    /// Writes the stamps of the parts in a search response and the number of missing shards.
    pub write_parts: fn(&mut HeaderMap, &[HeaderValue], usize),
    /// Writes the time after which a request that was not run may be sent again.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
}

/// Headers of a caller request that do not concern routing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequestHead {
    /// Forwarded to targets, which return it in their replies.
    pub request_id: HeaderValue,
    /// Time that the caller waits for the response, if it sent one.
    pub timeout: Option<Duration>,
}

/// Reason why the head of a request is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestHeadError {
    /// The request id is missing or occurs more than once.
    RequestId,
    /// The timeout of the caller is not a number.
    Wait,
}

/// Headers of calls to targets and of their replies.
#[derive(Clone, Copy, Debug)]
pub struct TargetWire {
    /// Writes the headers that this host adds to those of the caller.
    pub write_head: fn(&mut HeaderMap, &TargetCallHead<'_>),
    /// Classifies a reply to the request with this id by its status and headers.
    pub read_head: fn(StatusCode, &HeaderMap, &HeaderValue) -> TargetReplyKind,
    /// Reads the requests per second that the target takes from all hosts together, if its reply names them.
    pub read_limit: fn(&HeaderMap) -> Result<Option<f64>, InvalidLimit>,
    /// Whether the target says that it is leaving.
    pub read_leaving: fn(&HeaderMap) -> bool,
    /// Reads for how long a target that turns a request away wants no other of this host, if it says so.
    pub read_pause: fn(StatusCode, &HeaderMap) -> Option<Duration>,
}

/// A target's reply names a limit that is not a number of requests per second.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidLimit;

/// Values of the headers that this host adds to a call.
#[derive(Clone, Copy, Debug)]
pub struct TargetCallHead<'a> {
    /// Id from the caller's request.
    pub request_id: &'a HeaderValue,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Id of the intended target; another target that has taken over its address refuses the call.
    pub target: &'a str,
}

/// Classification of a target's reply by its head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetReplyKind {
    /// The request succeeded; carries the target's stamp.
    Success(HeaderValue),
    /// The request failed at the target; carries the stamp if the reply has one.
    Failure(Option<HeaderValue>),
    /// The target has not run the request and never will.
    NotRun(NotRunCause),
    /// The reply belongs to another request or violates the protocol; carries a description.
    Invalid(&'static str),
}

/// Calls to the store and their replies.
#[derive(Clone, Copy, Debug)]
pub struct StoreWire {
    /// Reads the era from the headers of any reply; 0 if the store names none.
    pub read_era: fn(&HeaderMap) -> Result<StoreEra, String>,
    /// Lists one page of all items, starting after a key.
    pub list: fn(Option<&str>) -> StoreCall,
    /// Decodes a page of a list; its era is in the headers.
    pub read_list: fn(&[u8]) -> Result<StorePage, String>,
    /// Lists the operators' documents alone.
    pub list_orders: fn() -> StoreCall,
    /// Prefix of the keys that `list_orders` returns.
    pub orders_prefix: &'static str,
    /// Waits for changes after a revision.
    pub watch: fn(StoreRevision, Duration) -> StoreCall,
    /// Decodes the changes that a watch returned; their era is in the headers.
    pub read_watch: fn(&[u8]) -> Result<StorePage, String>,
    /// Asks for the store's revision at the time of the call; the reply must not be stale.
    pub check: fn() -> StoreCall,
    /// Decodes the reply to a check, whether the item exists or not.
    pub read_check: fn(&[u8]) -> Result<StoreRevision, String>,
    /// Decodes an item; `None` if it is not meant for entry hosts.
    pub read_change: fn(&StoreItem) -> Option<ParsedItem>,
    /// Creates a lease with this time to live.
    pub lease: fn(Duration) -> StoreCall,
    /// Decodes the number of a new lease.
    pub read_lease: fn(&[u8]) -> Result<LeaseId, String>,
    /// Extends a lease by its time to live.
    pub renew: fn(LeaseId) -> StoreCall,
    /// Registers a host under a lease, replacing an earlier registration.
    pub register_host: fn(&str, &HostRecord, LeaseId) -> StoreCall,
    /// Publishes, under a lease, the mark of a request that crashes targets; on condition of the revision of the item, if one is
    /// given, where 0 stands for no item.
    pub mark_crash: fn(&CrashMark, LeaseId, Option<StoreRevision>) -> StoreCall,
    /// Publishes, under a lease, that the mark of a request is cleared, and removes the mark.
    pub clear_mark: fn(&CrashMark, LeaseId) -> StoreCall,
    /// Publishes, under a lease, the evidence that a host has on requests that crash targets.
    pub put_crash_evidence: fn(&str, &[u8], LeaseId) -> StoreCall,
    /// Publishes, under a lease, that the processes of these targets, by their start in Unix milliseconds, have refused connections.
    pub put_refusals: fn(&[(&TargetId, u64)], LeaseId) -> StoreCall,
    /// Writes the evidence that one source has about the move of a pool.
    pub put_evidence: fn(&str, &str, &[u8]) -> StoreCall,
    /// Removes the evidence that these sources have written about moves of a pool.
    pub remove_evidence: fn(&str, &[EvidenceKey]) -> StoreCall,
    /// Records the state of a pool's move, and the versions of the pool after it, if the record and the order are still at these
    /// revisions; 0 if one must not exist.
    pub record_move: fn(&str, &MoveRecord, &PoolVersions, MoveRevisions) -> StoreCall,
    /// Writes the versions of a pool if they are still at this revision; 0 if there must be none.
    pub put_versions: fn(&str, &PoolVersions, StoreRevision) -> StoreCall,
}

/// Revisions of the documents about the move of a pool; 0 for one that does not exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MoveRevisions {
    pub record: StoreRevision,
    pub order: StoreRevision,
}

/// Identifies a lease in later calls of the store.
pub type LeaseId = u64;

/// HTTP request to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCall {
    pub method: Method,
    /// Path and query, percent-encoded.
    pub path: String,
    /// JSON, or empty for a call without a body.
    pub body: Bytes,
}

/// One page of a list, or the changes of a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorePage {
    /// In the order of the reply.
    pub items: Vec<StoreItem>,
    /// Revision of the store at the time of the reply.
    pub revision: StoreRevision,
    /// Whether another page follows.
    pub has_more: bool,
    /// Era of `revision` and of the revisions of `items`.
    #[serde(default)]
    pub era: StoreEra,
}

impl StorePage {
    /// Position of the store at the time of the reply.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }
}

/// An item of the store, or its removal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreItem {
    pub key: String,
    /// `None` if the item was removed.
    pub value: Option<Bytes>,
    /// Revision of the item's last change.
    pub revision: StoreRevision,
}

/// Decoded item of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedItem {
    /// `None` if the item is invalid and the last valid version stays in force.
    pub change: Option<StoreChange>,
    /// Description of the error if the item is invalid.
    pub error: Option<String>,
}
