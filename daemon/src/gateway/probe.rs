//! Probes of upstreams over new connections.
//!
//! A kept connection may have gone silent although the upstream works, so only a new
//! connection is evidence for or against an upstream.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use jujubewall_platform::site::headers;
use jujubewall_platform::site::headers::LeavingSign;
use jujubewall_platform::site::order::ORDER_PATH;
use jujubewall_platform::site::order::OrderAnswer;
use jujubewall_platform::site::order::order_answer;
use jujubewall_platform::site::report::REPORT_PATH;
use jujubewall_platform::site::report::decode_report;
use jujubewall_routing::fleet::instances::Evidence;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::Suspicion;
use jujubewall_routing::fleet::pace::PaceChange;
use jujubewall_routing::fleet::pace::PaceStep;
use jujubewall_types::fleet::EngineState;
use log::info;
use log::warn;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::state::Gateway;
use crate::gateway::upstreams::Connection;

/// The interval between rounds of probes of upstreams that are suspected or may be leaving.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// The number of rounds in which a suspected upstream is probed each time. Later probes are
/// rarer, since an upstream that restarts shows that by its entry.
const FREQUENT_PROBE_ROUNDS: u32 = 4;

/// The number of rounds between probes of an upstream that has been silent for long.
const RARE_PROBE_ROUNDS: u32 = 4;

/// The time after which a second connection attempt is started beside one that is not open
/// yet, since a lossy link may have dropped its first packet.
const SECOND_CONNECT_DELAY: Duration = Duration::from_millis(10);

/// The timeout of the second connection attempt; a round trip is about a millisecond.
const SECOND_CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// The delay of a timer from which the process counts as held up.
const MAX_HELD_UP: Duration = Duration::from_millis(10);

/// The interval between checks for engines that pass no events although streams use them.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(8);

/// The interval between probes of one engine on silent paths: an engine that was reachable
/// a moment ago is more likely slow than lost.
const SILENT_PART_PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// The interval between probes of an upstream whose connections break.
const BROKEN_PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between probes of an upstream that peers suspect.
const PEER_SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of a query for an engine's state, which the engine answers without a free
/// request slot.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout of an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout of a health check, which waits for a free request slot of the upstream.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(800);

/// The largest answer that is read from a peer. The largest valid one is a configuration, which
/// the platform's store limits to one megabyte in its own format.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// The largest answer that is read from an upstream: a report of some hundred streams.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Starts to probe upstreams that are suspected or may be leaving until they answer, and to check
/// for silent engines.
pub fn start(gateway: &Rc<Gateway>) {
    gateway.spawn_loop("probe_suspects", probe_suspects);
    gateway.spawn_loop("watch_silence", watch_silence);
}

/// Probes engines that pass no events although streams use them.
async fn watch_silence(gateway: Rc<Gateway>) {
    loop {
        let slept_at = Instant::now();
        sleep(SILENCE_POLL_INTERVAL).await;
        // After the process was held up, events that arrived meanwhile are still unread.
        if slept_at.elapsed() > SILENCE_POLL_INTERVAL + MAX_HELD_UP {
            continue;
        }
        let silent = gateway.instances().silent_upstreams(Instant::now());
        if !silent.is_empty() {
            probe_parts(&gateway, &silent);
        }
    }
}

async fn probe_suspects(gateway: Rc<Gateway>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        gateway.connections.expire();
        gateway.instances_mut().expire_departed(Instant::now());
        log_pace_changes(&gateway);
        let in_doubt = gateway.instances().in_doubt();
        for (key, since) in in_doubt {
            if is_probe_due(since) {
                spawn_local(check_leaving(Rc::clone(&gateway), key));
            }
        }
        let suspected = gateway.instances().suspected();
        for (key, since) in suspected {
            if !is_paused(&gateway, key) && is_probe_due(since) {
                spawn_local(clear_if_answering(Rc::clone(&gateway), key));
            }
        }
    }
}

/// Returns whether an upstream is probed in this round that has been in doubt since a time.
fn is_probe_due(since: Instant) -> bool {
    let rounds = since.elapsed().as_millis() / PROBE_INTERVAL.as_millis();
    let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
    rounds <= FREQUENT_PROBE_ROUNDS || rounds.is_multiple_of(RARE_PROBE_ROUNDS)
}

