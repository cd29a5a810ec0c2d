//! The audit trail of accepted and refused notes.
//!
//! Records live in the key-value service, so that they outlast every host.
//! Accepted notes are reached from the head; refused ones are kept in a ring of
//! pages, each of which is one value.

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

/// The largest part of a record that is stored as one value, in bytes.
pub const MAX_PART_BYTES: usize = 512 * 1024;

/// The number of pages of accepted notes that are kept.
pub const MAX_ACCEPTED_PAGES: u64 = 512;

/// The number of refused notes that one page holds.
pub const REFUSALS_PER_PAGE: usize = 32;

/// The number of pages in the ring of refused notes.
pub const REFUSAL_PAGES: u64 = 16;

/// The largest number of clashes that are kept of one refused note.
pub const MAX_RECORDED_CLASHES: usize = 32;

/// A release note with who submitted it and when.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// The note.
    pub note: ReleaseNote,
    /// The operator, as named by the key that was used.
    pub submitted_by: SmolStr,
    /// When the note arrived, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
}

/// What an accepted note did to one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ItemChange {
    /// The item.
    pub key: ItemKey,
    /// The item before the note.
    pub before: Option<Item>,
    /// The item after the note.
    pub after: Option<Item>,
}

/// The record of an accepted note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedRecord {
    /// The revision that the note led to.
    pub revision: Revision,
    /// The identifier of the note.
    pub note: NoteId,
    /// The partner that submitted the note.
    pub partner: PartnerName,
    /// The operator.
    pub submitted_by: SmolStr,
    /// When the note arrived, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
    /// The digest of the note's content.
    pub content: Digest,
    /// Each changed item before and after the note.
    pub changes: Vec<ItemChange>,
}

/// The record of a refused note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RefusedRecord {
    /// The revision against which the note was refused, and which stays.
    pub revision: Revision,
    /// The identifier of the note.
    pub note: NoteId,
    /// The partner that submitted the note.
    pub partner: PartnerName,
    /// The operator.
    pub submitted_by: SmolStr,
    /// When the note arrived, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
    /// The digest of the note's content.
    pub content: Digest,
    /// The number of items that the note would have changed.
    pub item_count: u64,
    /// The number of reasons; zero if the identifier was used before.
    pub clash_count: u64,
    /// The reasons, up to [`MAX_RECORDED_CLASHES`].
    pub clashes: Vec<Clash>,
}

/// A stretch of the audit trail.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AuditTrail {
    /// The oldest revision whose record is still kept.
    pub oldest_kept: Revision,
    /// The accepted notes in the order of their revisions.
    pub accepted: Vec<AcceptedRecord>,
    /// The refused notes from the oldest to the newest.
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

    /// Encodes the record in parts that fit into the service.
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
