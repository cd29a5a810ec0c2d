//! Instants at which things in an arena need attention.

use std::collections::BTreeSet;

use tokio::time::Instant;

/// The instants of many timers, each of which belongs to one key.
///
/// A timer may fire too early, because arming it for a later instant leaves it
/// as it is; its owner then finds nothing due and arms it again. This keeps a
/// timer that moves on with each message from costing anything.
#[derive(Clone, Debug)]
pub struct Timers<K> {
    queue: BTreeSet<(Instant, K)>,
}

/// The instant for which one key's timer is armed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TimerSlot(Option<Instant>);

impl TimerSlot {
    /// Notes that the timer has fired.
    pub fn clear(&mut self) {
        self.0 = None;
    }
}

impl<K: Copy + Ord> Timers<K> {
    /// Creates an empty queue.
    pub const fn new() -> Self {
        Self {
            queue: BTreeSet::new(),
        }
    }

    /// Makes the timer of `key` fire at `at` or earlier.
    pub fn arm(&mut self, slot: &mut TimerSlot, key: K, at: Instant) {
        if slot.0.is_some_and(|armed| armed <= at) {
            return;
        }
        self.disarm(slot, key);
        self.queue.insert((at, key));
        slot.0 = Some(at);
    }

    /// Keeps the timer of `key` from firing.
    pub fn disarm(&mut self, slot: &mut TimerSlot, key: K) {
        if let Some(armed) = slot.0.take() {
            self.queue.remove(&(armed, key));
        }
    }

    /// Takes a key whose timer is due; the caller clears its slot.
    pub fn pop_due(&mut self, now: Instant) -> Option<K> {
        let &(at, key) = self.queue.first()?;
        if at > now {
            return None;
        }
        self.queue.pop_first();
        Some(key)
    }

    /// Returns the earliest instant at which a timer fires.
    pub fn next(&self) -> Option<Instant> {
        self.queue.first().map(|&(at, _)| at)
    }
}

impl<K: Copy + Ord> Default for Timers<K> {
    fn default() -> Self {
        Self::new()
    }
}