/// Returns whether an upstream has asked for a pause that has not ended yet.
fn is_paused(gateway: &Gateway, key: InstanceKey) -> bool {
    let instances = gateway.instances();
    let tracked = instances.get(key);
    tracked.is_some_and(|tracked| tracked.is_paused(Instant::now()))
}

async fn clear_if_answering(gateway: Rc<Gateway>, key: InstanceKey) {
    if answers_request(&gateway, key).await {
        clear(&gateway, key);
    }
}

/// Probes an upstream whose connection broke.
pub fn probe_broken(gateway: &Rc<Gateway>, key: InstanceKey) {
    gateway.connections.close_idle(key);
    gateway.instances_mut().note_connection_lost(key);
    suspect_unreachable(gateway, &[key], BROKEN_PROBE_INTERVAL, "a connection broke");
}

/// Probes an upstream once more after its connection broke.
pub fn probe_again(gateway: &Rc<Gateway>, key: InstanceKey) {
    suspect_unreachable(gateway, &[key], BROKEN_PROBE_INTERVAL, "a connection broke");
}

/// Probes an engine that refused a path, and checks whether it is leaving and how loaded it
/// is.
pub fn probe_refusal(gateway: &Rc<Gateway>, key: InstanceKey) {
    suspect_unreachable(gateway, &[key], BROKEN_PROBE_INTERVAL, "it refused a path");
    spawn_local(check_leaving(Rc::clone(gateway), key));
    if !is_paused(gateway, key)
        && gateway
            .instances_mut()
            .try_begin_load_query(key, Instant::now())
    {
        spawn_local(query_load(Rc::clone(gateway), key));
    }
}

/// Queries an engine for the amount of context that it holds.
async fn query_load(gateway: Rc<Gateway>, key: InstanceKey) {
    let Some(report) = poll_report(&gateway, key).await else {
        return;
    };
    let now = Instant::now();
    let mut instances = gateway.instances_mut();
    instances.note_load(key, report.context_token_layers, now);
    if let Some(tracked) = instances.get(key) {
        info!(
            "event=load upstream={} token_layers={:.0} unaccounted={:.0}",
            tracked.instance.id,
            report.context_token_layers,
            instances.unaccounted_token_layers(tracked, now)
        );
    }
}

async fn check_leaving(gateway: Rc<Gateway>, key: InstanceKey) {
    if is_paused(&gateway, key) {
        return;
    }
    let target = gateway.instances().get(key).map(|tracked| {
        let instance = &tracked.instance;
        (
            instance.address,
            instance.service.clone(),
            instance.id.clone(),
        )
    });
    let Some((address, service, id)) = target else {
        return;
    };
    let health_path = gateway.routes().and_then(|routes| {
        let service = routes.service(&service)?;
        Some(service.health_path.clone())
    });
    let Some(path) = health_path else {
        return;
    };
    let Ok(Some((is_healthy, _))) = timeout(HEALTH_TIMEOUT, get(&gateway, address, &path)).await
    else {
        return;
    };
    let now = Instant::now();
    let has_changed = gateway.instances_mut().note_health(key, is_healthy, now);
    if has_changed {
        info!("event=health upstream={id} takes_work={is_healthy}");
    }
}

/// Processes what the head of an upstream's answer says about that upstream.
///
/// What it says of another one is no evidence against that one, which is asked itself.
pub fn process_answer_head(
    gateway: &Rc<Gateway>,
    key: InstanceKey,
    status: StatusCode,
    head: &HeaderMap,
) {
    let address = {
        let instances = gateway.instances();
        instances.get(key).map(|tracked| tracked.instance.address)
    };
    let Some(address) = address else {
        return;
    };
    match headers::leaving_sign(head, address) {
        LeavingSign::None => {}
        LeavingSign::Own => note_leaving_announced(gateway, key),
        LeavingSign::OwnOrNamed(named) => {
            let named = gateway.instances().at_address(named);
            ask_whether_leaving(gateway, key, named);
        }
    }
    match headers::requested_pause(status, head) {
        Ok(None) => {}
        Ok(Some(pause)) => note_pause(gateway, key, pause),
        Err(value) => {
            gateway.metrics.count("pause_unreadable");
            info!("event=pause_unreadable value=\"{value}\"");
        }
    }
}

