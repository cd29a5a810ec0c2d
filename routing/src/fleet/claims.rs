//! Which gateways hold a role for the fleet, relayed by gossip.
//!
//! The holder of a role increases its heartbeat with every message. Gateways relay the
//! newest heartbeats that they know, so all of them learn of it within the propagation
//! time, whatever the size of the fleet. A holder whose heartbeat no longer rises is lost.
//! Claims are unreliable: a claim may hold back a gateway, but never permits an action that
//! has to be unique.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_types::id::StorePosition;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::rendezvous;
use super::store_answers::StoreAnswers;

/// How long a silent holder is remembered, so that an old message does not revive it.
const HOLDER_RETENTION: Duration = Duration::from_secs(30);

/// The largest number of claims in one message, which bounds its size.
const MAX_CLAIMS: usize = 40;

/// Whether a gateway acts as planner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlannerRole {
    /// It does not plan.
    #[default]
    None,
    /// It plans without the planner's lease.
    Substitute,
    /// It plans and holds the lease.
    LeaseHolder,
}

impl PlannerRole {
    /// Returns whether the gateway plans.
    pub const fn is_planning(self) -> bool {
        !matches!(self, Self::None)
    }
}

/// Whether a gateway follows the store for others.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum FollowerRole {
    /// It does not follow the store.
    #[default]
    None,
    /// It tries to, but the store does not answer it.
    Unserved,
    /// It follows the store and knows all entries.
    Served,
}

impl FollowerRole {
    /// Returns whether the gateway follows the store or tries to.
    pub const fn is_following(self) -> bool {
        !matches!(self, Self::None)
    }
}

/// The gateways that follow the store, as their claims tell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FollowerCounts {
    /// Those that the store serves.
    pub served: usize,
    /// Those that it does not serve.
    pub unserved: usize,
}

/// The roles of a gateway and the state of its knowledge of the upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleClaim {
    /// The address of the gateway.
    pub holder: SocketAddr,
    /// The digest of the name of the gateway's failure domain.
    pub domain: u64,
    /// The start of the process in Unix milliseconds, which distinguishes incarnations.
    pub incarnation: u64,
    /// The number of messages that this incarnation has sent.
    pub heartbeat: u64,
    /// Whether the gateway acts as planner.
    pub planner: PlannerRole,
    /// Whether the gateway follows the store.
    pub follower: FollowerRole,
    /// The newest store position of an upstream's entry that the gateway has applied.
    pub instances_position: StorePosition,
    /// The digest of the upstreams' entries that the gateway knows.
    pub instances_digest: u64,
}

impl RoleClaim {
    /// Returns whether the gateway holds a role, so that others have to learn of it.
    pub const fn has_role(&self) -> bool {
        self.planner.is_planning() || self.follower.is_following()
    }
}

/// A claim and when its heartbeat last rose.
#[derive(Clone, Copy, Debug)]
struct HeardClaim {
    claim: RoleClaim,
    heartbeat_at: Instant,
    /// When the store last answered the holder.
    answers: StoreAnswers,
    /// When the holder last said that the store does not serve it.
    unserved_at: Option<Instant>,
}

/// The known roles of the other gateways.
#[derive(Debug, Default)]
pub struct RoleClaims {
    heard: BTreeMap<SocketAddr, HeardClaim>,
    /// The store's newest answers to any gateway that passes on what it reads.
    answers: StoreAnswers,
    has_seen_planner: bool,
}

impl RoleClaims {
    /// Creates an empty set of claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a claim that came from its holder, which the store last answered at the time
    /// of `answers`. Returns whether it is new.
    ///
    /// The holder itself decides which incarnation is current, because the clock by which
    /// incarnations are distinguished may have been set back.
    pub fn on_direct(&mut self, claim: RoleClaim, answers: StoreAnswers, now: Instant) -> bool {
        let known = self.heard.get(&claim.holder);
        let is_old = known.is_some_and(|known| {
            known.claim.incarnation == claim.incarnation && known.claim.heartbeat >= claim.heartbeat
        });
        if is_old {
            return false;
        }
        self.insert(claim, answers, now);
        true
    }

    /// Applies a claim that another gateway relayed.
    pub fn on_relayed(&mut self, claim: RoleClaim, answers: StoreAnswers, now: Instant) {
        let is_newer = self.heard.get(&claim.holder).is_none_or(|known| {
            (claim.incarnation, claim.heartbeat) > (known.claim.incarnation, known.claim.heartbeat)
        });
        if is_newer {
            self.insert(claim, answers, now);
        }
    }

    fn insert(&mut self, claim: RoleClaim, answers: StoreAnswers, now: Instant) {
        self.has_seen_planner |= claim.planner.is_planning();
        // What others read, as one that stops, is passed on to nobody.
        if claim.follower == FollowerRole::Served {
            self.answers = self.answers.newest(answers);
        }
        let unserved_at = if claim.follower == FollowerRole::Unserved {
            Some(now)
        } else {
            let known = self.heard.get(&claim.holder);
            known.and_then(|known| known.unserved_at)
        };
        let heard = HeardClaim {
            claim,
            heartbeat_at: now,
            answers,
            unserved_at,
        };
        self.heard.insert(claim.holder, heard);
    }

