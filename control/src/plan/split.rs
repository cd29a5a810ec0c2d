//! Splitting a stretch of layers among engines of different speeds.

use jujubewall_types::layer::LayerRange;

/// What an engine can take of a stretch of layers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Share {
    /// The number of layers that fit into its memory.
    pub(crate) max_layers: u32,
    /// The number of token-layers that it computes a second.
    pub(crate) rate: u64,
}

/// Splits `layers` among `shares` so that the slowest part is as fast as it can be.
///
/// Returns one range for each share, in order; a range may be empty. Returns
/// `None` if the layers do not fit.
pub(crate) fn split(layers: LayerRange, shares: &[Share]) -> Option<Vec<LayerRange>> {
    let wanted = u64::from(layers.len());
    let capacity: u64 = shares.iter().map(|share| u64::from(share.max_layers)).sum();
    if capacity < wanted {
        return None;
    }
    let tokens_per_s = best_rate(wanted, shares);
    let mut left = layers.len();
    let mut next = layers.first;
    let take = |share: &Share| {
        let len = layers_at(share, tokens_per_s).min(left);
        left -= len;
        let range = LayerRange::new(next, next + len);
        next = range.end;
        range
    };
    Some(shares.iter().map(take).collect())
}

/// Returns the highest rate in tokens a second at which the shares hold `wanted` layers.
fn best_rate(wanted: u64, shares: &[Share]) -> u64 {
    let fits = |tokens_per_s| {
        let held = shares
            .iter()
            .map(|share| u64::from(layers_at(share, tokens_per_s)));
        held.sum::<u64>() >= wanted
    };
    let (mut low, mut high) = (0, shares.iter().map(|share| share.rate).max().unwrap_or(0));
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
fn layers_at(share: &Share, tokens_per_s: u64) -> u32 {
    let at_rate = share.rate.checked_div(tokens_per_s).unwrap_or(u64::MAX);
    let at_rate = u32::try_from(at_rate).unwrap_or(u32::MAX);
    at_rate.min(share.max_layers)
}
