//! Which gateways of a failure domain follow the store for the others.
//!
//! A watch on the store costs calls at every change, so a few gateways of each domain
//! follow the store and the others learn the changes from them. This needs no agreement:
//! gateways see who holds the role, the next one in an order that all compute alike takes
//! it over when a holder falls silent, and a surplus holder gives it up. Too many holders
//! for a while only cost calls, and too few are noticed within the propagation time.
//!
//! Holders of the role may all be alive and useless: cut off, refused, slow, just starting or
//! stopping. So candidates also step in when the newest answer of the store to any gateway is
//! too old, whatever the reason, each of them again after a pause until the store has answered
//! somebody.
//!
//! A gateway that the store does not serve leaves the role to one that has not tried yet,
//! which may be served: candidates follow such holders in a cyclic order. It never leaves the
//! role to nobody: while the store is away for all, some gateways of each domain try to
//! reach it at any time, so that its return is noticed at once.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::claims::FollowerRole;
use super::claims::RoleClaim;
use super::entry_bounds::SYNC_INTERVAL;
use super::gossip::Gossip;
use super::rendezvous;
use super::store_answers::StoreAnswers;

/// The number of gateways of a domain that follow the store, so that one may be lost
/// without a gap.
const FOLLOWERS_PER_DOMAIN: usize = 2;

/// The number of candidates that take over at once if there is no holder.
pub const CANDIDATES_AT_ONCE: usize = 2 * FOLLOWERS_PER_DOMAIN;

/// The time for which too few holders must have been heard before a gateway takes over the
/// role, in which a process that was held up hears of the holders again.
pub const TAKEOVER_CONFIRMATION: Duration = Duration::from_millis(100);

/// The time that each gateway waits for every candidate before it in the order; it is
/// longer than a claim takes to be heard.
pub const TAKEOVER_STAGGER: Duration = Duration::from_millis(300);

/// The age of the newest answer of the store to any gateway from which candidates read the
/// store themselves. It is longer than an answer takes to be known everywhere while some
/// follower asks as often as [`store_timing`](super::store_timing) says.
pub const MAX_ANSWER_AGE: Duration = Duration::from_millis(950);

/// The time between two updates from which the process counts as held up, so that what it
/// knows may be older than what the others have told.
const HELD_UP_TIME: Duration = SYNC_INTERVAL.saturating_mul(3);

/// How long a gateway that the store does not serve keeps the role while others could try.
pub const MAX_UNSERVED: Duration = Duration::from_millis(1_500);

/// How long a gateway that the store did not serve comes last in the order of candidates while
/// it serves others.
const UNSERVED_MEMORY: Duration = Duration::from_secs(5);

/// The time after which a gateway that gave up the role because the store did not serve it may
/// ask the store again for the age of the newest answer alone, so that one that is served again
/// is not held back by others that are not.
const VAIN_TRY_PAUSE: Duration = Duration::from_millis(1_500);

/// The time over which the further tries of a large domain are spread.
const VAIN_TRY_SPREAD_MS: u64 = 1_000;

/// How long a surplus holder continues, during which another holder may be lost.
const MIN_SURPLUS_TIME: Duration = Duration::from_secs(2);

/// The hash seed of the order of a domain's followers, combined with the domain.
const FOLLOWER_ORDER_SEED: u64 = 0x666f_6c6c;

/// Whether this gateway follows the store.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Other gateways follow the store, or may be about to.
    Idle {
        /// Since when there have been too few holders.
        missing_since: Option<Instant>,
    },
    /// This gateway follows the store.
    Following {
        /// Since when the store has not served it.
        unserved_since: Option<Instant>,
        /// Since when there have been enough holders before this one.
        surplus_since: Option<Instant>,
    },
}

impl State {
    const IDLE: Self = Self::Idle {
        missing_since: None,
    };
}

/// Decides whether this gateway follows the store.
#[derive(Debug)]
pub struct FollowerElection {
    state: State,
    /// Whether another gateway of the domain has been heard to have the role.
    has_heard_holder: bool,
    /// The highest score of the last holders if the store served none of them, after which
    /// the order of candidates begins.
    last_unserved: Option<u64>,
    /// When this gateway last gave up the role because the store did not serve it.
    gave_up_at: Option<Instant>,
    updated_at: Option<Instant>,
    /// Until when messages that came while the process was held up may not have been read.
    catching_up_until: Option<Instant>,
}

/// What a gateway knows of the store when it decides whether to follow it.
#[derive(Clone, Copy, Debug)]
pub struct StoreView {
    /// Whether the store serves this gateway as far as is known.
    pub is_served: bool,
    /// When the store last answered any gateway, as far as is known.
    pub answers: StoreAnswers,
}

impl FollowerElection {
    /// Creates the state of a gateway that has just started.
    pub const fn new() -> Self {
        Self {
            state: State::IDLE,
            has_heard_holder: false,
            last_unserved: None,
            gave_up_at: None,
            updated_at: None,
            catching_up_until: None,
        }
    }

