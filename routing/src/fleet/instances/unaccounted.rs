//! The context that an engine holds and no gateway accounts for.
//!
//! When gateways are killed, their engines continue the streams until they notice. Gateways
//! that restart know nothing of these streams, take the engines for idle, and their
//! requests are rejected. An engine that rejects for lack of memory is therefore asked how
//! much context it holds.

use std::time::Duration;

use tokio::time::Instant;

use super::InstanceKey;
use super::InstanceTable;
use super::TrackedInstance;

/// The time within which streams without a reader end. The context that an engine reported
/// fades over this time.
const ORPHAN_LIFETIME: Duration = Duration::from_secs(3);

/// The shortest time between two load queries to one engine.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(300);

/// The context beyond the known work, at the time of the engine's report.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnaccountedWork {
    token_layers: f64,
    at: Instant,
    queried_at: Option<Instant>,
}

impl UnaccountedWork {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            token_layers: 0.0,
            at: now,
            queried_at: None,
        }
    }
}

impl InstanceTable {
    /// Returns whether an engine may be asked for its load now, and if so, records the
    /// query.
    pub fn try_begin_load_query(&mut self, key: InstanceKey, now: Instant) -> bool {
        let Some(tracked) = self.instances.get_mut(key) else {
            return false;
        };
        let queried_at = tracked.unaccounted.queried_at;
        let is_due =
            queried_at.is_none_or(|at| now.saturating_duration_since(at) >= MIN_QUERY_INTERVAL);
        if is_due {
            tracked.unaccounted.queried_at = Some(now);
        }
        is_due
    }

    /// Records the context that an engine reported, in tokens times layers.
    pub fn note_load(&mut self, key: InstanceKey, token_layers: f64, now: Instant) {
        let Some(tracked) = self.instances.get(key) else {
            return;
        };
        let known = self.total_work(tracked).token_layers;
        if let Some(tracked) = self.instances.get_mut(key) {
            tracked.unaccounted.token_layers = (token_layers - known).max(0.0);
            tracked.unaccounted.at = now;
        }
    }

    /// Returns the context that an engine holds beyond the known work, in tokens times
    /// layers.
    pub fn unaccounted_token_layers(&self, tracked: &TrackedInstance, now: Instant) -> f64 {
        let age = now.saturating_duration_since(tracked.unaccounted.at);
        let left = 1.0 - age.as_secs_f64() / ORPHAN_LIFETIME.as_secs_f64();
        tracked.unaccounted.token_layers * left.max(0.0)
    }
}
