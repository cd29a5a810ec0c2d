//! Detection of calls that an agent may have seen before and evicted from memory.

use std::collections::HashMap;

use jujubewall_protocol::call::CallOrigin;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;

/// The result of checking a call that is not in memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplayCheck {
    /// The agent has never seen the call.
    NeverSeen,
    /// The agent may have seen the call.
    MaybeEvicted,
    /// The call is from an unknown entry, and no further entries can be tracked.
    TooManyEntries,
}

/// The evicted calls of the newest known process of an entry.
#[derive(Clone, Copy, Debug)]
struct OriginWindow {
    incarnation: Incarnation,
    highest_evicted_sequence: Option<u64>,
}

/// The highest sequence number of the evicted calls of each entry.
#[derive(Clone, Debug, Default)]
pub struct OriginWindows {
    entries: HashMap<MemberName, OriginWindow>,
}

impl OriginWindows {
    /// Returns whether a call may have been evicted, and starts tracking its entry.
    ///
    /// Calls of an older process of an entry count as possibly evicted, since
    /// only the newest process of each entry is tracked.
    pub fn check(&mut self, origin: &CallOrigin, max_origins: usize) -> ReplayCheck {
        let is_full = self.entries.len() >= max_origins;
        let Some(window) = self.entries.get_mut(&origin.entry) else {
            if is_full {
                return ReplayCheck::TooManyEntries;
            }
            self.entries
                .insert(origin.entry.clone(), new_window(origin));
            return ReplayCheck::NeverSeen;
        };
        if origin.incarnation > window.incarnation {
            *window = new_window(origin);
        }
        let is_old_process = origin.incarnation < window.incarnation;
        if is_old_process || Some(origin.sequence) <= window.highest_evicted_sequence {
            ReplayCheck::MaybeEvicted
        } else {
            ReplayCheck::NeverSeen
        }
    }

    /// Records that a call has been evicted.
    pub fn record_evicted(&mut self, origin: &CallOrigin) {
        let Some(window) = self.entries.get_mut(&origin.entry) else {
            return;
        };
        if origin.incarnation == window.incarnation {
            window.highest_evicted_sequence =
                window.highest_evicted_sequence.max(Some(origin.sequence));
        }
    }
}

fn new_window(origin: &CallOrigin) -> OriginWindow {
    OriginWindow {
        incarnation: origin.incarnation,
        highest_evicted_sequence: None,
    }
}
