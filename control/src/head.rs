//! The head: the one value whose compare-and-swap accepts a note.

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

/// The version of the head's format; another one is refused.
pub const HEAD_FORMAT: u16 = 1;

/// The number of accepted notes that one page of the history holds.
pub const NOTES_PER_PAGE: usize = 32;

/// The largest number of accepted notes that the head itself lists.
pub const MAX_RECENT_NOTES: usize = 64;

/// An accepted note as the history lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedNote {
    /// The identifier that the operator gave.
    pub id: NoteId,
    /// The partner that submitted the note.
    pub partner: PartnerName,
    /// The digest of the note's content.
    pub content: Digest,
    /// The revision that the note led to.
    pub revision: Revision,
    /// The digests of the parts of the note's audit record.
    pub record: SmallVec<[Digest; 1]>,
}

/// A chunk that the newest configuration no longer needs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetiredChunk {
    /// The chunk.
    pub chunk: ChunkRef,
    /// When it was replaced, in milliseconds since the Unix epoch.
    pub retired_at_ms: u64,
}

/// The root of one revision of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The version of the format.
    pub format: u16,
    /// The revision, which is the number of notes accepted so far.
    pub revision: Revision,
    /// The chunks of the shards that hold at least one item.
    pub shards: BTreeMap<ShardId, ChunkRef>,
    /// The newest accepted notes in order; older ones are in pages.
    pub recent: Vec<AcceptedNote>,
    /// The chunks that are kept for readers of an earlier head.
    pub retired: Vec<RetiredChunk>,
}

/// The reason that bytes are not accepted as a head.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The bytes end early.
    #[error("the head is truncated")]
    Truncated,
    /// The trailing digest does not match.
    #[error("the head does not match its checksum")]
    ChecksumMismatch,
    /// The bytes cannot be decoded or encoded.
    #[error("the head is malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The head was written by a process that uses another format.
    #[error("the head has format {0}; this process reads {HEAD_FORMAT}")]
    UnknownFormat(u16),
    /// The listed notes do not lead up to the revision.
    #[error("the head's history does not end at its revision")]
    BrokenHistory,
}

impl Head {
    /// Creates the head of a configuration without items.
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

    /// Returns the accepted note with `id`, if the head itself lists it.
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
