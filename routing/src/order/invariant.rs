//! Checks of what must always hold for a call.

use log::error;

/// A rule that no message or failure may break.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderInvariant {
    /// A call is begun at most once.
    BegunOnce,
    /// A call that must not be repeated is begun only after its key was claimed for it.
    BegunWithClaim,
    /// A call that was begun ends `not_run` only by the upstream's own answer.
    NotRunIsTrue,
    /// A caller is answered once.
    AnsweredOnce,
    /// A key holds at most one claim that was not released.
    KeyClaimedOnce,
}

impl OrderInvariant {
    /// Every invariant, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::BegunOnce,
        Self::BegunWithClaim,
        Self::NotRunIsTrue,
        Self::AnsweredOnce,
        Self::KeyClaimedOnce,
    ];

    /// Returns the name under which violations are counted.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BegunOnce => "begun_once",
            Self::BegunWithClaim => "begun_with_claim",
            Self::NotRunIsTrue => "not_run_is_true",
            Self::AnsweredOnce => "answered_once",
            Self::KeyClaimedOnce => "key_claimed_once",
        }
    }
}

/// The number of violations of each invariant.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderInvariants {
    violations: [u64; OrderInvariant::ALL.len()],
}

impl OrderInvariants {
    /// Counts a violation unless `holds`, and panics in debug builds.
    pub fn check(&mut self, invariant: OrderInvariant, holds: bool) {
        if holds {
            return;
        }
        self.violations[invariant as usize] += 1;
        error!("invariant {} is violated", invariant.as_str());
        debug_assert!(holds, "invariant {} is violated", invariant.as_str());
    }

    /// Returns the number of violations of `invariant`.
    pub const fn violations(&self, invariant: OrderInvariant) -> u64 {
        self.violations[invariant as usize]
    }
}