/// Checks the health of an upstream that said that it leaves, or passed on that the one which its
/// refusal names does. Until it has answered, it gets no new work.
fn ask_whether_leaving(gateway: &Rc<Gateway>, key: InstanceKey, named: Option<InstanceKey>) {
    // One that counts as leaving already is asked from time to time.
    if !gateway.instances_mut().infer_leaving(key, Instant::now()) {
        return;
    }
    gateway.metrics.count("leaving_unclear");
    if let Some(tracked) = gateway.instances().get(key) {
        info!("event=leaving_unclear upstream={}", tracked.instance.id);
    }
    for asked in named.into_iter().chain([key]) {
        spawn_local(check_leaving(Rc::clone(gateway), asked));
    }
}

fn process_answer_from(gateway: &Rc<Gateway>, address: SocketAddr, answer: &Response<Incoming>) {
    let key = gateway.instances().at_address(address);
    if let Some(key) = key {
        process_answer_head(gateway, key, answer.status(), answer.headers());
    }
}

fn note_leaving_announced(gateway: &Gateway, key: InstanceKey) {
    let is_new = gateway
        .instances_mut()
        .note_leaving_announced(key, Instant::now());
    if !is_new {
        return;
    }
    gateway.connections.close_idle(key);
    gateway.metrics.count("upstream_says_leaving");
    if let Some(tracked) = gateway.instances().get(key) {
        info!("event=says_leaving upstream={}", tracked.instance.id);
    }
}

fn note_pause(gateway: &Gateway, key: InstanceKey, pause: Duration) {
    let is_longer = gateway.instances_mut().pause(key, pause, Instant::now());
    if !is_longer {
        return;
    }
    gateway.metrics.count("upstream_paused");
    if let Some(tracked) = gateway.instances().get(key) {
        info!(
            "event=paused upstream={} pause_ms={} in_flight={}",
            tracked.instance.id,
            pause.as_millis(),
            tracked.own_work().requests
        );
    }
}

/// Records direct evidence against an upstream, and announces it if it is newly suspected.
pub fn suspect(gateway: &Gateway, key: InstanceKey, evidence: Evidence, reason: &str) {
    let now = Instant::now();
    let suspicion = gateway.instances_mut().suspect(key, evidence, now);
    match suspicion {
        Suspicion::New => {}
        Suspicion::Known => return,
        Suspicion::OwnLink => {
            gateway.metrics.count("own_link_doubted");
            return;
        }
    }
    gateway.connections.close_idle(key);
    gateway.announce_suspicion();
    gateway.metrics.count("suspected");
    if let Some(tracked) = gateway.instances().get(key) {
        warn!(
            "event=suspect upstream={} address={} reason=\"{reason}\" evidence={evidence} in_flight={}",
            tracked.instance.id,
            tracked.instance.address,
            tracked.own_work().requests
        );
    }
}

fn clear(gateway: &Gateway, key: InstanceKey) {
    let since = gateway.instances_mut().clear_suspicion(key, Instant::now());
    if let Some(since) = since {
        log_cleared(gateway, key, since, "it answers");
    }
}

/// Records that an upstream is no longer suspected, as it was since `since`.
pub fn log_cleared(gateway: &Gateway, key: InstanceKey, since: Instant, reason: &str) {
    gateway.metrics.count("cleared");
    if let Some(tracked) = gateway.instances().get(key) {
        info!(
            "event=cleared upstream={} reason=\"{reason}\" suspected_ms={}",
            tracked.instance.id,
            since.elapsed().as_millis()
        );
    }
}

/// Logs and counts how the paces of upstreams have changed.
fn log_pace_changes(gateway: &Gateway) {
    let changes = gateway.instances_mut().take_pace_changes(Instant::now());
    for PaceChange {
        id,
        step,
        starts_per_s,
    } in changes
    {
        let (metric, change) = match step {
            PaceStep::Begin(_) => ("pace_begin", "begin"),
            PaceStep::Raise => ("pace_raise", "raise"),
            PaceStep::LowerLate | PaceStep::LowerFailed => ("pace_lower", "lower"),
            PaceStep::EndAboveDemand | PaceStep::EndKept | PaceStep::EndTimeLimit => {
                ("pace_end", "end")
            }
        };
        gateway.metrics.count(metric);
        info!(
            "event=pace upstream={id} change={change} reason={} starts_per_s={starts_per_s:.2}",
            step.reason()
        );
    }
}

