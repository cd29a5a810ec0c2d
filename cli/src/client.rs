//! Requests to an entry's operator address, or to a gateway's metrics address.

use std::env;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use jujubewall_types::admin::ErrorAnswerBody;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// The environment variable that holds the entry's operator address.
pub const ENTRY_VARIABLE: &str = "JUJUBEWALL_ENTRY";

/// The environment variable that holds the operator's key.
pub const KEY_VARIABLE: &str = "JUJUBEWALL_OPERATOR_KEY";

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The timeout for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A client of one entry with one operator's key, or of one gateway.
pub struct Client {
    entry: SocketAddr,
    /// The header that carries the key, if one is sent.
    authorization: Option<String>,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client from the options and, where they are absent, the environment.
    pub fn new(entry: Option<SocketAddr>, key_file: Option<&Path>) -> Result<Self, Failure> {
        let key = read_key(key_file)?;
        Ok(Self {
            authorization: Some(format!("Bearer {key}")),
            ..Self::without_key(read_entry(entry)?)
        })
    }

    /// Creates a client that sends no key.
    pub fn without_key(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            entry: address,
            authorization: None,
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Reads the document at `path`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.send(Method::GET, path, Bytes::new(), ErrorKind::NoUpstream)
            .await
    }

    /// Sends a document whose effect is not known if the answer is lost.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        document: &impl Serialize,
        when_lost: ErrorKind,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(document).map_err(|error| internal(&error))?;
        self.send(Method::POST, path, body.into(), when_lost).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        when_lost: ErrorKind,
    ) -> Result<T, Failure> {
        let request = self.request(method, path, body)?;
        let exchange = self.exchange(request, when_lost);
        let Ok(answer) = timeout(ANSWER_TIMEOUT, exchange).await else {
            let message = format!("no answer within {} s", ANSWER_TIMEOUT.as_secs());
            return Err(Failure::new(when_lost, message));
        };
        let (status, content) = answer?;
        if status.is_success() {
            return read_answer(&content);
        }
        // The result of a refused note has an error status, but is no error document.
        read_answer(&content).map_err(|_| read_failure(status, &content))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry));
        if let Some(authorization) = &self.authorization {
            request = request.header(AUTHORIZATION, authorization);
        }
        request
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Failure::new(ErrorKind::BadRequest, error.to_string()))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        when_lost: ErrorKind,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let response = self.http.request(request).await.map_err(|error| {
            let kind = if error.is_connect() {
                ErrorKind::NoUpstream
            } else {
                when_lost
            };
            Failure::new(kind, format!("{}: {}", self.entry, root_cause(&error)))
        })?;
        let status = response.status();
        let content = read_body(response.into_body())
            .await
            .map_err(|reason| Failure::new(when_lost, reason))?;
        Ok((status, content))
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, String> {
    Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| error.to_string())
}

fn read_answer<T: DeserializeOwned>(content: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(content).map_err(|error| internal(&error))
}

fn read_failure(status: StatusCode, content: &[u8]) -> Failure {
    let Ok(body) = serde_json::from_slice::<ErrorAnswerBody>(content) else {
        return Failure::new(ErrorKind::Internal, format!("answer with status {status}"));
    };
    let mut failure = Failure::new(body.error.code, body.error.message);
    failure.retry_after_ms = body.error.retry_after_ms;
    failure
}

fn read_entry(entry: Option<SocketAddr>) -> Result<SocketAddr, Failure> {
    if let Some(entry) = entry {
        return Ok(entry);
    }
    let missing = || bad_request(format!("give --entry or set {ENTRY_VARIABLE}"));
    let text = env::var(ENTRY_VARIABLE).map_err(|_| missing())?;
    text.parse()
        .map_err(|_| bad_request(format!("{ENTRY_VARIABLE} holds no IP address and port")))
}

fn read_key(key_file: Option<&Path>) -> Result<String, Failure> {
    let Some(path) = key_file else {
        let missing = |_| bad_request(format!("give --key-file or set {KEY_VARIABLE}"));
        return env::var(KEY_VARIABLE).map_err(missing);
    };
    let unreadable = |error| bad_request(format!("{}: {error}", path.display()));
    let text = fs::read_to_string(path).map_err(unreadable)?;
    Ok(text.trim().to_owned())
}

fn bad_request(message: String) -> Failure {
    Failure::new(ErrorKind::BadRequest, message)
}

fn internal(error: &serde_json::Error) -> Failure {
    Failure::new(ErrorKind::Internal, error.to_string())
}

fn root_cause(error: &dyn Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