    /// Returns whether this gateway follows the store.
    pub const fn is_following(&self) -> bool {
        matches!(self.state, State::Following { .. })
    }

    /// Updates the decision. Returns whether this gateway follows the store from now on.
    pub fn step(&mut self, gossip: &Gossip, store: StoreView, now: Instant) -> bool {
        let domain = DomainView::new(gossip, now);
        self.has_heard_holder |= !domain.holders.is_empty();
        let is_held_up = self
            .updated_at
            .replace(now)
            .is_some_and(|at| now.saturating_duration_since(at) >= HELD_UP_TIME);
        if is_held_up {
            self.catching_up_until = Some(now + TAKEOVER_CONFIRMATION);
        }
        let own = self.is_following().then_some(store.is_served);
        if domain.is_any_served(own) {
            self.last_unserved = None;
        } else if domain.holders.len() + usize::from(own.is_some()) >= FOLLOWERS_PER_DOMAIN {
            self.last_unserved = domain.last_holder(own.is_some());
        }
        self.state = match self.state {
            State::Idle { missing_since } => self.idle_step(&domain, missing_since, store, now),
            State::Following {
                unserved_since,
                surplus_since,
            } => {
                let state = following_step(&domain, unserved_since, surplus_since, store, now);
                if matches!(state, State::Idle { .. }) && !store.is_served {
                    self.gave_up_at = Some(now);
                }
                state
            }
        };
        self.is_following()
    }

    fn idle_step(
        &self,
        domain: &DomainView,
        missing_since: Option<Instant>,
        store: StoreView,
        now: Instant,
    ) -> State {
        const FOLLOWING: State = State::Following {
            unserved_since: None,
            surplus_since: None,
        };
        if self.is_answer_overdue(domain, store, now) {
            return FOLLOWING;
        }
        let missing = FOLLOWERS_PER_DOMAIN.saturating_sub(domain.holders.len());
        if missing == 0 {
            return State::IDLE;
        }
        let before = self.candidates_before(domain, now);
        let since = missing_since.unwrap_or(now);
        // A gateway that has just started may not have heard of the holders yet.
        let hearing_time = if self.has_heard_holder {
            TAKEOVER_CONFIRMATION
        } else {
            domain.propagation_time
        };
        // If there is no holder, more candidates step in at once, as the first may be lost too.
        let at_once = if domain.holders.is_empty() {
            CANDIDATES_AT_ONCE
        } else {
            missing
        };
        let wait = hearing_time + stagger(before, at_once);
        if now.saturating_duration_since(since) >= wait {
            FOLLOWING
        } else {
            State::Idle {
                missing_since: Some(since),
            }
        }
    }

    /// Returns how many candidates precede this one. Those that the store did not serve a short
    /// while ago come last, unless it serves none of the holders, which have an order of their
    /// own then.
    fn candidates_before(&self, domain: &DomainView, now: Instant) -> usize {
        let has_just_given_up = self
            .gave_up_at
            .is_some_and(|at| now.saturating_duration_since(at) < UNSERVED_MEMORY);
        if self.last_unserved.is_some() {
            domain.candidates_before(&domain.candidates, self.last_unserved)
        } else if has_just_given_up {
            domain.untried.len() + domain.candidates_before(&domain.candidates, None)
        } else {
            domain.candidates_before(&domain.untried, None)
        }
    }

    /// Returns whether it is this gateway's turn to read the store, since the newest answer to
    /// any gateway is too old. Few gateways of a domain try at a time.
    fn is_answer_overdue(&self, domain: &DomainView, store: StoreView, now: Instant) -> bool {
        let Some(answered_at) = store.answers.complete_until() else {
            return false;
        };
        let is_catching_up = self.catching_up_until.is_some_and(|until| now < until);
        // One that has just tried in vain leaves the next try to the order of holders.
        let spread = Duration::from_millis(domain.own_score % VAIN_TRY_SPREAD_MS);
        let has_tried = self.gave_up_at.is_some_and(|at| {
            at > answered_at && now.saturating_duration_since(at) < VAIN_TRY_PAUSE + spread
        });
        if is_catching_up || has_tried {
            return false;
        }
        let at_once = CANDIDATES_AT_ONCE.saturating_sub(domain.holders.len());
        let wait = if at_once > 0 {
            stagger(self.candidates_before(domain, now), at_once)
        } else {
            // Holders may all be useless, so the candidates follow one by one, in an order that
            // does not move on with the holders.
            stagger(domain.candidates_before(&domain.candidates, None), 1)
        };
        now.saturating_duration_since(answered_at) >= MAX_ANSWER_AGE + wait
    }
}

