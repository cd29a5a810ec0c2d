//! Which upstreams without an entry are kept for a while, because they may rewrite it.
//!
//! Entries lapse while the store is unavailable, and upstreams that still run rewrite them
//! shortly after its return. A gateway that dropped them at once would reject requests that
//! these upstreams can serve.
//!
//! The store was away for all if no gateway that follows it was answered for a while. Every
//! gateway notes this, because each may be the next one to read the store's entries.
//!
//! A gateway may also have lost the store for itself alone, for example because it was
//! partitioned or turned away. What has vanished meanwhile is gone for good, and the peers
//! that the store answered all the while know it. Without asking them, a gateway that takes
//! the role of a follower long after it last reached the store would keep upstreams that
//! have just left, and pass them on to its failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

/// The time after the store becomes available again within which upstreams rewrite entries
/// that it has lost, by the platform's protocol.
const REWRITE_GRACE: Duration = Duration::from_millis(2_300);

/// The upstreams whose entries are missing after the store was unavailable.
#[derive(Debug, Default)]
pub struct Absences {
    grace_end: Option<Instant>,
    /// When upstreams have rewritten their entries in the store's new era.
    era_settled_at: Option<Instant>,
    missing: BTreeMap<SmolStr, Instant>,
    reach: StoreReach,
}

/// Whether the store answers any gateway that follows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum StoreReach {
    /// No such gateway is known yet.
    #[default]
    Unknown,
    /// It answers one.
    Answers,
    /// It has answered one before and answers none now.
    Away,
}

impl Absences {
    /// Creates a state in which no upstream is missing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether the store answers this gateway or any peer that follows it.
    pub fn on_followers_seen(&mut self, is_any_served: bool, now: Instant) {
        self.reach = match (self.reach, is_any_served) {
            (StoreReach::Away, true) => {
                self.on_store_return(now);
                StoreReach::Answers
            }
            (_, true) => StoreReach::Answers,
            (StoreReach::Unknown, false) => StoreReach::Unknown,
            (_, false) => StoreReach::Away,
        };
    }

    /// Starts the time in which upstreams may rewrite missing entries.
    pub fn on_store_return(&mut self, now: Instant) {
        self.grace_end = Some(now + REWRITE_GRACE);
    }

    /// Starts the time in which upstreams may rewrite entries that the store has lost with
    /// the end of its last era.
    pub fn on_new_era(&mut self, now: Instant) {
        self.on_store_return(now);
        self.era_settled_at = Some(now + REWRITE_GRACE);
    }

    /// Returns when the store's entries no longer date from before a new era, if there was
    /// one.
    pub const fn era_settled_at(&self) -> Option<Instant> {
        self.era_settled_at
    }

    /// Returns whether the store's entries may still date from before the new era.
    pub fn is_era_settling(&self, now: Instant) -> bool {
        self.era_settled_at.is_some_and(|at| now < at)
    }

    /// Records that an upstream has an entry.
    pub fn on_entry(&mut self, id: &str) {
        self.missing.remove(id);
    }

    /// Returns whether a missing entry may still be rewritten, and tracks it if so.
    pub fn may_be_rewritten(&mut self, id: &str, now: Instant) -> bool {
        let Some(grace_end) = self.grace_end.filter(|end| now < *end) else {
            return false;
        };
        self.missing.insert(SmolStr::new(id), grace_end);
        true
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

    /// Ends the time for rewriting, since peers know that the missing entries are gone, and
    /// returns the upstreams to remove.
    ///
    /// After a new era the time goes on: what peers know may date from the era before.
    pub fn take_confirmed(&mut self, now: Instant) -> Vec<SmolStr> {
        if self.is_era_settling(now) {
            return Vec::new();
        }
        self.grace_end = None;
        std::mem::take(&mut self.missing).into_keys().collect()
    }
}