/// Probes upstreams that another gateway suspects and this one does not.
pub fn probe_suspects_of_peer(gateway: &Rc<Gateway>, suspects: &[u64]) {
    let keys = gateway.instances().unsuspected_among(suspects);
    suspect_unreachable(
        gateway,
        &keys,
        PEER_SUSPECT_PROBE_INTERVAL,
        "doubted by a peer",
    );
}

/// Probes the engines of a silent path; if other gateways suspect some of them, only those.
pub fn probe_parts(gateway: &Rc<Gateway>, keys: &[InstanceKey]) {
    let suspected = gateway.instances().suspected_by_peers(keys);
    let keys = if suspected.is_empty() {
        keys
    } else {
        &suspected
    };
    suspect_unreachable(
        gateway,
        keys,
        SILENT_PART_PROBE_INTERVAL,
        "a stream is silent",
    );
}

/// Probes upstreams, and suspects those that accept no connection.
fn suspect_unreachable(
    gateway: &Rc<Gateway>,
    keys: &[InstanceKey],
    interval: Duration,
    reason: &'static str,
) {
    let now = Instant::now();
    for &key in keys {
        if !gateway.instances_mut().try_begin_probe(key, interval, now) {
            continue;
        }
        let address = gateway
            .instances()
            .get(key)
            .map(|tracked| tracked.instance.address);
        let Some(address) = address else {
            continue;
        };
        let control = gateway.instances().reference_address(key, now);
        let gateway = Rc::clone(gateway);
        spawn_local(async move {
            match probe(address, control).await {
                ProbeResult::Answers => gateway.instances_mut().note_accepted(key),
                ProbeResult::Lost(evidence) => suspect(&gateway, key, evidence, reason),
                ProbeResult::Unknown => gateway.metrics.count("own_link_doubted"),
            }
        });
    }
}

/// The result of a probe.
enum ProbeResult {
    /// The upstream accepts connections.
    Answers,
    /// The upstream accepts no connection.
    Lost(Evidence),
    /// This process cannot reach any upstream at the moment, or was held up.
    Unknown,
}

/// Checks whether an upstream accepts a connection within a short time.
///
/// If none is open soon, a second attempt is made, together with one to `control`, an
/// upstream that has just shown that it is alive. If the control is silent too, this
/// process's own link is congested or held up, which is no evidence against the upstream.
async fn probe(address: SocketAddr, control: Option<SocketAddr>) -> ProbeResult {
    let started = Instant::now();
    let limit = SECOND_CONNECT_DELAY + SECOND_CONNECT_TIMEOUT;
    let first = connect(address, limit);
    let second_attempt = async {
        sleep(SECOND_CONNECT_DELAY).await;
        let Some(control) = control else {
            return (connect(address, SECOND_CONNECT_TIMEOUT).await, true);
        };
        let second_attempt = connect(address, SECOND_CONNECT_TIMEOUT);
        let (reached, control) =
            tokio::join!(second_attempt, connect(control, SECOND_CONNECT_TIMEOUT));
        (reached, control != ConnectResult::Silent)
    };
    let (first, (second, is_own_link_sound)) = tokio::select! {
        first = answered(first) => (first, (ConnectResult::Silent, true)),
        second_attempt = second_attempt => (ConnectResult::Silent, second_attempt),
    };
    match (first, second) {
        (ConnectResult::Open, _) | (_, ConnectResult::Open) => ProbeResult::Answers,
        (ConnectResult::Refused, _) | (_, ConnectResult::Refused) => {
            ProbeResult::Lost(Evidence::Refused)
        }
        // After this process was held up, it cannot tell which side was late.
        _ if !is_own_link_sound || started.elapsed() > limit + MAX_HELD_UP => ProbeResult::Unknown,
        _ => ProbeResult::Lost(Evidence::Silent),
    }
}

/// The result of one connection attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectResult {
    Open,
    Refused,
    Silent,
}

