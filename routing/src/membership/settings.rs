//! The periods and bounds of membership.

use std::time::Duration;

/// The periods and bounds of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// The time between two calls of `on_tick`.
    pub tick: Duration,
    /// The time between two probes by one member.
    pub probe_period: Duration,
    /// The time that a direct probe has to be answered.
    pub probe_timeout: Duration,
    /// The time that the tries after a failed direct probe have to be answered.
    pub retry_timeout: Duration,
    /// The number of members that are asked to probe on this one's behalf.
    pub helpers: usize,
    /// The time that a suspected member has to refute.
    pub suspicion_timeout: Duration,
    /// The time between two exchanges of digests.
    pub digest_period: Duration,
    /// The time between two tries to reach a dead member or an unknown address.
    pub reconnect_period: Duration,
    /// The time between two tries to join.
    pub join_period: Duration,
    /// The time between two reports of an unchanged applied revision.
    pub report_period: Duration,
    /// The time for which a dead member is remembered.
    pub dead_retention: Duration,
    /// The time between two ticks from which on this process counts as paused.
    pub pause_threshold: Duration,
    /// The number of failed members from which on the own link can be at fault.
    pub min_mass_loss: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            probe_period: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(300),
            retry_timeout: Duration::from_millis(500),
            helpers: 3,
            suspicion_timeout: Duration::from_secs(2),
            digest_period: Duration::from_secs(2),
            reconnect_period: Duration::from_secs(2),
            join_period: Duration::from_millis(500),
            report_period: Duration::from_secs(30),
            dead_retention: Duration::from_hours(2),
            pause_threshold: Duration::from_secs(1),
            min_mass_loss: 2,
        }
    }
}
