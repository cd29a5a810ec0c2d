//! A caller and an operator, as small as tests and examples need them.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use thiserror::Error;

/// What goes in front of each event of a stream.
const EVENT_PREFIX: &str = "data: ";

/// The event that ends a stream.
const DONE: &str = "[DONE]";

/// The reason that a request got no answer.
#[derive(Debug, Error)]
#[error("no answer: {0}")]
pub struct NoAnswer(String);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: u16,
    /// The header that tells whether the request ran.
    pub outcome: Option<String>,
    /// The time after which asking again makes sense, in seconds.
    pub retry_after_s: Option<u64>,
    /// The header that names the pipeline.
    pub pipeline: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Returns the body as JSON, or null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the code of an error answer.
    pub fn error_code(&self) -> String {
        text(&self.json()["error"]["code"])
    }
}

/// A streamed answer whose events are read one by one.
pub struct EventStream {
    body: Incoming,
    buffer: String,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A part of the answer.
    Text(String),
    /// The answer broke off with an error of this code.
    Error(String),
    /// The answer is whole.
    Done,
}

impl EventStream {
    /// Reads the next event; `None` tells that the connection has ended.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some((event, rest)) = self.buffer.split_once("\n\n") {
                let event = parse_event(event);
                let rest_len = rest.len();
                let consumed = self.buffer.len() - rest_len;
                self.buffer.drain(..consumed);
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            let data = frame.into_data().unwrap_or_default();
            self.buffer.push_str(&String::from_utf8_lossy(&data));
        }
    }

    /// Reads the whole text; an error's code or the lack of an end is an error.
    pub async fn text(&mut self) -> Result<String, NoAnswer> {
        let mut whole = String::new();
        loop {
            match self.next().await {
                Some(Event::Text(part)) => whole.push_str(&part),
                Some(Event::Done) => return Ok(whole),
                Some(Event::Error(code)) => return Err(NoAnswer(code)),
                None => return Err(NoAnswer("the stream has no end".to_owned())),
            }
        }
    }
}

/// A client that speaks HTTP with one key.
#[derive(Clone, Debug)]
pub struct HttpUser {
    address: SocketAddr,
    key: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpUser {
    /// Creates a client of the interface at `address`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_owned(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpAnswer, NoAnswer> {
        let response = self.begin(method, path, headers, body.into()).await?;
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let outcome = header("jujubewall-outcome");
        let retry_after_s = header("retry-after").and_then(|value| value.parse().ok());
        let pipeline = header("jujubewall-pipeline");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(no_answer)?;
        Ok(HttpAnswer {
            status,
            outcome,
            retry_after_s,
            pipeline,
            body: body.to_bytes(),
        })
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> Result<HttpAnswer, NoAnswer> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a JSON document.
    pub async fn post(&self, path: &str, document: &Value) -> Result<HttpAnswer, NoAnswer> {
        let headers = [("content-type", "application/json")];
        self.send(Method::POST, path, &headers, document.to_string())
            .await
    }

    /// Asks for a streamed answer.
    pub async fn stream(&self, path: &str, document: &Value) -> Result<EventStream, HttpAnswer> {
        let body = Bytes::from(document.to_string());
        let lost = |error: NoAnswer| HttpAnswer {
            status: 0,
            outcome: None,
            retry_after_s: None,
            pipeline: None,
            body: Bytes::from(error.to_string()),
        };
        let response = self
            .begin(Method::POST, path, &[], body)
            .await
            .map_err(lost)?;
        if response.status().is_success() {
            return Ok(EventStream {
                body: response.into_body(),
                buffer: String::new(),
            });
        }
        let status = response.status().as_u16();
        let collected = response.into_body().collect().await;
        Err(HttpAnswer {
            status,
            outcome: None,
            retry_after_s: None,
            pipeline: None,
            body: collected
                .map(http_body_util::Collected::to_bytes)
                .unwrap_or_default(),
        })
    }

    async fn begin(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, NoAnswer> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header(AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(no_answer)?;
        self.client.request(request).await.map_err(no_answer)
    }
}

fn parse_event(event: &str) -> Event {
    let data = event.strip_prefix(EVENT_PREFIX).unwrap_or(event);
    if data == DONE {
        return Event::Done;
    }
    let document: Value = serde_json::from_str(data).unwrap_or_default();
    if !document["error"].is_null() {
        return Event::Error(text(&document["error"]["code"]));
    }
    let choice = &document["choices"][0];
    let part = match &choice["text"] {
        Value::Null => &choice["delta"]["content"],
        part => part,
    };
    Event::Text(text(part))
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn no_answer(error: impl std::fmt::Display) -> NoAnswer {
    NoAnswer(error.to_string())
}