/// Returns the next state of a gateway that follows the store.
fn following_step(
    domain: &DomainView,
    unserved_since: Option<Instant>,
    surplus_since: Option<Instant>,
    store: StoreView,
    now: Instant,
) -> State {
    let unserved_since = (!store.is_served).then(|| unserved_since.unwrap_or(now));
    let is_surplus = domain.is_surplus(store.is_served);
    let surplus_since = is_surplus.then(|| surplus_since.unwrap_or(now));
    let lasts = |since: Option<Instant>, limit: Duration| {
        since.is_some_and(|since| now.saturating_duration_since(since) >= limit)
    };
    let can_release = lasts(unserved_since, MAX_UNSERVED) && domain.can_release();
    // A surplus holder that is not served replaces nobody who may be lost.
    let is_useless = is_surplus && !store.is_served;
    if can_release || is_useless || lasts(surplus_since, MIN_SURPLUS_TIME) {
        State::IDLE
    } else {
        State::Following {
            unserved_since,
            surplus_since,
        }
    }
}

/// Returns how long a gateway waits for the candidates before it, so many of which act at once.
fn stagger(before: usize, at_once: usize) -> Duration {
    let turns = u32::try_from(before / at_once).unwrap_or(u32::MAX);
    TAKEOVER_STAGGER.saturating_mul(turns)
}

/// The gateways of the own failure domain, as far as they are heard.
struct DomainView {
    own_score: u64,
    propagation_time: Duration,
    /// Whether the store serves each other holder of the role, and its score.
    holders: Vec<(FollowerRole, u64)>,
    /// The scores of the others, without those that drain.
    candidates: Vec<u64>,
    /// The scores of those candidates that the store has not failed to serve of late.
    untried: Vec<u64>,
}

impl DomainView {
    fn new(gossip: &Gossip, now: Instant) -> Self {
        let order_seed = FOLLOWER_ORDER_SEED ^ gossip.domain();
        let score = |address: SocketAddr| rendezvous::score(order_seed, address);
        let silence = gossip.timing().role_silence();
        let claims: Vec<RoleClaim> = gossip
            .claims()
            .live_holders(silence, now)
            .filter(|claim| claim.follower.is_following() && claim.domain == gossip.domain())
            .copied()
            .collect();
        let is_holder = |address: SocketAddr| claims.iter().any(|claim| claim.holder == address);
        let is_untried = |address: SocketAddr| {
            let unserved_at = gossip.claims().unserved_at(address);
            unserved_at.is_none_or(|at| now.saturating_duration_since(at) >= UNSERVED_MEMORY)
        };
        let candidates: Vec<(SocketAddr, u64)> = gossip
            .live_peers(now)
            .filter(|(address, peer)| {
                peer.domain == gossip.domain()
                    && peer.draining_since.is_none()
                    && !is_holder(*address)
                    && !gossip.claims().is_silent_holder(*address, silence, now)
            })
            .map(|(address, _)| (address, score(address)))
            .collect();
        let untried = candidates
            .iter()
            .filter(|(address, _)| is_untried(*address))
            .map(|(_, score)| *score)
            .collect();
        let candidates = candidates.into_iter().map(|(_, score)| score).collect();
        Self {
            own_score: score(gossip.own_address()),
            propagation_time: gossip.timing().propagation_time(),
            holders: claims
                .iter()
                .map(|claim| (claim.follower, score(claim.holder)))
                .collect(),
            candidates,
            untried,
        }
    }

    /// Returns whether enough holders precede this gateway, which has the role too. Those
    /// that the store serves precede those that it does not.
    fn is_surplus(&self, is_served: bool) -> bool {
        let rank = |(role, score): &(FollowerRole, u64)| (*role != FollowerRole::Served, *score);
        let before = self
            .holders
            .iter()
            .filter(|holder| rank(holder) < (!is_served, self.own_score));
        before.count() >= FOLLOWERS_PER_DOMAIN
    }

    /// Returns whether some candidate is left for this gateway, which the store does not
    /// serve, beside those for the holders before it that it does not serve either.
    fn can_release(&self) -> bool {
        let before = self
            .holders
            .iter()
            .filter(|(role, score)| *role == FollowerRole::Unserved && *score < self.own_score);
        before.count() < self.candidates.len()
    }

    /// Returns whether the store serves some holder; `own` tells it of this gateway if it is
    /// one.
    fn is_any_served(&self, own: Option<bool>) -> bool {
        let mut holders = self.holders.iter();
        own == Some(true) || holders.any(|(role, _)| *role == FollowerRole::Served)
    }

    /// Returns the highest score of the holders, with this gateway if it `is_holder`.
    fn last_holder(&self, is_holder: bool) -> Option<u64> {
        let own = is_holder.then_some(self.own_score);
        let scores = self.holders.iter().map(|(_, score)| *score);
        scores.chain(own).max()
    }

    /// Returns how many of some candidates precede this one in the order, which is cyclic and
    /// begins after the last holder that the store did not serve.
    fn candidates_before(&self, candidates: &[u64], last_unserved: Option<u64>) -> usize {
        let start = last_unserved.map_or(0, |score| score.wrapping_add(1));
        let place = |score: u64| score.wrapping_sub(start);
        let own = place(self.own_score);
        let before = candidates.iter().filter(|score| place(**score) < own);
        before.count()
    }
}

impl Default for FollowerElection {
    fn default() -> Self {
        Self::new()
    }
}
