//! The measured slowness of engines.

use std::time::Duration;

use tokio::time::Instant;

use super::view::StepSample;

/// The weight of one sample in the running mean.
const SAMPLE_WEIGHT: f64 = 0.02;
/// The time in which half of what was measured is forgotten without new samples.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// The slowness relative to other engines up to which an engine is not slow.
const TOLERANCE: f64 = 1.6;
/// The highest slowness that is counted.
const MAX_SLOWNESS: f64 = 64.0;

/// The running mean of measured time over rated time of an engine's steps.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepRatio {
    mean: Option<f64>,
    updated: Option<Instant>,
}

impl StepRatio {
    /// Creates a ratio that was never measured.
    pub(super) const fn new() -> Self {
        Self {
            mean: None,
            updated: None,
        }
    }

    /// Notes one step at an engine of the given rated speed.
    pub(super) fn on_sample(&mut self, now: Instant, sample: StepSample, token_layers_per_s: u64) {
        let rated_s = sample.token_layers as f64 / token_layers_per_s.max(1) as f64;
        let ratio = sample.duration.as_secs_f64() / rated_s.max(f64::MIN_POSITIVE);
        let mean = self.mean.unwrap_or(ratio);
        self.mean = Some(mean + SAMPLE_WEIGHT * (ratio - mean));
        self.updated = Some(now);
    }

    /// Returns the mean, if there is one.
    pub(super) const fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns how much slower than rated the engine is, compared with others.
    ///
    /// The figure falls back to one while no step is measured, so an engine
    /// that was given nothing is tried again.
    pub(super) fn slowness(&self, now: Instant, typical: f64) -> f64 {
        let (Some(mean), Some(updated)) = (self.mean, self.updated) else {
            return 1.0;
        };
        let relative = mean / typical.max(f64::MIN_POSITIVE);
        if relative <= TOLERANCE {
            return 1.0;
        }
        let age = now.saturating_duration_since(updated);
        let kept = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        1.0 + (relative.min(MAX_SLOWNESS) - 1.0) * kept
    }
}
