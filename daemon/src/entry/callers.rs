//! The interface that callers use.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::call::ServiceReply;
use jujubewall_protocol::stream::Route;
use jujubewall_routing::order::entry::NewCall;
use jujubewall_routing::order::key::KeyDigest;
use jujubewall_routing::order::key::ShardName;
use jujubewall_routing::order::settings::AgentOrderSettings;
use jujubewall_types::config::ClientAccount;
use jujubewall_types::config::ServiceProfile;
use jujubewall_types::config::Upstream;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::ServiceName;
use jujubewall_types::member::MemberState;
use jujubewall_types::outcome::Outcome;
use jujubewall_types::outcome::promises_not_run;
use kameo::actor::ActorRef;
use kameo::error::SendError;
use serde::Serialize;
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::entry::actor::EntryActor;
use crate::entry::calls::unknown_result;
use crate::entry::completion::AnswerHead;
use crate::entry::completion::CompletionRequest;
use crate::entry::completion::Form;
use crate::entry::credentials;
use crate::entry::messages::StartCall;
use crate::entry::messages::StartStream;
use crate::entry::reply;
use crate::entry::reply::StreamEvents;
use crate::entry::view::View;
use crate::membership::Members;
use crate::metrics::Metrics;
use crate::server::answer;
use crate::server::answer::Answer;
use crate::server::body;
use crate::server::body::BodyLimits;
use crate::server::body::LimitedBody;
use crate::vocabulary;

/// The path of text completions.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// The path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// The path of the list of models.
const MODELS_PATH: &str = "/v1/models";

/// The path below which plain services are reached by name.
const SERVICES_PREFIX: &str = "/v1/services/";

/// The time after which a call that found no agent may be repeated.
const NO_AGENT_RETRY_MS: u64 = 1_000;

/// The header that names the pipeline of an answer.
const PIPELINE_HEADER: HeaderName = HeaderName::from_static("jujubewall-pipeline");

/// The header that names the status of a service's reply where it is not passed on as such.
const SERVICE_STATUS_HEADER: HeaderName = HeaderName::from_static("jujubewall-service-status");

/// What the handler of callers' requests needs.
#[derive(Clone)]
pub struct Callers {
    /// The actor that carries the requests.
    pub actor: ActorRef<EntryActor>,
    /// The configuration in force.
    pub view: watch::Receiver<Arc<View>>,
    /// The members as of their last change.
    pub members: Members,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The limits on bodies.
    pub limits: BodyLimits,
    /// The address at which this entry accepts connections from peers.
    pub own_address: std::net::SocketAddr,
}

/// One model in the list of models.
#[derive(Serialize)]
struct ModelLine {
    id: SmolStr,
    object: &'static str,
    owned_by: SmolStr,
}

/// The list of models.
#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelLine>,
}

impl Callers {
    /// Answers one request.
    pub fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>> {
        let callers = self.clone();
        Box::pin(async move {
            let metrics = Arc::clone(&callers.metrics);
            let (head, body) = request.into_parts();
            let mut body = LimitedBody::new(body, &head, callers.limits.clone());
            match callers.dispatch(head, &mut body).await {
                Ok(answer) => answer,
                Err(failure) => {
                    metrics.count_failed(failure.kind);
                    body.discard(&failure).await;
                    answer::failure(failure)
                }
            }
        })
    }

    async fn dispatch(self, head: Parts, body: &mut LimitedBody) -> Result<Answer, Failure> {
        let view = Arc::clone(&self.view.borrow());
        let path = head.uri.path();
        match (path, &head.method) {
            (COMPLETIONS_PATH, &Method::POST) => self.complete(view, &head, body, Form::Text).await,
            (CHAT_PATH, &Method::POST) => self.complete(view, &head, body, Form::Chat).await,
            (MODELS_PATH, &Method::GET) => {
                authenticate(&view, &head.headers)?;
                Ok(list_models(&view))
            }
            (COMPLETIONS_PATH | CHAT_PATH | MODELS_PATH, _) => Err(Failure::new(
                ErrorKind::MethodNotAllowed,
                "the path does not offer this method",
            )),
            (path, _) if path.starts_with(SERVICES_PREFIX) => self.call(view, &head, body).await,
            _ => Err(Failure::new(ErrorKind::NotFound, "no such path")),
        }
    }

