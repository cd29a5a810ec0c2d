//! Clients' connections and requests.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jujubewall_platform::site::headers;
use jujubewall_routing::fleet::routes::RouteTable;
use jujubewall_types::fleet::ClientLimits;
use jujubewall_types::fleet::RequestKind;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::gateway::answer;
use crate::gateway::answer::Reply;
use crate::gateway::call;
use crate::gateway::request::Admission;
use crate::gateway::request::BodyFault;
use crate::gateway::request::ClientRequest;
use crate::gateway::request::read_body;
use crate::gateway::state::Gateway;
use crate::gateway::stream;

/// The time to wait after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The descriptors that are kept free for upstreams, the store and files.
const RESERVED_DESCRIPTORS: usize = 1_000;

/// The time beyond the promised one for which an unused connection is kept.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// The smallest buffer for a request's head that the library takes, in bytes.
const MIN_HEAD_BUFFER: usize = 8_192;

/// When a client may come back to a gateway that knows no configuration yet.
const START_WAIT: Duration = Duration::from_millis(500);

/// The listener for clients.
pub struct Listening {
    stop: watch::Sender<bool>,
}

impl Listening {
    /// Accepts no further connection, and closes each one after its request.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// Starts to serve clients.
pub fn start(gateway: &Rc<Gateway>, socket: TcpListener) -> Listening {
    let (stop, stopped) = watch::channel(false);
    spawn_local(accept_loop(Rc::clone(gateway), socket, stopped));
    Listening { stop }
}

async fn accept_loop(
    gateway: Rc<Gateway>,
    socket: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => return,
            accepted = socket.accept() => accepted,
        };
        let max_open = gateway.settings().max_descriptors;
        let max_open = max_open.saturating_sub(RESERVED_DESCRIPTORS);
        match accepted {
            Ok((stream, _)) if open.get() < max_open => {
                open.set(open.get() + 1);
                let open = Rc::clone(&open);
                let gateway = Rc::clone(&gateway);
                let stopped = stopped.clone();
                spawn_local(async move {
                    serve_connection(&gateway, stream, stopped).await;
                    open.set(open.get() - 1);
                });
            }
            Ok(_) => gateway.metrics.count("connection_refused"),
            Err(failure) => {
                warn!("event=accept_failed reason=\"{failure}\"");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    mut stopped: watch::Receiver<bool>,
) {
    // Delayed small packets cost time, not correctness.
    let _ = stream.set_nodelay(true);
    let limits = limits(gateway);
    let idle = Duration::from_millis(limits.idle_timeout_ms) + IDLE_SLACK;
    let service = service_fn(|request| {
        let gateway = Rc::clone(gateway);
        async move { Ok::<_, Infallible>(serve_request(&gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stopped.wait_for(|stop| *stop), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

fn limits(gateway: &Gateway) -> ClientLimits {
    let routes = gateway.routes();
    routes.map_or_else(ClientLimits::default, |routes| routes.config().limits)
}

async fn serve_request(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Reply {
    let id = request.headers().get(headers::REQUEST_ID).cloned();
    let mut reply = answer_request(gateway, request).await;
    let fields = reply.headers_mut();
    if let Some(id) = id {
        fields.entry(headers::REQUEST_ID).or_insert(id);
    }
    if gateway.is_draining() {
        fields.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn answer_request(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Reply {
    let received_at = Instant::now();
    let Some(routes) = gateway.routes() else {
        return answer::not_run("no configuration yet", START_WAIT);
    };
    let (parts, body) = request.into_parts();
    let host = parts.uri.host().or_else(|| {
        let host = parts.headers.get(HOST)?;
        host.to_str().ok()
    });
    let route = host.and_then(|host| routes.find(host, parts.uri.path()));
    let Some(route) = route else {
        return refuse(&routes, &parts, StatusCode::NOT_FOUND, "no route");
    };
    let key = headers::bearer_key(&parts.headers);
    let Ok(holder) = routes.authenticate(route, key) else {
        return refuse(&routes, &parts, StatusCode::UNAUTHORIZED, "unknown key");
    };
    let Some(service) = routes.service_for(route, gateway.draw()) else {
        return answer::not_run("the route's service is unknown", START_WAIT);
    };
    gateway.count_request(&service.name);
    let in_flight = gateway.begin_request();
    let body = match read_body(body, routes.config().limits.max_body_bytes).await {
        Ok(body) => body,
        Err(BodyFault::TooLarge) => {
            return refuse(
                &routes,
                &parts,
                StatusCode::PAYLOAD_TOO_LARGE,
                "body too large",
            );
        }
        Err(BodyFault::Cut) => {
            return refuse(&routes, &parts, StatusCode::BAD_REQUEST, "body incomplete");
        }
    };
    let admission = Admission {
        route,
        service,
        holder: holder.as_ref(),
        config_version: routes.config().version,
    };
    let request = ClientRequest::new(parts, body, &admission, received_at);
    match (&service.engine, route.kind) {
        (Some(spec), RequestKind::Stream) => {
            stream::answer(gateway, request, spec.clone(), in_flight).await
        }
        _ => call::answer(gateway, request, in_flight).await,
    }
}

/// Answers a request that the configuration does not allow.
fn refuse(
    routes: &RouteTable,
    parts: &hyper::http::request::Parts,
    status: StatusCode,
    reason: &'static str,
) -> Reply {
    info!(
        "event=refuse id={} status={} reason=\"{reason}\" config={}",
        headers::text(&parts.headers, &headers::REQUEST_ID).unwrap_or_default(),
        status.as_u16(),
        routes.config().version
    );
    answer::own(status, reason)
}
