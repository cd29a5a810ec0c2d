//! Invariants that the product checks while it runs.
//!
//! A violation is counted, so that the process can export it as a metric, and
//! logged. Debug builds panic, so that randomised tests stop at the first one.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A statement about the configuration that must hold at all times.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Invariant {
    /// Each accepted note follows the one before it without a gap.
    AcceptedNotesAreOrdered,
    /// A note that was accepted stays in the history.
    AcceptedNoteIsKept,
    /// The revision that a member has applied never falls.
    AppliedRevisionRises,
    /// A note changes only the items of the partner that submitted it.
    OtherPartnerUntouched,
    /// Two heads of the same revision are the same head.
    OneHeadPerRevision,
    /// No order with an older number than an earlier one reaches an engine.
    OrderNumberRises,
}

/// The number of kinds of invariants.
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

    /// Returns the stable text that labels the metric.
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

    /// Returns how often the process has seen this invariant violated.
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
