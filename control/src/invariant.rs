//! Invariants of the control plane that are checked at run time.
//!
//! A violation is counted, for export as a metric, and logged. Debug builds panic, so that
//! randomised tests stop at the first violation.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A condition that must hold at all times.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Invariant {
    /// The revision of the stored head rises with every accepted note.
    AcceptedNotesAreOrdered,
    /// An accepted note stays in the history.
    AcceptedNoteIsKept,
    /// The revision applied by a member never decreases.
    AppliedRevisionRises,
    /// A note changes only the items of the partner that submitted it.
    OtherPartnerUntouched,
    /// Heads of the same revision are identical.
    OneHeadPerRevision,
    /// No order has an older fencing number than an earlier order to the same engine.
    OrderNumberRises,
}

/// Number of variants of [`Invariant`].
const INVARIANT_COUNT: usize = 6;

static VIOLATIONS: [AtomicU64; INVARIANT_COUNT] = [const { AtomicU64::new(0) }; INVARIANT_COUNT];

impl Invariant {
    /// Every invariant, in the order of declaration.
    pub const ALL: [Self; INVARIANT_COUNT] = [
        Self::AcceptedNotesAreOrdered,
        Self::AcceptedNoteIsKept,
        Self::AppliedRevisionRises,
        Self::OtherPartnerUntouched,
        Self::OneHeadPerRevision,
        Self::OrderNumberRises,
    ];

    /// Returns the label of the invariant in metrics and log lines, which must not change.
    pub const fn label(self) -> &'static str {
        match self {
            Self::AcceptedNotesAreOrdered => "accepted_notes_are_ordered",
            Self::AcceptedNoteIsKept => "accepted_note_is_kept",
            Self::AppliedRevisionRises => "applied_revision_rises",
            Self::OtherPartnerUntouched => "other_partner_untouched",
            Self::OneHeadPerRevision => "one_head_per_revision",
            Self::OrderNumberRises => "order_number_rises",
        }
    }

    /// Returns the number of violations that this process has observed.
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }

    /// Counts and logs a violation unless `holds`; returns `holds`.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the invariant does not hold.
    pub fn check(self, holds: bool, detail: fmt::Arguments<'_>) -> bool {
        if !holds {
            VIOLATIONS[self as usize].fetch_add(1, Ordering::Relaxed);
            log::error!("invariant {} is violated: {detail}", self.label());
            debug_assert!(holds, "invariant {} is violated: {detail}", self.label());
        }
        holds
    }
}
