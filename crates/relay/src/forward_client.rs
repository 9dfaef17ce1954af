//! Has requests served by other hosts while this one is cut off from all targets.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::Full;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use vanillapick_dispatch::config_document::DomainId;
use vanillapick_dispatch::config_document::RouteContract;
use vanillapick_dispatch::forward_pick::ForwardCandidate;
use vanillapick_dispatch::forward_pick::NO_HOST_RETRY_AFTER;
use vanillapick_dispatch::forward_pick::forward_return_time;
use vanillapick_dispatch::forward_pick::pick_forward_host;
use vanillapick_dispatch::target_state::TargetDistance;
use vanillapick_model::peer_message;

use crate::caller_response::ResponseBody;
use crate::forward_wire::FORWARD_PATH;
use crate::forward_wire::ForwardRefusal;
use crate::forward_wire::ForwardReply;
use crate::forward_wire::ForwardRequest;
use crate::kept_connection::ExchangeError;
use crate::part_peers::PartPeer;
use crate::part_peers::peer_call;
use crate::parts_wire::decode_headers;
use crate::relay_host::RelayHost;
use crate::relay_host::RelayView;
use crate::reply_status::is_final_status;

/// Number of hosts that are asked in turn if they refuse or cannot be reached. A refusal costs a round trip.
const MAX_HOSTS_ASKED: usize = 8;

/// Size limit of the fields of a reply other than the body.
const EXTRA_REPLY_BYTES: usize = 256 << 10;

/// End of a forwarded request.
#[derive(Debug)]
pub(crate) enum ForwardResult {
    /// The response of another host, which becomes that of this one.
    Answered(Response<ResponseBody>),
    /// The request has not run; another attempt makes sense after this time.
    NotRun(Duration),
    /// The request may have run at the other host.
    Lost(String),
}

/// Reason why one host has not answered.
enum ForwardFailure {
    /// The request was not sent.
    NotStarted(String),
    /// The host refused the request.
    Refused(ForwardRefusal),
    /// The request may have run.
    Lost(String),
}

/// Sends a request to other hosts in turn until one serves it. `arrived` is when its `elapsed` was zero.
pub(crate) async fn forward_request(
    host: &Arc<RelayHost>,
    view: &Arc<RelayView>,
    route: &RouteContract,
    mut request: ForwardRequest,
    arrived: Duration,
) -> ForwardResult {
    let waited = request.elapsed;
    let mut refusals: BTreeMap<DomainId, usize> = BTreeMap::new();
    let mut retry_after = NO_HOST_RETRY_AFTER;
    for _ in 0..MAX_HOSTS_ASKED {
        let Some(PickedPeer { peer, domain, distance }) = pick_peer(host, view, route, &refusals)
        else {
            break;
        };
        let now = host.now();
        let return_time = forward_return_time(distance);
        request.elapsed = waited + now.saturating_sub(arrived) + return_time;
        let _in_flight = peer.start_group();
        match ask(host, &peer, route, &request).await {
            Ok(response) => {
                peer.record_success();
                peer.record_reaching(host.now());
                count("answered");
                return ForwardResult::Answered(response);
            }
            Err(ForwardFailure::Refused(refusal)) => {
                count(refusal.label());
                match refusal {
                    ForwardRefusal::CutOff => {
                        peer.record_cut_off(host.now());
                        *refusals.entry(domain).or_default() += 1;
                    }
                    ForwardRefusal::Overloaded(time) => {
                        retry_after = retry_after.max(time);
                        peer.record_refusal(host.now());
                    }
                    _ => peer.record_refusal(host.now()),
                }
            }
            Err(ForwardFailure::NotStarted(detail)) => {
                count("not_started");
                tracing::debug!(host = &*peer.host, detail, "a host cannot be reached");
                peer.record_failure(host.now());
            }
            Err(ForwardFailure::Lost(detail)) => {
                count("lost");
                peer.record_failure(host.now());
                return ForwardResult::Lost(format!("{}: {detail}", peer.host));
            }
        }
    }
    count("no_host");
    ForwardResult::NotRun(retry_after)
}

/// Host to ask, and where it is.
struct PickedPeer {
    peer: Arc<PartPeer>,
    domain: DomainId,
    distance: TargetDistance,
}

