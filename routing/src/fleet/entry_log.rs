//! Which upstreams' entries have changed since a revision of the store, for entries that
//! do not follow it.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use jujubewall_types::id::Revision;
use smol_str::SmolStr;

/// The changes that are remembered; who missed more of them takes over all entries.
const MAX_CHANGES: usize = 2_000;

/// The changes that one follower of the store has seen since it last read all entries.
#[derive(Debug, Default)]
pub struct EntryLog {
    changes: VecDeque<(Revision, SmolStr)>,
    /// The revision since which no change is missing; `None` before all were read.
    complete_since: Option<Revision>,
}

impl EntryLog {
    /// Creates a log that knows no change.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins anew, after all entries have been read at a revision.
    pub fn restart(&mut self, revision: Revision) {
        self.changes.clear();
        self.complete_since = Some(revision);
    }

    /// Notes that nothing is followed any more.
    pub fn stop(&mut self) {
        self.changes.clear();
        self.complete_since = None;
    }

    /// Returns whether changes are followed.
    pub const fn is_running(&self) -> bool {
        self.complete_since.is_some()
    }

    /// Notes a change of one entry.
    pub fn note(&mut self, revision: Revision, id: &str) {
        self.changes.push_back((revision, SmolStr::new(id)));
        if self.changes.len() > MAX_CHANGES
            && let Some((revision, _)) = self.changes.pop_front()
        {
            self.complete_since = self.complete_since.map(|since| since.max(revision));
        }
    }

    /// Returns the entries that have changed after a revision, or `None` if some change
    /// may be missing.
    pub fn since(&self, revision: Revision) -> Option<BTreeSet<&SmolStr>> {
        if self.complete_since? > revision {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(later.map(|(_, id)| id).collect())
    }
}
