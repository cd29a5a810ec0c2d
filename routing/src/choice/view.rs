//! The inputs and results of the pipeline chooser.

use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_types::id::AccountName;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use smallvec::SmallVec;
use thiserror::Error;

/// The availability of an engine for new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineState {
    /// The engine takes new work.
    Usable,
    /// The engine did not respond; it is used only if no other path exists.
    Suspect,
    /// The engine is leaving and takes no new work.
    Leaving,
}

/// One engine with one loaded assignment, according to membership and
/// configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// The name of the engine.
    pub upstream: UpstreamName,
    /// The address of the agent in front of the engine.
    pub agent_address: SocketAddr,
    /// The failure domain of the engine's host.
    pub failure_domain: FailureDomainName,
    /// The model that is loaded.
    pub model: ModelName,
    /// The version of the weights.
    pub version: VersionName,
    /// The layers that are loaded.
    pub layers: LayerRange,
    /// The rated decode speed, in token-layers per second.
    pub decode_token_layers_per_s: u64,
    /// The rated prefill speed, in token-layers per second.
    pub prefill_token_layers_per_s: u64,
    /// The availability of the engine for new work.
    pub state: EngineState,
}

/// The delay of a link between two failure domains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkView {
    /// The failure domain of the sender.
    pub from: FailureDomainName,
    /// The failure domain of the receiver.
    pub to: FailureDomainName,
    /// The one-way time that an activation takes.
    pub one_way: Duration,
}

/// A request for a pipeline.
#[derive(Clone, Debug)]
pub struct ChoiceRequest {
    /// The model.
    pub model: ModelName,
    /// The version of the weights, the same at every stage.
    pub version: VersionName,
    /// The number of layers of the model, all of which the pipeline covers.
    pub layer_count: u32,
    /// The account that the work is charged to.
    pub account: AccountName,
    /// The hash of the prompt's cacheable prefix, if it has one.
    pub prefix_hash: Option<u64>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The maximum number of tokens of the response.
    pub max_answer_tokens: u32,
    /// Engines that must not be used because an earlier attempt failed there.
    pub exclude: SmallVec<[UpstreamName; 4]>,
}

/// The reason that no pipeline was chosen.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NoPipeline {
    /// No engine holds the requested version of the model.
    #[error("no engine holds {model} in version {version}")]
    NotLoaded {
        /// The model.
        model: ModelName,
        /// The version of the weights.
        version: VersionName,
    },
    /// The usable engines together do not hold every layer.
    #[error("no usable engine leads past layer {layer}")]
    LayerMissing {
        /// The first layer that no path reaches.
        layer: u32,
    },
    /// Every path includes an engine that currently refuses the account's work.
    #[error("every path is refused for another {retry_after_ms} ms")]
    Refused {
        /// The time until the first of those refusals ends, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A past report of an engine's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The number of requests that have a KV cache.
    pub live_requests: u32,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}

/// One change of an engine's prefix cache, which may arrive late or not at all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheHint {
    /// The sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix is now cached; otherwise it was evicted.
    pub is_cached: bool,
}

/// The measured time of one step at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepSample {
    /// The token-layers that the engine had to compute before the step was done:
    /// those of the step and those queued at the engine before it.
    pub token_layers: u64,
    /// The time from submitting the step to the engine until its result.
    pub duration: Duration,
}
