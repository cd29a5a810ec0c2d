//! A queue of timers, one per key of an arena.

use std::collections::BTreeSet;

use tokio::time::Instant;

/// A queue of timers, each of which belongs to one key.
///
/// A timer may fire early, because arming it for a later instant does not move it.
/// Its owner then finds nothing due and arms it again. This keeps a timeout that
/// every message extends from updating the queue for every message.
#[derive(Clone, Debug)]
pub struct Timers<K> {
    queue: BTreeSet<(Instant, K)>,
}

/// The instant for which the timer of one key is armed, if it is armed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TimerSlot(Option<Instant>);

impl TimerSlot {
    /// Records that the timer has fired.
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

    /// Arms the timer of `key` to fire at `at` or earlier.
    pub fn arm(&mut self, slot: &mut TimerSlot, key: K, at: Instant) {
        if slot.0.is_some_and(|armed| armed <= at) {
            return;
        }
        self.disarm(slot, key);
        self.queue.insert((at, key));
        slot.0 = Some(at);
    }

    /// Disarms the timer of `key`.
    pub fn disarm(&mut self, slot: &mut TimerSlot, key: K) {
        if let Some(armed) = slot.0.take() {
            self.queue.remove(&(armed, key));
        }
    }

    /// Removes and returns a key whose timer is due; the caller clears its slot.
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