    async fn complete(
        self,
        view: Arc<View>,
        request: &Parts,
        body: &mut LimitedBody,
        form: Form,
    ) -> Result<Answer, Failure> {
        let account = authenticate(&view, &request.headers)?.name.clone();
        let deadline = Instant::now() + credentials::deadline(&request.headers)?;
        let priority = credentials::priority(&request.headers)?;
        let body = body.read().await?;
        let body: CompletionRequest = body::parse_json(&body)?;
        let prompt = vocabulary::encode(&body.prompt_text(form)?);
        let prompt_tokens = u32::try_from(prompt.len()).unwrap_or(u32::MAX);
        let start = StartStream {
            account,
            model: body.model.clone(),
            prompt,
            max_answer_tokens: body.max_tokens(),
            priority,
            deadline,
        };
        let started = self.actor.ask(start).send().await.map_err(actor_failure)?;
        let head = AnswerHead {
            request: started.request,
            model: body.model,
            form,
            created_unix_s: unix_s(),
            prompt_tokens,
        };
        let events = StreamEvents::new(started.request, started.events, self.actor);
        // The actor counts how the stream ends.
        let mut answer = if body.stream {
            reply::streamed(head, events).await
        } else {
            reply::whole(head, events).await
        };
        if request.headers.contains_key(credentials::TRACE_HEADER) {
            set_pipeline(&mut answer, &started.route);
        }
        Ok(answer)
    }

    async fn call(
        self,
        view: Arc<View>,
        request: &Parts,
        body: &mut LimitedBody,
    ) -> Result<Answer, Failure> {
        let has_key = credentials::idempotency_key(&request.headers)?.is_some();
        let answer = self.call_once(view, request, body).await;
        answer.map_err(|failure| {
            if has_key {
                without_not_run_claim(failure)
            } else {
                failure
            }
        })
    }

    async fn call_once(
        self,
        view: Arc<View>,
        request: &Parts,
        body: &mut LimitedBody,
    ) -> Result<Answer, Failure> {
        let account = authenticate(&view, &request.headers)?.name.clone();
        let wait = credentials::deadline(&request.headers)?;
        let idempotency_key = credentials::idempotency_key(&request.headers)?;
        let (service, path) = service_path(&request.uri)?;
        let key_shard = idempotency_key
            .as_deref()
            .map(|key| key_shard(&account, &service, key));
        let (upstream, profile) = pick_service(&view, &self.members, &service, key_shard)?;
        let id = RequestId(rand::random());
        let method = SmolStr::new(request.method.as_str());
        let content_type = content_type(&request.headers)?;
        let body = body.read().await?;
        let call = NewCall {
            request: id,
            account,
            service,
            upstream: upstream.name.clone(),
            idempotency_key,
            idempotent: profile.idempotent,
            method,
            path,
            content_type,
            body,
        };
        let start = StartCall {
            agent_address: upstream.agent_address,
            call: Box::new(call),
            deadline: Instant::now() + wait,
        };
        let result = self.actor.ask(start).send().await.map_err(actor_failure)?;
        let result = wait_for_result(id, wait, result).await;
        call_answer(result, &self.metrics)
    }
}

/// Returns the failure of a call with an idempotency key. If the key may not have been looked up,
/// an earlier call with it, at any entry, may have run.
fn without_not_run_claim(failure: Failure) -> Failure {
    match failure.kind {
        ErrorKind::NoUpstream
        | ErrorKind::Draining
        | ErrorKind::DeadlineUnreachable
        | ErrorKind::PlatformUnavailable => Failure {
            kind: ErrorKind::OutcomeUnknown,
            message: format!(
                "{}; an earlier call with this key may have run",
                failure.message
            ),
            ..failure
        },
        _ => failure,
    }
}

/// Names the engines of a pipeline with their layers.
fn set_pipeline(answer: &mut Answer, route: &Route) {
    let stages: Vec<_> = route
        .iter()
        .map(|stage| format!("{}[{}]", stage.upstream, stage.layers))
        .collect();
    if let Ok(value) = HeaderValue::from_str(&stages.join(", ")) {
        answer.headers_mut().insert(PIPELINE_HEADER, value);
    }
}

async fn wait_for_result(
    request: RequestId,
    wait: Duration,
    result: tokio::sync::oneshot::Receiver<CallResult>,
) -> CallResult {
    match timeout(wait, result).await {
        Ok(Ok(result)) => result,
        _ => unknown_result(request),
    }
}

