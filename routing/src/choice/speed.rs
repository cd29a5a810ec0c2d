//! The measured slowdown of engines relative to their rated speed.

use std::time::Duration;

use tokio::time::Instant;

use super::view::StepSample;

/// The weight of one sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.02;
/// The half-life of the measured slowdown without new samples.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(5);
/// The slowdown relative to other engines up to which an engine is not
/// considered slow.
const SLOWDOWN_TOLERANCE: f64 = 1.6;
/// The upper limit of the slowdown.
const MAX_SLOWDOWN: f64 = 64.0;

/// The moving average of the ratio of measured to rated time of an engine's steps.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepRatio {
    mean: Option<f64>,
    updated_at: Option<Instant>,
}

impl StepRatio {
    /// Creates a ratio without measurements.
    pub(super) const fn new() -> Self {
        Self {
            mean: None,
            updated_at: None,
        }
    }

    /// Records one step at an engine of the given rated speed.
    pub(super) fn on_sample(&mut self, now: Instant, sample: StepSample, token_layers_per_s: u64) {
        let rated_s = sample.token_layers as f64 / token_layers_per_s.max(1) as f64;
        let ratio = sample.duration.as_secs_f64() / rated_s.max(f64::MIN_POSITIVE);
        let mean = self.mean.unwrap_or(ratio);
        self.mean = Some(mean + SAMPLE_WEIGHT * (ratio - mean));
        self.updated_at = Some(now);
    }

    /// Returns the mean ratio, or `None` before the first sample.
    pub(super) const fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns how much slower the engine is than `median_ratio`, the ratio of
    /// comparable engines.
    ///
    /// The slowdown decays to one while no step is measured, so that an engine
    /// that receives no work is tried again.
    pub(super) fn slowdown(&self, now: Instant, median_ratio: f64) -> f64 {
        let (Some(mean), Some(updated_at)) = (self.mean, self.updated_at) else {
            return 1.0;
        };
        let relative = mean / median_ratio.max(f64::MIN_POSITIVE);
        if relative <= SLOWDOWN_TOLERANCE {
            return 1.0;
        }
        let age = now.saturating_duration_since(updated_at);
        let decay = 0.5_f64.powf(age.as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64());
        1.0 + (relative.min(MAX_SLOWDOWN) - 1.0) * decay
    }
}
