//! A stand-in for the runners of the users' platform.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jujubewall_types::layer::LayerRange;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::relay::Relay;
use crate::site_runner::crash::CrashState;
use crate::site_runner::reply::CutError;
use crate::site_runner::reply::ReplyBody;
use crate::site_runner::reply::all_awake;
use crate::site_runner::reply::layers_json;
use crate::site_runner::reply::plain;
use crate::site_store::SiteStore;

pub mod crash;
mod reply;
mod run;

/// The start of the first runner, as it says.
const FIRST_BORN_UNIX_MS: u64 = 1_770_000_000_000;

/// What a runner does wrong with the next requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunnerFault {
    /// Nothing.
    #[default]
    None,
    /// The connection ends after so many events of a stream.
    CutAfter(u64),
    /// The connection ends in the middle of the event after so many.
    TornAfter(u64),
    /// The request runs, and the connection ends without an answer.
    LoseAnswer,
    /// The request is refused and does not run.
    Refuse,
    /// The request runs, and a failure with this status is answered, without the statement that
    /// the request did not run.
    FailWith(u16),
    /// The request runs, and an answer has a status that HTTP does not define.
    AnswerInvalid(u16),
    /// The answer belongs to another request.
    AnswerAnother,
    /// The request runs, and a late copy of another one's refusal is answered.
    RefuseAnother,
    /// After so many events, single bytes come that end no event.
    DripAfter(u64),
    /// All answers say that the runner leaves, while its entry does not.
    SayLeaving,
    /// The same, and streams that begin at the runner are refused with this status, since the last
    /// part of their path gives up its layers.
    LeaveBlaming(u16),
    /// The request is refused, and no other one is wanted for a time, as the header says.
    RefuseFor(&'static str),
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct RanRequest {
    /// The identifier of the request.
    pub id: String,
    /// The identifier of the runner.
    pub runner: String,
    /// The path and the query.
    pub path: String,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it began to run.
    pub at: Instant,
}

/// A request that reached a runner, which may have refused it.
#[derive(Clone, Debug)]
struct Arrival {
    id: String,
    runner: String,
    path: String,
    body: Bytes,
    at: Instant,
}

/// What a runner is.
#[derive(Clone, Debug)]
pub struct RunnerKind {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// The kind of accelerator, for a model engine.
    pub accelerator: Option<String>,
}

impl RunnerKind {
    /// Describes a runner of a service; a model engine has an accelerator.
    pub fn new(service: &str, zone: &str, accelerator: Option<&str>) -> Self {
        Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            accelerator: accelerator.map(ToOwned::to_owned),
        }
    }
}

#[derive(Debug)]
struct RunnerState {
    address: SocketAddr,
    kind: RunnerKind,
    born: u64,
    orders: u64,
    layers: Option<LayerRange>,
    fault: RunnerFault,
    is_draining: bool,
    /// Whether the runner is suspended: it accepts connections and sends nothing.
    suspended: watch::Sender<bool>,
    /// The first identifier, which a runner that starts again has had.
    first_id: String,
    /// Ends the runner and its connections.
    task: Option<AbortHandle>,
}

#[derive(Default)]
struct FleetState {
    runners: HashMap<String, RunnerState>,
    ran: Vec<RanRequest>,
    /// The requests that reached a runner, refused ones too.
    arrived: Vec<Arrival>,
    orders: Vec<(String, Value)>,
    /// The runners of the path of each stream, by the identifier of its request.
    paths: HashMap<String, Vec<String>>,
    event_count: u64,
    /// The time that each call takes.
    call_time: Duration,
    births: u64,
    crash: CrashState,
}

/// The runners of one test, which pass activations among themselves in memory.
pub struct SiteRunners {
    store: Arc<SiteStore>,
    state: Mutex<FleetState>,
}

/// A running runner, which ends with all its connections when it is dropped.
pub struct RunnerHandle {
    id: String,
    fleet: Arc<SiteRunners>,
    relay: Option<Relay>,
}

impl RunnerHandle {
    /// Makes all open connections to the runner silent, if it is behind a relay.
    pub fn silence_open_connections(&self) {
        if let Some(relay) = &self.relay {
            relay.silence_open_connections();
        }
    }

    /// Breaks all connections to the runner and refuses others for a time, if it is behind a relay.
    /// The runner goes on.
    pub fn cut_link(&self, span: Duration) {
        if let Some(relay) = &self.relay {
            relay.cut(span);
        }
    }

    /// Returns the identifier.
    pub fn id(&self) -> &str {
        &self.id
    }
}

impl Drop for RunnerHandle {
    fn drop(&mut self) {
        self.fleet.end_for_good(&self.id);
    }
}

