//! A plain service over HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use jujubewall_http_client::CallDeadlines;
use jujubewall_http_client::HttpClient;
use jujubewall_types::outcome::Outcome;

use crate::error::UpstreamError;
use crate::service::Service;
use crate::service::ServiceRequest;
use crate::service::ServiceResponse;
use crate::wire::OUTCOME_HEADER;
use crate::wire::REQUEST_ID_HEADER;

/// A client of one plain service, which sends every call once.
pub struct HttpService {
    client: HttpClient,
}

impl HttpService {
    /// Creates a client of the service at `address` with the usual deadlines.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_deadlines(address, CallDeadlines::default())
    }

    /// Creates a client of the service at `address`.
    pub fn with_deadlines(address: SocketAddr, deadlines: CallDeadlines) -> Self {
        Self {
            client: HttpClient::new(address, deadlines),
        }
    }
}

#[async_trait]
impl Service for HttpService {
    async fn call(&self, request: ServiceRequest) -> Result<ServiceResponse, UpstreamError> {
        let own_timeout = self.client.deadlines().reply;
        let reply_timeout = request.reply_timeout.unwrap_or(own_timeout);
        let request_id = request.request_id.clone();
        let request = build_request(request).map_err(|error| unsendable(&error))?;
        let response = self.client.call_within(request, reply_timeout).await?;
        read_response(&response, &request_id)
    }
}

fn build_request(request: ServiceRequest) -> Result<Request<Bytes>, hyper::http::Error> {
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(request.path.as_str())
        .header(REQUEST_ID_HEADER, request.request_id.as_str());
    if let Some(content_type) = &request.content_type {
        builder = builder.header(CONTENT_TYPE, content_type.as_str());
    }
    builder.body(request.body)
}

/// Reads an answer. A service need not name the request; if it names another one, the answer
/// is a late copy.
fn read_response(
    response: &Response<Bytes>,
    request_id: &str,
) -> Result<ServiceResponse, UpstreamError> {
    if header(response, REQUEST_ID_HEADER).is_some_and(|named| named != request_id) {
        let text = "the answer names another request".to_owned();
        return Err(UpstreamError::ReplyLost(text));
    }
    if header(response, OUTCOME_HEADER) == Some(Outcome::NotRun.as_str()) {
        let text = String::from_utf8_lossy(response.body()).into_owned();
        return Err(UpstreamError::Refused(text));
    }
    Ok(ServiceResponse {
        status: response.status().as_u16(),
        content_type: header(response, CONTENT_TYPE.as_str()).map(Into::into),
        body: response.body().clone(),
    })
}

fn header<'a>(response: &'a Response<Bytes>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn unsendable(error: &hyper::http::Error) -> UpstreamError {
    UpstreamError::NotSent(error.to_string())
}
