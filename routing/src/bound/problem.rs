//! The hardware and workloads of a throughput bound problem.

use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;

/// One engine, whose time is a resource.
#[derive(Clone, Debug)]
pub struct BoundEngine {
    /// The model that is loaded.
    pub model: ModelName,
    /// The version of the weights.
    pub version: VersionName,
    /// The layers that are loaded.
    pub layers: LayerRange,
    /// The failure domain of the engine's host.
    pub failure_domain: FailureDomainName,
    /// The decode speed, in token-layers per second.
    pub decode_token_layers_per_s: f64,
    /// The prefill speed, in token-layers per second.
    pub prefill_token_layers_per_s: f64,
}

/// The links from one failure domain to another, whose joint bandwidth is a
/// resource.
///
/// The bandwidth between two domains without such a link is not limited.
#[derive(Clone, Debug)]
pub struct BoundLink {
    /// The failure domain of the sender.
    pub from: FailureDomainName,
    /// The failure domain of the receiver.
    pub to: FailureDomainName,
    /// The joint bandwidth, in bytes per second.
    pub bytes_per_s: f64,
}

/// A class of requests with equal requirements.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The model.
    pub model: ModelName,
    /// The version of the weights.
    pub version: VersionName,
    /// The number of layers of the model.
    pub layer_count: u32,
    /// The mean number of prompt tokens to compute per request.
    pub prompt_tokens: f64,
    /// The mean number of generated tokens per request.
    pub answer_tokens: f64,
    /// The size of one token's activation between two layers, in bytes.
    pub activation_bytes: f64,
    /// The share of this class in all requests.
    pub share: f64,
}

impl Workload {
    /// Returns the workload without its decode phase.
    #[must_use]
    pub fn prefill_only(&self) -> Self {
        Self {
            answer_tokens: 0.0,
            ..self.clone()
        }
    }

    /// Returns the workload without its prefill phase.
    #[must_use]
    pub fn decode_only(&self) -> Self {
        Self {
            prompt_tokens: 0.0,
            ..self.clone()
        }
    }

    /// Returns the engine time per layer that a request takes.
    pub(super) fn seconds_per_layer(&self, engine: &BoundEngine) -> f64 {
        self.prompt_tokens / engine.prefill_token_layers_per_s
            + self.answer_tokens / engine.decode_token_layers_per_s
    }

    /// Returns the number of bytes that a request sends from each stage to the next.
    pub(super) fn bytes_per_hop(&self) -> f64 {
        (self.prompt_tokens + self.answer_tokens) * self.activation_bytes
    }
}

/// The resources and the mix of workloads.
#[derive(Clone, Debug, Default)]
pub struct BoundProblem {
    /// The engines.
    pub engines: Vec<BoundEngine>,
    /// The links whose bandwidth is limited.
    pub links: Vec<BoundLink>,
    /// The workloads, whose shares need not add up to one.
    pub workloads: Vec<Workload>,
}
