//! How long a gateway may take for each step by which it learns that an upstream leaves.
//!
//! The deployment bounds the time between the store's acknowledgement and the last request
//! that a gateway sends to the leaving upstream. What gossip and the regular checks take of
//! it is fixed; the rest is divided into equal shares for the steps that may have to wait.

use std::time::Duration;

use super::gossip_timing::GossipTiming;

/// The interval between checks whether a peer has newer entries.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// The time in which a follower collects changes in quick succession.
pub const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// The steps among which the rest of the bound is divided: a wait for evidence, a fetch that
/// fails, a fetch that succeeds, and a reserve for a process that is held up.
const SHARES: u32 = 4;

/// The shortest share, below which sound gateways would suspect each other's entries.
const MIN_SHARE: Duration = Duration::from_millis(100);

/// The times for the steps by which gateways learn of changed entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryBounds {
    share: Duration,
}

impl EntryBounds {
    /// Derives the times from the bound of the deployment and the size of the fleet.
    pub fn new(bound: Duration, timing: GossipTiming) -> Self {
        let rest = bound.saturating_sub(Self::fixed_time(timing));
        let share = (rest / SHARES).max(MIN_SHARE);
        Self { share }
    }

    /// Returns the time that a follower, gossip and the next check take.
    pub fn fixed_time(timing: GossipTiming) -> Duration {
        BATCH_PAUSE + timing.propagation_time() + SYNC_INTERVAL
    }

    /// Returns how long a watch of the store may be behind the entries that peers announce
    /// before the changes are fetched from a peer.
    pub const fn max_behind(self) -> Duration {
        self.share
    }

    /// Returns how long entries may differ from a peer's at the same position before all
    /// are fetched.
    pub const fn max_mismatch(self) -> Duration {
        self.share
    }

    /// Returns how long a fetch of entries from a peer may take.
    pub const fn fetch_timeout(self) -> Duration {
        self.share
    }
}
