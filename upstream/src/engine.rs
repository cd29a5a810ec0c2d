//! Model engines.

use async_trait::async_trait;
use bytes::Bytes;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::priority::Priority;
use serde::Deserialize;
use serde::Serialize;

use crate::error::UpstreamError;

/// The computation of some layers for consecutive positions of one request.
///
/// The engine keeps the request's KV cache of its own layers between steps and
/// runs a position once for each attempt. A higher attempt takes over the cache
/// of a lower one: its first step at position `p` truncates the cache to its
/// first `p` positions and is refused if the cache holds fewer. From then on,
/// steps of the lower attempt are refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStep {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The model.
    pub model: ModelName,
    /// The version of the weights; an engine can hold two versions side by side.
    pub version: VersionName,
    /// The first position.
    pub first_position: Position,
    /// The number of positions.
    pub positions: u32,
    /// The layers to run, all of which the engine holds.
    pub layers: LayerRange,
    /// Whether the last of `layers` is the model's last, which yields tokens.
    pub is_last: bool,
    /// The priority.
    pub priority: Priority,
    /// Tokens of four little-endian bytes for layer zero, activations otherwise.
    pub payload: Bytes,
}

/// The result of a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOutput {
    /// Activations, or after the last layer the one token that follows the last position.
    pub payload: Bytes,
}

/// The KV cache of one request at one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheExport {
    /// The layers that the cache covers.
    pub layers: LayerRange,
    /// The number of positions that the cache covers.
    pub positions: u32,
    /// The cache in the engine's own format.
    pub payload: Bytes,
}

/// What an engine reports about its load; the report lags.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The number of steps that wait.
    pub queued_steps: u32,
    /// The number of requests that have a KV cache.
    pub live_requests: u32,
    /// The use of the KV cache, in thousandths.
    pub cache_use_permille: u32,
    /// The age of the report.
    pub age_ms: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix is now cached or was evicted.
    pub is_cached: bool,
}

/// What an engine holds now.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStatus {
    /// The highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
    /// The assignments that are loaded and can run steps.
    pub loaded: Vec<Assignment>,
}

/// An order that changes what an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// The number that orders authorities.
    pub fencing: FencingNumber,
    /// What to do.
    pub action: EngineAction,
}

/// What an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load weights beside those that are loaded.
    Load(Assignment),
    /// Drop weights.
    Drop(Assignment),
}

/// One model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Runs one step in a batch with others.
    async fn run(&self, step: EngineStep) -> Result<EngineOutput, UpstreamError>;

    /// Discards the KV cache of a request up to and including `attempt`.
    async fn release(&self, request: RequestId, attempt: Attempt) -> Result<(), UpstreamError>;

    /// Exports the KV cache of a request.
    async fn export_cache(&self, request: RequestId) -> Result<CacheExport, UpstreamError>;

    /// Imports a KV cache for `attempt` of a request.
    async fn import_cache(
        &self,
        request: RequestId,
        attempt: Attempt,
        cache: CacheExport,
    ) -> Result<(), UpstreamError>;

    /// Reads the load report.
    async fn load(&self) -> Result<LoadReport, UpstreamError>;

    /// Reads cache events with a sequence number above `after`.
    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, UpstreamError>;

    /// Reads what the engine holds.
    async fn status(&self) -> Result<EngineStatus, UpstreamError>;

    /// Gives an order; loading is finished when the call returns.
    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError>;
}
