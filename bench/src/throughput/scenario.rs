//! The fleet and the traffic that are measured.

use jujubewall_routing::bound::BoundEngine;
use jujubewall_routing::bound::BoundProblem;
use jujubewall_routing::bound::Workload;
use jujubewall_routing::choice::EngineState;
use jujubewall_routing::choice::EngineView;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;

/// The number of layers of the model.
pub const LAYERS: u32 = 48;
/// The number of failure domains.
pub const DOMAINS: usize = 3;
/// The number of client accounts.
pub const ACCOUNTS: usize = 10;
/// The tokens of a prompt that other prompts of its kind share.
pub const PREFIX_TOKENS: u32 = 128;
/// The tokens of a prompt that are its own.
pub const SUFFIX_TOKENS: u32 = 128;
/// The shortest answer.
pub const MIN_ANSWER_TOKENS: u32 = 16;
/// The longest answer.
pub const MAX_ANSWER_TOKENS: u32 = 112;
/// The shared prefixes of each account.
pub const PREFIXES_PER_ACCOUNT: u64 = 4;
/// The ratio of the speeds of prefill and decode.
const PREFILL_SPEEDUP: u64 = 10;

/// One kind of accelerator: how many layers an engine holds, and its speed.
struct Kind {
    layers: u32,
    decode_token_layers_per_s: u64,
}

/// The kinds of accelerators, one complete pipeline of each in every domain.
const KINDS: [Kind; 3] = [
    Kind {
        layers: 16,
        decode_token_layers_per_s: 40_000,
    },
    Kind {
        layers: 12,
        decode_token_layers_per_s: 20_000,
    },
    Kind {
        layers: 8,
        decode_token_layers_per_s: 10_000,
    },
];

/// Returns the name of the only model.
pub fn model() -> ModelName {
    ModelName::new("assistant").expect("the name is valid")
}

/// Returns the version of the weights.
pub fn version() -> VersionName {
    VersionName::new("v1").expect("the name is valid")
}

/// Returns the name of an account.
pub fn account(index: usize) -> AccountName {
    AccountName::new(format!("account-{index}")).expect("the name is valid")
}

/// Returns the 40 engines: 13 in each domain, and one that overlaps others.
pub fn engines() -> Vec<EngineView> {
    let mut engines = Vec::new();
    for domain in 0..DOMAINS {
        for kind in &KINDS {
            for first in (0..LAYERS).step_by(kind.layers as usize) {
                let layers = LayerRange::new(first, first + kind.layers);
                add_engine(&mut engines, domain, layers, kind.decode_token_layers_per_s);
            }
        }
    }
    add_engine(&mut engines, 0, LayerRange::new(20, 36), 40_000);
    engines
}

fn add_engine(engines: &mut Vec<EngineView>, domain: usize, layers: LayerRange, rate: u64) {
    let index = engines.len();
    let name = format!("engine-{index}");
    let domain = format!("domain-{domain}");
    engines.push(EngineView {
        upstream: UpstreamName::new(name).expect("the name is valid"),
        agent_address: ([127, 0, 0, 1], 4_000).into(),
        failure_domain: FailureDomainName::new(domain).expect("the name is valid"),
        model: model(),
        version: version(),
        layers,
        decode_token_layers_per_s: rate,
        prefill_token_layers_per_s: rate * PREFILL_SPEEDUP,
        state: EngineState::Usable,
    });
}

/// Returns the mean length of an answer.
pub fn mean_answer_tokens() -> f64 {
    f64::from(MIN_ANSWER_TOKENS + MAX_ANSWER_TOKENS) / 2.0
}

/// Returns the bound problem of engines at a part of their rated speeds.
///
/// Shared prefixes count as cached everywhere, so that no policy exceeds it.
pub fn bound_problem(engines: &[EngineView], speeds: &[f64]) -> BoundProblem {
    let engine = |(view, speed): (&EngineView, &f64)| BoundEngine {
        model: view.model.clone(),
        version: view.version.clone(),
        layers: view.layers,
        failure_domain: view.failure_domain.clone(),
        decode_token_layers_per_s: view.decode_token_layers_per_s as f64 * speed,
        prefill_token_layers_per_s: view.prefill_token_layers_per_s as f64 * speed,
    };
    let workload = Workload {
        model: model(),
        version: version(),
        layer_count: LAYERS,
        prompt_tokens: f64::from(SUFFIX_TOKENS),
        answer_tokens: mean_answer_tokens(),
        activation_bytes: 0.0,
        share: 1.0,
    };
    BoundProblem {
        engines: engines
            .iter()
            .zip(speeds)
            .filter(|(_, speed)| **speed > 0.0)
            .map(engine)
            .collect(),
        links: Vec::new(),
        workloads: vec![workload],
    }
}
