//! Asks other hosts for the parts of groups of shards.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use rand::Rng;
use vanillapick_dispatch::host_record::HostId;
use vanillapick_dispatch::shard_groups::pick_owner;

use crate::kept_connection::ExchangeError;
use crate::kept_connection::KeptConnection;
use crate::part_peers::GroupInFlight;
use crate::part_peers::PartPeer;
use crate::part_peers::peer_call;
use crate::parts_confirmation::ConfirmationId;
use crate::parts_confirmation::announce;
use crate::parts_confirmation::confirm;
use crate::parts_wire::CUT_OFF_HEADER;
use crate::parts_wire::MessageReader;
use crate::parts_wire::PARTS_PATH;
use crate::parts_wire::PartsMessage;
use crate::parts_wire::PartsRequest;
use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;

/// Number of owners that are asked in turn if one fails.
const MAX_OWNERS_ASKED: usize = 2;

/// Time after the timeout of an owner in which a message that has arrived is still read; shorter than the owner waits
/// before it sends second attempts.
const READ_GRACE: Duration = Duration::from_millis(1);

/// Turns of the event loop in which a message that has arrived is read after the timeout of an owner. A host that was busy finds
/// the timers and messages of all its groups at once, and giving up an owner that has sent its message could make three
/// attempts of two.
const READ_TURNS: usize = 16;

/// Size limit of all messages of a group.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Reason why a group was not gathered by another host.
#[derive(Debug)]
pub(crate) enum GroupFailure {
    /// No host has started on the group.
    NotStarted(String),
    /// The host refused the group because it is busy, leaves or has another configuration.
    Refused(StatusCode),
    /// The host is cut off from all targets.
    CutOff,
    /// A host may have sent attempts, at most one for each shard if no message has arrived.
    Lost(String),
    /// Two hosts in turn may have sent attempts.
    Exhausted(String),
}

/// A group whose host has sent a message that was not the last one.
pub(crate) struct GroupCall {
    peer: Arc<PartPeer>,
    connection: KeptConnection,
    body: Incoming,
    reader: MessageReader,
    request_id: Bytes,
    _in_flight: GroupInFlight,
}

/// Next message of a group, and the call if more follow.
pub(crate) type GroupProgress = Result<(PartsMessage, Option<GroupCall>), GroupFailure>;

/// Asks an owner of a group for its parts and waits for the first message. An owner without one after `timeout` counts as
/// failed, and another one is asked, which has an attempt less for each shard.
pub(crate) async fn start_group(
    host: Arc<RelayHost>,
    view: Arc<RelayView>,
    owners: Vec<HostId>,
    mut request: PartsRequest,
    timeout: Duration,
) -> GroupProgress {
    let mut last = GroupFailure::NotStarted("all owners failed lately".to_owned());
    let mut asked_at = host.now();
    let ends_at = asked_at + request.left;
    for _ in 0..MAX_OWNERS_ASKED {
        let peers: Vec<&Arc<PartPeer>> =
            owners.iter().filter_map(|owner| view.part_peers.get(owner)).collect();
        let states: Vec<_> = peers.iter().map(|peer| peer.state(host.now())).collect();
        let Some(index) = pick_owner(&states, &mut host.rng()) else { break };
        let peer = Arc::clone(peers[index]);
        let now = host.now();
        let encoded = request.encode(now.saturating_sub(asked_at));
        asked_at = now;
        let encoded = encoded.map_err(GroupFailure::NotStarted)?;
        let left = ends_at.saturating_sub(now);
        let wait = if request.prior_attempts == 0 { timeout.min(left) } else { left };
        let confirmation = host.rng().random();
        let asking =
            ask(&host, Arc::clone(&peer), request.request_id.clone(), encoded, confirmation);
        let mut asking = std::pin::pin!(asking);
        let mut asked = tokio::time::timeout(wait, asking.as_mut()).await;
        for _ in 0..READ_TURNS {
            if asked.is_ok() {
                break;
            }
            asked = tokio::time::timeout(Duration::ZERO, asking.as_mut()).await;
            tokio::task::yield_now().await;
        }
        if asked.is_err() {
            asked = tokio::time::timeout(READ_GRACE, asking).await;
        }
        let asked = asked.unwrap_or_else(|_| Err(GroupFailure::Lost("no message in time".into())));
        let failure = match asked {
            Ok(progress) => {
                peer.record_success();
                if progress.1.is_some() {
                    tokio::spawn(confirm(Arc::clone(&host), peer, confirmation));
                }
                return Ok(progress);
            }
            Err(failure) => failure,
        };
        match failure {
            GroupFailure::Refused(_) => peer.record_refusal(host.now()),
            GroupFailure::CutOff => peer.record_cut_off(host.now()),
            _ => peer.record_failure(host.now()),
        }
        tracing::debug!(host = &*peer.host, ?failure, "a host does not gather a group");
        let is_lost = matches!(failure, GroupFailure::Lost(_));
        let detail = format!("{}: {failure:?}", peer.host);
        last = match (request.prior_attempts, is_lost) {
            (0, false) => failure,
            (0, true) | (_, false) => GroupFailure::Lost(detail),
            (_, true) => return Err(GroupFailure::Exhausted(detail)),
        };
        request.prior_attempts |= u32::from(is_lost);
    }
    Err(last)
}