impl SiteRunners {
    /// Creates a fleet without runners, whose streams have `event_count` events.
    pub fn new(store: &Arc<SiteStore>, event_count: u64) -> Arc<Self> {
        Arc::new(Self {
            store: Arc::clone(store),
            state: Mutex::new(FleetState {
                event_count,
                ..FleetState::default()
            }),
        })
    }

    /// Starts a runner and writes its entry.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be bound.
    pub async fn start(
        self: &Arc<Self>,
        id: &str,
        service: &str,
        zone: &str,
        accelerator: Option<&str>,
    ) -> RunnerHandle {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let kind = RunnerKind::new(service, zone, accelerator);
        self.handle(id, kind, listener, None)
    }

    /// Starts a runner that is reached over a relay, and writes its entry.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be bound.
    pub async fn start_relayed(self: &Arc<Self>, id: &str, kind: &RunnerKind) -> RunnerHandle {
        let bind = || TcpListener::bind("127.0.0.1:0");
        let listener = bind().await.expect("a free port");
        let target = listener.local_addr().expect("a listener has an address");
        let relay = Relay::new(bind().await.expect("a free port"), target);
        self.handle(id, kind.clone(), listener, Some(relay))
    }

    fn handle(
        self: &Arc<Self>,
        id: &str,
        kind: RunnerKind,
        listener: TcpListener,
        relay: Option<Relay>,
    ) -> RunnerHandle {
        let own = listener.local_addr().expect("a listener has an address");
        let address = relay.as_ref().map_or(own, Relay::address);
        self.start_at(id, id, kind, listener, address);
        RunnerHandle {
            id: id.to_owned(),
            fleet: Arc::clone(self),
            relay,
        }
    }

    fn start_at(
        self: &Arc<Self>,
        id: &str,
        first_id: &str,
        kind: RunnerKind,
        listener: TcpListener,
        address: SocketAddr,
    ) {
        {
            let mut state = self.state();
            state.births += 1;
            let task = tokio::spawn(accept_all(listener, Arc::clone(self), id.to_owned()));
            let runner = RunnerState {
                address,
                kind,
                born: FIRST_BORN_UNIX_MS + state.births,
                orders: 0,
                layers: None,
                fault: RunnerFault::None,
                is_draining: false,
                suspended: watch::Sender::new(false),
                first_id: first_id.to_owned(),
                task: Some(task.abort_handle()),
            };
            state.runners.insert(id.to_owned(), runner);
        }
        self.write_entry(id);
    }

    /// Returns what a runner is, if it runs.
    pub fn kind(&self, id: &str) -> Option<RunnerKind> {
        let state = self.state();
        state.runners.get(id).map(|runner| runner.kind.clone())
    }

    /// Sets what a runner does wrong from now on.
    pub fn set_fault(&self, id: &str, fault: RunnerFault) {
        if let Some(runner) = self.state().runners.get_mut(id) {
            runner.fault = fault;
        }
    }

    /// Suspends a runner or lets it go on: a suspended one accepts connections, but neither
    /// answers nor goes on with its streams.
    pub fn set_suspended(&self, id: &str, is_suspended: bool) {
        if let Some(runner) = self.state().runners.get(id) {
            runner.suspended.send_replace(is_suspended);
        }
    }

    fn suspension(&self, id: &str) -> Vec<watch::Receiver<bool>> {
        let state = self.state();
        let runner = state.runners.get(id);
        runner
            .map(|runner| runner.suspended.subscribe())
            .into_iter()
            .collect()
    }

    /// Lets a runner say that it leaves.
    pub fn drain(&self, id: &str) {
        if let Some(runner) = self.state().runners.get_mut(id) {
            runner.is_draining = true;
        }
        self.write_entry(id);
    }

    /// Sets the time that each call to a plain service takes from now on.
    pub fn set_call_time(&self, time: Duration) {
        self.state().call_time = time;
    }

    /// Returns the requests that ran, in order.
    pub fn ran(&self) -> Vec<RanRequest> {
        self.state().ran.clone()
    }

    /// Returns when requests reached a runner, refused ones too.
    pub fn arrived(&self, runner: &str) -> Vec<Instant> {
        let state = self.state();
        let arrived = state.arrived.iter();
        let arrived = arrived.filter(|arrival| arrival.runner == runner);
        arrived.map(|arrival| arrival.at).collect()
    }

    /// Writes the entries of all runners again, as they do when the store has lost them.
    pub fn rewrite_entries(&self) {
        let ids: Vec<String> = self.state().runners.keys().cloned().collect();
        for id in ids {
            self.write_entry(&id);
        }
    }

    /// Returns the orders of a kind that were accepted, with their runners.
    pub fn orders(&self, op: &str) -> Vec<(String, Value)> {
        let state = self.state();
        let orders = state.orders.iter();
        orders
            .filter(|(_, order)| order["op"] == op)
            .cloned()
            .collect()
    }

