//! The reasons for which a release note is refused.

use std::fmt;

use jujubewall_types::id::NoteId;
use jujubewall_types::id::PartnerName;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::item::ItemKey;

/// Why one item of a note cannot be accepted.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ClashReason {
    /// The note adds an item that exists.
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
        /// The path of the field inside the item.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The item refers to something that is not configured.
    #[error("field {field} refers to {target}, which is not configured")]
    Unresolved {
        /// The path of the field inside the item.
        field: String,
        /// What the field names.
        target: String,
    },
    /// A live item refers to what the note takes away.
    #[error("{by} of partner {by_owner} refers to {target}")]
    Referenced {
        /// The item that refers to it.
        by: ItemKey,
        /// The partner that owns the referring item.
        by_owner: PartnerName,
        /// What would be missing.
        target: String,
    },
    /// Another item already uses a value that must be unique.
    #[error("field {field} is taken by {by} of partner {by_owner}")]
    Taken {
        /// The path of the field inside the item.
        field: String,
        /// The item that uses the value.
        by: ItemKey,
        /// The partner that owns that item.
        by_owner: PartnerName,
    },
    /// Another item states something that contradicts this one.
    #[error("field {field} contradicts {by} of partner {by_owner}")]
    Contradicts {
        /// The path of the field inside the item.
        field: String,
        /// The item that states otherwise.
        by: ItemKey,
        /// The partner that owns that item.
        by_owner: PartnerName,
    },
    /// The note holds more items than one note may hold.
    #[error("the note changes {items} items; at most {limit} are allowed")]
    TooManyItems {
        /// The number of items in the note.
        items: usize,
        /// The largest number that is allowed.
        limit: usize,
    },
}

impl ClashReason {
    /// Returns the other item that the reason is about.
    pub fn other_item(&self) -> Option<&ItemKey> {
        match self {
            Self::Referenced { by, .. } | Self::Taken { by, .. } | Self::Contradicts { by, .. } => {
                Some(by)
            }
            _ => None,
        }
    }
}

/// One reason for which a note is refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clash {
    /// The item of the note.
    pub item: ItemKey,
    /// The partner that owns the item, if it exists.
    pub owner: Option<PartnerName>,
    /// The accepted note that the refused one clashes with, if there is one.
    pub winner: Option<NoteId>,
    /// Why the note is refused.
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

    /// Adds the partner that owns the item.
    #[must_use]
    pub fn with_owner(mut self, owner: PartnerName) -> Self {
        self.owner = Some(owner);
        self
    }

    /// Adds the accepted note that the refused one clashes with.
    #[must_use]
    pub fn with_winner(mut self, winner: NoteId) -> Self {
        self.winner = Some(winner);
        self
    }

    /// Returns the item whose last note decides the clash.
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
