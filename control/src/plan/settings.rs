//! The bounds of planning.

/// The bounds of planning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanSettings {
    /// The number of engines that load weights at once in the whole fleet, which
    /// shares the weight store's rate among few.
    pub max_concurrent_loads: usize,
    /// The share of a model's planned rate that has to stay while engines change,
    /// in thousandths.
    pub capacity_floor_permille: u64,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 32,
            capacity_floor_permille: 500,
        }
    }
}
