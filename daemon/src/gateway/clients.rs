//! Accepts clients' connections, and checks and dispatches their requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt as _;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use jujubewall_platform::site::headers;
use jujubewall_routing::fleet::drain::DrainDecision;
use jujubewall_routing::fleet::drain::PeerAvailability;
use jujubewall_routing::fleet::routes::RouteTable;
use jujubewall_types::fleet::ClientLimits;
use jujubewall_types::fleet::RequestKind;
use log::error;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::gateway::activity::ActiveBody;
use crate::gateway::activity::ConnectionActivity;
use crate::gateway::activity::RequestBody;
use crate::gateway::answer;
use crate::gateway::answer::Reply;
use crate::gateway::call;
use crate::gateway::client_connection::ClientConnection;
use crate::gateway::head_meter::HeadMeter;
use crate::gateway::request;
use crate::gateway::request::Admission;
use crate::gateway::request::ClientRequest;
use crate::gateway::request::HeldBody;
use crate::gateway::request::discard_body;
use crate::gateway::state::Gateway;
use crate::gateway::stream;
use crate::listening::MAX_BACKLOG;
use crate::request_memory::MEMORY_WAIT;
use crate::request_memory::ReadFault;
use crate::request_memory::read_body;

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The number of file descriptors that are kept free for upstreams, the store and files.
const RESERVED_DESCRIPTORS: usize = 1_000;

/// The number of connections above the limit that are accepted while as many others, whose
/// clients have stopped sending, are being closed.
const MAX_EVICTING: usize = 64;

/// The time that a connection which has just been accepted gets to send its first request
/// when the process stops. Clients send it at once, but over links that queue for up to
/// half a second.
pub const FIRST_REQUEST_WAIT: Duration = Duration::from_secs(1);

/// The time for which a connection that is about to be closed is still read. What has arrived
/// while the process was held up is known to the runtime only then.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// The interval between checks whether a request that has not arrived completely may still be
/// accepted by a draining gateway.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The time beyond the configured idle timeout for which an idle connection is kept.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// The `Retry-After` time that is sent while the gateway has no usable configuration.
const START_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The running listener for clients.
pub struct ClientListener {
    stop: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
}

