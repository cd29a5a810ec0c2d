//! When layers that no failure domain holds completely are expected to be back.
//!
//! After several engines of each domain are lost or leave at once, no path is complete until
//! others have loaded their layers, which takes from one second to several. Most clients
//! come back once: one that is told to return before the repair is rejected for good.
//!
//! The time that earlier repairs took is observed. Before the first one, the longest load
//! of a single engine stands for it. A repair that takes longer than expected is assumed to
//! take as long again as it has taken so far.

use std::time::Duration;

use tokio::time::Instant;

/// The shortest wait; engines load some layers within about a second.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// The longest wait. Clients wait for at most a third of their remaining time, which is
/// above this for the usual deadlines of streams.
const MAX_WAIT: Duration = Duration::from_secs(6);

/// The largest random increase of a wait, as a share of it, so that clients do not return
/// all at once.
const MAX_SPREAD: f64 = 0.25;

/// The weight of a repair that took less than expected in the expected duration. A longer
/// one is expected again at once, because coming back in vain costs clients more than waiting.
const REPAIR_WEIGHT: f64 = 0.5;

/// The time without a rejection after which the layers count as repaired, if no path was
/// needed meanwhile.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// An ongoing lack of layers.
#[derive(Clone, Copy, Debug)]
struct Gap {
    since: Instant,
    last_seen_at: Instant,
}

/// The expected duration of repairs of one service.
#[derive(Debug)]
pub struct RepairEstimate {
    gap: Option<Gap>,
    usual: Duration,
}

impl RepairEstimate {
    /// Creates an estimate from the longest load of one engine, before any repair is seen.
    pub const fn new(longest_load: Duration) -> Self {
        Self {
            gap: None,
            usual: longest_load,
        }
    }

    /// Returns the time after which a client should return that was rejected because layers
    /// are missing. `draw` is a random number from zero to one.
    pub fn next_retry_after(&mut self, draw: f64, now: Instant) -> Duration {
        let known = self.gap.filter(|gap| now - gap.last_seen_at < MAX_SILENCE);
        let since = known.map_or(now, |gap| gap.since);
        self.gap = Some(Gap {
            since,
            last_seen_at: now,
        });
        let age = now - since;
        let left = self.usual.saturating_sub(age).max(age).max(MIN_WAIT);
        left.mul_f64(1.0 + MAX_SPREAD * draw).min(MAX_WAIT)
    }

    /// Records that a complete path was found.
    pub fn on_path(&mut self, now: Instant) {
        let Some(gap) = self.gap.take() else { return };
        if now - gap.last_seen_at >= MAX_SILENCE {
            return;
        }
        let taken = now - gap.since;
        let mean = self.usual.mul_f64(1.0 - REPAIR_WEIGHT) + taken.mul_f64(REPAIR_WEIGHT);
        self.usual = mean.max(taken);
    }
}
