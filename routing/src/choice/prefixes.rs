//! What is believed about the prefix cache of one engine.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::view::CacheHint;

/// The time for which a hint is believed.
const HINT_LIFETIME: Duration = Duration::from_mins(1);
/// The time for which hints are believed after events were lost.
const DOUBTED_LIFETIME: Duration = Duration::from_secs(10);
/// The number of hints that are kept for each engine.
const MAX_HINTS: usize = 512;

/// The prefixes that one engine probably has cached.
#[derive(Debug, Default)]
pub(super) struct PrefixHints {
    believed_until: HashMap<u64, Instant>,
    last_sequence: Option<u64>,
}

impl PrefixHints {
    /// Returns whether the engine probably has a prefix cached.
    pub(super) fn probably_has(&self, now: Instant, prefix: u64) -> bool {
        let until = self.believed_until.get(&prefix);
        until.is_some_and(|&until| until > now)
    }

    /// Notes that a request with this prefix was sent to the engine.
    pub(super) fn on_sent(&mut self, now: Instant, prefix: u64) {
        self.believe(now, prefix);
    }

    /// Notes a cache event, which may be late; older ones are ignored.
    pub(super) fn on_event(&mut self, now: Instant, hint: CacheHint) {
        if self.last_sequence.is_some_and(|last| hint.sequence <= last) {
            return;
        }
        let has_gap = self
            .last_sequence
            .is_some_and(|last| hint.sequence > last + 1);
        if has_gap {
            self.doubt_all(now);
        }
        self.last_sequence = Some(hint.sequence);
        if hint.is_cached {
            self.believe(now, hint.prefix_hash);
        } else {
            self.believed_until.remove(&hint.prefix_hash);
        }
    }

    fn believe(&mut self, now: Instant, prefix: u64) {
        if self.believed_until.len() >= MAX_HINTS && !self.believed_until.contains_key(&prefix) {
            self.forget_some(now);
        }
        self.believed_until.insert(prefix, now + HINT_LIFETIME);
    }

    fn doubt_all(&mut self, now: Instant) {
        for until in self.believed_until.values_mut() {
            *until = (*until).min(now + DOUBTED_LIFETIME);
        }
    }

    /// Forgets the hints of the older half of the lifetime.
    fn forget_some(&mut self, now: Instant) {
        let newer = now + HINT_LIFETIME / 2;
        self.believed_until.retain(|_, until| *until > newer);
        if self.believed_until.len() >= MAX_HINTS {
            self.believed_until.clear();
        }
    }
}
