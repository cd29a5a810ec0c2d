//! The local state kept for one member.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;

/// A pending suspicion, which the member can refute until the deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// When the member is declared dead unless it refutes.
    pub(super) deadline: Instant,
    /// Whether the suspicion was not gossiped, so that a direct answer clears it.
    pub(super) is_local: bool,
}

/// The status of a member's host on the platform's host list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Listing {
    /// The host has never been on the list.
    Never,
    /// The host was last listed as live.
    Live,
    /// The host was last listed as leaving.
    Leaving,
}

/// The local state of one member in the member table.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    /// The newest record of the member.
    pub(super) record: MemberRecord,
    /// The pending suspicion, if the member did not answer.
    pub(super) suspicion: Option<Suspicion>,
    /// When the member was declared dead; `None` unless it is dead.
    pub(super) dead_since: Option<Instant>,
    /// Whether the member announced that it was leaving before it was declared dead.
    pub(super) has_left: bool,
    /// Whether this process's last probe of the member failed.
    pub(super) is_failing: bool,
    /// The status of the member's host on the platform's host list.
    pub(super) listing: Listing,
    /// When the member last reported its applied revision.
    pub(super) reported_at: Instant,
}

impl MemberEntry {
    /// Creates the state of a member from the first record received for it.
    pub(super) fn new(record: MemberRecord, now: Instant) -> Self {
        Self {
            record,
            suspicion: None,
            dead_since: None,
            has_left: false,
            is_failing: false,
            listing: Listing::Never,
            reported_at: now,
        }
    }

    /// Returns the state used for routing, which includes the host list's status.
    pub(super) fn effective_state(&self) -> MemberState {
        match self.record.state {
            MemberState::Alive | MemberState::Suspect if self.listing == Listing::Leaving => {
                MemberState::Leaving
            }
            state => state,
        }
    }

    /// Returns the record with its state replaced by the effective state.
    pub(super) fn effective_record(&self) -> MemberRecord {
        MemberRecord {
            state: self.effective_state(),
            ..self.record.clone()
        }
    }
}

/// A read-only snapshot of a member for the rest of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The newest record of the member, with the state used for routing.
    pub record: MemberRecord,
    /// When the member last reported its applied revision.
    pub reported_at: Instant,
}
