//! Limits of planning.

/// Limits that the planner observes during a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanSettings {
    /// Number of engines in the whole fleet that load weights at once, so that each gets a
    /// large share of the weight store's bandwidth.
    pub max_concurrent_loads: usize,
    /// Fraction of a model's planned rate that has to stay available during a rollout, in
    /// thousandths.
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
