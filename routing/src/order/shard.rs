//! The content of a shard as read from the key-value service.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bytes::Bytes;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_types::id::Revision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use thiserror::Error;

use crate::order::key::KeyDigest;
use crate::order::key::ShardName;
use crate::order::record::HeadRecord;
use crate::order::record::KeyState;
use crate::order::record::LedgerEntry;
use crate::order::record::SegmentRecord;

/// The reason why the content of a shard cannot be used.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ContentError {
    /// A record cannot be encoded or decoded.
    #[error("a record of claimed keys is malformed")]
    Malformed,
    /// The head and the segments were read at different states; they have to be read again.
    #[error("the segments and the head do not belong together")]
    Torn,
}

/// A segment that has been read or written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredSegment {
    /// The revision of the segment in the key-value service.
    pub revision: Revision,
    /// The entries, oldest first.
    pub entries: Vec<LedgerEntry>,
}

/// The content of a shard at one revision of its head.
#[derive(Clone, Debug, Default)]
pub struct ShardContent {
    head_revision: Option<Revision>,
    head: HeadRecord,
    sealed: BTreeMap<u32, StoredSegment>,
    /// The newest entry of each key.
    latest: HashMap<KeyDigest, LedgerEntry>,
    has_double_claim: bool,
}

impl ShardContent {
    /// Decodes the content from all key-value entries of a shard.
    pub fn from_entries(name: &ShardName, entries: &[KeyValueEntry]) -> Result<Self, ContentError> {
        let mut content = Self::default();
        let head_key = name.head_key();
        let segment_prefix = format!("{}segment/", name.prefix());
        for entry in entries {
            if entry.key == head_key {
                content.head = decode(&entry.value)?;
                content.head_revision = Some(entry.revision);
            } else if let Some(number) = entry.key.strip_prefix(segment_prefix.as_str()) {
                let Ok(number) = number.parse() else { continue };
                content.sealed.insert(number, read_segment(entry)?);
            }
        }
        content.check_segments()?;
        content.rebuild_index();
        Ok(content)
    }

    /// Returns the revision of the head; `None` if the shard has no head yet.
    pub const fn head_revision(&self) -> Option<Revision> {
        self.head_revision
    }

    /// Returns the head.
    pub const fn head(&self) -> &HeadRecord {
        &self.head
    }

    /// Returns the newest entry of a key.
    pub fn latest(&self, key: KeyDigest) -> Option<&LedgerEntry> {
        self.latest.get(&key)
    }

    /// Returns whether a key was claimed while it was already claimed.
    pub const fn has_double_claim(&self) -> bool {
        self.has_double_claim
    }

    /// Returns whether an entry has been recorded, even if newer ones supersede it.
    pub fn contains(&self, entry: &LedgerEntry) -> bool {
        if self.latest(entry.key) == Some(entry) {
            return true;
        }
        let mut segments = self.sealed.values();
        segments.any(|segment| segment.entries.contains(entry)) || self.head.entries.contains(entry)
    }

    /// Returns the stored segment with the given number.
    ///
    /// For the number of the open segment, this is what sealing the head overwrites.
    pub fn stored_segment(&self, segment: u32) -> Option<&StoredSegment> {
        self.sealed.get(&segment)
    }

    /// Stores a segment that has been read or written.
    pub fn put_segment(&mut self, segment: u32, stored: StoredSegment) {
        self.sealed.insert(segment, stored);
    }

    /// Replaces the head by the one at a newer revision.
    ///
    /// Fails if the new head refers to sealed segments that have not been read.
    pub fn replace_head(
        &mut self,
        revision: Revision,
        head: HeadRecord,
    ) -> Result<(), ContentError> {
        let is_appended = head.segment == self.head.segment
            && head.sealed_lens == self.head.sealed_lens
            && head.entries.starts_with(&self.head.entries);
        let known_len = self.head.entries.len();
        self.head = head;
        self.head_revision = Some(revision);
        if !is_appended {
            self.check_segments()?;
            self.drop_old_segments();
            self.rebuild_index();
            return Ok(());
        }
        let appended = self.head.entries[known_len..].to_vec();
        self.index_entries(appended);
        Ok(())
    }

