//! A complete revision of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use jujubewall_protocol::config::Chunk as WireChunk;
use jujubewall_types::config::Configuration;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::Revision;
use thiserror::Error;

use crate::clash::Clash;
use crate::head::Head;
use crate::head::HeadError;
use crate::item;
use crate::item::ItemKey;
use crate::shard::Chunk;
use crate::shard::ChunkError;
use crate::shard::ChunkRef;
use crate::shard::ShardId;

/// Chunk contents by their digest.
pub type ChunkMap = BTreeMap<Digest, Bytes>;

/// Reason for which a snapshot cannot be built.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The head is invalid.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A chunk is invalid.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// Chunks are missing from the snapshot and the fetched ones.
    #[error("{} chunks are missing", .0.len())]
    Missing(Vec<ChunkRef>),
}

/// A head with every chunk that it refers to.
///
/// A snapshot holds the chunks both encoded, for peers, and decoded, for readers.
/// Snapshots of successive revisions share the encoded chunks that did not change.
#[derive(Clone, Debug)]
pub struct Snapshot {
    head: Head,
    head_bytes: Bytes,
    chunks: ChunkMap,
    configuration: Arc<Configuration>,
}

impl Snapshot {
    /// Creates the snapshot of the empty configuration.
    pub fn new() -> Self {
        Self {
            head: Head::new(),
            head_bytes: Bytes::new(),
            chunks: ChunkMap::new(),
            configuration: Arc::default(),
        }
    }

    /// Returns the revision of the configuration.
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the encoded head, which has no bytes for the snapshot from [`Self::new`].
    pub fn head_bytes(&self) -> &Bytes {
        &self.head_bytes
    }

    /// Returns the digest of the encoded head.
    pub fn head_digest(&self) -> Digest {
        Digest::of(&self.head_bytes)
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the encoded chunk with `digest`.
    pub fn chunk(&self, digest: &Digest) -> Option<&Bytes> {
        self.chunks.get(digest)
    }

    /// Returns the chunks of `head` that this snapshot does not hold.
    pub fn missing_chunks(&self, head: &Head) -> Vec<ChunkRef> {
        let refs = head.shards.values();
        refs.filter(|chunk| !self.chunks.contains_key(&chunk.digest))
            .copied()
            .collect()
    }

    /// Builds the snapshot of another head from this one and `fetched` chunks.
    pub fn advance(&self, head_bytes: Bytes, fetched: &ChunkMap) -> Result<Self, SnapshotError> {
        let head = Head::decode(&head_bytes)?;
        let chunks = self.collect_chunks(&head, fetched)?;
        let mut configuration = Configuration::clone(&self.configuration);
        configuration.revision = head.revision;
        self.remove_replaced(&head, &mut configuration)?;
        self.insert_changed(&head, &chunks, &mut configuration)?;
        Ok(Self {
            head,
            head_bytes,
            chunks,
            configuration: Arc::new(configuration),
        })
    }

    /// Decodes the chunk of `shard`; the chunk of a shard without items is empty.
    pub fn decode_shard(&self, shard: ShardId) -> Result<Chunk, ChunkError> {
        let Some(chunk) = self.head.shards.get(&shard) else {
            return Ok(Chunk::default());
        };
        let content = self.chunks.get(&chunk.digest);
        let content = content.ok_or(ChunkError::DigestMismatch)?;
        Chunk::decode(shard, chunk.digest, content)
    }

    /// Returns the note that last wrote the item with `key`.
    pub fn last_note(&self, key: &ItemKey) -> Option<NoteId> {
        let chunk = self.decode_shard(ShardId::of(key)).ok()?;
        Some(chunk.get(key)?.note.clone())
    }

    /// Sets the winner of each clash to the accepted note that it clashes with, if there is one.
    pub fn add_winners(&self, clashes: Vec<Clash>) -> Vec<Clash> {
        let add_winner =
            |clash: Clash| match clash.decisive_item().and_then(|key| self.last_note(key)) {
                Some(note) => clash.with_winner(note),
                None => clash,
            };
        clashes.into_iter().map(add_winner).collect()
    }

    /// Returns the chunks that a holder of revision `have` lacks.
    pub fn chunks_since(&self, have: Revision) -> Vec<WireChunk> {
        let is_newer = |chunk: &&ChunkRef| chunk.generation > have;
        let to_wire = |chunk: &ChunkRef| {
            Some(WireChunk {
                digest: chunk.digest,
                content: self.chunks.get(&chunk.digest)?.clone(),
            })
        };
        let refs = self.head.shards.values();
        refs.filter(is_newer).filter_map(to_wire).collect()
    }

    fn collect_chunks(&self, head: &Head, fetched: &ChunkMap) -> Result<ChunkMap, SnapshotError> {
        let mut chunks = ChunkMap::new();
        let mut missing_chunks = Vec::new();
        for chunk in head.shards.values() {
            let digest = &chunk.digest;
            match self.chunks.get(digest).or_else(|| fetched.get(digest)) {
                Some(content) => drop(chunks.insert(*digest, content.clone())),
                None => missing_chunks.push(*chunk),
            }
        }
        if missing_chunks.is_empty() {
            Ok(chunks)
        } else {
            Err(SnapshotError::Missing(missing_chunks))
        }
    }

    fn remove_replaced(
        &self,
        head: &Head,
        configuration: &mut Configuration,
    ) -> Result<(), ChunkError> {
        for (shard, old) in &self.head.shards {
            if head.shards.get(shard).map(|chunk| chunk.digest) == Some(old.digest) {
                continue;
            }
            for stored in self.decode_shard(*shard)?.items {
                item::remove(configuration, &stored.item.key());
            }
        }
        Ok(())
    }

    fn insert_changed(
        &self,
        head: &Head,
        chunks: &ChunkMap,
        configuration: &mut Configuration,
    ) -> Result<(), ChunkError> {
        for (shard, new) in &head.shards {
            if self.head.shards.get(shard).map(|chunk| chunk.digest) == Some(new.digest) {
                continue;
            }
            let content = chunks.get(&new.digest).ok_or(ChunkError::DigestMismatch)?;
            for stored in Chunk::decode(*shard, new.digest, content)?.items {
                item::insert(configuration, stored.owner, stored.item);
            }
        }
        Ok(())
    }
}

impl Default for Snapshot {
    fn default() -> Self {
        Self::new()
    }
}