/// Waits until a connection is opened or refused; never returns if it is silent.
async fn answered(connect: impl Future<Output = ConnectResult>) -> ConnectResult {
    match connect.await {
        ConnectResult::Silent => std::future::pending().await,
        answered => answered,
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> ConnectResult {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ConnectResult::Open,
        Ok(Err(failure)) if failure.kind() == ErrorKind::ConnectionRefused => {
            ConnectResult::Refused
        }
        Ok(Err(_)) | Err(_) => ConnectResult::Silent,
    }
}

/// Returns whether an upstream answers a request over a new connection.
async fn answers_request(gateway: &Rc<Gateway>, key: InstanceKey) -> bool {
    let target = gateway.instances().get(key).map(|tracked| {
        let instance = &tracked.instance;
        (instance.address, instance.service.clone())
    });
    let Some((address, service)) = target else {
        return false;
    };
    let health_path = gateway.routes().and_then(|routes| {
        let service = routes.service(&service)?;
        service
            .engine
            .is_none()
            .then(|| service.health_path.clone())
    });
    match health_path {
        Some(path) => timeout(HEALTH_TIMEOUT, get(gateway, address, &path))
            .await
            .is_ok_and(|answer| answer.is_some_and(|(is_success, _)| is_success)),
        None => query_report(gateway, address).await.is_some(),
    }
}

/// Queries an engine for its current state; `None` if it does not answer in time.
pub async fn query_report(gateway: &Rc<Gateway>, address: SocketAddr) -> Option<EngineState> {
    let answer = timeout(REPORT_TIMEOUT, get(gateway, address, REPORT_PATH)).await;
    read_report(address, answer.ok()??)
}

/// Queries an engine for its current state over a kept connection if there is one. Silence
/// on a kept connection is no evidence, so this only suits regular polls.
pub async fn poll_report(gateway: &Rc<Gateway>, key: InstanceKey) -> Option<EngineState> {
    let address = gateway.instances().get(key)?.instance.address;
    let exchange = async {
        let mut connection = match gateway.connections.take(key) {
            Some(connection) => connection,
            None => Connection::open(address).await.ok()?,
        };
        let path = REPORT_PATH;
        let answer = get_over(gateway, &mut connection, address, path, MAX_REPORT_BYTES).await?;
        gateway.connections.put(key, connection);
        Some(answer)
    };
    let answer = timeout(REPORT_TIMEOUT, exchange).await;
    read_report(address, answer.ok()??)
}

fn read_report(address: SocketAddr, (is_success, body): (bool, Bytes)) -> Option<EngineState> {
    if !is_success {
        return None;
    }
    match decode_report(&body) {
        Ok(state) => Some(state),
        Err(failure) => {
            warn!("event=report_unreadable address={address} reason=\"{failure}\"");
            None
        }
    }
}

/// Sends an order to an engine over a new connection; `None` if it does not answer in time,
/// in which case it may still carry the order out later.
pub async fn send_order(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    body: Bytes,
) -> Option<OrderAnswer> {
    let mut request = request(address, ORDER_PATH)?;
    *request.method_mut() = Method::POST;
    *request.body_mut() = Full::new(body);
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, json);
    let exchange = async {
        let mut connection = Connection::open(address).await.ok()?;
        let answer = connection.send(request).await.ok()?;
        process_answer_from(gateway, address, &answer);
        Some(order_answer(answer.status()))
    };
    timeout(ORDER_TIMEOUT, exchange).await.ok()?
}

/// Fetches a document from a peer over a new connection; returns whether that succeeded, and
/// the body.
pub async fn get_document(
    gateway: &Rc<Gateway>,
    peer: SocketAddr,
    path: &str,
) -> Option<(bool, Bytes)> {
    let mut connection = Connection::open(peer).await.ok()?;
    get_over(gateway, &mut connection, peer, path, MAX_DOCUMENT_BYTES).await
}

/// Fetches a path of an upstream over a new connection; returns whether that succeeded, and
/// the body.
async fn get(gateway: &Rc<Gateway>, address: SocketAddr, path: &str) -> Option<(bool, Bytes)> {
    let mut connection = Connection::open(address).await.ok()?;
    get_over(gateway, &mut connection, address, path, MAX_REPORT_BYTES).await
}

/// Fetches a path over a connection; returns whether that succeeded, and the body.
async fn get_over(
    gateway: &Rc<Gateway>,
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> Option<(bool, Bytes)> {
    let answer = connection.send(request(address, path)?).await.ok()?;
    process_answer_from(gateway, address, &answer);
    let is_success = answer.status().is_success();
    // A faulty upstream may send a body without end. What sound ones answer is read even if
    // there is no memory for further answers to clients.
    let body = Limited::new(answer.into_body(), max_bytes);
    match body.collect().await {
        Ok(body) => Some((is_success, body.to_bytes())),
        Err(failure) => {
            warn!("event=answer_unreadable address={address} path={path} reason=\"{failure}\"");
            None
        }
    }
}

fn request(address: SocketAddr, path: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::try_from(address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(request)
}
