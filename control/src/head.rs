//! The head: the value whose compare-and-swap accepts a note.

use std::collections::BTreeMap;

use bytes::Bytes;
use jujubewall_types::digest::DIGEST_BYTES;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::Revision;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use thiserror::Error;

use crate::shard::ChunkRef;
use crate::shard::ShardId;

/// Version of the head's format; heads of other versions are rejected.
pub const HEAD_FORMAT: u16 = 1;

/// Number of accepted notes in one page of the history.
pub const NOTES_PER_PAGE: usize = 32;

/// Maximum number of accepted notes that the head itself lists.
pub const MAX_RECENT_NOTES: usize = 64;

/// An entry for an accepted note in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedNote {
    /// Identifier of the note, chosen by the operator.
    pub id: NoteId,
    /// Partner that submitted the note.
    pub partner: PartnerName,
    /// Digest of the note's content.
    pub content: Digest,
    /// Revision that the note led to.
    pub revision: Revision,
    /// Digests of the parts of the note's audit record, in order.
    pub record: SmallVec<[Digest; 1]>,
}

/// A chunk that the newest configuration no longer uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetiredChunk {
    /// Replaced chunk.
    pub chunk: ChunkRef,
    /// Time of the replacement, in milliseconds since the Unix epoch.
    pub retired_at_ms: u64,
}

/// The root of one revision of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Version of the format, [`HEAD_FORMAT`].
    pub format: u16,
    /// Revision, which equals the number of notes accepted so far.
    pub revision: Revision,
    /// Chunks of the shards that hold at least one item.
    pub shards: BTreeMap<ShardId, ChunkRef>,
    /// Newest accepted notes in order; older ones are in pages.
    pub recent: Vec<AcceptedNote>,
    /// Chunks that are kept for readers of an earlier head.
    pub retired: Vec<RetiredChunk>,
}

/// Reason for which a head cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The bytes are too short to hold a checksum.
    #[error("the head is truncated")]
    Truncated,
    /// The checksum at the end does not match.
    #[error("the head does not match its checksum")]
    ChecksumMismatch,
    /// The bytes cannot be decoded or encoded.
    #[error("the head is malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The head was written in a format that this process does not read.
    #[error("the head has format {0}; this process reads {HEAD_FORMAT}")]
    UnknownFormat(u16),
    /// The listed notes are not the consecutive ones that end at the revision.
    #[error("the head's history does not end at its revision")]
    BrokenHistory,
}

impl Head {
    /// Creates the head of the empty configuration.
    pub fn new() -> Self {
        Self {
            format: HEAD_FORMAT,
            revision: Revision::default(),
            shards: BTreeMap::new(),
            recent: Vec::new(),
            retired: Vec::new(),
        }
    }

    /// Encodes the head and appends its checksum.
    pub fn encode(&self) -> Result<Bytes, HeadError> {
        let mut bytes = postcard::to_stdvec(self)?;
        let checksum = Digest::of(&bytes);
        bytes.extend_from_slice(checksum.as_bytes());
        Ok(Bytes::from(bytes))
    }

    /// Decodes a head after checking its checksum, format and history.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeadError> {
        let body_len = bytes.len().checked_sub(DIGEST_BYTES);
        let body_len = body_len.ok_or(HeadError::Truncated)?;
        let (body, checksum) = bytes.split_at(body_len);
        if Digest::of(body).as_bytes() != checksum {
            return Err(HeadError::ChecksumMismatch);
        }
        let (format, _) = postcard::take_from_bytes::<u16>(body)?;
        if format != HEAD_FORMAT {
            return Err(HeadError::UnknownFormat(format));
        }
        let head: Self = postcard::from_bytes(body)?;
        head.check_history()?;
        Ok(head)
    }

    /// Returns the accepted note with `id`, if it is among the recent ones.
    pub fn find_recent(&self, id: &NoteId) -> Option<&AcceptedNote> {
        self.recent.iter().find(|note| note.id == *id)
    }

    /// Returns the number of full pages that hold the notes before `recent`.
    pub fn page_count(&self) -> u64 {
        let recent = self.recent.len() as u64;
        self.revision.0.saturating_sub(recent) / NOTES_PER_PAGE as u64
    }

    fn check_history(&self) -> Result<(), HeadError> {
        let first = self.revision.0.checked_sub(self.recent.len() as u64);
        let first = first.ok_or(HeadError::BrokenHistory)?;
        let is_ordered = (first + 1..)
            .zip(&self.recent)
            .all(|(revision, note)| note.revision.0 == revision);
        if is_ordered && first.is_multiple_of(NOTES_PER_PAGE as u64) {
            Ok(())
        } else {
            Err(HeadError::BrokenHistory)
        }
    }
}

impl Default for Head {
    fn default() -> Self {
        Self::new()
    }
}
