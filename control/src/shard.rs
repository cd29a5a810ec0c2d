//! Sharding of the configuration items into small chunks.
//!
//! The hash of an item's name determines its shard. One change therefore rewrites one small
//! chunk, and adding an item does not move any other item.

use bytes::Bytes;
use jujubewall_types::admin::ItemKind;
use jujubewall_types::digest::Digest;
use jujubewall_types::id::NoteId;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::Revision;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use twox_hash::XxHash64;

use crate::item::Item;
use crate::item::ItemKey;

/// Seed of the hash that assigns items to shards.
const SHARD_SEED: u64 = 0;

/// Returns the number of shards for items of `kind`.
///
/// With 4,100 upstreams, a chunk of upstreams has about 12 KB.
pub const fn shard_count(kind: ItemKind) -> u16 {
    match kind {
        ItemKind::Model | ItemKind::Adapter => 16,
        ItemKind::Account => 64,
        ItemKind::Upstream => 128,
    }
}

/// Identifies a shard of the items of one kind.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardId {
    /// Kind of the items.
    pub kind: ItemKind,
    /// Index of the shard, below the [`shard_count`] of its kind.
    pub index: u16,
}

impl ShardId {
    /// Returns the shard that holds the item with `key`.
    pub fn of(key: &ItemKey) -> Self {
        let kind = key.kind();
        let hash = XxHash64::oneshot(SHARD_SEED, key.name().as_bytes());
        let index = hash % u64::from(shard_count(kind));
        Self {
            kind,
            index: u16::try_from(index).unwrap_or_default(),
        }
    }
}

/// A reference to the chunk that holds a shard's items.
///
/// The generation is part of the chunk's key in the key-value service. The same content
/// written again later therefore gets a new key, and a chunk that no head refers to can
/// never be referred to again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ChunkRef {
    /// Revision of the configuration for which the chunk was written.
    pub generation: Revision,
    /// Digest of the chunk's encoded content.
    pub digest: Digest,
}

/// An item in a chunk, with its owner and last note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredItem {
    /// Partner whose notes may change the item.
    pub owner: PartnerName,
    /// Note that last wrote the item.
    pub note: NoteId,
    /// Item itself.
    pub item: Item,
}

/// Reason for which a chunk cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// The content is missing or does not have the digest given by the head.
    #[error("a chunk does not match its digest")]
    DigestMismatch,
    /// The content cannot be decoded or encoded.
    #[error("a chunk is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The chunk holds an item of another shard.
    #[error("a chunk holds {0}, which belongs to another shard")]
    WrongShard(ItemKey),
}

/// The items of one shard, sorted by key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// Items sorted by key.
    pub items: Vec<StoredItem>,
}

impl Chunk {
    /// Adds or replaces an item.
    pub fn insert(&mut self, stored: StoredItem) {
        let key = stored.item.key();
        match self.position(&key) {
            Ok(index) => self.items[index] = stored,
            Err(index) => self.items.insert(index, stored),
        }
    }

    /// Removes the item with `key`, if the chunk holds it.
    pub fn remove(&mut self, key: &ItemKey) {
        if let Ok(index) = self.position(key) {
            self.items.remove(index);
        }
    }

    /// Returns the item with `key`, if the chunk holds it.
    pub fn get(&self, key: &ItemKey) -> Option<&StoredItem> {
        let index = self.position(key).ok()?;
        self.items.get(index)
    }

    fn position(&self, key: &ItemKey) -> Result<usize, usize> {
        self.items
            .binary_search_by(|stored| stored.item.key().cmp(key))
    }

    /// Encodes the chunk.
    pub fn encode(&self) -> Result<Bytes, ChunkError> {
        Ok(Bytes::from(serde_json::to_vec(self)?))
    }

    /// Decodes the chunk of `shard` after checking the digest of its content.
    pub fn decode(shard: ShardId, digest: Digest, content: &[u8]) -> Result<Self, ChunkError> {
        if Digest::of(content) != digest {
            return Err(ChunkError::DigestMismatch);
        }
        let chunk: Self = serde_json::from_slice(content)?;
        for stored in &chunk.items {
            let key = stored.item.key();
            if ShardId::of(&key) != shard {
                return Err(ChunkError::WrongShard(key));
            }
        }
        Ok(chunk)
    }
}
