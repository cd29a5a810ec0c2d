//! The document that explains where a request would go now. Reading it changes nothing.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use jujubewall_routing::admission::Applicant;
use jujubewall_routing::fleet::explain::bound_candidates;
use jujubewall_routing::fleet::explain::explain_call;
use jujubewall_routing::fleet::layer_path::CapacityLimits;
use jujubewall_routing::fleet::layer_path::LayerPath;
use jujubewall_routing::fleet::layer_path::PathRequest;
use jujubewall_routing::fleet::layer_path::Preference;
use jujubewall_routing::fleet::layer_path::StreamNeed;
use jujubewall_routing::fleet::layer_path::choose_path;
use jujubewall_routing::fleet::layer_path::explain_path;
use jujubewall_routing::fleet::rendezvous;
use jujubewall_routing::fleet::routes::RouteTable;
use jujubewall_routing::fleet::service_choice::NoUpstream;
use jujubewall_routing::fleet::service_choice::choose_upstream;
use jujubewall_types::explain::ExplainedCandidate;
use jujubewall_types::explain::ExplainedOutcome;
use jujubewall_types::explain::ExplainedPart;
use jujubewall_types::explain::Explanation;
use jujubewall_types::fleet::ClientAccount;
use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::fleet::Route;
use jujubewall_types::fleet::Service;
use jujubewall_types::id::ServiceName;
use tokio::time::Instant;

use crate::gateway::answer;
use crate::gateway::answer::Reply;
use crate::gateway::body::ReplyBody;
use crate::gateway::call;
use crate::gateway::request::urgency;
use crate::gateway::state::Gateway;
use crate::gateway::stream;
use crate::gateway::waiting::queue_account;

/// The request to explain.
#[derive(Default)]
struct Question<'a> {
    host: &'a str,
    path: &'a str,
    account: Option<&'a str>,
    prompt_tokens: Option<u32>,
    answer_tokens: Option<u32>,
}

impl<'a> Question<'a> {
    /// Reads a query. The values are as they stand in a request's head, so none is decoded.
    fn new(query: &'a str) -> Option<Self> {
        let mut question = Self::default();
        for field in query.split('&') {
            let (name, value) = field.split_once('=')?;
            match name {
                "host" => question.host = value,
                "path" => question.path = value,
                "account" => question.account = Some(value),
                "prompt" => question.prompt_tokens = Some(value.parse().ok()?),
                "answer" => question.answer_tokens = Some(value.parse().ok()?),
                _ => return None,
            }
        }
        Some(question)
    }

    fn need(&self, spec: &EngineSpec) -> StreamNeed {
        StreamNeed {
            prompt_tokens: self
                .prompt_tokens
                .map_or(spec.usual_prompt_tokens, f64::from),
            answer_tokens: self
                .answer_tokens
                .map_or(spec.usual_answer_tokens, f64::from)
                .max(1.0),
        }
    }
}

/// Returns the explanation of the request in `query`; `None` without a query.
pub fn document(gateway: &Gateway, query: Option<&str>) -> Option<Reply> {
    let refuse = |reason| Some(answer::from_gateway(StatusCode::BAD_REQUEST, reason));
    let Some(question) = Question::new(query?) else {
        return refuse("the query has an unknown or unreadable field");
    };
    let Some(routes) = gateway.routes() else {
        return refuse("no configuration yet");
    };
    let Some(route) = routes.find(question.host, question.path) else {
        return refuse("no route");
    };
    let Some(service) = routes.service_for(route, 0) else {
        return refuse("the route's service is unknown");
    };
    let accounts = routes.config().accounts.as_deref().unwrap_or_default();
    let named = |account: &&ClientAccount| Some(account.name.as_str()) == question.account;
    let account = accounts.iter().find(named);
    if question.account.is_some() && account.is_none() {
        return refuse("no such account");
    }
    let (outcome, mut candidates) = match &service.engine {
        Some(spec) => {
            let limits = stream_limits(gateway, &routes, route, service, account);
            explain_stream(gateway, &service.name, spec, &question.need(spec), limits)
        }
        None => explain_plain(gateway, &service.name),
    };
    let needs_key = routes.config().accounts.is_some() && !route.is_open;
    let outcome = if needs_key && account.is_none() {
        ExplainedOutcome::Rejected {
            status: StatusCode::UNAUTHORIZED.as_u16(),
            reason: "unknown key".into(),
            retry_after_ms: None,
        }
    } else {
        outcome
    };
    let used = match &outcome {
        ExplainedOutcome::Sent(parts) => parts.as_slice(),
        ExplainedOutcome::Rejected { .. } => &[],
    };
    let omitted = bound_candidates(&mut candidates, used);
    let explanation = Explanation {
        config_version: routes.config().version,
        route: route.name.clone(),
        service: service.name.clone(),
        account: account.map(|account| account.name.clone()),
        rank: account
            .and_then(|account| account.rank)
            .unwrap_or(route.rank),
        outcome,
        candidates,
        omitted,
    };
    let body = serde_json::to_vec(&explanation).ok()?;
    Some(Response::new(ReplyBody::whole(Bytes::from(body))))
}

