//! Step timeouts that adapt to slow engines.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::UpstreamName;

/// The percentage of the slowest step time that is kept at each later step.
const DECAY_PERCENT: u32 = 95;

/// The step timeout as a multiple of the slowest recent step.
const TIMEOUT_FACTOR: u32 = 3;

/// The maximum to which slow steps raise the timeout.
const MAX_ADAPTIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The slowest recent step of each engine.
///
/// A busy engine is slow for every stream at once. A fixed timeout would treat it as
/// hanging, and move its streams to engines that are just as busy.
#[derive(Clone, Debug, Default)]
pub struct StepTimes {
    slowest: HashMap<UpstreamName, Duration>,
}

impl StepTimes {
    /// Records the time that a step took at an engine.
    pub fn record(&mut self, upstream: &UpstreamName, time: Duration) {
        if let Some(slowest) = self.slowest.get_mut(upstream) {
            *slowest = time.max(*slowest * DECAY_PERCENT / 100);
        } else {
            self.slowest.insert(upstream.clone(), time);
        }
    }

    /// Returns the timeout of a step, which is at least `configured`.
    pub fn timeout(&self, upstream: &UpstreamName, configured: Duration) -> Duration {
        let slowest = self.slowest.get(upstream).copied().unwrap_or_default();
        configured.max((slowest * TIMEOUT_FACTOR).min(MAX_ADAPTIVE_TIMEOUT))
    }
}
