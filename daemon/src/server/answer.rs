//! Builds HTTP answers.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use jujubewall_types::admin::ErrorAnswerBody;
use jujubewall_types::error::Failure;
use jujubewall_types::outcome::Outcome;
use serde::Serialize;

/// The header that tells a caller whether its request ran.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("jujubewall-outcome");

/// The media type of JSON documents.
pub const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The number of milliseconds in a second.
const MS_PER_S: u64 = 1000;

/// The body of every answer.
pub type AnswerBody = BoxBody<Bytes, std::convert::Infallible>;

/// An HTTP answer.
pub type Answer = Response<AnswerBody>;

/// Creates a body of bytes that are known in advance.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).boxed()
}

/// Returns an answer with a JSON document.
pub fn json(status: StatusCode, document: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(document).unwrap_or_default();
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, JSON);
    answer
}

/// Returns an answer with a text of the given media type.
pub fn text(status: StatusCode, media_type: &'static str, body: String) -> Answer {
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    answer.headers_mut().insert(CONTENT_TYPE, media_type);
    answer
}

/// Returns the answer to a failed request, with the status, code and outcome of the failure's
/// kind.
pub fn failure(failure: Failure) -> Answer {
    let row = failure.kind.answer();
    let retry_after_ms = failure.retry_after_ms;
    let status = StatusCode::from_u16(row.http_status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = ErrorAnswerBody {
        error: failure.into(),
    };
    let mut answer = json(status, &body);
    set_outcome(&mut answer, row.outcome);
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
        answer.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    answer
}

/// Sets the header that tells the caller whether its request ran.
pub fn set_outcome(answer: &mut Answer, outcome: Outcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    answer.headers_mut().insert(OUTCOME_HEADER, value);
}
