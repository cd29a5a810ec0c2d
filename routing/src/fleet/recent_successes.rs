//! What was in successful runs of this gateway: requests, or parts of their prompts.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use tokio::time::Instant;

/// The number of keys of successful runs that are remembered.
const MAX_KEYS: usize = 4_096;

/// How long a key counts as known to be sound after a success.
const KNOWN_SOUND_TIME: Duration = Duration::from_mins(10);

/// The last success of a key.
#[derive(Clone, Copy, Debug)]
struct Success {
    /// When the last of the successful runs began.
    started_at: Instant,
    at: Instant,
}

/// What the successes of a key say of it in a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Soundness {
    /// Nothing.
    Unknown,
    /// A run succeeded not long before the crash.
    SoundBefore,
    /// A run that began after the crash succeeded.
    SoundSince,
}

/// The keys that were in successful runs of this gateway.
#[derive(Debug)]
pub struct RecentSuccesses<K> {
    successes: HashMap<K, Success>,
    newest_start: Option<Instant>,
}

impl<K> Default for RecentSuccesses<K> {
    fn default() -> Self {
        Self {
            successes: HashMap::new(),
            newest_start: None,
        }
    }
}

impl<K: Copy + Eq + Hash> RecentSuccesses<K> {
    /// Records a success of a run that began at `started_at`.
    pub fn note(&mut self, keys: &[K], started_at: Instant, now: Instant) {
        self.newest_start = self.newest_start.max(Some(started_at));
        for key in keys {
            let success = self.successes.entry(*key).or_insert(Success {
                started_at,
                at: now,
            });
            success.started_at = success.started_at.max(started_at);
            success.at = now;
        }
        if self.successes.len() > MAX_KEYS {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Instant> = self.successes.values().map(|success| success.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.successes.retain(|_, success| success.at > median);
    }

    /// Returns what the successes of a key say of it in a crash at `crash_at`.
    pub fn soundness(&self, key: K, crash_at: Instant) -> Soundness {
        let Some(success) = self.successes.get(&key) else {
            return Soundness::Unknown;
        };
        if success.started_at > crash_at {
            Soundness::SoundSince
        } else if crash_at.saturating_duration_since(success.at) < KNOWN_SOUND_TIME {
            Soundness::SoundBefore
        } else {
            Soundness::Unknown
        }
    }

    /// Returns when the last of all successful runs began.
    pub const fn newest_start(&self) -> Option<Instant> {
        self.newest_start
    }

    /// Returns the number of keys that are remembered.
    pub fn key_count(&self) -> usize {
        self.successes.len()
    }
}