/// The nearest usable host in a region whose targets may serve the route, because only there the request may be sent.
/// `refusals` has the number of hosts by domain that are cut off.
fn pick_peer(
    host: &Arc<RelayHost>,
    view: &Arc<RelayView>,
    route: &RouteContract,
    refusals: &BTreeMap<DomainId, usize>,
) -> Option<PickedPeer> {
    let location = &view.serving.location;
    let now = host.now();
    let mut peers = Vec::new();
    let mut candidates = Vec::new();
    for (domain, hosts) in &view.serving.part_hosts {
        if !route.allows_region(location.regions.get(&**domain)) {
            continue;
        }
        let distance = location.distance(domain);
        let refusals = refusals.get(domain).copied().unwrap_or_default();
        for peer in hosts.keys().filter_map(|host| view.part_peers.get(host)) {
            let state = peer.state(now);
            let (is_in_backoff, in_flight) = (state.is_in_backoff, state.in_flight);
            let is_proven = peer.is_proven(now);
            candidates.push(ForwardCandidate {
                distance,
                is_in_backoff,
                in_flight,
                is_proven,
                refusals,
            });
            peers.push((peer, domain));
        }
    }
    let index = pick_forward_host(&candidates, &mut host.rng())?;
    let (peer, domain) = peers[index];
    let distance = candidates[index].distance;
    Some(PickedPeer { peer: Arc::clone(peer), domain: DomainId::clone(domain), distance })
}

async fn ask(
    host: &Arc<RelayHost>,
    peer: &Arc<PartPeer>,
    route: &RouteContract,
    request: &ForwardRequest,
) -> Result<Response<ResponseBody>, ForwardFailure> {
    let encoded = rmp_serde::to_vec(request);
    let encoded =
        Bytes::from(encoded.map_err(|error| ForwardFailure::NotStarted(error.to_string()))?);
    loop {
        let idle = peer.take_idle(host.now()).await;
        let is_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => peer.open(host.now()).await.map_err(ForwardFailure::NotStarted)?,
        };
        let response =
            match connection.send(peer_call(Method::POST, FORWARD_PATH, encoded.clone())).await {
                Ok(response) => response,
                Err(ExchangeError::Unsent) if !is_new => continue,
                Err(ExchangeError::Unsent) => {
                    let detail = "the host closed the connection".to_owned();
                    return Err(ForwardFailure::NotStarted(detail));
                }
                Err(ExchangeError::Lost(detail) | ExchangeError::Malformed(detail)) => {
                    return Err(ForwardFailure::Lost(detail));
                }
            };
        if response.status() != StatusCode::OK {
            // Hosts of earlier versions do not know the endpoint.
            return Err(ForwardFailure::NotStarted(response.status().to_string()));
        }
        connection.allow(route.max_reply_bytes() + EXTRA_REPLY_BYTES);
        let mut body = response.into_body();
        let mut encoded = BytesMut::new();
        while let Some(data) =
            connection.next_data(&mut body).await.map_err(ForwardFailure::Lost)?
        {
            encoded.extend_from_slice(&data);
        }
        peer.put_idle(connection, host.now()).await;
        return decode_reply(&encoded, &request.request_id);
    }
}

fn decode_reply(
    encoded: &[u8],
    expected: &Bytes,
) -> Result<Response<ResponseBody>, ForwardFailure> {
    let lost = |detail: &str| ForwardFailure::Lost(detail.to_owned());
    let reply: ForwardReply =
        peer_message::decode(encoded).map_err(|error| ForwardFailure::Lost(error.to_string()))?;
    let (request_id, status, headers, body) = match reply {
        ForwardReply::Response { request_id, status, headers, body } => {
            (request_id, status, headers, body)
        }
        ForwardReply::Refused(refusal) => return Err(ForwardFailure::Refused(refusal)),
    };
    if request_id != *expected {
        return Err(lost("the reply belongs to another request"));
    }
    let status = StatusCode::from_u16(status).ok().filter(|status| is_final_status(*status));
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status.ok_or_else(|| lost("the reply has no final status"))?;
    *response.headers_mut() =
        decode_headers(&headers).ok_or_else(|| lost("the reply has invalid headers"))?;
    Ok(response)
}

fn count(result: &'static str) {
    metrics::counter!("vanillapick_forwards_total", "result" => result).increment(1);
}
