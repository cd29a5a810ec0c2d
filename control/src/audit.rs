//! Audit trail of accepted and refused notes.
//!
//! Records are stored in the key-value service, so that they survive the loss of any host.
//! The head leads to the records of accepted notes; refused ones are kept in a ring buffer of
//! pages, each stored as one value.

use bytes::Bytes;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::Revision;
use jujubewall_types::note::ReleaseNote;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::change::changes;
use crate::change::content_digest;
use crate::clash::Clash;
use crate::item;
use crate::item::Item;
use crate::item::ItemKey;
use crate::snapshot::Snapshot;

/// Maximum size of a part of a record, which is stored as one value.
pub const MAX_PART_BYTES: usize = 512 * 1024;

/// Number of pages of accepted notes that are kept.
pub const MAX_ACCEPTED_PAGES: u64 = 512;

/// Maximum number of refused notes in one page.
pub const REFUSALS_PER_PAGE: usize = 32;

/// Number of pages in the ring buffer of refused notes.
pub const REFUSAL_PAGES: u64 = 16;

/// Maximum number of clashes recorded for one refused note.
pub const MAX_RECORDED_CLASHES: usize = 32;

/// A release note with its submitter and arrival time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// Submitted note.
    pub note: ReleaseNote,
    /// Operator to whom the API key that was used belongs.
    pub submitted_by: SmolStr,
    /// Arrival time of the note, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
}

/// Change of one item by an accepted note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ItemChange {
    /// Key of the item.
    pub key: ItemKey,
    /// Item before the note; `None` if the note added it.
    pub before: Option<Item>,
    /// Item after the note; `None` if the note withdrew it.
    pub after: Option<Item>,
}

/// Audit record of an accepted note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedRecord {
    /// Revision that the note led to.
    pub revision: Revision,
    /// Identifier of the note.
    pub note: NoteId,
    /// Partner that submitted the note.
    pub partner: PartnerName,
    /// Operator that submitted the note.
    pub submitted_by: SmolStr,
    /// Arrival time of the note, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
    /// Digest of the note's content.
    pub content: Digest,
    /// Changed items, each before and after the note.
    pub changes: Vec<ItemChange>,
}

/// Audit record of a refused note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RefusedRecord {
    /// Revision against which the note was evaluated; the refusal did not change it.
    pub revision: Revision,
    /// Identifier of the note.
    pub note: NoteId,
    /// Partner that submitted the note.
    pub partner: PartnerName,
    /// Operator that submitted the note.
    pub submitted_by: SmolStr,
    /// Arrival time of the note, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
    /// Digest of the note's content.
    pub content: Digest,
    /// Number of items that the note would have changed.
    pub item_count: u64,
    /// Number of reasons; zero if the identifier was used by another accepted note.
    pub clash_count: u64,
    /// Reasons for the refusal, at most [`MAX_RECORDED_CLASHES`].
    pub clashes: Vec<Clash>,
}

/// A section of the audit trail.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AuditTrail {
    /// Oldest revision whose record is still kept.
    pub oldest_kept: Revision,
    /// Accepted notes in the order of their revisions.
    pub accepted: Vec<AcceptedRecord>,
    /// Refused notes from oldest to newest.
    pub refused: Vec<RefusedRecord>,
}

impl AcceptedRecord {
    /// Creates the record of `submission`, which leads from `before` to the next revision.
    pub fn new(before: &Snapshot, submission: &Submission) -> Self {
        let note = &submission.note;
        let change = |change: crate::change::Change| ItemChange {
            before: item::find(before.configuration(), &change.key).map(|owned| owned.item),
            after: change.after().cloned(),
            key: change.key,
        };
        Self {
            revision: before.revision().next(),
            note: note.id.clone(),
            partner: note.partner.clone(),
            submitted_by: submission.submitted_by.clone(),
            submitted_at_ms: submission.submitted_at_ms,
            content: content_digest(note),
            changes: changes(note).into_iter().map(change).collect(),
        }
    }

    /// Encodes the record in parts of at most [`MAX_PART_BYTES`].
    pub fn encode_parts(&self) -> Result<Vec<Bytes>, serde_json::Error> {
        let bytes = serde_json::to_vec(self)?;
        let parts = bytes.chunks(MAX_PART_BYTES).map(Bytes::copy_from_slice);
        Ok(parts.collect())
    }

    /// Decodes a record from its parts in order.
    pub fn decode_parts(parts: &[Bytes]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(&parts.concat())
    }
}

impl RefusedRecord {
    /// Creates the record of `submission`, refused because of `clashes`.
    pub fn new(before: &Snapshot, submission: &Submission, clashes: &[Clash]) -> Self {
        let note = &submission.note;
        let kept = clashes.iter().take(MAX_RECORDED_CLASHES);
        Self {
            revision: before.revision(),
            note: note.id.clone(),
            partner: note.partner.clone(),
            submitted_by: submission.submitted_by.clone(),
            submitted_at_ms: submission.submitted_at_ms,
            content: content_digest(note),
            item_count: changes(note).len() as u64,
            clash_count: clashes.len() as u64,
            clashes: kept.cloned().collect(),
        }
    }
}
