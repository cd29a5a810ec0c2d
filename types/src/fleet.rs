//! The operators' configuration of a fleet whose runners pass activations among
//! themselves, and what its runners say of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::id::AccountName;
use crate::id::FailureDomainName;
use crate::id::ServiceName;
use crate::layer::LayerRange;

/// One accepted configuration of the fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes, in the operator's order.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits on what clients send.
    pub limits: ClientLimits,
    /// The client accounts; `None` if requests carry no keys.
    pub accounts: Option<Vec<ClientAccount>>,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
    /// Requests are answered by a stream of events.
    Stream,
}

/// A share of a route's traffic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrafficShare {
    /// The service that takes the share.
    pub service: ServiceName,
    /// The weight of the share among those of the route.
    pub weight: u32,
}

/// A rule that leads requests to a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The name.
    pub name: SmolStr,
    /// The host that requests name.
    pub host: SmolStr,
    /// The start of the paths that the route takes; it ends with a slash.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that a client may be kept waiting.
    pub timeout_ms: u64,
    /// The time to the answer, or to its first event, that clients hope for.
    pub target_latency_ms: u64,
    /// The longest pause between events that clients hope for.
    pub target_gap_ms: u64,
    /// The rank, where 0 is the most urgent.
    pub rank: u32,
    /// The services that share the route's traffic.
    pub shares: SmallVec<[TrafficShare; 2]>,
    /// The number of upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Whether a stream may go on at another upstream after its last event.
    pub is_resumable: bool,
}

/// A service and how its upstreams are reached.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The path of the health check.
    pub health_path: SmolStr,
    /// The number of connections that one upstream takes from all callers.
    pub max_connections: u32,
    /// The model engine behind the service, if it is one.
    pub engine: Option<EngineSpec>,
}

/// The speeds and sizes of a service's model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// The number of requests that an engine takes as the first of a path.
    pub slots: u32,
    /// The number of layers of the model.
    pub layer_count: u32,
    /// The memory that one layer's weights take.
    pub layer_mb: f64,
    /// The memory that one token of context takes over all layers.
    pub token_context_bytes: f64,
    /// The bytes that pass from one part of a path to the next for each token.
    pub activation_bytes: f64,
    /// The bandwidth between two failure domains.
    pub domain_link_mbps: f64,
    /// The time of a decoding step over all layers.
    pub step_ms: f64,
    /// What each request in a step adds to it.
    pub step_per_request_ms: f64,
    /// What each thousand tokens of context of a request add to a step.
    pub step_per_context_kilotoken_ms: f64,
    /// The tokens that a pass writes for each request, which come as one event.
    pub tokens_per_event: f64,
    /// The prompt tokens that are read a second over all layers.
    pub prompt_tokens_per_s: f64,
    /// The time to load all layers.
    pub load_s: f64,
    /// The number of loads at once above which each takes longer.
    pub max_loads_at_once: u32,
    /// The time for which work that depends on a lost part stands still before it is cut.
    pub stall_ms: f64,
    /// The mean number of prompt tokens.
    pub usual_prompt_tokens: f64,
    /// The mean number of tokens of an answer.
    pub usual_answer_tokens: f64,
    /// The kinds of accelerators.
    pub accelerators: SmallVec<[AcceleratorSpec; 4]>,
}

impl EngineSpec {
    /// Returns the accelerator of the given kind.
    pub fn accelerator(&self, name: &str) -> Option<&AcceleratorSpec> {
        self.accelerators.iter().find(|known| known.name == name)
    }

    /// Returns whether a range of layers lies within the model.
    pub const fn has_layers(&self, layers: LayerRange) -> bool {
        layers.end <= self.layer_count
    }

    /// Returns the time in which the engine with the most memory loads as many layers as it
    /// may hold, if no other engine loads.
    pub fn longest_engine_load(&self) -> Duration {
        let model_mb = self.layer_mb * f64::from(self.layer_count);
        let memory_mb = self.accelerators.iter().map(|kind| kind.memory_mb);
        let largest_mb = memory_mb.fold(0.0, f64::max);
        let share = (largest_mb / model_mb.max(1.0)).min(1.0);
        Duration::try_from_secs_f64(self.load_s * share).unwrap_or_default()
    }

    /// Returns the memory that one token of context takes in one layer, in bytes.
    pub fn token_layer_bytes(&self) -> f64 {
        self.token_context_bytes / f64::from(self.layer_count.max(1))
    }
}

/// One kind of accelerator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceleratorSpec {
    /// The name of the kind.
    pub name: SmolStr,
    /// The memory for weights and context.
    pub memory_mb: f64,
    /// The factor on the time of a decoding step.
    pub step_factor: f64,
    /// The factor on the time of reading a prompt.
    pub prompt_factor: f64,
}

/// The limits on what a client may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientLimits {
    /// The size of a request's head.
    pub max_header_bytes: usize,
    /// The size of a request's body.
    pub max_body_bytes: usize,
    /// The time that a request's head may take to arrive.
    pub header_timeout_ms: u64,
    /// The time after which an unused connection may be closed.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A client account and its keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientAccount {
    /// The name.
    pub name: AccountName,
    /// The keys that stand for the account.
    pub keys: SmallVec<[SmolStr; 2]>,
    /// The rank of its requests, before that of the route.
    pub rank: Option<u32>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The upstream takes work.
    Ready,
    /// The upstream is about to leave.
    Draining,
}

/// What one life of an upstream says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Instance {
    /// The identifier, which a later life may have again.
    pub id: SmolStr,
    /// The time of the start in Unix milliseconds, which tells two lives apart.
    pub born_unix_ms: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: FailureDomainName,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// The number of requests that it works on at once.
    pub slots: u32,
    /// The kind of accelerator, for a model engine.
    pub accelerator: Option<SmolStr>,
    /// The layers that it holds; `None` if it holds none.
    pub layers: Option<LayerRange>,
}

/// The fresh state of a model engine, as it reports it itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineState {
    /// The time of the start in Unix milliseconds.
    pub born_unix_ms: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// The number of orders that this life has begun.
    pub order_count: u64,
    /// The layers held.
    pub layers: Option<LayerRange>,
    /// The factor by which its passes take longer than those of a sound engine.
    pub slowdown: f64,
    /// The requests that wait for a place.
    pub queued: u32,
    /// The tokens of context times layers that cannot yield.
    pub context_token_layers: f64,
    /// The requests that wait for a lost part of their path, with its address.
    pub stalled: SmallVec<[StalledRequest; 4]>,
}

/// What becomes of requests that pass through layers which an engine gives up.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GiveUp {
    /// They finish first, and the engine loads its new layers after them.
    Finish,
    /// They are broken off at once.
    Abort,
}

/// A request that waits for a lost part of its path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StalledRequest {
    /// The identifier of the request.
    pub request_id: SmolStr,
    /// The address of the part that does not answer.
    pub lost_part: SocketAddr,
}
