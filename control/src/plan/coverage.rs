//! Decoding throughput of each layer of a model.

use jujubewall_types::layer::LayerRange;

/// Total token rate of the engines that hold each layer of one version of a model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Coverage {
    tokens_per_s: Vec<u64>,
}

impl Coverage {
    /// Creates the coverage of a model without engines.
    pub fn new(layer_count: u32) -> Self {
        Self {
            tokens_per_s: vec![0; layer_count as usize],
        }
    }

    /// Adds an engine that holds `layers`.
    pub fn add(&mut self, layers: LayerRange, tokens_per_s: u64) {
        for rate in self.layers_mut(layers) {
            *rate += tokens_per_s;
        }
    }

    /// Removes an engine that was added with the same arguments.
    pub fn remove(&mut self, layers: LayerRange, tokens_per_s: u64) {
        for rate in self.layers_mut(layers) {
            *rate -= tokens_per_s;
        }
    }

    /// Returns the rate of the slowest layer, which limits the model.
    pub fn tokens_per_s(&self) -> u64 {
        self.tokens_per_s.iter().copied().min().unwrap_or_default()
    }

    /// Returns the rate of the slowest layer of a range.
    pub fn tokens_per_s_of(&self, layers: LayerRange) -> u64 {
        let rates = (layers.first..layers.end).filter_map(|layer| self.rate(layer));
        rates.min().unwrap_or_default()
    }

    /// Returns the first contiguous range of layers that no engine holds.
    pub fn first_gap(&self) -> Option<LayerRange> {
        let count = u32::try_from(self.tokens_per_s.len()).unwrap_or(u32::MAX);
        let is_gap = |layer: &u32| self.rate(*layer) == Some(0);
        let first = (0..count).find(is_gap)?;
        let end = (first..count).find(|layer| !is_gap(layer));
        Some(LayerRange::new(first, end.unwrap_or(count)))
    }

    /// Returns the number of layers that no engine holds.
    pub fn missing_layers(&self) -> usize {
        self.tokens_per_s.iter().filter(|rate| **rate == 0).count()
    }

    fn rate(&self, layer: u32) -> Option<u64> {
        self.tokens_per_s.get(layer as usize).copied()
    }

    fn layers_mut(&mut self, layers: LayerRange) -> impl Iterator<Item = &mut u64> {
        let first = layers.first as usize;
        self.tokens_per_s
            .iter_mut()
            .skip(first)
            .take(layers.len() as usize)
    }
}
