//! The HTTP server for readiness, metrics, and documents that peers fetch.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
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
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::gateway::answer;
use crate::gateway::answer::Reply;
use crate::gateway::body::ReplyBody;
use crate::gateway::clients::OpenConnection;
use crate::gateway::explain;
use crate::gateway::head_meter::HeadMeter;
use crate::gateway::peers;
use crate::gateway::state::Gateway;
use crate::metered_socket::MeteredSocket;
use crate::request_memory::SharedRequestMemory;

/// The path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// The time for which an idle connection is kept: several times the interval of the
/// balancer's readiness checks.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest number of open connections to one address. The balancer, the metrics and the
/// peers of a fleet of 400 gateways need a tenth of it at a time.
const MAX_CONNECTIONS: usize = 128;

/// The size of a connection's read buffer, and so of the largest head, in bytes: the largest
/// head that clients may send by default.
const HEAD_BUFFER_BYTES: usize = 16 * 1024;

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
    let open = Rc::new(Cell::new(0));
    let memory = SharedRequestMemory::new(MAX_CONNECTIONS * HEAD_BUFFER_BYTES);
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(failure) => {
                warn!("event=accept_failed reason=\"{failure}\"");
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        // A connection whose sender has stopped makes room for a new one.
        if !memory.make_room(open.get(), MAX_CONNECTIONS, MAX_CONNECTIONS) {
            gateway.metrics.count("monitoring_connection_refused");
            continue;
        }
        let open = OpenConnection::new(&open);
        let memory = Arc::clone(&memory);
        let gateway = Rc::clone(&gateway);
        spawn_local(async move {
            let _open = open;
            serve_connection(&gateway, stream, &memory).await;
        });
    }
}

async fn serve_connection(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    memory: &Arc<SharedRequestMemory>,
) {
    let head = HeadMeter::new(memory);
    let service = service_fn(|request: Request<Incoming>| {
        head.end_head();
        let uri = request.uri();
        let reply = reply(gateway, uri.path(), uri.query());
        head.end_request();
        head.expect_request();
        async move { Ok::<_, Infallible>(reply) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(
            TokioIo::new(MeteredSocket::new(stream, Rc::clone(&head))),
            service,
        );
    tokio::select! {
        // The caller notices a broken connection itself.
        _ = connection => {}
        () = head.evicted() => gateway.metrics.count("monitoring_connection_evicted"),
    }
}

fn reply(gateway: &Gateway, path: &str, query: Option<&str>) -> Reply {
    match path {
        READY_PATH if gateway.is_ready() => answer::from_gateway(StatusCode::OK, "none"),
        READY_PATH => answer::from_gateway(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        METRICS_PATH => {
            let used_bytes = gateway.request_memory.used_bytes();
            let used_bytes = i64::try_from(used_bytes).unwrap_or(i64::MAX);
            gateway.metrics.request_memory.set(used_bytes);
            whole(Bytes::from(gateway.metrics.encode()))
        }
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
