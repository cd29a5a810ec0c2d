//! Timing of the reconciler.

use std::time::Duration;

/// Timing of the reconciler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReconcileSettings {
    /// Shortest time between two calls after which this process counts as paused.
    pub pause_threshold: Duration,
    /// Time after which an unanswered read of the plan is requested again.
    pub read_timeout: Duration,
    /// Time between two reads of an engine's status.
    pub status_period: Duration,
    /// Time within which an order has to be sent once it is ready.
    pub send_window: Duration,
}

impl Default for ReconcileSettings {
    fn default() -> Self {
        Self {
            pause_threshold: Duration::from_millis(500),
            read_timeout: Duration::from_secs(2),
            status_period: Duration::from_secs(1),
            send_window: Duration::from_millis(200),
        }
    }
}
