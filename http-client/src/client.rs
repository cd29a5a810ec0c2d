//! The client.

use std::error::Error as _;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error as ClientError;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use tokio::time::timeout;

use crate::answer_head::check_head;
use crate::deadlines::CallDeadlines;
use crate::error::HttpCallError;

/// The largest reply that is read, in bytes.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;
/// The time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// The connections that are in use, and how often they have been replaced.
struct Pool {
    client: PooledClient,
    generation: u64,
}

/// An HTTP/1.1 client for one address.
///
/// A call without a reply abandons every pooled connection, since connections
/// that share a path tend to go silent or to be cut together. The next call
/// opens a new socket.
pub struct HttpClient {
    address: SocketAddr,
    deadlines: CallDeadlines,
    pool: Mutex<Pool>,
}

impl HttpClient {
    /// Creates a client that opens connections when they are needed.
    pub fn new(address: SocketAddr, deadlines: CallDeadlines) -> Self {
        let pool = Pool {
            client: build_client(deadlines),
            generation: 0,
        };
        Self {
            address,
            deadlines,
            pool: Mutex::new(pool),
        }
    }

    /// Returns the limits that calls obey.
    pub const fn deadlines(&self) -> CallDeadlines {
        self.deadlines
    }

    /// Sends a request whose URI holds only path and query, within the usual deadline.
    pub async fn call(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpCallError> {
        self.call_within(request, self.deadlines.reply).await
    }

    /// Sends a request whose reply arrives within `reply_limit` once connected.
    pub async fn call_within(
        &self,
        request: Request<Bytes>,
        reply_limit: Duration,
    ) -> Result<Response<Bytes>, HttpCallError> {
        let request = self.with_address(request)?;
        let (client, generation) = self.client();
        let limit = self.deadlines.connect + reply_limit;
        let result = timeout(limit, exchange(client, request)).await;
        let result = result.unwrap_or_else(|_| {
            let text = format!("no reply within {} ms", limit.as_millis());
            Err(HttpCallError::ReplyLost(text))
        });
        if result.is_err() {
            self.abandon(generation);
        }
        result
    }

    /// Abandons every pooled connection, so that the next call opens a new one. Calls in
    /// progress go on.
    pub fn abandon_connections(&self) {
        let (_, generation) = self.client();
        self.abandon(generation);
    }

    fn with_address(&self, request: Request<Bytes>) -> Result<Request<Full<Bytes>>, HttpCallError> {
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build();
        parts.uri = uri.map_err(|error| HttpCallError::NotSent(error.to_string()))?;
        Ok(Request::from_parts(parts, Full::new(body)))
    }

    fn client(&self) -> (PooledClient, u64) {
        let pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        (pool.client.clone(), pool.generation)
    }

    /// Replaces the connections unless another call has done so since `generation`.
    fn abandon(&self, generation: u64) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.generation != generation {
            return;
        }
        log::debug!("event=connections_replaced address={}", self.address);
        pool.client = build_client(self.deadlines);
        pool.generation += 1;
    }
}

fn build_client(deadlines: CallDeadlines) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(deadlines.connect));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}

async fn exchange(
    client: PooledClient,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, HttpCallError> {
    let response = client.request(request).await;
    let response = response.map_err(|error| classify(&error))?;
    check_head(&response).map_err(|fault| HttpCallError::ReplyLost(fault.to_string()))?;
    read_body(response).await
}

async fn read_body(response: Response<Incoming>) -> Result<Response<Bytes>, HttpCallError> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
    let body = body.map_err(|error| HttpCallError::ReplyLost(error.to_string()))?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

/// Tells whether any byte of a failed call can have been written.
///
/// The library reports a call as canceled only when it hands the request back
/// unwritten.
fn classify(error: &ClientError) -> HttpCallError {
    let cause = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>());
    let unwritten = cause.is_some_and(hyper::Error::is_canceled);
    let text = cause.map_or_else(|| error.to_string(), ToString::to_string);
    if error.is_connect() || unwritten {
        HttpCallError::NotSent(text)
    } else {
        HttpCallError::ReplyLost(text)
    }
}
