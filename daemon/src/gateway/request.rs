//! Client requests, read completely and matched with the configuration.

use std::hash::Hasher as _;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::body::Body as _;
use hyper::header::EXPECT;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use jujubewall_platform::site::headers;
use jujubewall_routing::fleet::layer_path::StreamNeed;
use jujubewall_routing::fleet::routes::KeyHolder;
use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::fleet::Route;
use jujubewall_types::fleet::Service;
use jujubewall_types::id::RequestDigest;
use log::info;
use smol_str::SmolStr;
use tokio::task::spawn_local;
use tokio::time::Instant;
use twox_hash::XxHash64;

use crate::gateway::activity::RequestBody;
use crate::gateway::answer::strip_connection_headers;
use crate::gateway::crash_watch::Suspects;
use crate::gateway::state::Gateway;
use crate::request_memory;
use crate::request_memory::RequestShare;

/// The remaining time below which a request is not sent, since no upstream can answer
/// within it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// The shortest time without an event after which a client disconnects, by the platform's
/// protocol.
const MIN_CLIENT_PATIENCE: Duration = Duration::from_secs(2);

/// The multiple of the route's target latency without an event after which a client
/// disconnects, by the platform's protocol.
const PATIENCE_TARGET_FACTOR: u32 = 4;

/// The multiple of the route's target gap without an event after which a client
/// disconnects, by the platform's protocol.
const PATIENCE_GAP_FACTOR: u32 = 8;

/// The largest part of a refused request's body that is read and dropped, in bytes.
const MAX_DISCARDED_BYTES: usize = 32 * 1024 * 1024;

/// The time for which the body of a refused request is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The lowest priority on the platform's scale, where larger numbers are less urgent.
const MAX_PRIORITY: u32 = 9;

/// A request whose head and body have arrived completely.
pub struct ClientRequest {
    /// The identifier of the client attempt; empty if the client sent none.
    pub id: SmolStr,
    /// The route.
    pub route: Route,
    /// The service that handles the request.
    pub service: Service,
    /// The account that holds the request's key; empty if the route needs none.
    pub account: SmolStr,
    /// When the request began to arrive.
    pub received_at: Instant,
    /// The deadline: the earlier of the client's and the route's.
    pub give_up_at: Instant,
    /// The version of the configuration that was applied to the request.
    pub config_version: u64,
    /// What may crash the upstreams that run the request.
    pub suspects: Suspects,
    /// The urgency among streams of one service, where 0 is the most urgent: by the rank that
    /// applies to the account, then by that of the route.
    pub urgency: u32,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// What the body takes of the memory for requests.
    _share: RequestShare,
}

/// The parts of the configuration that apply to a request.
pub struct Admission<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service that handles the request.
    pub service: &'a Service,
    /// The account that holds the request's key, if it needs one.
    pub holder: Option<&'a KeyHolder>,
    /// The version of the configuration.
    pub config_version: u64,
}

/// A body that has arrived completely, with what it takes of the memory for requests.
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// What it takes.
    pub share: RequestShare,
}

/// Reads and drops the rest of a refused request's body while the refusal is sent.
///
/// A connection that is closed with unread data is reset, and its client may lose the
/// refusal. Where many bodies are dropped already, that is accepted.
pub fn discard_body(gateway: &Gateway, mut body: RequestBody, fields: &HeaderMap) {
    // A client that waits for leave to send the body may never send it.
    if body.is_end_stream() || fields.contains_key(EXPECT) {
        return;
    }
    let Some(discarding) = gateway.request_memory.try_discard() else {
        gateway.metrics.count("body_not_discarded");
        return;
    };
    let id = headers::request_id(fields).unwrap_or_default();
    spawn_local(async move {
        let _discarding = discarding;
        let has_ended =
            request_memory::discard(&mut body, MAX_DISCARDED_BYTES, DISCARD_TIMEOUT).await;
        if !has_ended {
            info!(
                "event=body_unfinished id={id} reason=\"the request was refused before its end\""
            );
        }
    });
}

/// Returns the deadline of a request: the earlier of the client's and the route's.
pub fn deadline(fields: &HeaderMap, route: &Route, received_at: Instant) -> Instant {
    let timeout = Duration::from_millis(route.timeout_ms);
    let client_timeout = headers::number(fields, &headers::DEADLINE_MS);
    let client_timeout = client_timeout.map_or(timeout, Duration::from_millis);
    received_at + timeout.min(client_timeout)
}

