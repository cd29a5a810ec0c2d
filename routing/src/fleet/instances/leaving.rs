//! Whether an upstream is about to end, by whose word.

use tokio::time::Instant;

use super::InstanceKey;
use super::InstanceTable;

/// What is known of the end that one incarnation of an upstream is about to meet.
///
/// Only the upstream itself knows. Other signs are conclusions that it takes back by its answer
/// to a health check: an earlier check that failed, a refusal that may speak of another upstream,
/// an entry that is back after its removal and may be an old copy.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Leaving {
    /// When the upstream said so itself, which holds as long as it lives.
    announced_at: Option<Instant>,
    /// Since when another sign suggests it, and no answer to a health check has refuted it.
    inferred_at: Option<Instant>,
}

impl Leaving {
    /// Returns since when the upstream counts as leaving.
    pub(super) fn since(&self) -> Option<Instant> {
        self.announced_at.or(self.inferred_at)
    }

    /// Returns whether the upstream said so itself.
    pub(super) const fn is_announced(&self) -> bool {
        self.announced_at.is_some()
    }

    /// Returns since when other signs than its own word suggest it.
    pub(super) const fn inferred_at(&self) -> Option<Instant> {
        self.inferred_at
    }
}

impl InstanceTable {
    /// Records that an upstream itself announced that it is about to end. Returns whether it did
    /// not count as leaving before.
    pub fn note_leaving_announced(&mut self, key: InstanceKey, now: Instant) -> bool {
        self.change_leaving(key, |leaving| {
            leaving.announced_at.get_or_insert(now);
        })
    }

    /// Records a sign that an upstream may be about to end, which is not its own word: it counts
    /// as leaving until it answers a health check. Returns whether it did not before.
    pub fn infer_leaving(&mut self, key: InstanceKey, now: Instant) -> bool {
        self.change_leaving(key, |leaving| {
            leaving.inferred_at.get_or_insert(now);
        })
    }

    /// Records whether an upstream takes work, by its answer to a health check. Returns whether
    /// this changes whether it counts as leaving.
    pub fn note_health(&mut self, key: InstanceKey, is_healthy: bool, now: Instant) -> bool {
        if !is_healthy {
            return self.infer_leaving(key, now);
        }
        self.change_leaving(key, |leaving| leaving.inferred_at = None)
    }

    /// Changes what is known, and returns whether the upstream counts as leaving since then or
    /// does no longer.
    fn change_leaving(&mut self, key: InstanceKey, change: impl FnOnce(&mut Leaving)) -> bool {
        let Some(tracked) = self.instances.get_mut(key) else {
            return false;
        };
        let before = tracked.leaving.since().is_some();
        change(&mut tracked.leaving);
        before != tracked.leaving.since().is_some()
    }

    /// Returns the upstreams that have an entry and that only a conclusion makes count as leaving,
    /// and since when.
    pub fn in_doubt(&self) -> Vec<(InstanceKey, Instant)> {
        self.iter()
            .filter(|(_, tracked)| !tracked.has_announced_leaving())
            .filter_map(|(key, tracked)| Some((key, tracked.inferred_leaving_since()?)))
            .collect()
    }
}
