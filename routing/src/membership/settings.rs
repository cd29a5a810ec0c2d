//! Timing and limits of the membership protocol.

use std::time::Duration;

/// Timing and limits of the membership protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// The interval at which the caller invokes `on_tick`.
    pub tick: Duration,
    /// The interval between the probes that one member starts.
    pub probe_period: Duration,
    /// The time after which an unanswered direct probe is retried.
    pub probe_timeout: Duration,
    /// The time after which the retries of a direct probe, over a new socket and
    /// through other members, count as failed.
    pub retry_timeout: Duration,
    /// The number of members that are asked to probe indirectly after a direct probe fails.
    pub indirect_probers: usize,
    /// The time that a suspected member has to refute before it is declared dead.
    pub suspicion_timeout: Duration,
    /// The interval between digest exchanges.
    pub digest_period: Duration,
    /// The interval between attempts to reach a dead member or an address without a
    /// known member.
    pub reconnect_period: Duration,
    /// The interval between attempts to join.
    pub join_period: Duration,
    /// The interval at which an unchanged applied revision is reported again.
    pub report_period: Duration,
    /// The time after which a dead member is removed from the member table.
    pub dead_retention: Duration,
    /// The gap between two ticks from which this process is considered to have been paused.
    pub pause_threshold: Duration,
    /// The minimum number of failing members before this process suspects its own link.
    pub min_failing_members: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            probe_period: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(300),
            retry_timeout: Duration::from_millis(500),
            indirect_probers: 3,
            suspicion_timeout: Duration::from_secs(2),
            digest_period: Duration::from_secs(2),
            reconnect_period: Duration::from_secs(2),
            join_period: Duration::from_millis(500),
            report_period: Duration::from_secs(30),
            dead_retention: Duration::from_hours(2),
            pause_threshold: Duration::from_secs(1),
            min_failing_members: 2,
        }
    }
}
