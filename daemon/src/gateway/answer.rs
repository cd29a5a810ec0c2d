//! The gateway's own answers, and the header rules for answers that it passes on.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::RETRY_AFTER;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use jujubewall_types::outcome::promises_not_run;
use log::info;

use crate::gateway::body::ReplyBody;

/// The reason of an answer that is given because the gateway does not live to wait longer.
pub const STOPS: &str = "this gateway is about to stop";

/// The reason of an answer that replaces a failure of an upstream that ran the request.
const FAILED_AFTER_RUN: &str = "the upstream failed";

/// An answer to a client.
pub type Reply = Response<ReplyBody>;

/// The header that states how long an idle connection is kept.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The hop-by-hop headers, which apply to one connection only, and the content length.
const CONNECTION_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// Removes the hop-by-hop headers, including those that the sender names as such, and the
/// content length, which the HTTP library sets again.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Passes on the answer of an upstream that ran the request, or replaces it if it would promise
/// the client that the request did not run. The body is taken only if the answer is passed on.
///
/// An upstream that fails may choose such a status for a request that it ran, and only its
/// statement that the request did not run is evidence of that. The client could send the request
/// again, and it would run twice; 502 promises nothing.
pub fn pass_on(
    id: &str,
    status: StatusCode,
    mut headers: HeaderMap,
    body: impl FnOnce() -> ReplyBody,
) -> Reply {
    if promises_not_run(status.as_u16()) {
        info!("event=false_promise id={id} status={}", status.as_u16());
        return from_gateway(StatusCode::BAD_GATEWAY, FAILED_AFTER_RUN);
    }
    strip_connection_headers(&mut headers);
    let mut reply = Response::new(body());
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Returns an answer of the gateway itself with a status and a reason.
pub fn from_gateway(status: StatusCode, reason: &'static str) -> Reply {
    let body = format!("{{\"error\":\"{reason}\"}}\n");
    let mut reply = Response::new(ReplyBody::whole(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Rejects a request that has not run in any of its sends, and tells the client when to
/// retry.
pub fn reject(id: &str, reason: &'static str, retry_after: Duration, sends: u32) -> Reply {
    info!(
        "event=reject id={id} reason=\"{reason}\" come_back_ms={} sends={sends}",
        retry_after.as_millis()
    );
    not_run(reason, retry_after)
}

/// Rejects a request before it is admitted, so that no line tells its end.
pub fn reject_unadmitted(id: &str, reason: &'static str, retry_after: Duration) -> Reply {
    info!(
        "event=reject id={id} stage=accept reason=\"{reason}\" come_back_ms={} sends=0",
        retry_after.as_millis()
    );
    not_run(reason, retry_after)
}

/// Returns an answer which states that a request has not run, and when to retry.
fn not_run(reason: &'static str, retry_after: Duration) -> Reply {
    let mut reply = from_gateway(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
