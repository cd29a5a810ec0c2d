//! Properties of an engine.

use std::time::Duration;

/// The number of steps in a batch unless configured otherwise.
const DEFAULT_BATCH_LIMIT: usize = 64;
/// The number of layers that an engine can hold unless configured otherwise.
const DEFAULT_MAX_LAYERS: u32 = 256;
/// The number of prefix blocks that are cached unless configured otherwise.
const DEFAULT_PREFIX_BLOCKS: usize = 256;
/// The bytes of one activation that carry its value.
pub const MIN_ACTIVATION_BYTES: usize = 8;

/// The properties of an engine; by default every step takes no time.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The time of one layer for one position when a step holds one position.
    pub decode_token_layer: Duration,
    /// The time of one layer for one position when a step holds several.
    pub prefill_token_layer: Duration,
    /// The largest number of steps in a batch.
    pub batch_limit: usize,
    /// The size of one activation, at least [`MIN_ACTIVATION_BYTES`].
    pub activation_bytes: usize,
    /// The number of layers that fit into memory.
    pub max_layers: u32,
    /// The number of prefix blocks that are cached.
    pub prefix_blocks: usize,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// The time that loading one layer takes.
    pub load_layer: Duration,
    /// The time after which cache events become visible.
    pub cache_event_lag: Duration,
    /// How many of a thousand cache events are lost.
    pub cache_event_loss_permille: u32,
    /// The age of load reports.
    pub load_report_lag: Duration,
    /// Whether runs are counted for each position and layer.
    pub counts_runs: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            decode_token_layer: Duration::ZERO,
            prefill_token_layer: Duration::ZERO,
            batch_limit: DEFAULT_BATCH_LIMIT,
            activation_bytes: MIN_ACTIVATION_BYTES,
            max_layers: DEFAULT_MAX_LAYERS,
            prefix_blocks: DEFAULT_PREFIX_BLOCKS,
            checks_fencing: true,
            load_layer: Duration::ZERO,
            cache_event_lag: Duration::ZERO,
            cache_event_loss_permille: 0,
            load_report_lag: Duration::ZERO,
            counts_runs: true,
        }
    }
}

impl EngineSettings {
    /// Returns the time of one layer for one position of a step of `positions` positions.
    pub const fn token_layer(&self, positions: u32) -> Duration {
        if positions > 1 {
            self.prefill_token_layer
        } else {
            self.decode_token_layer
        }
    }
}
