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
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jujubewall_types::layer::LayerRange;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::relay::Relay;
use crate::site_store::SiteStore;

/// The start of the first runner, as it says.
const FIRST_BORN_UNIX_MS: u64 = 1_770_000_000_000;

/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// The time between two single bytes of a stalled stream.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);

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
    /// The request runs, and a failure is answered.
    Fail,
    /// The answer belongs to another request.
    AnswerAnother,
    /// The request runs, and a late copy of another one's refusal is answered.
    RefuseAnother,
    /// After so many events, single bytes come that end no event.
    DripAfter(u64),
    /// All answers say that the runner leaves, while its entry does not.
    SayLeaving,
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
    /// The headers as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it began to run.
    pub at: Instant,
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
}

#[derive(Default)]
struct FleetState {
    runners: HashMap<String, RunnerState>,
    ran: Vec<RanRequest>,
    /// The requests that reached a runner, refused ones too: runner and time.
    arrived: Vec<(String, Instant)>,
    orders: Vec<(String, Value)>,
    event_count: u64,
    births: u64,
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
    task: JoinHandle<()>,
    relay: Option<Relay>,
}

impl RunnerHandle {
    /// Makes all open connections to the runner silent, if it is behind a relay.
    pub fn silence_open_connections(&self) {
        if let Some(relay) = &self.relay {
            relay.silence_open_connections();
        }
    }

    /// Returns the identifier.
    pub fn id(&self) -> &str {
        &self.id
    }
}

impl Drop for RunnerHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.fleet.state().runners.remove(&self.id);
    }
}

type ReplyBody = BoxBody<Bytes, CutError>;

