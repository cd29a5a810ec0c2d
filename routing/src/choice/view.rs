//! What the chooser is told, and what it answers.

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

/// Whether an engine may be given new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineState {
    /// The engine takes new work.
    Usable,
    /// The engine did not answer; it is used only where no other path exists.
    Suspect,
    /// The engine takes no new work.
    Leaving,
}

/// One engine with one loaded assignment, as membership and configuration show it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub upstream: UpstreamName,
    /// The address of the agent in front of it.
    pub agent_address: SocketAddr,
    /// The failure domain of its host.
    pub failure_domain: FailureDomainName,
    /// The model that is loaded.
    pub model: ModelName,
    /// The version of the weights.
    pub version: VersionName,
    /// The layers that are loaded.
    pub layers: LayerRange,
    /// The number of token-layers that it computes a second when decoding.
    pub decode_token_layers_per_s: u64,
    /// The number of token-layers that it computes a second when prefilling.
    pub prefill_token_layers_per_s: u64,
    /// Whether it takes new work.
    pub state: EngineState,
}

/// The delay of a link between two failure domains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkView {
    /// The sending side.
    pub from: FailureDomainName,
    /// The receiving side.
    pub to: FailureDomainName,
    /// The time that one activation takes to cross.
    pub one_way: Duration,
}

/// A request for a pipeline.
#[derive(Clone, Debug)]
pub struct ChoiceRequest {
    /// The model.
    pub model: ModelName,
    /// The version of the weights, the same at every stage.
    pub version: VersionName,
    /// The number of layers, all of which the pipeline covers.
    pub layer_count: u32,
    /// The account that pays.
    pub account: AccountName,
    /// The hash of the prompt's cacheable prefix.
    pub prefix_hash: Option<u64>,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The longest answer.
    pub max_answer_tokens: u32,
    /// Engines that must not be used, because an earlier attempt failed there.
    pub exclude: SmallVec<[UpstreamName; 4]>,
}

/// The reason that no pipeline was chosen.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NoPipeline {
    /// No engine holds that version of the model.
    #[error("no engine holds {model} in version {version}")]
    NotLoaded {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
    },
    /// The usable engines together do not hold every layer.
    #[error("no usable engine leads past layer {layer}")]
    LayerMissing {
        /// The first layer that no path reaches.
        layer: u32,
    },
    /// Every path leads through an engine that has just refused work.
    #[error("every path is refused for another {retry_after_ms} ms")]
    Refused {
        /// The time after which the first of those engines is asked again.
        retry_after_ms: u64,
    },
}

/// What an engine reported about its load some time ago.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The number of requests that have a KV cache.
    pub live_requests: u32,
    /// The age of the report.
    pub age_ms: u64,
}

/// One change of an engine's prefix cache, which may arrive late or not at all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheHint {
    /// The sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix is now cached or was evicted.
    pub is_cached: bool,
}

/// The measured time of one step at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepSample {
    /// The token-layers that the engine had to compute until the step was
    /// done: those of the step and those given to the engine before it.
    pub token_layers: u64,
    /// The time from giving the step to the engine until its result.
    pub duration: Duration,
}
