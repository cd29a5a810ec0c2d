//! What a gateway believes about the store that all gateways share.
//!
//! A call without an answer is little evidence about the store: its connection may have gone
//! silent or been cut, while new ones work. Such a call is followed at once by another one on
//! a new connection, and only if that fails too, the store does not serve this gateway.
//!
//! A store that does not serve this gateway may serve others. It counts as away only while
//! no gateway is known that it serves, and some gateway has found that it does not serve it.
//! That the gateways which follow the store have fallen silent says nothing about the store.
//!
//! Entries lapse while the store is away, and upstreams that still run rewrite them shortly
//! after its return. A gateway that dropped them at once would reject requests that these
//! upstreams can serve, so missing entries are kept for a while then, and only then.

use std::time::Duration;

use tokio::time::Instant;

use super::claims::FollowerCounts;
use super::store_answers::StoreAnswers;
use super::store_answers::Topic;

/// The time after the store's return within which upstreams rewrite entries that it has
/// lost, by the platform's protocol.
pub const REWRITE_GRACE: Duration = Duration::from_millis(2_200);

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

/// Whether the store serves any gateway.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Reach {
    /// There is no evidence yet.
    #[default]
    Unknown,
    /// It serves one.
    Present,
    /// Some gateway has found that it does not serve it, and none is known that it serves.
    Away {
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
#[derive(Debug, Default)]
pub struct StoreBelief {
    link: StoreLink,
    reach: Reach,
    own_answers: StoreAnswers,
    /// The newest answers to any gateway, as far as is known.
    answers: StoreAnswers,
    rewriting_until: Option<Instant>,
    era_settled_at: Option<Instant>,
}

impl StoreBelief {
    /// Creates the belief of a gateway that has just started.
    pub fn new() -> Self {
        Self::default()
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
        matches!(self.reach, Reach::Away { .. })
    }

    /// Returns when the store last answered reads of this gateway.
    pub const fn own_answers(&self) -> StoreAnswers {
        self.own_answers
    }

    /// Returns when the store last answered reads of any gateway, as far as is known.
    pub const fn answers(&self) -> StoreAnswers {
        self.answers
    }

    /// Records that a read of this gateway was answered, which shows the store's state `at` a
    /// time.
    pub fn on_read(&mut self, topic: Topic, at: Instant) {
        self.own_answers.record(topic, at);
        self.weigh(self.own_answers);
    }

    /// Weighs when the store last answered other gateways, as they tell.
    pub fn weigh(&mut self, told: StoreAnswers) {
        self.answers = self.answers.newest(told);
    }

    /// Forgets what earlier calls have shown, since this gateway begins to follow the store.
    pub fn forget_link(&mut self) {
        self.link = StoreLink::Untried;
    }

    /// Records how a call of this gateway ended. Returns what changed for its own link.
    pub fn on_call(&mut self, call: StoreCall, now: Instant) -> Option<BeliefChange> {
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

    /// Weighs what is known of the other followers. `follows` tells whether this gateway
    /// follows the store, without which its own link is no evidence.
    ///
    /// Returns what changed for all gateways.
    pub fn on_followers(
        &mut self,
        others: FollowerCounts,
        follows: bool,
        now: Instant,
    ) -> Option<BeliefChange> {
        let link = if follows {
            self.link
        } else {
            StoreLink::Untried
        };
        if others.served > 0 || link == StoreLink::Served {
            return self.on_present(now);
        }
        let is_unserved = matches!(link, StoreLink::Unserved { .. });
        if (others.unserved > 0 || is_unserved) && !self.is_away() {
            self.reach = Reach::Away { since: now };
            return Some(BeliefChange::WentAway);
        }
        None
    }

    /// Records that the store has answered this gateway, whether or not it follows the store.
    ///
    /// Returns what changed for all gateways.
    pub fn on_present(&mut self, now: Instant) -> Option<BeliefChange> {
        let before = std::mem::replace(&mut self.reach, Reach::Present);
        let Reach::Away { since } = before else {
            return None;
        };
        self.rewriting_until = Some(now + REWRITE_GRACE);
        Some(BeliefChange::Returned {
            away_for: now.saturating_duration_since(since),
        })
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
