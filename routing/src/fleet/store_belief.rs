//! What a gateway believes about the store that all gateways share.
//!
//! A call without an answer is little evidence about the store: its connection may have gone
//! silent or been cut, while new ones work. Such a call is followed at once by another one on
//! a new connection, and only if that fails too, the store does not serve this gateway.
//!
//! A store that does not serve this gateway may serve others, and followers that are not served
//! say nothing about those that have not asked. The store counts as away only once no answer to
//! any gateway is known for so long that entries may have lapsed, although a call failed
//! meanwhile. A gateway that nothing disturbs reads the store itself long before that.
//!
//! Entries lapse while the store is away, and upstreams that still run rewrite them shortly
//! after its return. A gateway that dropped them at once would reject requests that these
//! upstreams can serve, so missing entries are kept for a while then, and only then.

use std::time::Duration;

use tokio::time::Instant;

use super::store_answers::StoreAnswers;
use super::store_answers::Topic;

/// The time after the store's return within which upstreams rewrite entries that it has
/// lost, by the platform's protocol.
pub const REWRITE_GRACE: Duration = Duration::from_millis(2_200);

/// The number of heartbeat intervals of an upstream without an answer of the store to any
/// gateway after which entries may have lapsed. They lapse after three intervals of silence,
/// of which an upstream may have spent one before the store went away; a quarter is left for
/// heartbeats that come irregularly.
const LAPSE_INTERVALS: f64 = 1.75;

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// The store answered, and did what it was asked or said why it cannot be done.
    Answered,
    /// The call was refused or got no answer.
    Failed {
        /// When the call began.
        begun_at: Instant,
    },
}

/// Whether the store serves this gateway.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreLink {
    /// No call has ended yet.
    #[default]
    Untried,
    /// The last call was answered.
    Served,
    /// A call failed, for which its connection may be the reason.
    Doubtful {
        /// Since when; calls that begin later use new connections.
        since: Instant,
    },
    /// A call on a new connection failed too.
    Unserved {
        /// Since when.
        since: Instant,
    },
}

/// A change of what a gateway believes about the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BeliefChange {
    /// The store does not serve this gateway any more.
    LinkLost,
    /// The store serves this gateway again.
    LinkRegained {
        /// The time for which it did not.
        lost_for: Duration,
    },
    /// The store serves no gateway any more.
    WentAway,
    /// The store serves some gateway again.
    Returned {
        /// The time for which it served none.
        away_for: Duration,
    },
}

/// What a gateway believes about the store.
#[derive(Debug)]
pub struct StoreBelief {
    link: StoreLink,
    own_answers: StoreAnswers,
    /// The newest answers to any gateway, as far as is known.
    answers: StoreAnswers,
    failed_at: Option<Instant>,
    /// The time without an answer to any gateway after which entries may have lapsed.
    lapse_time: Duration,
    /// Since when the store has answered no gateway, if it counts as away.
    away_since: Option<Instant>,
    rewriting_until: Option<Instant>,
    era_settled_at: Option<Instant>,
}

