//! What an agent has forgotten of each entry's calls.

use std::collections::HashMap;

use jujubewall_protocol::call::CallOrigin;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;

/// Whether a call that the agent does not know can be one that it has forgotten.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Memory {
    /// The agent has never seen the call.
    NeverSeen,
    /// The agent may have seen the call.
    MaybeForgotten,
    /// The agent keeps no more origins and has never seen a call of this one.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Forgotten {
    incarnation: Incarnation,
    highest_sequence: Option<u64>,
}

/// The highest call of each entry process that has been forgotten.
#[derive(Clone, Debug, Default)]
pub struct OriginWindows {
    entries: HashMap<MemberName, Forgotten>,
}

impl OriginWindows {
    /// Tells whether the agent can have forgotten a call, and notes its origin.
    ///
    /// A call of an entry's older process counts as forgotten, since only the
    /// newest process of each entry is tracked.
    pub fn recall(&mut self, origin: &CallOrigin, max_origins: usize) -> Memory {
        let is_full = self.entries.len() >= max_origins;
        let Some(forgotten) = self.entries.get_mut(&origin.entry) else {
            if is_full {
                return Memory::Full;
            }
            self.entries.insert(origin.entry.clone(), fresh(origin));
            return Memory::NeverSeen;
        };
        if origin.incarnation > forgotten.incarnation {
            *forgotten = fresh(origin);
        }
        let is_old_process = origin.incarnation < forgotten.incarnation;
        if is_old_process || Some(origin.sequence) <= forgotten.highest_sequence {
            Memory::MaybeForgotten
        } else {
            Memory::NeverSeen
        }
    }

    /// Notes that a call has been forgotten.
    pub fn forget(&mut self, origin: &CallOrigin) {
        let Some(forgotten) = self.entries.get_mut(&origin.entry) else {
            return;
        };
        if origin.incarnation == forgotten.incarnation {
            forgotten.highest_sequence = forgotten.highest_sequence.max(Some(origin.sequence));
        }
    }
}

fn fresh(origin: &CallOrigin) -> Forgotten {
    Forgotten {
        incarnation: origin.incarnation,
        highest_sequence: None,
    }
}
