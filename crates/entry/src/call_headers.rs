//! Parses and validates the headers of caller requests.

use std::time::Duration;

use bytes::Bytes;
use rocket::Request;
use rocket::http::HeaderMap;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use vanillapick_model::answer::RefusalBody;
use vanillapick_model::answer::RefusalCode;
use vanillapick_model::call::MAX_DEADLINE;
use vanillapick_model::call::RequestId;
use vanillapick_model::call::header;

/// Maximum length of a request id in characters.
const MAX_REQUEST_ID_LENGTH: usize = 64;

/// Maximum length of an idempotency key in characters.
const MAX_IDEMPOTENCY_KEY_LENGTH: usize = 128;

/// Parsed headers of a valid request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHeaders {
    /// 1 to 64 letters, digits, `-` or `_`.
    pub request_id: RequestId,
    /// 1 ms to 60 s.
    pub deadline: Duration,
    /// Selects the shard of a read.
    pub key: Option<Bytes>,
    /// 1 to 128 visible ASCII characters.
    pub idempotency_key: Option<String>,
    /// Announced length of the body in bytes; `None` for a chunked body.
    pub body_length: Option<usize>,
}

/// Result of the header check. It is passed to the handler, which responds with a refusal body if the check failed.
pub struct HeaderCheck(pub Result<CallHeaders, RefusalBody>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for HeaderCheck {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self(check_headers(request.headers())))
    }
}

/// Checks all headers. The refusal has the code of the first finding and the messages of all findings.
pub fn check_headers(headers: &HeaderMap<'_>) -> Result<CallHeaders, RefusalBody> {
    let mut findings: Vec<(RefusalCode, String)> = Vec::new();
    let mut single = |name: &'static str| {
        let mut values = headers.get(name);
        let value = values.next();
        if values.next().is_some() {
            findings.push((
                RefusalCode::HeaderDuplicated,
                format!("the header {name} is given more than once"),
            ));
        }
        value
    };
    let request_id = single(header::REQUEST_ID);
    let deadline = single(header::DEADLINE_MS);
    let key = single(header::KEY);
    let idempotency_key = single(header::IDEMPOTENCY_KEY);

    if !request_id.is_some_and(is_request_id) {
        let message = format!("{} must be 1 to 64 letters, digits, '-' or '_'", header::REQUEST_ID);
        findings.push((RefusalCode::RequestIdInvalid, message));
    }
    let deadline = match deadline {
        None => {
            let message =
                format!("{} is missing; give the time left in milliseconds", header::DEADLINE_MS);
            findings.push((RefusalCode::DeadlineMissing, message));
            Duration::ZERO
        }
        Some(text) => parse_deadline(text).unwrap_or_else(|| {
            let message = format!("{} must be a whole number from 1 to 60000", header::DEADLINE_MS);
            findings.push((RefusalCode::DeadlineInvalid, message));
            Duration::ZERO
        }),
    };
    if idempotency_key.is_some_and(|key| !is_idempotency_key(key)) {
        let message =
            format!("{} must be 1 to 128 visible ASCII characters", header::IDEMPOTENCY_KEY);
        findings.push((RefusalCode::IdempotencyKeyInvalid, message));
    }
    if let Some((code, _)) = findings.first() {
        let code = *code;
        let sentences: Vec<_> = findings.into_iter().map(|(_, sentence)| sentence).collect();
        return Err(RefusalBody::not_run(code, sentences.join("; ")));
    }
    Ok(CallHeaders {
        request_id: request_id.unwrap_or_default().to_owned(),
        deadline,
        key: key.map(|key| Bytes::copy_from_slice(key.as_bytes())),
        idempotency_key: idempotency_key.map(str::to_owned),
        // The HTTP server rejects a request with a malformed or repeated length before this check.
        body_length: headers.get_one("content-length").and_then(|text| text.parse().ok()),
    })
}

fn is_request_id(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.len() <= MAX_REQUEST_ID_LENGTH && text.bytes().all(allowed)
}

fn is_idempotency_key(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_IDEMPOTENCY_KEY_LENGTH
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn parse_deadline(text: &str) -> Option<Duration> {
    // `u64::from_str` accepts a leading plus sign, which the header does not allow.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let deadline = Duration::from_millis(text.parse().ok()?);
    (!deadline.is_zero() && deadline <= MAX_DEADLINE).then_some(deadline)
}
