//! The hardware and the work whose bound is asked for.

use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;

/// One engine as a resource: a second of its time each second.
#[derive(Clone, Debug)]
pub struct BoundEngine {
    /// The model that is loaded.
    pub model: ModelName,
    /// The version of the weights.
    pub version: VersionName,
    /// The layers that are loaded.
    pub layers: LayerRange,
    /// The failure domain of its host.
    pub failure_domain: FailureDomainName,
    /// The number of token-layers that it computes a second when decoding.
    pub decode_token_layers_per_s: f64,
    /// The number of token-layers that it computes a second when prefilling.
    pub prefill_token_layers_per_s: f64,
}

/// The links from one failure domain to another as one resource.
///
/// A pair of domains without a link entry is not limited.
#[derive(Clone, Debug)]
pub struct BoundLink {
    /// The sending side.
    pub from: FailureDomainName,
    /// The receiving side.
    pub to: FailureDomainName,
    /// The bandwidth.
    pub bytes_per_s: f64,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The model.
    pub model: ModelName,
    /// The version of the weights.
    pub version: VersionName,
    /// The number of layers of the model.
    pub layer_count: u32,
    /// The mean number of prompt tokens that must be computed.
    pub prompt_tokens: f64,
    /// The mean number of generated tokens.
    pub answer_tokens: f64,
    /// The size of one token's activation between two layers.
    pub activation_bytes: f64,
    /// The part of all requests that are of this kind.
    pub share: f64,
}

impl Workload {
    /// Returns the same work without its decode phase.
    #[must_use]
    pub fn prefill_only(&self) -> Self {
        Self {
            answer_tokens: 0.0,
            ..self.clone()
        }
    }

    /// Returns the same work without its prefill phase.
    #[must_use]
    pub fn decode_only(&self) -> Self {
        Self {
            prompt_tokens: 0.0,
            ..self.clone()
        }
    }

    /// Returns the engine time that a request takes for each layer.
    pub(super) fn seconds_per_layer(&self, engine: &BoundEngine) -> f64 {
        self.prompt_tokens / engine.prefill_token_layers_per_s
            + self.answer_tokens / engine.decode_token_layers_per_s
    }

    /// Returns the bytes that a request sends from each stage to the next.
    pub(super) fn bytes_per_hop(&self) -> f64 {
        (self.prompt_tokens + self.answer_tokens) * self.activation_bytes
    }
}

/// The resources and the mix of work.
#[derive(Clone, Debug, Default)]
pub struct BoundProblem {
    /// The engines.
    pub engines: Vec<BoundEngine>,
    /// The limited links.
    pub links: Vec<BoundLink>,
    /// The kinds of requests, whose shares need not add up to one.
    pub workloads: Vec<Workload>,
}
