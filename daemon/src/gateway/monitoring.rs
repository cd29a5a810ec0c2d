//! The HTTP server for readiness, metrics, and documents that peers fetch.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jujubewall_platform::site::READY_PATH;
use jujubewall_types::explain::EXPLAIN_PATH;
use log::warn;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::gateway::answer;
use crate::gateway::answer::Reply;
use crate::gateway::body::ReplyBody;
use crate::gateway::explain;
use crate::gateway::peers;
use crate::gateway::state::Gateway;

/// The path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// The time for which an idle connection is kept: several times the interval of the
/// balancer's readiness checks.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Starts to serve requests on a socket.
pub fn start(gateway: &Rc<Gateway>, socket: TcpListener) {
    let socket = Rc::new(socket);
    gateway.spawn_loop("monitoring", move |gateway| {
        accept_loop(gateway, Rc::clone(&socket))
    });
}

async fn accept_loop(gateway: Rc<Gateway>, socket: Rc<TcpListener>) {
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(failure) => {
                warn!("event=accept_failed reason=\"{failure}\"");
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        let gateway = Rc::clone(&gateway);
        spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let uri = request.uri();
                let reply = reply(&gateway, uri.path(), uri.query());
                async move { Ok::<_, Infallible>(reply) }
            });
            // The caller notices a broken connection itself.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn reply(gateway: &Gateway, path: &str, query: Option<&str>) -> Reply {
    match path {
        READY_PATH if gateway.is_ready() => answer::from_gateway(StatusCode::OK, "none"),
        READY_PATH => answer::from_gateway(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        METRICS_PATH => whole(Bytes::from(gateway.metrics.encode())),
        peers::CONFIG_PATH => peers::config_document(gateway).map_or_else(not_found, whole),
        peers::INSTANCES_PATH => {
            peers::instances_document(gateway, query).map_or_else(not_found, whole)
        }
        EXPLAIN_PATH => explain::document(gateway, query).unwrap_or_else(not_found),
        _ => not_found(),
    }
}

fn whole(bytes: Bytes) -> Reply {
    Response::new(ReplyBody::whole(bytes))
}

fn not_found() -> Reply {
    answer::from_gateway(StatusCode::NOT_FOUND, "not here")
}
