//! Computes the values to write for accepting a release note.
//!
//! The computation is pure. A proposal takes effect only when the head is swapped, and all
//! values that the new head refers to are written before that.

use std::collections::BTreeMap;

use bytes::Bytes;
use jujubewall_types::digest::Digest;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::audit::AcceptedRecord;
use crate::audit::Submission;
use crate::change::Change;
use crate::change::changes;
use crate::change::content_digest;
use crate::clash::Clash;
use crate::head::AcceptedNote;
use crate::head::Head;
use crate::head::HeadError;
use crate::head::MAX_RECENT_NOTES;
use crate::head::NOTES_PER_PAGE;
use crate::head::RetiredChunk;
use crate::keys;
use crate::merge;
use crate::shard::Chunk;
use crate::shard::ChunkError;
use crate::shard::ChunkRef;
use crate::shard::ShardId;
use crate::shard::StoredItem;
use crate::snapshot::ChunkMap;
use crate::snapshot::Snapshot;

/// Time for which a replaced chunk is kept for readers of an earlier head.
pub const CHUNK_GRACE_MS: u64 = 10 * 60 * 1000;

/// Maximum number of replaced chunks that are kept.
pub const MAX_RETIRED_CHUNKS: usize = 1024;

/// Reason for which a note leads to no proposal.
#[derive(Debug, Error)]
pub enum ProposalError {
    /// The note clashes with the configuration.
    #[error("the note is refused for {} reasons", .0.len())]
    Refused(Vec<Clash>),
    /// A chunk of the current configuration is invalid.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// The head cannot be encoded.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A record cannot be encoded.
    #[error("a record cannot be encoded: {0}")]
    Record(#[from] serde_json::Error),
}

/// A key and its value, to be written before the head is swapped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingValue {
    /// Key, under which no other value is ever written.
    pub key: String,
    /// Value to write.
    pub value: Bytes,
}

/// A page of accepted notes that the head no longer lists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryPage {
    /// Notes in the order of their revisions.
    pub notes: Vec<AcceptedNote>,
}

/// Everything to write for accepting a note.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Values that the new head refers to.
    pub values: Vec<PendingValue>,
    /// Contents of the new chunks.
    pub chunks: ChunkMap,
    /// New head.
    pub head: Head,
    /// New head in encoded form.
    pub head_bytes: Bytes,
    /// Chunks that may be deleted once the head is swapped.
    pub expired: Vec<ChunkRef>,
    /// Number of the history page that was filled, if any.
    pub filled_page: Option<u64>,
}

/// Computes the proposal for accepting `submission` on top of `before`.
pub fn propose(before: &Snapshot, submission: &Submission) -> Result<Proposal, ProposalError> {
    let note = &submission.note;
    merge::apply(before.configuration(), note)
        .map_err(|clashes| ProposalError::Refused(before.add_winners(clashes)))?;
    let mut draft = Draft::new(before, submission.submitted_at_ms);
    draft.rewrite_shards(before, submission)?;
    draft.expire_chunks();
    draft.append_note(submission, &AcceptedRecord::new(before, submission))?;
    draft.fill_page()?;
    draft.finish()
}

/// A proposal under construction.
struct Draft {
    now_ms: u64,
    values: Vec<PendingValue>,
    chunks: ChunkMap,
    head: Head,
    expired: Vec<ChunkRef>,
    filled_page: Option<u64>,
}

impl Draft {
    fn new(before: &Snapshot, now_ms: u64) -> Self {
        let mut head = before.head().clone();
        head.revision = head.revision.next();
        Self {
            now_ms,
            values: Vec::new(),
            chunks: ChunkMap::new(),
            head,
            expired: Vec::new(),
            filled_page: None,
        }
    }

