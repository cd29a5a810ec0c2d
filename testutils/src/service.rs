//! A plain service whose calls must not be repeated.

use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use jujubewall_protocol::call::ServiceCall;
use jujubewall_types::outcome::Outcome;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::service::Service;
use jujubewall_upstream::service::ServiceRequest;
use jujubewall_upstream::service::ServiceResponse;
use jujubewall_upstream::wire::OUTCOME_HEADER;
use jujubewall_upstream::wire::REQUEST_ID_HEADER;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::http_server::HttpHandler;
use crate::http_server::ServerAnswer;
use crate::http_server::ServerHandle;
use crate::http_server::serve_http;

/// The status of an answer.
const STATUS_OK: u16 = 200;

/// The faults that a test can set.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// The time between the run and the reply.
    pub delay: Duration,
    /// Whether calls that have run are never answered.
    pub hangs: bool,
    /// The number of next calls whose replies are lost after the run.
    pub lose_next_replies: u32,
    /// Whether calls are refused without a run.
    pub refuses: bool,
    /// The status with which calls are answered that have run, instead of success.
    pub fails_with: Option<u16>,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    runs_by_request: HashMap<SmolStr, u32>,
    runs_by_body: HashMap<Bytes, u32>,
}

/// A plain service in memory, which answers with the body that it was sent.
///
/// It counts runs by request and by body, and keeps these counts through all
/// faults, so that a test can judge what it was told. Clones share their state.
#[derive(Clone, Default)]
pub struct FakeService {
    state: Arc<Mutex<State>>,
}

impl FakeService {
    /// Creates a service without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.state().faults);
    }

    /// Returns how often calls of a request ran.
    pub fn runs_of_request(&self, request_id: &str) -> u32 {
        let state = self.state();
        state.runs_by_request.get(request_id).copied().unwrap_or(0)
    }

    /// Returns how often calls with a body ran.
    pub fn runs_of_body(&self, body: &[u8]) -> u32 {
        let state = self.state();
        state.runs_by_body.get(body).copied().unwrap_or(0)
    }

    /// Returns how often calls ran.
    pub fn runs(&self) -> u32 {
        self.state().runs_by_request.values().sum()
    }

    /// Serves this service over HTTP.
    pub fn serve(&self, listener: TcpListener) -> ServerHandle {
        serve_http(listener, Arc::new(self.clone()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a call and returns the faults that then apply to its reply.
    fn run(&self, request: &ServiceRequest) -> Result<ServiceFaults, UpstreamError> {
        let mut state = self.state();
        if state.faults.refuses {
            return Err(UpstreamError::Refused("the service takes no calls".into()));
        }
        let request_id = request.request_id.clone();
        *state.runs_by_request.entry(request_id).or_default() += 1;
        let body = request.body.clone();
        *state.runs_by_body.entry(body).or_default() += 1;
        let faults = state.faults.clone();
        state.faults.lose_next_replies = faults.lose_next_replies.saturating_sub(1);
        Ok(faults)
    }
}

#[async_trait]
impl Service for FakeService {
    async fn call(&self, request: ServiceRequest) -> Result<ServiceResponse, UpstreamError> {
        let faults = self.run(&request)?;
        if faults.hangs {
            return pending().await;
        }
        if !faults.delay.is_zero() {
            sleep(faults.delay).await;
        }
        if faults.lose_next_replies > 0 {
            return Err(UpstreamError::ReplyLost("the reply is dropped".into()));
        }
        Ok(ServiceResponse {
            status: faults.fails_with.unwrap_or(STATUS_OK),
            content_type: request.content_type,
            body: request.body,
        })
    }
}

#[async_trait]
impl HttpHandler for FakeService {
    async fn handle(&self, request: Request<Bytes>) -> ServerAnswer {
        match self.call(service_request(&request)).await {
            Ok(response) => ServerAnswer::Reply(http_response(response)),
            Err(UpstreamError::ReplyLost(_)) => ServerAnswer::Closed,
            Err(error) => ServerAnswer::Reply(refusal(&error)),
        }
    }
}

fn service_request(request: &Request<Bytes>) -> ServiceRequest {
    let header = |name: &str| Some(request.headers().get(name)?.to_str().ok()?.into());
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    ServiceRequest {
        method: request.method().as_str().into(),
        path: path.into(),
        content_type: header(CONTENT_TYPE.as_str()),
        request_id: header(REQUEST_ID_HEADER).unwrap_or_default(),
        body: request.body().clone(),
        reply_timeout: None,
    }
}

fn http_response(response: ServiceResponse) -> Response<Bytes> {
    let mut builder = Response::builder().status(response.status);
    if let Some(content_type) = &response.content_type {
        builder = builder.header(CONTENT_TYPE, content_type.as_str());
    }
    builder.body(response.body).expect("the reply is valid")
}

fn refusal(error: &UpstreamError) -> Response<Bytes> {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(OUTCOME_HEADER, Outcome::NotRun.as_str())
        .body(Bytes::from(error.to_string()))
        .expect("the reply is valid")
}

/// Builds the request that an agent sends to a plain service for a call.
pub fn request_of_call(call: ServiceCall) -> ServiceRequest {
    ServiceRequest {
        method: call.method,
        path: call.path,
        content_type: call.content_type,
        request_id: format_smolstr!("{}", call.request),
        body: call.body,
        reply_timeout: None,
    }
}