fn call_answer(result: CallResult, metrics: &Metrics) -> Result<Answer, Failure> {
    match (result.reply, result.failure) {
        (Some(reply), _) => {
            metrics.count_completed();
            Ok(service_answer(reply, result.outcome))
        }
        (None, Some(failure)) => Err(failure),
        (None, None) => Err(Failure::new(
            ErrorKind::Internal,
            "the call ended without a reply",
        )),
    }
}

/// Returns the answer that passes on a service's reply.
///
/// A service that fails may choose a status which promises that the call has not run. Clients that
/// do not know the outcome's header would repeat it, so the status is passed on in a header then.
fn service_answer(reply: ServiceReply, outcome: Outcome) -> Answer {
    let mut answer = Answer::new(answer::full_body(reply.body));
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.status_mut() = if promises_not_run(status.as_u16()) {
        let value = HeaderValue::from(status.as_u16());
        answer.headers_mut().insert(SERVICE_STATUS_HEADER, value);
        StatusCode::BAD_GATEWAY
    } else {
        status
    };
    let media_type = reply.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(media_type)) = media_type {
        answer.headers_mut().insert(CONTENT_TYPE, media_type);
    }
    answer::set_outcome(&mut answer, outcome);
    answer
}

fn authenticate<'a>(view: &'a View, headers: &HeaderMap) -> Result<&'a ClientAccount, Failure> {
    let key = credentials::bearer_key(headers)?;
    view.account_of_key(key).ok_or_else(|| {
        Failure::new(
            ErrorKind::Unauthenticated,
            "the key belongs to no client account",
        )
    })
}

fn service_path(uri: &hyper::Uri) -> Result<(ServiceName, SmolStr), Failure> {
    let rest = uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::new(service)
        .map_err(|error| Failure::new(ErrorKind::UnknownService, error.to_string()))?;
    let path = match uri.query() {
        Some(query) => SmolStr::from(format!("/{path}?{query}")),
        None => SmolStr::from(format!("/{path}")),
    };
    Ok((service, path))
}

/// Picks an upstream of a service at random among those whose agent takes new work.
fn pick_service<'a>(
    view: &'a View,
    members: &Members,
    service: &ServiceName,
    key_shard: Option<ShardName>,
) -> Result<(&'a Upstream, &'a ServiceProfile), Failure> {
    let upstreams = view.upstreams_of(service);
    if upstreams.is_empty() {
        return Err(Failure::new(
            ErrorKind::UnknownService,
            format!("no service is named {service}"),
        ));
    }
    let usable: SmallVec<[_; 4]> = upstreams
        .iter()
        .filter_map(|name| view.service(name))
        .filter(|(upstream, _)| {
            members.state_at(upstream.agent_address) == Some(MemberState::Alive)
        })
        .collect();
    if usable.is_empty() {
        let failure = Failure::new(
            ErrorKind::NoUpstream,
            "no agent of the service is reachable",
        );
        return Err(failure.with_retry_after_ms(NO_AGENT_RETRY_MS));
    }
    // Keys of one shard are claimed by one agent as long as it can be reached.
    let names = usable.iter().map(|(upstream, _)| &upstream.name);
    let preferred = key_shard.and_then(|shard| shard.preferred(names));
    let preferred = usable
        .iter()
        .find(|(upstream, _)| Some(&upstream.name) == preferred);
    Ok(preferred.map_or_else(
        || usable[rand::random_range(0..usable.len())],
        |found| *found,
    ))
}

fn key_shard(account: &AccountName, service: &ServiceName, key: &str) -> ShardName {
    let shards = AgentOrderSettings::default().shards;
    let shard = KeyDigest::new(account, key).shard(shards);
    ShardName::new(service.clone(), shard)
}

fn content_type(headers: &HeaderMap) -> Result<Option<SmolStr>, Failure> {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(|text| Some(SmolStr::new(text)))
        .map_err(|_| Failure::new(ErrorKind::BadRequest, "the content type is not plain text"))
}

fn list_models(view: &View) -> Answer {
    let models = view.configuration().models.values();
    let data = models
        .map(|owned| ModelLine {
            id: owned.item.name.clone().into(),
            object: "model",
            owned_by: owned.owner.clone().into(),
        })
        .collect();
    let list = ModelList {
        object: "list",
        data,
    };
    answer::json(StatusCode::OK, &list)
}

fn actor_failure<M>(error: SendError<M, Failure>) -> Failure {
    match error {
        SendError::HandlerError(failure) => failure,
        _ => Failure::new(ErrorKind::Draining, "this entry is shutting down"),
    }
}

fn unix_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}