    fn rewrite_shards(
        &mut self,
        before: &Snapshot,
        submission: &Submission,
    ) -> Result<(), ChunkError> {
        for (shard, changes) in group_by_shard(changes(&submission.note)) {
            let mut chunk = before.decode_shard(shard)?;
            for change in changes {
                apply_to_chunk(&mut chunk, submission, &change);
            }
            self.replace_chunk(shard, &chunk)?;
        }
        Ok(())
    }

    fn replace_chunk(&mut self, shard: ShardId, chunk: &Chunk) -> Result<(), ChunkError> {
        if let Some(old) = self.head.shards.remove(&shard) {
            self.head.retired.push(RetiredChunk {
                chunk: old,
                retired_at_ms: self.now_ms,
            });
        }
        if chunk.items.is_empty() {
            return Ok(());
        }
        let content = chunk.encode()?;
        let digest = Digest::of(&content);
        let reference = ChunkRef {
            generation: self.head.revision,
            digest,
        };
        self.head.shards.insert(shard, reference);
        self.values.push(PendingValue {
            key: keys::chunk(&reference),
            value: content.clone(),
        });
        self.chunks.insert(digest, content);
        Ok(())
    }

    /// Expires the chunks whose grace period has passed and the oldest ones above the limit.
    fn expire_chunks(&mut self) {
        let excess = self.head.retired.len().saturating_sub(MAX_RETIRED_CHUNKS);
        let now_ms = self.now_ms;
        let mut index = 0;
        let expired = &mut self.expired;
        self.head.retired.retain(|retired| {
            let is_excess = index < excess;
            index += 1;
            let age_ms = now_ms.saturating_sub(retired.retired_at_ms);
            let is_kept = !is_excess && age_ms < CHUNK_GRACE_MS;
            if !is_kept {
                expired.push(retired.chunk);
            }
            is_kept
        });
    }

    fn append_note(
        &mut self,
        submission: &Submission,
        record: &AcceptedRecord,
    ) -> Result<(), ProposalError> {
        let mut accepted = AcceptedNote {
            id: submission.note.id.clone(),
            partner: submission.note.partner.clone(),
            content: content_digest(&submission.note),
            revision: self.head.revision,
            record: smallvec::SmallVec::new(),
        };
        for value in record.encode_parts()? {
            let digest = Digest::of(&value);
            let key = keys::record_part(self.head.revision, &digest);
            accepted.record.push(digest);
            self.values.push(PendingValue { key, value });
        }
        self.head.recent.push(accepted);
        Ok(())
    }

    /// Moves the oldest notes to a history page once the head lists too many.
    fn fill_page(&mut self) -> Result<(), ProposalError> {
        if self.head.recent.len() <= MAX_RECENT_NOTES {
            return Ok(());
        }
        let number = self.head.page_count();
        let page = HistoryPage {
            notes: self.head.recent.drain(..NOTES_PER_PAGE).collect(),
        };
        self.values.push(PendingValue {
            key: keys::page(number),
            value: Bytes::from(serde_json::to_vec(&page)?),
        });
        self.filled_page = Some(number);
        Ok(())
    }

    fn finish(self) -> Result<Proposal, ProposalError> {
        Ok(Proposal {
            values: self.values,
            chunks: self.chunks,
            head_bytes: self.head.encode()?,
            head: self.head,
            expired: self.expired,
            filled_page: self.filled_page,
        })
    }
}

fn group_by_shard(changes: Vec<Change>) -> BTreeMap<ShardId, Vec<Change>> {
    let mut shards: BTreeMap<ShardId, Vec<Change>> = BTreeMap::new();
    for change in changes {
        let shard = ShardId::of(&change.key);
        shards.entry(shard).or_default().push(change);
    }
    shards
}

fn apply_to_chunk(chunk: &mut Chunk, submission: &Submission, change: &Change) {
    let Some(item) = change.after() else {
        chunk.remove(&change.key);
        return;
    };
    chunk.insert(StoredItem {
        owner: submission.note.partner.clone(),
        note: submission.note.id.clone(),
        item: item.clone(),
    });
}
