//! Endpoints for callers and for the platform's balancer.

use std::sync::Arc;

use bytes::Bytes;
use rocket::Data;
use rocket::Request;
use rocket::catch;
use rocket::data::ByteUnit;
use rocket::data::Capped;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::post;
use rocket::serde::Serialize;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::call::MAX_BODY_BYTES;
use vanillapick_model::call::RequestId;
use vanillapick_model::route::RouteKind;

use crate::call_headers::HeaderCheck;
use crate::call_response::CallResponse;
use crate::entry_host::EntryHost;
use crate::host_slot::HostHandle;
use crate::host_slot::HostSlot;
use crate::metrics_page::metrics_page;
use crate::request_flow::CallerRequest;
use crate::request_flow::run_request;
use crate::status_page::status_page;

/// Bytes of each body that Rocket reads before the handler runs, to look for a form field. Rocket ignores errors of
/// that read, so a connection that is closed within these bytes looks like the end of the body.
const PEEKED_BYTES: usize = "_method=delete".len();

#[post("/search/<route>", data = "<data>")]
pub(crate) async fn search(
    host: HostHandle,
    route: String,
    check: HeaderCheck,
    data: Data<'_>,
) -> CallResponse {
    serve(&host, RouteKind::Search, route, check, data).await
}

#[post("/read/<route>", data = "<data>")]
pub(crate) async fn read(
    host: HostHandle,
    route: String,
    check: HeaderCheck,
    data: Data<'_>,
) -> CallResponse {
    serve(&host, RouteKind::Read, route, check, data).await
}

#[post("/write/<route>", data = "<data>")]
pub(crate) async fn write(
    host: HostHandle,
    route: String,
    check: HeaderCheck,
    data: Data<'_>,
) -> CallResponse {
    serve(&host, RouteKind::Write, route, check, data).await
}

#[derive(Serialize)]
#[serde(crate = "rocket::serde")]
struct CancelReply {
    request_id: RequestId,
    cancelled: usize,
}

#[post("/cancel/<request_id>")]
pub(crate) fn cancel(host: HostHandle, request_id: RequestId) -> CallResponse {
    let cancelled = host.running.cancel(&request_id);
    let status = if cancelled == 0 { Status::NotFound } else { Status::Ok };
    CallResponse::json(status, &CancelReply { request_id, cancelled })
}

#[derive(Serialize)]
#[serde(crate = "rocket::serde")]
struct ReadyReply {
    ready: bool,
}

#[get("/health")]
pub(crate) fn health() -> Status {
    Status::Ok
}

#[get("/ready")]
pub(crate) fn ready(host: HostHandle) -> CallResponse {
    let ready = host.is_ready();
    let status = if ready { Status::Ok } else { Status::ServiceUnavailable };
    CallResponse::json(status, &ReadyReply { ready })
}

#[get("/metrics")]
pub(crate) fn metrics(host: HostHandle) -> (ContentType, String) {
    (ContentType::Plain, metrics_page(&host))
}

#[get("/status")]
pub(crate) fn status(host: HostHandle) -> CallResponse {
    CallResponse::json(Status::Ok, &status_page(&host))
}

/// Refuses a request to an unknown endpoint with the usual refusal body.
#[catch(404)]
pub(crate) fn no_endpoint(request: &Request<'_>) -> CallResponse {
    let message = format!("no endpoint is named {} {}", request.method(), request.uri().path());
    let refusal = RefusalBody::not_run(RefusalCode::UnknownRoute, message);
    match request.rocket().state::<HostSlot>().and_then(HostSlot::get) {
        Some(host) => refuse(&host, refusal),
        None => CallResponse::refusal(&refusal),
    }
}

async fn serve(
    host: &Arc<EntryHost>,
    kind: RouteKind,
    route: String,
    check: HeaderCheck,
    data: Data<'_>,
) -> CallResponse {
    let headers = match check.0 {
        Ok(headers) => headers,
        Err(refusal) => return refuse(host, refusal),
    };
    let body = match read_body(data, headers.body_length).await {
        Ok(body) => body,
        Err(refusal) => return refuse(host, refusal),
    };
    let request_id = headers.request_id.clone();
    let outcome = run_request(host, CallerRequest { kind, route, headers, body }).await;
    CallResponse::outcome(request_id, outcome)
}

async fn read_body(data: Data<'_>, announced: Option<usize>) -> Result<Bytes, RefusalBody> {
    let was_fully_peeked = data.peek_complete();
    // A connection closed within the body is refused with the code of a body that is too long; its caller is gone.
    let body = data.open(ByteUnit::Byte(MAX_BODY_BYTES as u64)).into_bytes().await;
    let Some(body) = body.ok().filter(Capped::is_complete).map(Capped::into_inner) else {
        let message = format!("the body is longer than {MAX_BODY_BYTES} bytes");
        return Err(RefusalBody::not_run(RefusalCode::BodyTooLarge, message));
    };
    let is_whole = match announced {
        Some(length) => body.len() == length,
        None => was_fully_peeked || PEEKED_BYTES <= body.len(),
    };
    if !is_whole {
        let message = "the body ended before its announced length";
        return Err(RefusalBody::not_run(RefusalCode::BodyTooLarge, message));
    }
    Ok(body.into())
}

fn refuse(host: &EntryHost, refusal: RefusalBody) -> CallResponse {
    host.policy.counters.record_refusal(refusal.code);
    CallResponse::refusal(&refusal)
}
