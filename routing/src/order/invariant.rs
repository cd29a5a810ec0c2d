//! Runtime checks of the invariants of at-most-once execution.

use log::error;

/// A condition that must hold whatever messages arrive and processes fail.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderInvariant {
    /// A call is sent to its upstream at most once.
    BegunOnce,
    /// A non-idempotent call with a key is sent only after its key was claimed for it.
    BegunWithClaim,
    /// A call that was sent ends as `not_run` only if the upstream itself answered so.
    NotRunIsTrue,
    /// Each caller is answered exactly once.
    AnsweredOnce,
    /// A key has at most one unreleased claim.
    KeyClaimedOnce,
}

impl OrderInvariant {
    /// All invariants, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::BegunOnce,
        Self::BegunWithClaim,
        Self::NotRunIsTrue,
        Self::AnsweredOnce,
        Self::KeyClaimedOnce,
    ];

    /// Returns the metric label under which violations are counted.
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
    /// Counts and logs a violation unless `holds`; panics in debug builds.
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
