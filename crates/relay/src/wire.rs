//! What is spoken with callers, targets and the store, as plain structs of functions. An adapter fills them in.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use vanillapick_dispatch::attempt::NotRunCause;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use vanillapick_dispatch::host_record::HostRecord;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::version_split::MoveRecord;

/// All that is spoken.
#[derive(Clone, Copy, Debug)]
pub struct PlatformWire {
    /// With callers.
    pub caller: CallerWire,
    /// With targets.
    pub target: TargetWire,
    /// With the store.
    pub store: StoreWire,
    /// Path at which the balancer asks whether the host is ready.
    pub readiness_path: &'static str,
}

/// Requests of callers and answers to them.
#[derive(Clone, Copy, Debug)]
pub struct CallerWire {
    /// Reads what a request says beside its route.
    pub read_head: fn(&HeaderMap) -> Result<CallerHead, HeadFault>,
    /// Writes which parts a search's answer holds, and how many shards are missing.
    pub write_parts: fn(&mut HeaderMap, &[HeaderValue], usize),
    /// Writes after which time a request that was not run may be sent again.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
}

/// What a request says beside its route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerHead {
    /// Id of the request, which targets get and echo.
    pub request_id: HeaderValue,
    /// How long the caller waits; `None` if it does not say.
    pub wait: Option<Duration>,
}

/// Why a request cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadFault {
    /// It has no id, or more than one.
    RequestId,
    /// The time that the caller waits is not a number.
    Wait,
}

/// Calls of targets and their replies.
#[derive(Clone, Copy, Debug)]
pub struct TargetWire {
    /// Writes what a call says beside what the caller sent.
    pub write_head: fn(&mut HeaderMap, &CallHead<'_>),
    /// Reads the status and headers of a reply to the request with this id.
    pub read_head: fn(StatusCode, &HeaderMap, &HeaderValue) -> ReplyReading,
}

/// What a call says beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct CallHead<'a> {
    /// Id of the request.
    pub request_id: &'a HeaderValue,
    /// Time that is left.
    pub left: Duration,
    /// Id of the target that is meant; any other that has its address refuses the call.
    pub target: &'a str,
}

/// What the head of a reply says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyReading {
    /// A success with the target's stamp.
    Answer(HeaderValue),
    /// A failure of the target, with its stamp if it has one.
    Failure(Option<HeaderValue>),
    /// The target has not run the request and will not.
    NotRun(NotRunCause),
    /// It is not a reply to this request, or not in the protocol.
    Foreign(&'static str),
}

/// Calls of the store and their replies.
#[derive(Clone, Copy, Debug)]
pub struct StoreWire {
    /// Lists all items after a key.
    pub list: fn(Option<&str>) -> StoreCall,
    /// Reads a page of a list.
    pub read_list: fn(&[u8]) -> Result<StorePage, String>,
    /// Waits for changes after a revision.
    pub watch: fn(StoreRevision, Duration) -> StoreCall,
    /// Reads the changes that a watch returned.
    pub read_watch: fn(&[u8]) -> Result<StorePage, String>,
    /// Reads the store's revision, which may be seconds old; cheaper than any other call.
    pub check: fn() -> StoreCall,
    /// Reads the reply to a check, whether the item exists or not.
    pub read_check: fn(&[u8]) -> Result<StoreRevision, String>,
    /// Reads what an item says; `None` for an item that concerns others.
    pub read_fact: fn(&StoreItem) -> Option<FactReading>,
    /// Asks for a lease of this length.
    pub lease: fn(Duration) -> StoreCall,
    /// Reads the id of a lease.
    pub read_lease: fn(&[u8]) -> Result<LeaseNumber, String>,
    /// Renews a lease.
    pub renew: fn(LeaseNumber) -> StoreCall,
    /// Registers a host under a lease, whatever stood there before.
    pub register_host: fn(&str, &HostRecord, LeaseNumber) -> StoreCall,
    /// Marks a fingerprint of requests that crash targets, under a lease.
    pub mark_crash: fn(RequestFingerprint, LeaseNumber) -> StoreCall,
    /// Writes the evidence of a source on the move of a pool.
    pub put_evidence: fn(&str, &str, &[u8]) -> StoreCall,
    /// Records a move of a pool if the record is still at this revision; 0 if there must be none.
    pub record_move: fn(&str, &MoveRecord, StoreRevision) -> StoreCall,
}

/// Revision of the store.
pub type StoreRevision = u64;

/// Number of a lease.
pub type LeaseNumber = u64;

/// One call of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreCall {
    /// Method of the call.
    pub method: Method,
    /// Path with its query, percent-encoded.
    pub path: String,
    /// Body; empty for none.
    pub body: Bytes,
}

/// One page of a list, or the changes of a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorePage {
    /// Items in the order of the reply.
    pub items: Vec<StoreItem>,
    /// Revision of the store at the time of the reply.
    pub revision: StoreRevision,
    /// Whether another page follows.
    pub has_more: bool,
}

/// One item, or its removal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreItem {
    /// Key of the item.
    pub key: String,
    /// Its value; `None` if it was removed.
    pub value: Option<Bytes>,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// What an item says.
#[derive(Clone, Debug, PartialEq)]
pub struct FactReading {
    /// The fact; `None` if the item cannot be read and the last good one holds.
    pub fact: Option<StoreChange>,
    /// What is wrong with the item.
    pub fault: Option<String>,
}
