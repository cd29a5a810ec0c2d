//! Splitting KV caches that are too large for one message, and reassembling them.

use bytes::Bytes;
use bytes::BytesMut;
use jujubewall_protocol::stream::CachePart;
use jujubewall_protocol::stream::CacheTransfer;
use jujubewall_protocol::stream::KvCache;

/// The payload size of one part, which leaves room in a frame for the other fields.
const PART_BYTES: usize = 4 * 1024 * 1024;

/// The maximum number of parts of a cache; larger ones are dropped.
const MAX_PARTS: u32 = 1_024;

/// Splits a cache transfer into messages that each fit into a frame.
pub fn split_into_parts(transfer: &CacheTransfer) -> Vec<CacheTransfer> {
    let payload = &transfer.cache.payload;
    let count = payload.len().div_ceil(PART_BYTES).max(1);
    let part = |index: usize| {
        let first = index * PART_BYTES;
        let end = payload.len().min(first + PART_BYTES);
        CacheTransfer {
            cache: KvCache {
                payload: payload.slice(first..end),
                ..transfer.cache.clone()
            },
            part: CachePart {
                index: u32::try_from(index).unwrap_or(u32::MAX),
                count: u32::try_from(count).unwrap_or(u32::MAX),
            },
            ..transfer.clone()
        }
    };
    (0..count).map(part).collect()
}

/// The parts of one cache that have arrived so far, in any order.
#[derive(Debug, Default)]
pub struct CacheAssembly {
    first: Option<CacheTransfer>,
    payloads: Vec<Option<Bytes>>,
}

impl CacheAssembly {
    /// Adds a part, and returns the complete cache once every part has arrived.
    ///
    /// A part of a different cache discards the parts that were added before.
    pub fn add(&mut self, part: CacheTransfer) -> Option<CacheTransfer> {
        let CachePart { index, count } = part.part;
        if index >= count || count > MAX_PARTS {
            return None;
        }
        if !self
            .first
            .as_ref()
            .is_some_and(|first| is_same_cache(first, &part))
        {
            self.payloads = vec![None; count as usize];
        }
        self.payloads[index as usize] = Some(part.cache.payload.clone());
        self.first = Some(part);
        self.take_if_complete()
    }

    /// Discards the parts.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn take_if_complete(&mut self) -> Option<CacheTransfer> {
        if self.payloads.iter().any(Option::is_none) {
            return None;
        }
        let mut payload = BytesMut::new();
        for part in self.payloads.drain(..).flatten() {
            payload.extend_from_slice(&part);
        }
        let mut complete = self.first.take()?;
        complete.cache.payload = payload.freeze();
        Some(complete)
    }
}

fn is_same_cache(one: &CacheTransfer, other: &CacheTransfer) -> bool {
    one.id == other.id
        && one.stage == other.stage
        && one.cache.layers == other.cache.layers
        && one.cache.positions == other.cache.positions
        && one.part.count == other.part.count
}
