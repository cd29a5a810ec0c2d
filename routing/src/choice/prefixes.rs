//! The assumed content of the prefix cache of one engine.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::view::CacheHint;

/// The lifetime of a hint.
const HINT_LIFETIME: Duration = Duration::from_mins(1);
/// The remaining lifetime of all hints after cache events were lost.
const LIFETIME_AFTER_GAP: Duration = Duration::from_secs(10);
/// The maximum number of hints per engine.
const MAX_HINTS: usize = 512;

/// The prefixes that one engine probably has cached.
#[derive(Debug, Default)]
pub(super) struct PrefixHints {
    expires_at: HashMap<u64, Instant>,
    last_sequence: Option<u64>,
}

impl PrefixHints {
    /// Returns whether the engine probably has a prefix cached.
    pub(super) fn is_probably_cached(&self, now: Instant, prefix: u64) -> bool {
        let expiry = self.expires_at.get(&prefix);
        expiry.is_some_and(|&expiry| expiry > now)
    }

    /// Records that a request with this prefix was sent to the engine.
    pub(super) fn on_sent(&mut self, now: Instant, prefix: u64) {
        self.insert(now, prefix);
    }

    /// Records a cache event; events older than the last one are ignored.
    ///
    /// A gap in the sequence numbers shortens the lifetime of all hints.
    pub(super) fn on_event(&mut self, now: Instant, hint: CacheHint) {
        if self.last_sequence.is_some_and(|last| hint.sequence <= last) {
            return;
        }
        let has_gap = self
            .last_sequence
            .is_some_and(|last| hint.sequence > last + 1);
        if has_gap {
            self.shorten_lifetimes(now);
        }
        self.last_sequence = Some(hint.sequence);
        if hint.is_cached {
            self.insert(now, hint.prefix_hash);
        } else {
            self.expires_at.remove(&hint.prefix_hash);
        }
    }

    fn insert(&mut self, now: Instant, prefix: u64) {
        if self.expires_at.len() >= MAX_HINTS && !self.expires_at.contains_key(&prefix) {
            self.evict(now);
        }
        self.expires_at.insert(prefix, now + HINT_LIFETIME);
    }

    fn shorten_lifetimes(&mut self, now: Instant) {
        for expiry in self.expires_at.values_mut() {
            *expiry = (*expiry).min(now + LIFETIME_AFTER_GAP);
        }
    }

    /// Evicts the hints past half of their lifetime, or all hints if that does not
    /// free any.
    fn evict(&mut self, now: Instant) {
        let newest_evicted = now + HINT_LIFETIME / 2;
        self.expires_at.retain(|_, expiry| *expiry > newest_evicted);
        if self.expires_at.len() >= MAX_HINTS {
            self.expires_at.clear();
        }
    }
}
