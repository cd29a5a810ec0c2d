//! The upstreams that are kept for a while without an entry, because they may rewrite it.
//!
//! [`StoreBelief`](super::store_belief::StoreBelief) tells when that is so. A gateway that
//! was cut off alone cannot know whether the store was away meanwhile; the peers that the
//! store served all the while know which upstreams have left.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use tokio::time::Instant;

/// The upstreams whose entries are missing after the store was away.
#[derive(Debug, Default)]
pub struct Absences {
    missing: BTreeMap<SmolStr, Instant>,
}

impl Absences {
    /// Creates a state in which no upstream is missing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream has an entry.
    pub fn on_entry(&mut self, id: &str) {
        self.missing.remove(id);
    }

    /// Keeps an upstream whose entry is missing `until` a time.
    pub fn keep(&mut self, id: &str, until: Instant) {
        self.missing.insert(SmolStr::new(id), until);
    }

    /// Returns the upstreams whose entries are missing and may still be rewritten.
    pub fn missing(&self) -> impl Iterator<Item = &SmolStr> {
        self.missing.keys()
    }

    /// Removes and returns the upstreams that have not rewritten their entries in time.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<SmolStr> {
        let is_overdue = |_: &SmolStr, until: &mut Instant| *until <= now;
        self.missing
            .extract_if(.., is_overdue)
            .map(|(id, _)| id)
            .collect()
    }

    /// Removes and returns all upstreams whose entries are missing.
    pub fn take_all(&mut self) -> Vec<SmolStr> {
        std::mem::take(&mut self.missing).into_keys().collect()
    }
}
