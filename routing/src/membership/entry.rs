//! What is known about one member.

use jujubewall_protocol::member::MemberRecord;
use jujubewall_types::member::MemberState;
use tokio::time::Instant;

/// The wait for a member to refute that it does not answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// When the member is declared dead.
    pub(super) deadline: Instant,
    /// Whether no other member was told, so that a direct answer ends it.
    pub(super) is_private: bool,
}

/// What the platform's list has said about a member's host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Listing {
    /// The host has not been on the list.
    Never,
    /// The host was on the list as live.
    Live,
    /// The host was on the list as leaving.
    Leaving,
}

/// One member in the arena.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The newest claim.
    pub(super) record: MemberRecord,
    /// The wait for a refutation, if the member does not answer.
    pub(super) suspicion: Option<Suspicion>,
    /// When the member was declared dead.
    pub(super) dead_since: Option<Instant>,
    /// Whether the member had said that it leaves before it was declared dead.
    pub(super) has_left: bool,
    /// Whether the member's last probe by this process failed.
    pub(super) is_failing: bool,
    /// What the platform's list says about the member's host.
    pub(super) listing: Listing,
    /// When the applied revision was reported.
    pub(super) reported_at: Instant,
}

impl Entry {
    /// Creates an entry from the first claim about a member.
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

    /// Returns the state on which work is routed.
    pub(super) fn effective_state(&self) -> MemberState {
        match self.record.state {
            MemberState::Alive | MemberState::Suspect if self.listing == Listing::Leaving => {
                MemberState::Leaving
            }
            state => state,
        }
    }

    /// Returns the record with the state on which work is routed.
    pub(super) fn effective_record(&self) -> MemberRecord {
        MemberRecord {
            state: self.effective_state(),
            ..self.record.clone()
        }
    }
}

/// A member as it is shown to the rest of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The newest claim, with the state on which work is routed.
    pub record: MemberRecord,
    /// When the applied revision was reported.
    pub reported_at: Instant,
}
