//! The time that engines take for a step.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::UpstreamName;

/// The part of the slowest time that is kept at each later step, in percent.
const KEPT_PERCENT: u32 = 95;

/// How much longer than the slowest recent step a step may take.
const PATIENCE: u32 = 3;

/// The longest time that slow steps let a step take.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The slowest recent step of each engine.
///
/// A busy engine is slow for every stream at once. Taking it for a hanging one
/// would move its streams to engines that are as busy.
#[derive(Clone, Debug, Default)]
pub struct StepTimes {
    slowest: HashMap<UpstreamName, Duration>,
}

impl StepTimes {
    /// Notes the time that a step of an engine took.
    pub fn record(&mut self, upstream: &UpstreamName, time: Duration) {
        if let Some(slowest) = self.slowest.get_mut(upstream) {
            *slowest = time.max(*slowest * KEPT_PERCENT / 100);
        } else {
            self.slowest.insert(upstream.clone(), time);
        }
    }

    /// Returns the time that a step may take, which is at least `configured`.
    pub fn timeout(&self, upstream: &UpstreamName, configured: Duration) -> Duration {
        let slowest = self.slowest.get(upstream).copied().unwrap_or_default();
        configured.max((slowest * PATIENCE).min(MAX_WAIT))
    }
}
