//! The HTTP server that all stand-ins share.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// A stand-in's answer to one HTTP request.
pub enum ServerAnswer {
    /// The reply is sent.
    Reply(Response<Bytes>),
    /// The connection is closed without a reply.
    Closed,
}

/// The error that makes the library close a connection.
#[derive(Debug, Error)]
#[error("the connection is closed without a reply")]
struct ClosedError;

/// Answers HTTP requests.
#[async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, request: Request<Bytes>) -> ServerAnswer;
}

/// A running server, which ends with all its connections when it is dropped.
pub struct ServerHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Returns the address at which the server accepts connections.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `handler` at `listener` until the handle is dropped.
///
/// # Panics
///
/// Panics if the listener has no local address.
pub fn serve_http(listener: TcpListener, handler: Arc<dyn HttpHandler>) -> ServerHandle {
    let address = listener.local_addr().expect("a listener has an address");
    let task = tokio::spawn(accept_all(listener, handler));
    ServerHandle { address, task }
}

/// Builds a JSON reply with `status`.
///
/// # Panics
///
/// Panics if the document cannot be encoded or the status does not exist.
pub fn json_reply<T: Serialize>(status: u16, document: &T) -> ServerAnswer {
    let body = serde_json::to_vec(document).expect("documents encode");
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    ServerAnswer::Reply(response)
}

async fn accept_all(listener: TcpListener, handler: Arc<dyn HttpHandler>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve_connection(stream, Arc::clone(&handler)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn HttpHandler>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| answer(request, Arc::clone(&handler)));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("a connection of a stand-in ended: {error}");
    }
}

async fn answer(
    request: Request<Incoming>,
    handler: Arc<dyn HttpHandler>,
) -> Result<Response<Full<Bytes>>, ClosedError> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ClosedError)?;
    let request = Request::from_parts(parts, body.to_bytes());
    match run_to_end(handler, request).await {
        ServerAnswer::Reply(response) => Ok(response.map(Full::new)),
        ServerAnswer::Closed => Err(ClosedError),
    }
}

/// Runs a handler in its own task, so that a caller that goes away stops no effect.
async fn run_to_end(handler: Arc<dyn HttpHandler>, request: Request<Bytes>) -> ServerAnswer {
    let task = tokio::spawn(async move { handler.handle(request).await });
    task.await.unwrap_or(ServerAnswer::Closed)
}