    /// Removes the entry of a runner that has ended.
    pub fn remove_entry(&self, id: &str) {
        self.store.remove(&entry_key(id));
    }

    /// Returns the number of layers that all runners hold together.
    pub fn held_layers(&self) -> u32 {
        self.layers().iter().map(|layers| layers.len()).sum()
    }

    /// Returns the layers that a runner holds.
    pub fn layers_of(&self, id: &str) -> Option<LayerRange> {
        self.state().runners.get(id)?.layers
    }

    /// Returns the layers that each runner holds.
    pub fn layers(&self) -> Vec<LayerRange> {
        let state = self.state();
        state
            .runners
            .values()
            .filter_map(|runner| runner.layers)
            .collect()
    }

    fn state(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_entry(&self, id: &str) {
        let entry = self.state().runners.get(id).map(|runner| {
            json!({
                "service": runner.kind.service, "address": runner.address,
                "zone": runner.kind.zone,
                "version": "v1", "slots": 8, "cold_remaining_ms": 0, "seq": 1,
                "state": if runner.is_draining { "draining" } else { "ready" },
                "kind": runner.kind.accelerator, "born": runner.born, "layers": layers_json(runner.layers),
            })
        });
        if let Some(entry) = entry {
            self.store.put(&entry_key(id), entry.to_string().as_bytes());
        }
    }

    async fn answer(
        self: Arc<Self>,
        id: String,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, CutError> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| CutError)?.to_bytes();
        all_awake(&mut self.suspension(&id)).await;
        let mut reply = match parts.uri.path() {
            "/v1/report" => self.report(&id),
            "/v1/order" => self.order(&id, &body),
            "/health" => plain(200, &id),
            _ => {
                let Some(mut reply) = self.run(&id, &parts, body).await? else {
                    // The connection ends when the runner crashes.
                    return std::future::pending().await;
                };
                // Every answer names its request, a refusal too.
                if let Some(request_id) = parts.headers.get("request-id") {
                    let fields = reply.headers_mut();
                    fields.entry("request-id").or_insert(request_id.clone());
                }
                reply
            }
        };
        let state = self.state();
        let runner = state.runners.get(&id);
        let fault = runner.map(|runner| runner.fault);
        if matches!(
            fault,
            Some(RunnerFault::SayLeaving | RunnerFault::LeaveBlaming(_))
        ) {
            let value = hyper::header::HeaderValue::from_static("1");
            reply.headers_mut().insert("server-leaving", value);
        }
        Ok(reply)
    }

    fn report(&self, id: &str) -> Response<ReplyBody> {
        let state = self.state();
        let report = state.runners.get(id).map(|runner| {
            json!({
                "stage": "both", "models": [], "busy": false, "seq": runner.orders,
                "queued": 0, "running": 0, "born": runner.born,
                "layers": layers_json(runner.layers), "stalled": stalled_streams(&state, id),
            })
        });
        plain(200, &report.unwrap_or_default().to_string())
    }

    fn order(&self, id: &str, body: &[u8]) -> Response<ReplyBody> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let status = {
            let mut state = self.state();
            let Some(runner) = state.runners.get_mut(id) else {
                return plain(421, "");
            };
            if order["op"] == "place" {
                if order["expected"] != json!(runner.orders) {
                    return plain(409, "");
                }
                let bound = |name: &str| {
                    order[name]
                        .as_u64()
                        .and_then(|layer| u32::try_from(layer).ok())
                };
                runner.orders += 1;
                runner.layers = bound("from")
                    .zip(bound("target"))
                    .map(|(first, end)| LayerRange::new(first, end));
            }
            state.orders.push((id.to_owned(), order));
            202
        };
        self.write_entry(id);
        plain(status, "")
    }
}

/// Returns the streams of a first runner that wait for a suspended runner, with its address.
fn stalled_streams(state: &FleetState, first: &str) -> Vec<Value> {
    let of_first = state
        .paths
        .iter()
        .filter(|(_, parts)| parts.first().is_some_and(|part| part == first));
    of_first
        .filter_map(|(request_id, parts)| {
            let mut runners = parts.iter().filter_map(|part| state.runners.get(part));
            let suspended = runners.find(|runner| *runner.suspended.borrow())?;
            Some(json!({"id": request_id, "address": suspended.address}))
        })
        .collect()
}

fn entry_key(id: &str) -> String {
    format!("servers/{id}")
}

async fn accept_all(listener: TcpListener, fleet: Arc<SiteRunners>, id: String) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, Arc::clone(&fleet), id.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, fleet: Arc<SiteRunners>, id: String) -> Result<(), Infallible> {
    let service = service_fn(move |request| Arc::clone(&fleet).answer(id.clone(), request));
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("a connection of a runner ended: {error}");
    }
    Ok(())
}
