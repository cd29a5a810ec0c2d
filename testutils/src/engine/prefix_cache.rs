//! The prefix cache and the events that it publishes.

use std::collections::VecDeque;

use jujubewall_upstream::engine::CacheEvent;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use twox_hash::XxHash64;

use super::settings::EngineSettings;

/// The number of positions in one block of the cache.
pub const PREFIX_BLOCK_POSITIONS: usize = 16;
/// The number of events that are kept for readers.
const MAX_EVENTS: usize = 4096;
/// The number of parts in a permille.
const PERMILLE: u32 = 1000;

struct TimedEvent {
    visible_at: Instant,
    event: CacheEvent,
}

/// The prefixes that are cached, least recently used first.
pub(super) struct PrefixCache {
    blocks: VecDeque<u64>,
    events: VecDeque<TimedEvent>,
    last_sequence: u64,
    rng: ChaCha8Rng,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self {
            blocks: VecDeque::new(),
            events: VecDeque::new(),
            last_sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(0),
        }
    }
}

impl PrefixCache {
    /// Looks the prefixes of a prompt up, caches all of them and returns the cached positions.
    pub(super) fn touch(
        &mut self,
        payload: &[u8],
        position_bytes: usize,
        settings: &EngineSettings,
        now: Instant,
    ) -> u32 {
        let block_bytes = PREFIX_BLOCK_POSITIONS * position_bytes;
        let mut cached_positions = 0;
        let mut is_cached_so_far = true;
        for end in (block_bytes..=payload.len()).step_by(block_bytes) {
            let hash = prefix_hash(&payload[..end]);
            is_cached_so_far &= self.use_block(hash, settings, now);
            if is_cached_so_far {
                cached_positions = end / position_bytes;
            }
        }
        u32::try_from(cached_positions).unwrap_or(u32::MAX)
    }

    /// Returns the visible events after a sequence number.
    pub(super) fn events_after(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|event| event.visible_at <= now);
        let events = visible.map(|event| event.event.clone());
        events.filter(|event| event.sequence > after).collect()
    }

    /// Makes a block the most recently used one and returns whether it was cached.
    fn use_block(&mut self, hash: u64, settings: &EngineSettings, now: Instant) -> bool {
        let index = self.blocks.iter().position(|block| *block == hash);
        if let Some(index) = index {
            self.blocks.remove(index);
        }
        self.blocks.push_back(hash);
        if index.is_none() {
            self.publish(hash, true, settings, now);
        }
        self.evict(settings, now);
        index.is_some()
    }

    fn evict(&mut self, settings: &EngineSettings, now: Instant) {
        while self.blocks.len() > settings.prefix_blocks {
            if let Some(hash) = self.blocks.pop_front() {
                self.publish(hash, false, settings, now);
            }
        }
    }

    fn publish(
        &mut self,
        prefix_hash: u64,
        is_cached: bool,
        settings: &EngineSettings,
        now: Instant,
    ) {
        self.last_sequence += 1;
        if self.rng.random_range(0..PERMILLE) < settings.cache_event_loss_permille {
            return;
        }
        let event = CacheEvent {
            sequence: self.last_sequence,
            prefix_hash,
            is_cached,
        };
        let visible_at = now + settings.cache_event_lag;
        self.events.push_back(TimedEvent { visible_at, event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the hash by which events name a prefix.
pub fn prefix_hash(payload: &[u8]) -> u64 {
    XxHash64::oneshot(0, payload)
}
