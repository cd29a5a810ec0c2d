//! When the store last answered the gateways that read it, as far as is known.
//!
//! An answer to a read shows that the store serves somebody, and that all changes up to then
//! are known to the gateway that read. Gateways tell each other the ages of the newest
//! answers they got, so that each of them knows how old the news of the whole fleet may be,
//! whatever the reason: followers that are lost, cut off, refused, slow or just starting look
//! alike. A gateway for which the newest answer is too old reads the store itself.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// The unit of ages in messages, in milliseconds. It is shorter than any decision depends on.
const AGE_UNIT_MS: u64 = 10;

/// What gateways read from the store, each part with calls of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The operator's configuration.
    Config,
    /// The upstreams' entries.
    Entries,
}

/// When the store last answered a read of each topic; `None` if it never did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreAnswers {
    config_at: Option<Instant>,
    entries_at: Option<Instant>,
}

impl StoreAnswers {
    /// Creates the state before any answer.
    pub const fn new() -> Self {
        Self {
            config_at: None,
            entries_at: None,
        }
    }

    /// Returns answers to reads of both topics at one time.
    pub const fn with_both(at: Instant) -> Self {
        Self {
            config_at: Some(at),
            entries_at: Some(at),
        }
    }

    /// Records that a read was answered, which shows the store's state `at` a time.
    pub fn record(&mut self, topic: Topic, at: Instant) {
        let known = match topic {
            Topic::Config => &mut self.config_at,
            Topic::Entries => &mut self.entries_at,
        };
        *known = (*known).max(Some(at));
    }

    /// Returns the newer answer for each topic.
    #[must_use]
    pub fn newest(self, other: Self) -> Self {
        Self {
            config_at: self.config_at.max(other.config_at),
            entries_at: self.entries_at.max(other.entries_at),
        }
    }

    /// Returns when a read of this topic was last answered.
    pub const fn answered_at(self, topic: Topic) -> Option<Instant> {
        match topic {
            Topic::Config => self.config_at,
            Topic::Entries => self.entries_at,
        }
    }

    /// Returns when any read was last answered.
    pub fn last(self) -> Option<Instant> {
        self.config_at.max(self.entries_at)
    }

    /// Returns up to when the changes of all topics are known; `None` if some topic has never
    /// been read.
    pub fn complete_until(self) -> Option<Instant> {
        Some(self.config_at?.min(self.entries_at?))
    }
}

/// The ages of answers, as gateways tell them to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerAges {
    /// The age in units of 10 ms, rounded up; the largest value if there was no answer.
    config: u16,
    /// The same for the upstreams' entries.
    entries: u16,
}

impl AnswerAges {
    /// Returns the ages of answers.
    pub fn new(answers: StoreAnswers, now: Instant) -> Self {
        let age = |at: Option<Instant>| {
            let age_ms = at.map(|at| now.saturating_duration_since(at).as_millis());
            age_ms
                .and_then(|age_ms| u16::try_from(age_ms.div_ceil(u128::from(AGE_UNIT_MS))).ok())
                .unwrap_or(u16::MAX)
        };
        Self {
            config: age(answers.config_at),
            entries: age(answers.entries_at),
        }
    }

    /// Returns when the answers came, if these are their ages now.
    pub fn answers(self, now: Instant) -> StoreAnswers {
        let at = |age: u16| {
            let age_ms = (age != u16::MAX).then(|| u64::from(age) * AGE_UNIT_MS)?;
            now.checked_sub(Duration::from_millis(age_ms))
        };
        StoreAnswers {
            config_at: at(self.config),
            entries_at: at(self.entries),
        }
    }
}
