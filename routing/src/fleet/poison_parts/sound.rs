//! The parts that were in successful runs.

use std::collections::HashMap;
use std::time::Duration;

use jujubewall_types::id::PromptPartKey;
use tokio::time::Instant;

use super::PartMark;

/// The number of parts of successful runs that are remembered.
const MAX_SOUND_PARTS: usize = 4_096;

/// How long a part counts as known to be sound after a success.
const KNOWN_SOUND_TIME: Duration = Duration::from_mins(10);

/// The last success of a part.
#[derive(Clone, Copy, Debug)]
struct Success {
    /// When the last of the successful runs began.
    started_at: Instant,
    at: Instant,
}

/// The parts that were in successful runs of this gateway.
#[derive(Debug, Default)]
pub struct SoundParts {
    successes: HashMap<PromptPartKey, Success>,
    newest_start: Option<Instant>,
}

impl SoundParts {
    /// Records a success of a run that began at `started_at`.
    pub fn note(&mut self, parts: &[PromptPartKey], started_at: Instant, now: Instant) {
        self.newest_start = self.newest_start.max(Some(started_at));
        for part in parts {
            let success = self.successes.entry(*part).or_insert(Success {
                started_at,
                at: now,
            });
            success.started_at = success.started_at.max(started_at);
            success.at = now;
        }
        if self.successes.len() > MAX_SOUND_PARTS {
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

    /// Returns what the successes say of a part in a crash at `crash_at`.
    pub fn mark(&self, part: PromptPartKey, crash_at: Instant) -> PartMark {
        let Some(success) = self.successes.get(&part) else {
            return PartMark::Implicated;
        };
        if success.started_at > crash_at {
            PartMark::Cleared
        } else if crash_at.saturating_duration_since(success.at) < KNOWN_SOUND_TIME {
            PartMark::KnownSound
        } else {
            PartMark::Implicated
        }
    }

    /// Returns when the last of all successful runs began.
    pub const fn newest_start(&self) -> Option<Instant> {
        self.newest_start
    }

    /// Returns the number of parts that are remembered.
    pub fn len(&self) -> usize {
        self.successes.len()
    }
}
