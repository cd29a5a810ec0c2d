//! Splitting a range of layers among engines of different speeds.

use jujubewall_types::layer::LayerRange;

/// Limits on the layers that an engine can take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EngineCapacity {
    /// Number of layers that fit into the engine's memory.
    pub(crate) max_layers: u32,
    /// Token-layers per second, or any other weight that is divided by the number of layers.
    pub(crate) rate: u64,
}

/// Splits `layers` among `engines` so that the slowest part is as fast as possible.
///
/// Returns one range for each engine, in order; a range may be empty. Returns `None` if
/// the layers do not fit.
pub(crate) fn split(layers: LayerRange, engines: &[EngineCapacity]) -> Option<Vec<LayerRange>> {
    let wanted = u64::from(layers.len());
    let capacity: u64 = engines
        .iter()
        .map(|engine| u64::from(engine.max_layers))
        .sum();
    if capacity < wanted {
        return None;
    }
    let tokens_per_s = best_rate(wanted, engines);
    let mut left = layers.len();
    let mut next = layers.first;
    let take = |engine: &EngineCapacity| {
        let len = layers_at(engine, tokens_per_s).min(left);
        left -= len;
        let range = LayerRange::new(next, next + len);
        next = range.end;
        range
    };
    Some(engines.iter().map(take).collect())
}

/// Returns the highest rate, in tokens per second, at which the engines can hold `wanted`
/// layers.
fn best_rate(wanted: u64, engines: &[EngineCapacity]) -> u64 {
    let fits = |tokens_per_s| {
        let held = engines
            .iter()
            .map(|engine| u64::from(layers_at(engine, tokens_per_s)));
        held.sum::<u64>() >= wanted
    };
    let (mut low, mut high) = (
        0,
        engines.iter().map(|engine| engine.rate).max().unwrap_or(0),
    );
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if fits(middle) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    low
}

/// Returns the number of layers that an engine can hold and still reach a rate.
fn layers_at(engine: &EngineCapacity, tokens_per_s: u64) -> u32 {
    let at_rate = engine.rate.checked_div(tokens_per_s).unwrap_or(u64::MAX);
    let at_rate = u32::try_from(at_rate).unwrap_or(u32::MAX);
    at_rate.min(engine.max_layers)
}
