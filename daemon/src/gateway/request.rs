//! A client's request, read whole and checked.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use jujubewall_platform::site::headers;
use jujubewall_routing::fleet::layer_path::StreamNeed;
use jujubewall_routing::fleet::routes::KeyHolder;
use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::fleet::Route;
use jujubewall_types::fleet::Service;
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::gateway::answer::strip_connection_headers;

/// The time that remains when a request is first sent on, below which it is not:
/// no upstream can answer within it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// The shortest time without an event after which a client leaves, by the platform's
/// protocol.
const MIN_CLIENT_PATIENCE: Duration = Duration::from_secs(2);

/// The objectives to the first event after which a client leaves, by the same.
const PATIENCE_IN_TARGETS: u32 = 4;

/// The pauses that a route allows after which a client leaves, by the same.
const PATIENCE_IN_GAPS: u32 = 8;

/// The priority of the platform's scale that the least urgent routes get.
const MAX_PRIORITY: u32 = 9;

/// A request whose head and body have arrived.
pub struct ClientRequest {
    /// The identifier of the client attempt; empty if the client sent none.
    pub id: SmolStr,
    /// The route.
    pub route: Route,
    /// The service that takes the request.
    pub service: Service,
    /// When the request began to arrive.
    pub received_at: Instant,
    /// When the client, or the route, waits no longer.
    pub give_up_at: Instant,
    /// The version of the configuration that was applied to it.
    pub config_version: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// What the configuration says of a request.
pub struct Admission<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service that takes the request.
    pub service: &'a Service,
    /// The account that holds the request's key, if it needs one.
    pub holder: Option<&'a KeyHolder>,
    /// The version of the configuration.
    pub config_version: u64,
}

/// The reason that a request's body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFault {
    /// The body is larger than the limit.
    TooLarge,
    /// The client stopped sending.
    Cut,
    /// The client took longer than its route allows.
    TooSlow,
}

/// Reads a body of at most `max_bytes` within `limit`.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyFault> {
    match timeout(limit, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyFault::TooLarge),
        Ok(Err(_)) => Err(BodyFault::Cut),
        Err(_) => Err(BodyFault::TooSlow),
    }
}

impl ClientRequest {
    /// Joins a request's head and body with what the configuration says of it.
    pub fn new(parts: Parts, body: Bytes, admission: &Admission<'_>, received_at: Instant) -> Self {
        let Admission { route, service, .. } = *admission;
        let mut fields = parts.headers;
        let timeout = Duration::from_millis(route.timeout_ms);
        let client_waits = headers::number(&fields, &headers::DEADLINE_MS);
        let client_waits = client_waits.map_or(timeout, Duration::from_millis);
        strip_connection_headers(&mut fields);
        headers::strip_router_only(&mut fields);
        fields.remove(EXPECT);
        if let Some(holder) = admission.holder
            && let Ok(value) = HeaderValue::try_from(holder.account.as_str())
        {
            fields.insert(headers::ACCOUNT, value);
        }
        let rank = admission.holder.and_then(|holder| holder.rank);
        let priority = rank.unwrap_or(route.rank).min(MAX_PRIORITY);
        fields.insert(headers::REQUEST_PRIORITY, HeaderValue::from(priority));
        Self {
            id: headers::request_id(&fields).unwrap_or_default(),
            route: route.clone(),
            service: service.clone(),
            received_at,
            give_up_at: received_at + timeout.min(client_waits),
            config_version: admission.config_version,
            method: parts.method,
            uri: parts.uri,
            headers: fields,
            body,
        }
    }

    /// Returns the time without an event after which the client leaves, by the platform's
    /// protocol.
    pub fn client_patience(&self) -> Duration {
        let target = Duration::from_millis(self.route.target_latency_ms);
        let gap = Duration::from_millis(self.route.target_gap_ms);
        MIN_CLIENT_PATIENCE
            .max(target * PATIENCE_IN_TARGETS)
            .max(gap * PATIENCE_IN_GAPS)
    }

    /// Returns the time that is left, or `None` if no upstream can answer within it.
    pub fn time_left(&self) -> Option<Duration> {
        let left = self.give_up_at.checked_duration_since(Instant::now())?;
        (left >= MIN_TIME_LEFT).then_some(left)
    }

    /// Returns the tokens that a stream is expected to need, from what the client
    /// says and what is usual.
    pub fn need(&self, spec: &EngineSpec) -> StreamNeed {
        let counts = headers::token_counts(&self.headers);
        let prompt = counts.map_or(spec.usual_prompt_tokens, |counts| f64::from(counts.prompt));
        let hint = headers::answer_hint(&self.headers).map(|tokens| tokens as f64);
        let most = counts.map(|counts| f64::from(counts.max_answer));
        let answer = match (hint, most) {
            (Some(hint), Some(most)) => hint.min(most),
            (Some(hint), None) => hint,
            (None, Some(most)) => most.min(spec.usual_answer_tokens),
            (None, None) => spec.usual_answer_tokens,
        };
        StreamNeed {
            prompt_tokens: prompt,
            answer_tokens: answer.max(1.0),
        }
    }

    /// Returns the identifier of the last event that the client has.
    pub fn last_event_id(&self) -> Option<u64> {
        headers::number(&self.headers, &headers::LAST_EVENT_ID)
    }

    /// Builds the request for an upstream, with the time that is left.
    pub fn for_upstream(&self, instance_id: &str, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let fields = request.headers_mut();
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
        fields.insert(headers::DEADLINE_MS, HeaderValue::from(left_ms));
        if let Ok(id) = HeaderValue::try_from(instance_id) {
            fields.insert(headers::EXPECT_INSTANCE, id);
        }
        request
    }
}