impl ClientRequest {
    /// Creates a request from its head, its body and the configuration that applies to it.
    pub fn new(
        parts: Parts,
        body: HeldBody,
        admission: &Admission<'_>,
        received_at: Instant,
    ) -> Self {
        let HeldBody { bytes: body, share } = body;
        let Admission { route, service, .. } = *admission;
        let mut fields = parts.headers;
        let give_up_at = deadline(&fields, route, received_at);
        strip_connection_headers(&mut fields);
        headers::strip_router_only(&mut fields);
        fields.remove(EXPECT);
        if let Some(holder) = admission.holder
            && let Ok(value) = HeaderValue::try_from(holder.account.as_str())
        {
            fields.insert(headers::ACCOUNT, value);
        }
        let account = admission.holder.map(|holder| holder.account.as_str());
        let account = account.unwrap_or_default();
        let suspects = Suspects {
            request: request_digest(&parts.method, &parts.uri, account, &body),
            parts: headers::shared_prompt_parts(&fields),
        };
        let rank = admission.holder.and_then(|holder| holder.rank);
        let priority = priority(rank, route);
        fields.insert(headers::REQUEST_PRIORITY, HeaderValue::from(priority));
        Self {
            id: headers::request_id(&fields).unwrap_or_default(),
            route: route.clone(),
            service: service.clone(),
            account: SmolStr::new(account),
            received_at,
            give_up_at,
            config_version: admission.config_version,
            suspects,
            urgency: urgency(rank, route),
            method: parts.method,
            uri: parts.uri,
            headers: fields,
            body,
            _share: share,
        }
    }

    /// Returns the time without an event after which the client disconnects, by the platform's
    /// protocol.
    pub fn client_timeout(&self) -> Duration {
        let target = Duration::from_millis(self.route.target_latency_ms);
        let gap = Duration::from_millis(self.route.target_gap_ms);
        MIN_CLIENT_PATIENCE
            .max(target * PATIENCE_TARGET_FACTOR)
            .max(gap * PATIENCE_GAP_FACTOR)
    }

    /// Returns the time until the deadline, or `None` if no upstream can answer within it.
    pub fn time_left(&self) -> Option<Duration> {
        let left = self.give_up_at.checked_duration_since(Instant::now())?;
        (left >= MIN_TIME_LEFT).then_some(left)
    }

    /// Returns the numbers of tokens that a stream is expected to need, from the client's
    /// headers or else the usual ones of the service.
    pub fn need(&self, spec: &EngineSpec) -> StreamNeed {
        let counts = headers::token_counts(&self.headers);
        let prompt = counts.map_or(spec.usual_prompt_tokens, |counts| f64::from(counts.prompt));
        let hint = headers::answer_hint(&self.headers).map(|tokens| tokens as f64);
        let max_tokens = counts.map(|counts| f64::from(counts.max_answer));
        let answer = match (hint, max_tokens) {
            (Some(hint), Some(max_tokens)) => hint.min(max_tokens),
            (Some(hint), None) => hint,
            (None, Some(max_tokens)) => max_tokens.min(spec.usual_answer_tokens),
            (None, None) => spec.usual_answer_tokens,
        };
        StreamNeed {
            prompt_tokens: prompt,
            answer_tokens: answer.max(1.0),
        }
    }

    /// Returns the time that the client says it will wait.
    pub fn patience(&self) -> Option<Duration> {
        headers::number(&self.headers, &headers::DEADLINE_MS).map(Duration::from_millis)
    }

    /// Returns the identifier of the last event that the client has received.
    pub fn last_event_id(&self) -> Option<u64> {
        headers::number(&self.headers, &headers::LAST_EVENT_ID)
    }

    /// Builds the request for an upstream, with `left` as the time until the deadline.
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

/// Returns the urgency of a request of an account with the given rank among the streams of one
/// service.
pub fn urgency(account_rank: Option<u32>, route: &Route) -> u32 {
    priority(account_rank, route) * (MAX_PRIORITY + 1) + route.rank.min(MAX_PRIORITY)
}

/// Returns the priority of a request at its upstream: the rank of its account, if that has one,
/// or else of its route.
fn priority(account_rank: Option<u32>, route: &Route) -> u32 {
    account_rank.unwrap_or(route.rank).min(MAX_PRIORITY)
}

/// Returns the digest by which a repeated request is recognised, which is the same in every
/// build. Clients choose a new identifier and a new deadline for each attempt.
fn request_digest(method: &Method, uri: &Uri, account: &str, body: &[u8]) -> RequestDigest {
    let path = uri.path_and_query().map_or("", PathAndQuery::as_str);
    let mut hasher = XxHash64::with_seed(0);
    for field in [
        method.as_str().as_bytes(),
        path.as_bytes(),
        account.as_bytes(),
    ] {
        hasher.write(&(field.len() as u64).to_le_bytes());
        hasher.write(field);
    }
    hasher.write(body);
    RequestDigest(hasher.finish())
}
