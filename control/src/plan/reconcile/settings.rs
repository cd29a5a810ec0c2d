//! The periods of reconciling.

use std::time::Duration;

/// The periods of reconciling.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReconcileSettings {
    /// The time between two ticks from which on this process counts as paused.
    pub pause_threshold: Duration,
    /// The time after which an unanswered reading is asked for again.
    pub read_timeout: Duration,
    /// The time between two readings of an engine's status.
    pub status_period: Duration,
    /// The time within which an order has to be sent once it is given.
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
