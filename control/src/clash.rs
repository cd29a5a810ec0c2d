//! Reasons to refuse a release note.

use std::fmt;

use jujubewall_types::id::NoteId;
use jujubewall_types::id::PartnerName;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::item::ItemKey;

/// Reason for which one item of a note is refused.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ClashReason {
    /// The note adds an item that already exists.
    #[error("the item exists already")]
    Exists,
    /// The note changes or withdraws an item that does not exist.
    #[error("the item does not exist")]
    Missing,
    /// The item belongs to the other partner.
    #[error("the item belongs to another partner")]
    NotOwned,
    /// The note names the item more than once.
    #[error("the note names the item more than once")]
    Repeated,
    /// A field of the item has a value that is not allowed.
    #[error("field {field}: {problem}")]
    Invalid {
        /// Path of the field inside the item.
        field: String,
        /// Requirement that the value violates.
        problem: String,
    },
    /// The item refers to something that is not configured.
    #[error("field {field} refers to {target}, which is not configured")]
    Unresolved {
        /// Path of the field inside the item.
        field: String,
        /// Description of what the field refers to.
        target: String,
    },
    /// An existing item refers to something that the note removes.
    #[error("{by} of partner {by_owner} refers to {target}")]
    Referenced {
        /// Referring item.
        by: ItemKey,
        /// Partner that owns the referring item.
        by_owner: PartnerName,
        /// Description of what would be missing.
        target: String,
    },
    /// Another item already uses a value that must be unique.
    #[error("field {field} is taken by {by} of partner {by_owner}")]
    Taken {
        /// Path of the field inside the item.
        field: String,
        /// Item that already uses the value.
        by: ItemKey,
        /// Partner that owns that item.
        by_owner: PartnerName,
    },
    /// Another item has a different value where both must agree.
    #[error("field {field} contradicts {by} of partner {by_owner}")]
    Contradicts {
        /// Path of the field inside the item.
        field: String,
        /// Item with the different value.
        by: ItemKey,
        /// Partner that owns that item.
        by_owner: PartnerName,
    },
    /// The note changes more items than allowed.
    #[error("the note changes {items} items; at most {limit} are allowed")]
    TooManyItems {
        /// Number of items in the note.
        items: usize,
        /// Maximum number of items.
        limit: usize,
    },
}

impl ClashReason {
    /// Returns the other item involved in the clash, if any.
    pub fn other_item(&self) -> Option<&ItemKey> {
        match self {
            Self::Referenced { by, .. } | Self::Taken { by, .. } | Self::Contradicts { by, .. } => {
                Some(by)
            }
            _ => None,
        }
    }
}

/// A reason for which a note is refused, with the item and the parties involved.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clash {
    /// Refused item of the note.
    pub item: ItemKey,
    /// Partner that owns the item; `None` if the item does not exist or ownership is not
    /// part of the reason.
    pub owner: Option<PartnerName>,
    /// Accepted note that the refused one clashes with, if any.
    pub winner: Option<NoteId>,
    /// Reason for the refusal.
    pub reason: ClashReason,
}

impl Clash {
    /// Creates a clash about `item` without an owner.
    pub fn new(item: ItemKey, reason: ClashReason) -> Self {
        Self {
            item,
            owner: None,
            winner: None,
            reason,
        }
    }

    /// Sets the partner that owns the item.
    #[must_use]
    pub fn with_owner(mut self, owner: PartnerName) -> Self {
        self.owner = Some(owner);
        self
    }

    /// Sets the accepted note that the refused one clashes with.
    #[must_use]
    pub fn with_winner(mut self, winner: NoteId) -> Self {
        self.winner = Some(winner);
        self
    }

    /// Returns the item whose last accepted note is the winner of the clash.
    pub fn decisive_item(&self) -> Option<&ItemKey> {
        match &self.reason {
            ClashReason::Exists | ClashReason::NotOwned => Some(&self.item),
            reason => reason.other_item(),
        }
    }
}

impl fmt::Display for Clash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.item, self.reason)?;
        if let Some(owner) = &self.owner {
            write!(f, " (owner {owner})")?;
        }
        if let Some(winner) = &self.winner {
            write!(f, " (note {winner})")?;
        }
        Ok(())
    }
}
