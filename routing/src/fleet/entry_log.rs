//! The upstreams' entries that have changed since a revision of the store, for gateways
//! that do not follow the store.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use jujubewall_types::id::Revision;
use smol_str::SmolStr;

/// The number of changes kept; a gateway that missed more of them fetches all entries.
const MAX_CHANGES: usize = 2_000;

/// The changes that a follower of the store has seen since it last read all entries.
#[derive(Debug, Default)]
pub struct EntryLog {
    changes: VecDeque<(Revision, SmolStr)>,
    /// The revision after which no change is missing; `None` before all entries were read.
    complete_since: Option<Revision>,
}

impl EntryLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Restarts the log after all entries have been read at a revision.
    pub fn restart(&mut self, revision: Revision) {
        self.changes.clear();
        self.complete_since = Some(revision);
    }

    /// Records that the store is no longer followed.
    pub fn stop(&mut self) {
        self.changes.clear();
        self.complete_since = None;
    }

    /// Returns whether changes are being recorded.
    pub const fn is_running(&self) -> bool {
        self.complete_since.is_some()
    }

    /// Records a change of an entry.
    pub fn note(&mut self, revision: Revision, id: &str) {
        self.changes.push_back((revision, SmolStr::new(id)));
        if self.changes.len() > MAX_CHANGES
            && let Some((revision, _)) = self.changes.pop_front()
        {
            self.complete_since = self.complete_since.map(|since| since.max(revision));
        }
    }

    /// Returns the entries that have changed after a revision, or `None` if some change may
    /// be missing.
    pub fn since(&self, revision: Revision) -> Option<BTreeSet<&SmolStr>> {
        if self.complete_since? > revision {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(later.map(|(_, id)| id).collect())
    }
}
