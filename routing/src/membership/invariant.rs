//! Checks of what must always hold for the members.

use log::error;

/// A rule that no message or failure may break.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MembershipInvariant {
    /// The incarnation of a member never falls.
    IncarnationNeverFalls,
    /// A member that leaves stays so until it dies or starts again.
    LeavingIsFinal,
    /// No member is declared dead while the own link is suspect.
    NoDeathByOwnLink,
    /// A process never holds itself for suspect or dead.
    SelfIsPresent,
    /// The watched members stay within the number of rings.
    WatchesBounded,
}

impl MembershipInvariant {
    /// Every invariant, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::IncarnationNeverFalls,
        Self::LeavingIsFinal,
        Self::NoDeathByOwnLink,
        Self::SelfIsPresent,
        Self::WatchesBounded,
    ];

    /// Returns the name under which violations are counted.
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

/// The number of violations of each invariant.
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