impl ClientListener {
    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Stops accepting connections, and closes each open one after its request.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// Starts to serve clients.
pub fn start(gateway: &Rc<Gateway>, socket: TcpListener) -> ClientListener {
    let (stop, stopped) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    let socket = Rc::new(RefCell::new(Some(Rc::new(socket))));
    let counted = Rc::clone(&open);
    gateway.spawn_loop("clients", move |gateway| {
        let socket = Rc::clone(&socket);
        let open = Rc::clone(&counted);
        let stopped = stopped.clone();
        async move {
            let listener = socket.borrow().clone();
            if let Some(listener) = listener {
                accept_loop(gateway, &listener, open, stopped).await;
            }
            // Closes the listener.
            socket.take();
        }
    });
    ClientListener { stop, open }
}

async fn accept_loop(
    gateway: Rc<Gateway>,
    socket: &TcpListener,
    open: Rc<Cell<usize>>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = socket.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve_unless_full(&gateway, stream, &open, &stopped),
            Err(failure) => {
                warn!("event=accept_failed reason=\"{failure}\"");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
    // Connections that clients opened before the stop are served like the others.
    for _ in 0..MAX_BACKLOG {
        match socket.accept().now_or_never() {
            Some(Ok((stream, _))) => serve_unless_full(&gateway, stream, &open, &stopped),
            Some(Err(failure)) => warn!("event=accept_failed reason=\"{failure}\""),
            None => return,
        }
    }
}

/// Serves a connection unless too many are open.
fn serve_unless_full(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    open: &Rc<Cell<usize>>,
    stopped: &watch::Receiver<bool>,
) {
    let max_descriptors = gateway.settings().max_descriptors;
    let max_open = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let max_open = max_open.min(gateway.max_connections());
    let memory = &gateway.request_memory;
    if !memory.make_room(open.get(), max_open, MAX_EVICTING) {
        gateway.metrics.count("connection_refused");
        return;
    }
    if open.get() >= max_open {
        gateway.metrics.count("connection_evicted");
    }
    let open = OpenConnection::new(open);
    let gateway = Rc::clone(gateway);
    let stopped = stopped.clone();
    spawn_local(async move {
        let _open = open;
        // A panic ends only this task, so that nothing else would report it.
        let served = AssertUnwindSafe(serve_connection(&gateway, stream, stopped));
        if served.catch_unwind().await.is_err() {
            gateway.metrics.count("task_failed");
            error!("event=task_failed task=connection");
        }
    });
}

/// Counts a connection as open until it is dropped.
pub struct OpenConnection {
    count: Rc<Cell<usize>>,
}

impl OpenConnection {
    /// Counts a connection.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self {
            count: Rc::clone(count),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

async fn serve_connection(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    mut stopped: watch::Receiver<bool>,
) {
    // If this fails, small packets may be delayed, which does no other harm.
    let _ = stream.set_nodelay(true);
    let head = HeadMeter::new(&gateway.request_memory);
    let activity = Rc::new(ConnectionActivity::new(head));
    let first_request = Notify::new();
    let service = service_fn(|request: Request<Incoming>| {
        first_request.notify_one();
        let gateway = Rc::clone(gateway);
        let active = activity.begin_request();
        let request = request.map(|body| RequestBody::new(body, &activity));
        async move {
            let reply = serve_request(&gateway, request).await;
            Ok::<_, Infallible>(reply.map(|body| ActiveBody::new(body, active)))
        }
    });
    let max_head_bytes = || limits(gateway).max_header_bytes;
    let mut connection =
        ClientConnection::new(stream, service, Rc::clone(&activity), max_head_bytes());
    // A connection that has just been accepted gets time for its first request, since a
    // graceful shutdown in the library closes a connection at once if nothing has been read
    // from it.
    let close_allowed = async {
        let _ = stopped.wait_for(|stop| *stop).await;
        let _ = timeout(FIRST_REQUEST_WAIT, first_request.notified()).await;
        sleep(CLOSE_DELAY).await;
    };
    let mut close_allowed = std::pin::pin!(close_allowed);
    let mut idle_end = std::pin::pin!(idle_end(gateway, &activity));
    let mut evicted = std::pin::pin!(activity.evicted());
    let mut is_closing = false;
    loop {
        tokio::select! {
            // Requests that have arrived are read before the connection is closed.
            biased;
            served = poll_fn(|context| connection.poll(max_head_bytes(), context)) => {
                if let Err(failure) = served {
                    gateway.metrics.count("connection_failed");
                    info!("event=connection_failed closing={is_closing} reason=\"{failure}\"");
                }
                return;
            }
            () = close_allowed.as_mut(), if !is_closing => {
                is_closing = true;
                connection.graceful_shutdown();
            }
            () = idle_end.as_mut() => return,
            () = evicted.as_mut() => {
                gateway.metrics.count("head_stalled");
                info!("event=head_stalled reason=\"others needed its place\"");
                return;
            }
        }
    }
}

/// Waits until a connection has been idle for as long as the configuration in force allows.
///
/// The library's own timeout would be the one in force when the connection was accepted. A
/// timeout that is lowered applies a while later, since clients may not know of it yet.
async fn idle_end(gateway: &Gateway, activity: &ConnectionActivity) {
    let mut previous_timeout_ms = 0;
    loop {
        let idle_since = activity.idle_since();
        let timeout_ms = limits(gateway).idle_timeout_ms;
        let limit = Duration::from_millis(timeout_ms.max(previous_timeout_ms)) + IDLE_SLACK;
        if idle_since.elapsed() >= limit {
            return;
        }
        sleep_until(idle_since + limit).await;
        sleep(CLOSE_DELAY).await;
        previous_timeout_ms = timeout_ms;
    }
}

fn limits(gateway: &Gateway) -> ClientLimits {
    let routes = gateway.routes();
    routes.map_or_else(ClientLimits::default, |routes| routes.config().limits)
}

async fn serve_request(gateway: &Rc<Gateway>, request: Request<RequestBody>) -> Reply {
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

async fn answer_request(gateway: &Rc<Gateway>, request: Request<RequestBody>) -> Reply {
    let received_at = Instant::now();
    let (parts, mut body) = request.into_parts();
    let id = headers::text(&parts.headers, &headers::REQUEST_ID).unwrap_or_default();
    let Some(routes) = gateway.routes() else {
        discard_body(gateway, body, &parts.headers);
        return answer::reject_unadmitted(id, "no configuration yet", START_RETRY_AFTER);
    };
    let host = parts.uri.host().or_else(|| {
        let host = parts.headers.get(HOST)?;
        host.to_str().ok()
    });
    let route = host.and_then(|host| routes.find(host, parts.uri.path()));
    let Some(route) = route else {
        discard_body(gateway, body, &parts.headers);
        return refuse(&routes, &parts, StatusCode::NOT_FOUND, "no route");
    };
    let key = headers::bearer_key(&parts.headers);
    let Ok(holder) = routes.authenticate(route, key) else {
        discard_body(gateway, body, &parts.headers);
        return refuse(&routes, &parts, StatusCode::UNAUTHORIZED, "unknown key");
    };
    let Some(service) = routes.service_for(route, gateway.random_u64()) else {
        let reason = "the route's service is unknown";
        discard_body(gateway, body, &parts.headers);
        return answer::reject_unadmitted(id, reason, START_RETRY_AFTER);
    };
    gateway.count_request(&service.name);
    // A request whose body does not arrive makes room for this one.
    let max_requests = gateway.answer_memory.max_requests();
    let memory = &gateway.request_memory;
    if !memory.make_room(gateway.in_flight(), max_requests, MAX_EVICTING) {
        gateway.metrics.count("rejected_full");
        discard_body(gateway, body, &parts.headers);
        let wait = gateway.next_retry_after(&service.name);
        return answer::reject_unadmitted(id, "too many requests in progress", wait);
    }
    let in_flight = gateway.begin_request();
    let max_bytes = routes.config().limits.max_body_bytes;
    let read_until = Instant::now() + Duration::from_millis(route.timeout_ms);
    let give_up_at = request::deadline(&parts.headers, route, received_at);
    let share = gateway.request_share();
    let read = tokio::select! {
        biased;
        read = timeout_at(read_until, read_body(&mut body, &share, max_bytes, give_up_at)) => Ok(read),
        wait = drain_rejected(gateway, give_up_at) => Err(wait),
    };
    let read = match read {
        Ok(read) => read,
        Err(wait) => {
            discard_body(gateway, body, &parts.headers);
            return reject_leaving(gateway, id, wait);
        }
    };
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(fault)) => {
            return refuse_body(gateway, &routes, &parts, body, fault);
        }
        Err(_) => {
            discard_body(gateway, body, &parts.headers);
            let status = StatusCode::REQUEST_TIMEOUT;
            return refuse(&routes, &parts, status, "body too slow");
        }
    };
    let whole = HeldBody { bytes, share };
    let admission = Admission {
        route,
        service,
        holder: holder.as_ref(),
        config_version: routes.config().version,
    };
    let request = ClientRequest::new(parts, whole, &admission, received_at);
    if let Some(wait) = drain_rejection(gateway, give_up_at) {
        return reject_leaving(gateway, &request.id, wait);
    }
    match (&service.engine, route.kind) {
        (Some(spec), RequestKind::Stream) => {
            stream::answer(gateway, request, spec.clone(), in_flight).await
        }
        _ => call::answer(gateway, request, in_flight).await,
    }
}

/// Rejects a request because it may outlast this gateway, which is about to stop.
fn reject_leaving(gateway: &Gateway, id: &str, wait: Duration) -> Reply {
    gateway.metrics.count("rejected_leaving");
    answer::reject_unadmitted(id, answer::STOPS, wait)
}

/// Waits until a request that may last until `give_up_at` and has not arrived completely is
/// rejected because this gateway is about to stop; returns its `Retry-After` time.
async fn drain_rejected(gateway: &Gateway, give_up_at: Instant) -> Duration {
    gateway.drain_begun().await;
    loop {
        if let Some(wait) = drain_rejection(gateway, give_up_at) {
            return wait;
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Returns the `Retry-After` time of a request that may last until `give_up_at` and is
/// rejected because it may outlast this gateway, which is about to stop; `None` if the request
/// is accepted.
fn drain_rejection(gateway: &Gateway, give_up_at: Instant) -> Option<Duration> {
    let drain = gateway.drain()?;
    let now = Instant::now();
    let longest = give_up_at.saturating_duration_since(now);
    let all_leave_since = gateway.peers.gossip().all_draining_since(now);
    let others = all_leave_since.map_or(
        PeerAvailability::Accepting,
        PeerAvailability::AllDrainingSince,
    );
    match drain.on_request(longest, others, now) {
        DrainDecision::Accept => None,
        DrainDecision::Reject(wait) => Some(wait),
    }
}

/// Refuses a request whose body was not read completely.
fn refuse_body(
    gateway: &Gateway,
    routes: &RouteTable,
    parts: &hyper::http::request::Parts,
    body: RequestBody,
    fault: ReadFault,
) -> Reply {
    let id = headers::text(&parts.headers, &headers::REQUEST_ID).unwrap_or_default();
    let (status, reason) = match fault {
        ReadFault::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        ReadFault::Cut => (StatusCode::BAD_REQUEST, "body incomplete"),
        ReadFault::Stalled => {
            gateway.note_request_memory_full(id, "body_stalled");
            // Nothing more is read of the body, so the connection cannot be used again.
            let reason = "body too slow while others waited for memory";
            let mut reply = refuse(routes, parts, StatusCode::REQUEST_TIMEOUT, reason);
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
            return reply;
        }
        ReadFault::NoMemory => {
            gateway.note_request_memory_full(id, "request_memory_full");
            discard_body(gateway, body, &parts.headers);
            let reason = "no memory for the body";
            return answer::reject_unadmitted(id, reason, MEMORY_WAIT);
        }
    };
    discard_body(gateway, body, &parts.headers);
    refuse(routes, parts, status, reason)
}

/// Refuses a request that the configuration does not allow.
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
    answer::from_gateway(status, reason)
}
