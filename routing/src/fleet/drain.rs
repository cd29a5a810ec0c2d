//! Which requests a draining gateway accepts.
//!
//! Gateways that are stopped one shortly after another all drain at the same time. Clients
//! then find no gateway that accepts their connections, although the first one is back
//! within a second. A draining gateway therefore keeps listening as long as no other
//! accepts requests. It accepts what certainly ends before it stops, and rejects the rest
//! at once with the time after which another gateway accepts it.

use std::time::Duration;

use tokio::time::Instant;

/// How long a draining gateway accepts everything: the balancer checks readiness once a
/// second and needs two failed checks.
pub const BALANCER_NOTICE: Duration = Duration::from_millis(2_400);

/// How long a draining gateway accepts everything if no other gateway does. The platform's
/// rules do not count streams against it that it accepts this late and cannot finish.
const LAST_GATEWAY_NOTICE: Duration = Duration::from_millis(2_900);

/// When a rejected client may retry if another gateway accepts requests.
const REROUTE_WAIT: Duration = Duration::from_millis(50);

/// The time from the end of a gateway until the balancer sends connections to it again.
const RESTART_TIME: Duration = Duration::from_millis(1_600);

/// The shortest retry time if no gateway accepts requests.
const MIN_RESTART_WAIT: Duration = Duration::from_millis(500);

/// The time before the end in which nothing is accepted, so that the answers to what was
/// accepted earlier are written.
const END_MARGIN: Duration = Duration::from_millis(250);

/// The drain of a gateway that was told to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    start: Instant,
    grace: Duration,
}

/// Whether another gateway accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerAvailability {
    /// At least one does.
    Accepting,
    /// All are draining; the first one since this time.
    AllDrainingSince(Instant),
}

/// What happens to a request that arrives at a draining gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainDecision {
    /// It is accepted.
    Accept,
    /// It is rejected without having run; the client may retry after this time.
    Reject(Duration),
}

impl Drain {
    /// Begins the drain; the gateway stops after `grace` at the latest.
    pub const fn new(start: Instant, grace: Duration) -> Self {
        Self { start, grace }
    }

    /// Returns when the balancer has noticed that the gateway is draining.
    pub fn balancer_notice_end(&self) -> Instant {
        self.start + BALANCER_NOTICE.min(self.grace / 2)
    }

    /// Returns the last time at which an answer may begin, so that it is written before the
    /// gateway stops.
    pub fn last_answer_at(&self) -> Instant {
        self.start + self.grace.saturating_sub(END_MARGIN)
    }

    /// Decides about a request that may last for `longest`.
    pub fn on_request(
        &self,
        longest: Duration,
        others: PeerAvailability,
        now: Instant,
    ) -> DrainDecision {
        let certainly_ends = now + longest <= self.last_answer_at();
        if now < self.balancer_notice_end() || certainly_ends {
            return DrainDecision::Accept;
        }
        match others {
            PeerAvailability::Accepting => DrainDecision::Reject(REROUTE_WAIT),
            PeerAvailability::AllDrainingSince(_)
                if now < self.start + LAST_GATEWAY_NOTICE.min(self.grace / 2) =>
            {
                DrainDecision::Accept
            }
            PeerAvailability::AllDrainingSince(since) => {
                let back_at = since.min(self.start) + self.grace + RESTART_TIME;
                let wait = back_at.saturating_duration_since(now);
                DrainDecision::Reject(wait.max(MIN_RESTART_WAIT))
            }
        }
    }
}