impl StoreBelief {
    /// Creates the belief of a gateway that has just started. Upstreams write their entries
    /// about every `heartbeat_interval`.
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            link: StoreLink::Untried,
            own_answers: StoreAnswers::new(),
            answers: StoreAnswers::new(),
            failed_at: None,
            lapse_time: heartbeat_interval.mul_f64(LAPSE_INTERVALS),
            away_since: None,
            rewriting_until: None,
            era_settled_at: None,
        }
    }

    /// Sets the time between two writes of an upstream's entry.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.lapse_time = interval.mul_f64(LAPSE_INTERVALS);
    }

    /// Returns whether the store serves this gateway.
    pub const fn link(&self) -> StoreLink {
        self.link
    }

    /// Returns whether the store serves this gateway as far as is known; a single failed call
    /// does not tell otherwise.
    pub const fn is_link_up(&self) -> bool {
        !matches!(self.link, StoreLink::Unserved { .. })
    }

    /// Returns whether the store serves no gateway.
    pub const fn is_away(&self) -> bool {
        self.away_since.is_some()
    }

    /// Returns when the store last answered reads of this gateway.
    pub const fn own_answers(&self) -> StoreAnswers {
        self.own_answers
    }

    /// Returns when the store last answered reads of any gateway, as far as is known.
    pub const fn answers(&self) -> StoreAnswers {
        self.answers
    }

    /// Forgets what earlier calls have shown, since this gateway begins to follow the store.
    pub fn forget_link(&mut self) {
        self.link = StoreLink::Untried;
    }

    /// Records how a call of this gateway ended. Returns what changed for its own link.
    pub fn on_call(&mut self, call: StoreCall, now: Instant) -> Option<BeliefChange> {
        if matches!(call, StoreCall::Failed { .. }) {
            self.failed_at = Some(now);
        }
        let before = self.link;
        self.link = match (call, before) {
            (StoreCall::Answered, _) => StoreLink::Served,
            (_, StoreLink::Unserved { since }) => StoreLink::Unserved { since },
            (StoreCall::Failed { begun_at }, StoreLink::Doubtful { since }) => {
                if begun_at < since {
                    StoreLink::Doubtful { since }
                } else {
                    StoreLink::Unserved { since }
                }
            }
            (StoreCall::Failed { .. }, _) => StoreLink::Doubtful { since: now },
        };
        match (before, self.link) {
            (StoreLink::Unserved { since }, StoreLink::Served) => {
                Some(BeliefChange::LinkRegained {
                    lost_for: now.saturating_duration_since(since),
                })
            }
            (StoreLink::Unserved { .. }, _) => None,
            (_, StoreLink::Unserved { .. }) => Some(BeliefChange::LinkLost),
            _ => None,
        }
    }

    /// Records that a read of this gateway was answered, which shows the store's state `at` a
    /// time. Returns what changed for all gateways.
    pub fn on_read(&mut self, topic: Topic, at: Instant, now: Instant) -> Option<BeliefChange> {
        self.own_answers.record(topic, at);
        self.weigh(self.own_answers, false, now)
    }

    /// Weighs when the store last answered other gateways, as they tell, and whether it does not
    /// serve some of them. Returns what changed for all gateways.
    pub fn weigh(
        &mut self,
        told: StoreAnswers,
        is_other_unserved: bool,
        now: Instant,
    ) -> Option<BeliefChange> {
        self.answers = self.answers.newest(told);
        let last = self.answers.last()?;
        let is_recent = now.saturating_duration_since(last) < self.lapse_time;
        if let Some(since) = self.away_since {
            if !is_recent {
                // An answer from before the outage may become known in the course of it.
                self.away_since = Some(last);
                return None;
            }
            self.away_since = None;
            self.rewriting_until = Some(now + REWRITE_GRACE);
            return Some(BeliefChange::Returned {
                away_for: now.saturating_duration_since(since),
            });
        }
        // In a large fleet, not every gateway has asked the store itself when it returns.
        let has_failed = is_other_unserved || self.failed_at.is_some_and(|at| at > last);
        if has_failed && !is_recent {
            self.away_since = Some(last);
            return Some(BeliefChange::WentAway);
        }
        None
    }

    /// Starts the time in which upstreams may rewrite entries that the store has lost with
    /// the end of its last era.
    pub fn on_new_era(&mut self, now: Instant) {
        self.rewriting_until = Some(now + REWRITE_GRACE);
        self.era_settled_at = Some(now + REWRITE_GRACE);
    }

    /// Returns until when an upstream whose entry is missing may rewrite it; `None` if a
    /// missing entry means that its upstream is gone.
    pub fn rewriting_until(&self, now: Instant) -> Option<Instant> {
        self.rewriting_until.filter(|until| now < *until)
    }

    /// Ends the time for rewriting, since peers know that the missing entries are gone.
    /// Returns whether it has ended: after a new era it goes on, because what peers know may
    /// date from the era before.
    pub fn end_rewriting(&mut self, now: Instant) -> bool {
        if self.is_era_settling(now) {
            return false;
        }
        self.rewriting_until = None;
        true
    }

    /// Returns when the store's entries no longer date from before a new era, if there was
    /// one.
    pub const fn era_settled_at(&self) -> Option<Instant> {
        self.era_settled_at
    }

    /// Returns whether the store's entries may still date from before the new era.
    pub fn is_era_settling(&self, now: Instant) -> bool {
        self.era_settled_at.is_some_and(|at| now < at)
    }
}