/// The error that makes the library close a connection.
#[derive(Debug, Error)]
#[error("the connection is cut")]
struct CutError;

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
        self.start_at(id, kind, listener, None)
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
        self.start_at(id, kind.clone(), listener, Some(relay))
    }

    fn start_at(
        self: &Arc<Self>,
        id: &str,
        kind: RunnerKind,
        listener: TcpListener,
        relay: Option<Relay>,
    ) -> RunnerHandle {
        let own = listener.local_addr().expect("a listener has an address");
        {
            let mut state = self.state();
            state.births += 1;
            let runner = RunnerState {
                address: relay.as_ref().map_or(own, Relay::address),
                kind,
                born: FIRST_BORN_UNIX_MS + state.births,
                orders: 0,
                layers: None,
                fault: RunnerFault::None,
                is_draining: false,
            };
            state.runners.insert(id.to_owned(), runner);
        }
        self.write_entry(id);
        let task = tokio::spawn(accept_all(listener, Arc::clone(self), id.to_owned()));
        RunnerHandle {
            id: id.to_owned(),
            fleet: Arc::clone(self),
            task,
            relay,
        }
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

    /// Lets a runner say that it leaves.
    pub fn drain(&self, id: &str) {
        if let Some(runner) = self.state().runners.get_mut(id) {
            runner.is_draining = true;
        }
        self.write_entry(id);
    }

    /// Returns the requests that ran, in order.
    pub fn ran(&self) -> Vec<RanRequest> {
        self.state().ran.clone()
    }

    /// Returns when requests reached a runner, refused ones too.
    pub fn arrived(&self, runner: &str) -> Vec<Instant> {
        let state = self.state();
        let arrived = state.arrived.iter().filter(|(id, _)| id == runner);
        arrived.map(|(_, at)| *at).collect()
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
        let mut reply = match parts.uri.path() {
            "/v1/report" => self.report(&id),
            "/v1/order" => self.order(&id, &body),
            "/health" => plain(200, &id),
            _ => {
                let arrival = (id.clone(), Instant::now());
                self.state().arrived.push(arrival);
                let mut reply = self.run(&id, &parts.headers, body)?;
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
        if runner.is_some_and(|runner| runner.fault == RunnerFault::SayLeaving) {
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
                "layers": layers_json(runner.layers), "stalled": [],
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

    fn run(
        &self,
        id: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<ReplyBody>, CutError> {
        let mut state = self.state();
        let text = |name: &str| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        if text("expect-instance") != id {
            return Ok(plain(421, ""));
        }
        let path = text("hop-count");
        if let Some(faulty) = faulty_part(&state, &path) {
            let mut refusal = not_run();
            let value = faulty.parse().map_err(|_| CutError)?;
            refusal.headers_mut().insert("at-server", value);
            return Ok(refusal);
        }
        let fault = state
            .runners
            .get(id)
            .map(|runner| runner.fault)
            .unwrap_or_default();
        if fault == RunnerFault::Refuse {
            return Ok(not_run());
        }
        if let RunnerFault::RefuseFor(pause) = fault {
            let mut refusal = not_run();
            let value = hyper::header::HeaderValue::from_static(pause);
            refusal.headers_mut().insert("retry-after", value);
            return Ok(refusal);
        }
        state.ran.push(RanRequest {
            id: text("request-id"),
            runner: id.to_owned(),
            headers: headers.clone(),
            body,
            at: Instant::now(),
        });
        if fault == RunnerFault::LoseAnswer {
            return Err(CutError);
        }
        let mut reply = match fault {
            RunnerFault::RefuseAnother => not_run(),
            RunnerFault::Fail => plain(500, "failure"),
            _ if path.is_empty() => plain(200, "done"),
            _ => {
                let first = text("last-event-id")
                    .parse::<u64>()
                    .map_or(0, |last| last + 1);
                stream(first, state.event_count, fault)
            }
        };
        let request_id = match fault {
            RunnerFault::AnswerAnother | RunnerFault::RefuseAnother => "another".to_owned(),
            _ => text("request-id"),
        };
        let fields = reply.headers_mut();
        fields.insert("request-id", request_id.parse().map_err(|_| CutError)?);
        fields.insert("response-stamp", id.parse().map_err(|_| CutError)?);
        Ok(reply)
    }
}

/// Returns the address of the first part of a path that does not hold its layers.
fn faulty_part(state: &FleetState, path: &str) -> Option<String> {
    path.split(',')
        .filter(|part| !part.is_empty())
        .find_map(|part| {
            let (address, layers) = part.split_once('=')?;
            let (first, end) = layers.split_once('-')?;
            let wanted = LayerRange::new(first.parse().ok()?, end.parse().ok()?);
            let is_held = state.runners.values().any(|runner| {
                runner.address.to_string() == address
                    && !runner.is_draining
                    && runner
                        .layers
                        .is_some_and(|held| held.first <= wanted.first && wanted.end <= held.end)
            });
            (!is_held).then(|| address.to_owned())
        })
}

fn entry_key(id: &str) -> String {
    format!("servers/{id}")
}

fn layers_json(layers: Option<LayerRange>) -> Value {
    layers.map_or(
        Value::Null,
        |layers| json!({"from": layers.first, "target": layers.end, "version": 1}),
    )
}

fn plain(status: u16, body: &str) -> Response<ReplyBody> {
    let body = Full::new(Bytes::from(body.to_owned())).map_err(|never| match never {});
    let mut reply = Response::new(body.boxed());
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    reply
}

fn not_run() -> Response<ReplyBody> {
    let mut reply = plain(503, "");
    let value = hyper::header::HeaderValue::from_static("1");
    reply.headers_mut().insert("not-run", value);
    reply
}

/// Answers with the events from `first` on, one after the other.
fn stream(first: u64, count: u64, fault: RunnerFault) -> Response<ReplyBody> {
    let (events, coming) = mpsc::unbounded_channel::<Result<Frame<Bytes>, CutError>>();
    tokio::spawn(async move {
        for id in first..count {
            sleep(EVENT_INTERVAL).await;
            let sent = id - first;
            if fault == RunnerFault::DripAfter(sent) {
                while events
                    .send(Ok(Frame::data(Bytes::from_static(b"d"))))
                    .is_ok()
                {
                    sleep(DRIP_INTERVAL).await;
                }
                return;
            }
            let event = format!("id: {id}\ndata: word\n\n");
            let is_torn = fault == RunnerFault::TornAfter(sent);
            let bytes = if is_torn { &event[..7] } else { &event };
            let frame = Frame::data(Bytes::copy_from_slice(bytes.as_bytes()));
            let is_cut = fault == RunnerFault::CutAfter(sent);
            let is_gone = !is_cut && events.send(Ok(frame)).is_err();
            if is_torn || is_cut {
                // The part that was sent arrives before the connection is cut.
                sleep(EVENT_INTERVAL).await;
                let _ = events.send(Err(CutError));
            }
            if is_gone || is_torn || is_cut {
                return;
            }
        }
    });
    let parts = futures_util::stream::unfold(coming, |mut coming| async move {
        let frame = coming.recv().await?;
        Some((frame, coming))
    });
    Response::new(StreamBody::new(Box::pin(parts)).boxed())
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