    /// Removes gateways that have been silent for long.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|_, heard| {
            now.saturating_duration_since(heard.heartbeat_at) < HOLDER_RETENTION
        });
    }

    /// Returns the holders of roles whose heartbeat rose within `silence`.
    pub fn live_holders(
        &self,
        silence: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &RoleClaim> {
        let is_live =
            move |heard: &&HeardClaim| now.saturating_duration_since(heard.heartbeat_at) < silence;
        let live = self.heard.values().filter(is_live);
        live.map(|heard| &heard.claim)
            .filter(|claim| claim.has_role())
    }

    /// Returns the store's newest answers to any gateway that passes on what it reads.
    pub const fn newest_answers(&self) -> StoreAnswers {
        self.answers
    }

    /// Returns the store's last answers to a gateway.
    pub fn answers_of(&self, holder: SocketAddr) -> StoreAnswers {
        let heard = self.heard.get(&holder);
        heard.map_or_else(StoreAnswers::new, |heard| heard.answers)
    }

    /// Returns when a gateway last said that the store does not serve it.
    pub fn unserved_at(&self, holder: SocketAddr) -> Option<Instant> {
        self.heard.get(&holder)?.unserved_at
    }

    /// Returns whether a gateway had a role when its heartbeat last rose, longer than `silence`
    /// ago.
    pub fn is_silent_holder(&self, address: SocketAddr, silence: Duration, now: Instant) -> bool {
        self.heard.get(&address).is_some_and(|heard| {
            heard.claim.has_role() && now.saturating_duration_since(heard.heartbeat_at) >= silence
        })
    }

    /// Returns the claims to relay, most recently heard first.
    pub fn to_relay(&self, silence: Duration, now: Instant) -> Vec<RoleClaim> {
        let mut live: Vec<&HeardClaim> = self
            .heard
            .values()
            .filter(|heard| now.saturating_duration_since(heard.heartbeat_at) < silence)
            .filter(|heard| heard.claim.has_role())
            .collect();
        live.sort_by_key(|heard| std::cmp::Reverse(heard.heartbeat_at));
        live.truncate(MAX_CLAIMS);
        live.into_iter().map(|heard| heard.claim).collect()
    }

    /// Returns whether another gateway plans.
    pub fn has_planner(&self, silence: Duration, now: Instant) -> bool {
        self.live_holders(silence, now)
            .any(|claim| claim.planner.is_planning())
    }

    /// Returns whether another planner takes precedence over `own`, which plans without the
    /// lease.
    pub fn has_preferred_planner(&self, own: SocketAddr, silence: Duration, now: Instant) -> bool {
        let score = rendezvous::score(PLANNER_ORDER_SEED, own);
        self.live_holders(silence, now).any(|claim| {
            let is_first = rendezvous::score(PLANNER_ORDER_SEED, claim.holder) < score;
            claim.planner == PlannerRole::LeaseHolder || (claim.planner.is_planning() && is_first)
        })
    }

    /// Returns whether another gateway planned and no longer does.
    ///
    /// When a fleet starts, no gateway has planned yet, and the one that wins the lease is
    /// about to announce it.
    pub fn has_lost_planner(&self, silence: Duration, now: Instant) -> bool {
        self.has_seen_planner && !self.has_planner(silence, now)
    }

    /// Returns how many live holders for which `counts` holds come before `own` in the
    /// order of substitute planners.
    pub fn planner_rank(
        &self,
        own: SocketAddr,
        silence: Duration,
        now: Instant,
        counts: impl Fn(&RoleClaim) -> bool,
    ) -> usize {
        let key = rendezvous::score(PLANNER_ORDER_SEED, own);
        self.live_holders(silence, now)
            .filter(|claim| claim.holder != own && counts(claim))
            .filter(|claim| rendezvous::score(PLANNER_ORDER_SEED, claim.holder) < key)
            .count()
    }

    /// Returns the live gateway to fetch upstreams' entries from, preferably one of
    /// `domain`, which avoids a transfer between domains.
    pub fn entry_source(
        &self,
        own: SocketAddr,
        domain: u64,
        silence: Duration,
        now: Instant,
        fits: impl Fn(&RoleClaim) -> bool,
    ) -> Option<RoleClaim> {
        self.live_holders(silence, now)
            .filter(|claim| {
                claim.follower == FollowerRole::Served && claim.holder != own && fits(claim)
            })
            .min_by_key(|claim| {
                let order = rendezvous::score(rendezvous::gateway_key(claim.holder), own);
                (claim.domain != domain, order)
            })
            .copied()
    }
}

/// The hash seed of the order of substitute planners.
const PLANNER_ORDER_SEED: u64 = 0x706c_616e;