/// Returns the limits that a stream of an account would get if it arrived now.
fn stream_limits(
    gateway: &Gateway,
    routes: &RouteTable,
    route: &Route,
    service: &Service,
    account: Option<&ClientAccount>,
) -> CapacityLimits {
    let name = account.map_or("", |account| account.name.as_str());
    let applicant = Applicant {
        rank: urgency(account.and_then(|account| account.rank), route),
        account: queue_account(name),
        received_at: Instant::now(),
        target: Duration::from_millis(route.target_latency_ms),
        is_overdue: false,
    };
    let is_ranked = routes.has_ranked_streams(&service.name);
    let report_age = gateway.instances().report_age();
    gateway
        .admissions
        .limits(&service.name, &applicant, is_ranked, report_age)
}

fn explain_stream(
    gateway: &Gateway,
    service: &ServiceName,
    spec: &EngineSpec,
    need: &StreamNeed,
    limits: CapacityLimits,
) -> (ExplainedOutcome, Vec<ExplainedCandidate>) {
    let settings = gateway.settings();
    let choice = PathRequest {
        service,
        spec,
        need,
        excluded: &[],
        limits,
        may_cross: gateway.may_cross_domains(spec),
        preference: Preference {
            own_domain: Some(&settings.failure_domain),
            domain_order_seed: rendezvous::gateway_key(settings.peer_address),
            jitter_seed: 0,
        },
    };
    let now = Instant::now();
    let instances = gateway.instances();
    let candidates = explain_path(&instances, &choice, now);
    let parts = |path: LayerPath| {
        let parts = path.parts.iter().filter_map(|part| {
            let upstream = instances.get(part.instance)?.instance.id.clone();
            Some(ExplainedPart {
                upstream,
                layers: Some(part.layers),
            })
        });
        ExplainedOutcome::Sent(parts.collect())
    };
    let outcome = match choose_path(&instances, &choice, now) {
        Ok(path) => parts(path),
        // The time follows from the rank, or from earlier repairs, and a draw for each client.
        Err(reason) => without_time(stream::rejection_reason(reason)),
    };
    (outcome, candidates)
}

fn explain_plain(
    gateway: &Gateway,
    service: &ServiceName,
) -> (ExplainedOutcome, Vec<ExplainedCandidate>) {
    let now = Instant::now();
    let instances = gateway.instances();
    let candidates = explain_call(&instances, service, now);
    let outcome = match choose_upstream(&instances, service, &[], 0, now) {
        Ok(key) => {
            let tracked = instances.get(key);
            let parts = tracked.map(|tracked| ExplainedPart {
                upstream: tracked.instance.id.clone(),
                layers: None,
            });
            ExplainedOutcome::Sent(parts.into_iter().collect())
        }
        Err(NoUpstream::AllFull) => rejected(gateway, service, call::ALL_FULL),
        Err(NoUpstream::NoneUsable) => rejected(gateway, service, call::NONE_USABLE),
    };
    (outcome, candidates)
}

fn rejected(gateway: &Gateway, service: &ServiceName, reason: &str) -> ExplainedOutcome {
    let wait = gateway.peek_retry_after(service).unwrap_or_default();
    let wait = gateway.extend_until_resume(service, wait);
    ExplainedOutcome::Rejected {
        status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        reason: reason.into(),
        retry_after_ms: u64::try_from(wait.as_millis()).ok(),
    }
}

fn without_time(reason: &str) -> ExplainedOutcome {
    ExplainedOutcome::Rejected {
        status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        reason: reason.into(),
        retry_after_ms: None,
    }
}
