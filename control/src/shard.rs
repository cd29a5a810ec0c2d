//! The split of the items into chunks of bounded size.
//!
//! An item belongs to the shard that the hash of its name gives, so one change
//! rewrites one small chunk, and adding an item moves no other.

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

/// The seed of the hash that assigns items to shards.
const SHARD_SEED: u64 = 0;

/// Returns the number of shards of the items of `kind`.
///
/// At 4,100 upstreams of about 450 bytes a chunk has some 14 KB.
pub const fn shard_count(kind: ItemKind) -> u16 {
    match kind {
        ItemKind::Model | ItemKind::Adapter => 16,
        ItemKind::Account => 64,
        ItemKind::Upstream => 128,
    }
}

/// Names one shard of the items of one kind.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardId {
    /// The sort of the items.
    pub kind: ItemKind,
    /// The index of the shard among those of its kind.
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

/// Refers to the chunk that holds a shard's items.
///
/// The generation is part of the chunk's key in the service. Content that comes
/// back later therefore gets a new key, and a chunk that no head refers to can
/// never be referred to again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ChunkRef {
    /// The revision of the configuration that wrote the chunk.
    pub generation: Revision,
    /// The digest of the chunk's content.
    pub digest: Digest,
}

/// An item as a chunk holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredItem {
    /// The partner whose notes may change the item.
    pub owner: PartnerName,
    /// The note that put the item there.
    pub note: NoteId,
    /// The item.
    pub item: Item,
}

/// The reason that a chunk cannot be used.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// The content does not have the digest that the head gives.
    #[error("a chunk does not match its digest")]
    DigestMismatch,
    /// The content cannot be decoded.
    #[error("a chunk is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The chunk holds an item of another shard.
    #[error("a chunk holds {0}, which belongs to another shard")]
    WrongShard(ItemKey),
}

/// The items of one shard in the order of their names.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// The items.
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

    /// Returns the item with `key`.
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

    /// Decodes the chunk of `shard` after checking it against `digest`.
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
