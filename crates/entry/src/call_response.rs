//! HTTP responses to callers.

use std::io::Cursor;

use rocket::Request;
use rocket::Response;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::response::Responder;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::call::RequestId;
use vanillapick_model::call::header;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::SnapshotPin;
use vanillapick_policy::attempt::SessionOutcome;

/// HTTP status of a request that its caller cancelled. The status is not registered, but widely used.
const CLIENT_CLOSED_REQUEST: u16 = 499;

/// A complete HTTP response.
#[derive(Debug)]
pub struct CallResponse {
    pub status: Status,
    pub content_type: ContentType,
    /// Headers other than the content type.
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl CallResponse {
    /// Creates a response with `value` as its JSON body.
    pub fn json(status: Status, value: &impl serde::Serialize) -> Self {
        // Serialization cannot fail: the bodies have no maps with keys other than strings and no failing serializers.
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self { status, content_type: ContentType::JSON, headers: Vec::new(), body }
    }

    /// Creates the response to a refused request, with the HTTP status of its code.
    pub fn refusal(refusal: &RefusalBody) -> Self {
        Self::json(refusal_status(refusal.code), refusal)
    }

    /// Creates the response to a finished session.
    pub fn outcome(request_id: RequestId, outcome: SessionOutcome) -> Self {
        let mut response = match outcome {
            SessionOutcome::Answer(answer) => Self::json(Status::Ok, &answer),
            SessionOutcome::Refused(refusal) => Self::refusal(&refusal),
            SessionOutcome::Reply(reply) => Self {
                status: Status::Ok,
                content_type: ContentType::JSON,
                headers: origin_headers(reply.pin, reply.shard),
                body: reply.body.to_vec(),
            },
        };
        response.headers.push((header::REQUEST_ID, request_id));
        response
    }
}

impl<'r> Responder<'r, 'static> for CallResponse {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut builder = Response::build();
        builder.status(self.status).header(self.content_type);
        for (name, value) in self.headers {
            builder.raw_header(name, value);
        }
        builder.sized_body(self.body.len(), Cursor::new(self.body)).ok()
    }
}

/// Headers with the snapshot, shard map and shard of a reply. They are omitted for a resend of a keyed write, because
/// the claim does not record them.
fn origin_headers(pin: SnapshotPin, shard: ShardIndex) -> Vec<(&'static str, String)> {
    if pin == (SnapshotPin { shard_map: 0, snapshot: 0 }) {
        return Vec::new();
    }
    vec![
        (header::SNAPSHOT, pin.snapshot.to_string()),
        (header::SHARD_MAP, pin.shard_map.to_string()),
        (header::SHARD, shard.to_string()),
    ]
}

/// HTTP status for a refusal code.
pub fn refusal_status(code: RefusalCode) -> Status {
    match code {
        RefusalCode::UnknownRoute => Status::NotFound,
        RefusalCode::BodyTooLarge => Status::PayloadTooLarge,
        RefusalCode::WrongKind
        | RefusalCode::DeadlineMissing
        | RefusalCode::DeadlineInvalid
        | RefusalCode::RequestIdInvalid
        | RefusalCode::IdempotencyKeyInvalid
        | RefusalCode::HeaderDuplicated => Status::BadRequest,
        RefusalCode::CrashingRequest => Status::UnprocessableEntity,
        RefusalCode::ClaimInProgress => Status::Conflict,
        RefusalCode::OutcomeUnknown | RefusalCode::BadReply => Status::BadGateway,
        RefusalCode::DeadlineExceeded => Status::GatewayTimeout,
        RefusalCode::Cancelled => Status::new(CLIENT_CLOSED_REQUEST),
        RefusalCode::DeadlineUnmeetable
        | RefusalCode::Overloaded
        | RefusalCode::QueueTimeout
        | RefusalCode::CoverageTooLow
        | RefusalCode::NoReplica
        | RefusalCode::ClaimUnavailable
        | RefusalCode::NotReady
        | RefusalCode::Stopping => Status::ServiceUnavailable,
    }
}
