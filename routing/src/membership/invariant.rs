//! Invariants of the membership state machine.

use log::error;

/// A condition that must hold whatever messages arrive or failures occur.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MembershipInvariant {
    /// The incarnation of a member never decreases.
    IncarnationNeverFalls,
    /// A leaving member stays so until it is declared dead or restarts.
    LeavingIsFinal,
    /// No member is declared dead while this process suspects its own link.
    NoDeathByOwnLink,
    /// A process never considers itself suspect or dead.
    SelfIsPresent,
    /// A member probes at most one other member per ring.
    WatchesBounded,
}

impl MembershipInvariant {
    /// All invariants, in the order of their declaration, which indexes the counts.
    pub const ALL: [Self; 5] = [
        Self::IncarnationNeverFalls,
        Self::LeavingIsFinal,
        Self::NoDeathByOwnLink,
        Self::SelfIsPresent,
        Self::WatchesBounded,
    ];

    /// Returns the name under which violations are reported.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::IncarnationNeverFalls => "incarnation_never_falls",
            Self::LeavingIsFinal => "leaving_is_final",
            Self::NoDeathByOwnLink => "no_death_by_own_link",
            Self::SelfIsPresent => "self_is_present",
            Self::WatchesBounded => "watches_bounded",
        }
    }
}

/// The number of violations of each invariant since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipInvariants {
    violations: [u64; MembershipInvariant::ALL.len()],
}

impl MembershipInvariants {
    /// Counts a violation unless `holds`, and panics in debug builds.
    pub(super) fn check(&mut self, invariant: MembershipInvariant, holds: bool) {
        if holds {
            return;
        }
        self.violations[invariant as usize] += 1;
        error!("invariant {} is violated", invariant.as_str());
        debug_assert!(holds, "invariant {} is violated", invariant.as_str());
    }

    /// Returns the number of violations of `invariant`.
    pub const fn violations(&self, invariant: MembershipInvariant) -> u64 {
        self.violations[invariant as usize]
    }
}