    /// Returns the head after the open segment is sealed, and the segments to delete.
    ///
    /// Segments whose newest entry was claimed before `expire_before_unix_s` are dropped.
    pub fn next_segment_head(
        &self,
        name: &ShardName,
        expire_before_unix_s: u64,
    ) -> (HeadRecord, Vec<(SmolStr, Revision)>) {
        let mut head = HeadRecord {
            segment: self.head.segment + 1,
            sealed_lens: self.head.sealed_lens.clone(),
            entries: Vec::new(),
        };
        let len = u32::try_from(self.head.entries.len()).unwrap_or(u32::MAX);
        head.sealed_lens.push(len);
        let mut dropped = Vec::new();
        while let Some(stored) = self.sealed.get(&head.first_segment()) {
            if !is_expired(&stored.entries, expire_before_unix_s) {
                break;
            }
            dropped.push((name.segment_key(head.first_segment()), stored.revision));
            head.sealed_lens.remove(0);
        }
        (head, dropped)
    }

    /// Checks that every sealed segment that the head refers to has been read completely.
    fn check_segments(&self) -> Result<(), ContentError> {
        let numbers = self.head.first_segment()..self.head.segment;
        for (number, len) in numbers.zip(&self.head.sealed_lens) {
            let stored = self.sealed.get(&number).ok_or(ContentError::Torn)?;
            if stored.entries.len() < *len as usize {
                return Err(ContentError::Torn);
            }
        }
        Ok(())
    }

    fn drop_old_segments(&mut self) {
        let first = self.head.first_segment();
        self.sealed.retain(|number, _| *number >= first);
    }

    fn rebuild_index(&mut self) {
        let kept = self.head.first_segment()..self.head.segment;
        let sealed = self.sealed.range(kept);
        let sealed = sealed.flat_map(|(_, segment)| &segment.entries);
        let entries = sealed.chain(&self.head.entries).cloned().collect();
        self.latest.clear();
        self.index_entries(entries);
    }

    /// Updates the newest entry of each key, and detects double claims.
    fn index_entries(&mut self, entries: Vec<LedgerEntry>) {
        for entry in entries {
            let before = self.latest.get(&entry.key);
            let is_claim = entry.state == KeyState::Claimed;
            self.has_double_claim |= is_claim && !is_claimable(before);
            self.latest.insert(entry.key, entry);
        }
    }
}

/// Decodes a sealed segment.
pub fn read_segment(entry: &KeyValueEntry) -> Result<StoredSegment, ContentError> {
    let record: SegmentRecord = decode(&entry.value)?;
    Ok(StoredSegment {
        revision: entry.revision,
        entries: record.entries,
    })
}

/// Encodes a record for the key-value service.
pub fn encode<T: Serialize>(record: &T) -> Result<Bytes, ContentError> {
    let bytes = postcard::to_stdvec(record);
    bytes.map(Bytes::from).map_err(|_| ContentError::Malformed)
}

/// Decodes a record from the key-value service.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ContentError> {
    postcard::from_bytes(bytes).map_err(|_| ContentError::Malformed)
}

/// Returns whether all entries were claimed before the given time.
fn is_expired(entries: &[LedgerEntry], before_unix_s: u64) -> bool {
    let newest = entries.iter().map(|entry| entry.claimed_at_unix_s).max();
    newest.is_none_or(|newest| newest < before_unix_s)
}

/// Returns whether a key whose newest entry is `entry` may be claimed.
pub fn is_claimable(entry: Option<&LedgerEntry>) -> bool {
    entry.is_none_or(|entry| entry.state == KeyState::NotRun)
}
