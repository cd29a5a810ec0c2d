//! The model and the accelerators of a fleet, as tests of decisions use them.

use jujubewall_types::fleet::AcceleratorSpec;
use jujubewall_types::fleet::EngineSpec;
use smallvec::smallvec;

/// The number of layers of the model.
pub const LAYERS: u32 = 80;

/// The size of one layer, in megabytes.
pub const LAYER_MB: f64 = 1_750.0;

/// Returns a model of 80 layers with two kinds of accelerators, a large fast one and a
/// small slow one.
pub fn engine_spec() -> EngineSpec {
    EngineSpec {
        slots: 192,
        layer_count: LAYERS,
        layer_mb: LAYER_MB,
        token_context_bytes: 590_000.0,
        activation_bytes: 29_500.0,
        domain_link_mbps: 2_160.0,
        step_ms: 0.85,
        step_per_request_ms: 0.004,
        step_per_context_kilotoken_ms: 0.005,
        tokens_per_event: 2.0,
        prompt_tokens_per_s: 196_000.0,
        load_s: 14.0,
        max_loads_at_once: 6,
        stall_ms: 2_500.0,
        usual_prompt_tokens: 772.0,
        usual_answer_tokens: 174.0,
        accelerators: smallvec![
            AcceleratorSpec {
                name: "large".into(),
                memory_mb: 80_000.0,
                step_factor: 1.5,
                prompt_factor: 1.0,
            },
            AcceleratorSpec {
                name: "small".into(),
                memory_mb: 40_000.0,
                step_factor: 15.0,
                prompt_factor: 10.0,
            },
        ],
    }
}
