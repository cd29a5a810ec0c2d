//! Which gateway takes over planning when no other plans.
//!
//! The lease of a killed planner outlives it, and while the store is unavailable no gateway
//! can win the lease. Orders are safe without it, so the first gateway in an order that all
//! followers of the store compute alike acts as substitute. Each waits for those before it,
//! so that few ask the store.
//!
//! A process that was stalled may find that another one has taken over meanwhile, so it
//! plans again only after its lease has been confirmed.

use std::time::Duration;

use tokio::time::Instant;

use super::gossip::Gossip;

/// The time that each follower waits for every one before it, in which the store answers.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(400);

/// The time by which the clock that includes suspension may advance between two checks
/// before the process counts as stalled. Leases last several times as long.
pub const MAX_STALL: Duration = Duration::from_millis(700);

/// What a gateway does about planning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlannerStep {
    /// Another gateway plans or takes precedence.
    Defer,
    /// Ask the store for the lease. If the store answers that the lease is taken, its
    /// holder is gone if `plans_without_lease`.
    TakeOver {
        /// Whether to plan even without the lease.
        plans_without_lease: bool,
    },
}

/// The decision of a gateway that does not hold the planner's lease.
#[derive(Debug, Default)]
pub struct PlannerElection {
    missing_since: Option<Instant>,
}

impl PlannerElection {
    /// Creates the state of a gateway that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the decision. `is_planner` tells whether this gateway is a substitute
    /// planner.
    pub fn step(&mut self, gossip: &Gossip, is_planner: bool, now: Instant) -> PlannerStep {
        let silence = gossip.timing().silence_timeout();
        let claims = gossip.claims();
        if is_planner {
            // Of several substitute planners, the first in the order continues.
            return if claims.has_preferred_planner(gossip.own_address(), silence, now) {
                PlannerStep::Defer
            } else {
                PlannerStep::TakeOver {
                    plans_without_lease: true,
                }
            };
        }
        if claims.has_planner(silence, now) {
            self.missing_since = None;
            return PlannerStep::Defer;
        }
        let since = *self.missing_since.get_or_insert(now);
        let before = claims.planner_rank(gossip.own_address(), silence, now, |claim| {
            claim.follower.is_following()
        });
        let wait = gossip.timing().propagation_time()
            + TAKEOVER_STAGGER * u32::try_from(before).unwrap_or(u32::MAX);
        if now.saturating_duration_since(since) < wait {
            return PlannerStep::Defer;
        }
        PlannerStep::TakeOver {
            plans_without_lease: before == 0 && claims.has_lost_planner(silence, now),
        }
    }
}

/// Detects whether the process was suspended or stalled between two checks.
#[derive(Debug)]
pub struct StallDetector {
    checked_at: Duration,
}

impl StallDetector {
    /// Creates a detector. `boot_time` is the time since the host's start, including
    /// suspension.
    pub const fn new(boot_time: Duration) -> Self {
        Self {
            checked_at: boot_time,
        }
    }

    /// Returns whether the time since the last check is longer than [`MAX_STALL`], after
    /// which a process may no longer rely on its lease.
    pub fn has_stalled(&mut self, boot_time: Duration) -> bool {
        let before = std::mem::replace(&mut self.checked_at, boot_time);
        boot_time.saturating_sub(before) > MAX_STALL
    }
}
