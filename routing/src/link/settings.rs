//! The settings of the link monitor.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The timeouts and thresholds of the link monitor.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// The time without a message after which a peer is pinged, in milliseconds.
    pub ping_after_ms: u64,
    /// The time without a message after which a peer is dialled again, in
    /// milliseconds.
    pub silence_ms: u64,
    /// The timeout of a dial, in milliseconds.
    pub dial_timeout_ms: u64,
    /// The number of failed dials after which a peer counts as lost.
    pub max_dials: u32,
    /// The interval between dials to a lost peer, in milliseconds.
    pub lost_redial_ms: u64,
    /// The minimum number of silent peers at which the own link is suspected.
    pub own_link_min_peers: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            ping_after_ms: 250,
            silence_ms: 600,
            dial_timeout_ms: 300,
            max_dials: 2,
            lost_redial_ms: 2_000,
            own_link_min_peers: 3,
        }
    }
}

impl LinkSettings {
    /// Returns the time within which a peer that stops responding counts as lost.
    pub fn max_detection_time(&self) -> Duration {
        self.silence() + self.dial_timeout() * self.max_dials
    }

    pub(super) const fn ping_after(&self) -> Duration {
        Duration::from_millis(self.ping_after_ms)
    }

    pub(super) const fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    pub(super) const fn dial_timeout(&self) -> Duration {
        Duration::from_millis(self.dial_timeout_ms)
    }

    pub(super) const fn lost_redial(&self) -> Duration {
        Duration::from_millis(self.lost_redial_ms)
    }
}