/// Waits for the next message of a group.
pub(crate) async fn continue_group(host: Arc<RelayHost>, call: GroupCall) -> GroupProgress {
    let peer = Arc::clone(&call.peer);
    let progress = next_message(&host, call).await;
    if progress.is_err() {
        peer.record_failure(host.now());
    }
    progress
}

async fn ask(
    host: &Arc<RelayHost>,
    peer: Arc<PartPeer>,
    request_id: Bytes,
    request: Bytes,
    confirmation: ConfirmationId,
) -> GroupProgress {
    let in_flight = peer.start_group();
    loop {
        let idle = peer.take_idle(host.now()).await;
        let is_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => peer.open(host.now()).await.map_err(GroupFailure::NotStarted)?,
        };
        let response = match connection.send(parts_call(request.clone(), confirmation)).await {
            Ok(response) => response,
            Err(ExchangeError::Unsent) if !is_new => continue,
            Err(ExchangeError::Unsent) => {
                return Err(GroupFailure::NotStarted("the host closed the connection".into()));
            }
            Err(ExchangeError::Lost(detail) | ExchangeError::Malformed(detail)) => {
                return Err(GroupFailure::Lost(detail));
            }
        };
        if response.status() != StatusCode::OK {
            let status = response.status();
            let is_cut_off = response.headers().contains_key(CUT_OFF_HEADER);
            peer.put_idle(connection, host.now()).await;
            let refused = GroupFailure::Refused(status);
            return Err(if is_cut_off { GroupFailure::CutOff } else { refused });
        }
        connection.allow(MAX_REPLY_BYTES);
        let call = GroupCall {
            peer,
            connection,
            body: response.into_body(),
            reader: MessageReader::default(),
            request_id,
            _in_flight: in_flight,
        };
        return next_message(host, call).await;
    }
}

async fn next_message(host: &Arc<RelayHost>, mut call: GroupCall) -> GroupProgress {
    loop {
        if let Some(message) = call.reader.next_message().map_err(GroupFailure::Lost)? {
            if message.request_id != call.request_id {
                return Err(GroupFailure::Lost("a message belongs to another request".into()));
            }
            if !message.is_last {
                return Ok((message, Some(call)));
            }
            tokio::spawn(finish(Arc::clone(host), call));
            return Ok((message, None));
        }
        match call.connection.next_data(&mut call.body).await.map_err(GroupFailure::Lost)? {
            Some(data) => call.reader.push(&data),
            None => return Err(GroupFailure::Lost("the messages broke off".into())),
        }
    }
}

/// Returns the connection to the idle ones once the response has ended.
async fn finish(host: Arc<RelayHost>, mut call: GroupCall) {
    if let Ok(None) = call.connection.next_data(&mut call.body).await {
        call.peer.put_idle(call.connection, host.now()).await;
    }
}

fn parts_call(request: Bytes, confirmation: ConfirmationId) -> Request<Full<Bytes>> {
    let mut call = peer_call(Method::POST, PARTS_PATH, request);
    announce(&mut call, confirmation);
    call
}
