//! The gossip between gateways: what a message holds, who gets the next one, and which
//! peers are known.
//!
//! A gateway sends one message at a time to a random peer, at a rate that does not grow
//! with the fleet (see [`super::gossip_timing`]). Every other message goes to a gateway of
//! the same failure domain, because these use the same engines first and need each other's
//! load most. Each message holds what the gateway knows first-hand and relays who holds
//! which role.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::MemberName;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom as _;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::claims::FollowerRole;
use super::claims::RoleClaim;
use super::claims::RoleClaims;
use super::gossip_timing::GossipTiming;
use super::instances::LayerReport;
use super::instances::PeerSharing;
use super::instances::SlowdownReport;
use super::instances::WorkReport;
use super::rendezvous;
use super::store_answers::AnswerAges;
use super::store_answers::StoreAnswers;

/// Identifies messages of this protocol; other datagrams are ignored.
pub const PROTOCOL: u32 = 0x6a77_0003;

/// The largest message; it fits into one packet of a usual link.
pub const MAX_MESSAGE_BYTES: usize = 1_400;

/// The number of peers named in a message, by which all gateways become known.
const SAMPLED_PEERS: usize = 4;

/// The number of peers named in a message of a gateway that has just started: gateways that
/// start at the same time do not know any others either.
const SAMPLED_PEERS_AT_START: usize = 24;

/// The number of messages for which a gateway counts as just started.
const START_MESSAGES: u64 = 60;

/// The shortest time after which a silent peer is forgotten.
const MIN_PEER_LIFETIME: Duration = Duration::from_secs(20);

/// The number of rounds without a direct message after which a peer counts as gone. A peer
/// sends one to every other gateway about once in two rounds, in a random order, and
/// messages may be lost.
const PEER_EXPIRY_ROUNDS: u32 = 8;

/// A message from one gateway to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipMessage {
    /// Always [`PROTOCOL`].
    pub protocol: u32,
    /// The name of the sender.
    pub member: MemberName,
    /// The roles of the sender and the number of the message.
    pub own_claim: RoleClaim,
    /// The version of the configuration that the sender applies.
    pub config_version: u64,
    /// Whether the sender is about to stop.
    pub is_draining: bool,
    /// The sender's work in flight.
    pub work: Vec<WorkReport>,
    /// The digests of upstreams that refused connections from the sender.
    pub suspects: Vec<u64>,
    /// The digests of upstreams at which runs of the sender have recently failed.
    pub failing: Vec<u64>,
    /// Layers that engines reported to the sender before their entries showed them.
    pub layers: Vec<LayerReport>,
    /// The slow engines, from the planner.
    pub slowdowns: Vec<SlowdownReport>,
    /// The newest known claims of other gateways.
    pub claims: Vec<RoleClaim>,
    /// The addresses of some other gateways.
    pub peers: Vec<SocketAddr>,
    /// How old the store's last answers to the sender and to the holders of `claims` are, in
    /// this order. Sent as an extension; empty from builds that do not know it.
    #[serde(skip)]
    pub answer_ages: Vec<AnswerAges>,
}

impl GossipMessage {
    /// Returns when the store last answered the holder of the claim at `index`, of which the
    /// sender's own is the first.
    ///
    /// A gateway of a build that does not tell this counts as answered while it says that
    /// the store serves it.
    fn answers(&self, index: usize, claim: &RoleClaim, now: Instant) -> StoreAnswers {
        match self.answer_ages.get(index) {
            Some(ages) => ages.answers(now),
            None if claim.follower == FollowerRole::Served => StoreAnswers::with_both(now),
            None => StoreAnswers::new(),
        }
    }

    /// Drops the least urgent parts until the message fits into `max_bytes`.
    ///
    /// Each part is sent again with later messages, so a dropped part is only delayed.
    pub fn fit(&mut self, size: impl Fn(&Self) -> usize, max_bytes: usize) {
        let mut has_shrunk = true;
        while size(self) > max_bytes && has_shrunk {
            has_shrunk = halve(&mut self.peers) || halve(&mut self.work) || halve(&mut self.claims);
        }
    }
}

/// Drops the second half; returns whether anything was dropped.
fn halve<T>(list: &mut Vec<T>) -> bool {
    let before = list.len();
    list.truncate(before / 2);
    list.len() < before
}

/// A peer from which a message was received directly.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The peer's name.
    pub member: MemberName,
    /// The digest of the name of the peer's failure domain.
    pub domain: u64,
    /// When the last message was received.
    pub heard_at: Instant,
    /// The version of the configuration that the peer applies.
    pub config_version: u64,
    /// Since when the peer is known to be about to stop.
    pub draining_since: Option<Instant>,
}

/// The effect of a received message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Receipt {
    /// It is the first message of its sender.
    NewPeer,
    /// It is newer than all earlier messages of its sender.
    Newer,
    /// It is older than another message of its sender, or did not come from its stated
    /// sender.
    Ignored,
}

/// The known peers and the order in which they are sent messages.
#[derive(Debug)]
pub struct Gossip {
    own: SocketAddr,
    domain: u64,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Addresses named by peers from which no message was received yet.
    named: BTreeMap<SocketAddr, Instant>,
    claims: RoleClaims,
    sent: u64,
    local_ring: Vec<SocketAddr>,
    remote_ring: Vec<SocketAddr>,
    /// The peers that were known when the last ring was drawn, as candidates to name in
    /// messages.
    sample_pool: Vec<SocketAddr>,
    rng: SmallRng,
}

impl Gossip {
    /// Creates a directory that knows only the addresses in `seeds`.
    pub fn new(
        own: SocketAddr,
        domain: u64,
        seeds: &[SocketAddr],
        seed: u64,
        now: Instant,
    ) -> Self {
        Self {
            own,
            domain,
            peers: BTreeMap::new(),
            named: seeds.iter().map(|address| (*address, now)).collect(),
            claims: RoleClaims::new(),
            sent: 0,
            local_ring: Vec::new(),
            remote_ring: Vec::new(),
            sample_pool: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the gossip timing for the current number of peers.
    pub fn timing(&self) -> GossipTiming {
        GossipTiming::new(self.peers.len() + self.named.len())
    }

    /// Returns the roles that peers claim.
    pub const fn claims(&self) -> &RoleClaims {
        &self.claims
    }

    /// Returns the address of this gateway.
    pub const fn own_address(&self) -> SocketAddr {
        self.own
    }

    /// Returns the digest of this gateway's failure domain.
    pub const fn domain(&self) -> u64 {
        self.domain
    }

    /// Returns the number of messages sent so far.
    pub const fn messages_sent(&self) -> u64 {
        self.sent
    }

    /// Returns the peer to send the next message to, and counts the message.
    pub fn next_target(&mut self, now: Instant) -> Option<SocketAddr> {
        self.sent += 1;
        let first_near = self.sent.is_multiple_of(2);
        self.next_in_ring(first_near, now)
            .or_else(|| self.next_in_ring(!first_near, now))
    }

    /// Takes the next peer of one ring. A ring is shuffled anew after each round.
    fn next_in_ring(&mut self, is_near: bool, now: Instant) -> Option<SocketAddr> {
        let ring = if is_near {
            &self.local_ring
        } else {
            &self.remote_ring
        };
        if ring.is_empty() {
            self.expire(now);
            self.draw_ring(is_near);
        }
        let ring = if is_near {
            &mut self.local_ring
        } else {
            &mut self.remote_ring
        };
        while let Some(address) = ring.pop() {
            if self.peers.contains_key(&address) || self.named.contains_key(&address) {
                return Some(address);
            }
        }
        None
    }

    fn draw_ring(&mut self, is_near: bool) {
        let of_ring = |peer: &Peer| (peer.domain == self.domain) == is_near;
        let heard = self.peers.iter().filter(|(_, peer)| of_ring(peer));
        let mut ring: Vec<SocketAddr> = heard.map(|(address, _)| *address).collect();
        if !is_near {
            ring.extend(self.named.keys());
        }
        ring.shuffle(&mut self.rng);
        self.sample_pool = self.peers.keys().copied().collect();
        if is_near {
            self.local_ring = ring;
        } else {
            self.remote_ring = ring;
        }
    }

    /// Returns a random sample of peers to name in a message.
    pub fn sample_peers(&mut self) -> Vec<SocketAddr> {
        let count = if self.sent < START_MESSAGES {
            SAMPLED_PEERS_AT_START
        } else {
            SAMPLED_PEERS
        };
        let count = count.min(self.sample_pool.len());
        for index in 0..count {
            let other = self.rng.random_range(index..self.sample_pool.len());
            self.sample_pool.swap(index, other);
        }
        self.sample_pool[..count].to_vec()
    }

    /// Updates the directory with a message that came from `from`.
    pub fn on_message(
        &mut self,
        from: SocketAddr,
        message: &GossipMessage,
        now: Instant,
    ) -> Receipt {
        // Gateways send from the address on which they listen, so a message from another
        // address is forged.
        if message.own_claim.holder != from || from == self.own {
            return Receipt::Ignored;
        }
        let answers = message.answers(0, &message.own_claim, now);
        if !self.claims.on_direct(message.own_claim, answers, now) {
            return Receipt::Ignored;
        }
        self.named.remove(&from);
        let before = self.peers.get(&from).and_then(|peer| peer.draining_since);
        let peer = Peer {
            member: message.member.clone(),
            domain: message.own_claim.domain,
            heard_at: now,
            config_version: message.config_version,
            draining_since: message.is_draining.then_some(before.unwrap_or(now)),
        };
        let is_first = self.peers.insert(from, peer).is_none();
        for (index, claim) in message.claims.iter().enumerate() {
            if claim.holder != self.own {
                let answers = message.answers(index + 1, claim, now);
                self.claims.on_relayed(*claim, answers, now);
            }
        }
        for address in &message.peers {
            if *address != self.own && !self.peers.contains_key(address) {
                self.named.entry(*address).or_insert(now);
            }
        }
        if is_first {
            Receipt::NewPeer
        } else {
            Receipt::Newer
        }
    }

    fn expire(&mut self, now: Instant) {
        let lifetime = MIN_PEER_LIFETIME.max(self.timing().round() * PEER_EXPIRY_ROUNDS);
        let is_known = |at: Instant| now.saturating_duration_since(at) < lifetime;
        self.peers.retain(|_, peer| is_known(peer.heard_at));
        self.named.retain(|_, at| is_known(*at));
        self.claims.expire(now);
    }

    /// Returns the peers that are presumed alive.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        let longest = self
            .timing()
            .silence_timeout()
            .max(self.timing().round() * PEER_EXPIRY_ROUNDS);
        self.peers
            .iter()
            .filter(move |(_, peer)| now.saturating_duration_since(peer.heard_at) < longest)
            .map(|(address, peer)| (*address, peer))
    }

    /// Returns the earliest time at which a peer began to drain, or `None` if some peer
    /// still accepts requests.
    pub fn all_draining_since(&self, now: Instant) -> Option<Instant> {
        let mut earliest = None;
        for (_, peer) in self.live_peers(now) {
            let since = peer.draining_since?;
            earliest = Some(earliest.map_or(since, |known: Instant| known.min(since)));
        }
        earliest
    }

    /// Returns this gateway's share of a budget that is common to all gateways.
    ///
    /// All gateways get equal shares, so the sum never exceeds the budget, whatever each
    /// believes of the load. Gateways that were only named count as well, because right
    /// after a start few have sent a message yet.
    pub fn equal_share(&self) -> f64 {
        1.0 / (1 + self.peers.len() + self.named.len()) as f64
    }

    /// Estimates how many peers give work to the same upstreams as this gateway of the
    /// failure domain `own`.
    ///
    /// The peers of this domain overflow to the other domains in orders of their own.
    pub fn peer_sharing(&self, own: FailureDomainName, now: Instant) -> PeerSharing {
        let mut domains: Vec<u64> = self.live_peers(now).map(|(_, peer)| peer.domain).collect();
        let near = domains.iter().filter(|domain| **domain == self.domain);
        let near = near.count();
        domains.sort_unstable();
        domains.dedup();
        let others = domains.iter().filter(|domain| **domain != self.domain);
        PeerSharing {
            own_domain: Some(own),
            same_domain_peers: near as f64,
            cross_domain_peers: near as f64 / others.count().max(1) as f64,
            // Each ring gets every other message, and reports are on average half a round
            // old.
            report_age: GossipTiming::new(2 * near).round() / 2,
        }
    }

    /// Returns how long a work report from a gateway of `domain` is valid.
    pub fn report_lifetime(&self, domain: u64) -> Duration {
        let ring = self.peers.values();
        let ring = ring.filter(|peer| (peer.domain == self.domain) == (domain == self.domain));
        // Each ring gets every other message.
        GossipTiming::new(2 * ring.count()).report_lifetime()
    }

    /// Returns a random peer that applies a newer configuration, in the same failure domain
    /// if there is one.
    pub fn peer_with_newer_config(&mut self, version: u64, now: Instant) -> Option<SocketAddr> {
        let newer: Vec<(bool, SocketAddr)> = self
            .live_peers(now)
            .filter(|(_, peer)| peer.config_version > version)
            .map(|(address, peer)| (peer.domain == self.domain, address))
            .collect();
        let any_near = newer.iter().any(|(is_near, _)| *is_near);
        let fit: Vec<SocketAddr> = newer
            .into_iter()
            .filter(|(is_near, _)| *is_near == any_near)
            .map(|(_, address)| address)
            .collect();
        if fit.is_empty() {
            return None;
        }
        Some(fit[self.rng.random_range(0..fit.len())])
    }

    /// Returns whether this gateway is one of the `count` that check a subject for all.
    ///
    /// The checkers are in as many different failure domains as possible, so that a
    /// partition between two domains is not mistaken for a loss by all of them.
    pub fn is_selected_checker(&self, subject: u64, count: usize, now: Instant) -> bool {
        let mut best: BTreeMap<u64, (u64, SocketAddr)> = BTreeMap::new();
        let others = self
            .live_peers(now)
            .filter(|(_, peer)| peer.draining_since.is_none());
        let all = others
            .map(|(address, peer)| (address, peer.domain))
            .chain([(self.own, self.domain)]);
        let mut scored: Vec<(u64, u64, SocketAddr)> = Vec::new();
        for (address, domain) in all {
            let score = rendezvous::score(subject, address);
            scored.push((score, domain, address));
            let entry = best.entry(domain).or_insert((score, address));
            *entry = (*entry).min((score, address));
        }
        let mut chosen: Vec<(u64, SocketAddr)> = best.into_values().collect();
        chosen.sort_unstable();
        chosen.truncate(count);
        // If there are fewer domains than checkers, the next gateways by score are added.
        scored.sort_unstable();
        for (score, _, address) in scored {
            if chosen.len() >= count {
                break;
            }
            if !chosen.contains(&(score, address)) {
                chosen.push((score, address));
            }
        }
        chosen.iter().any(|(_, address)| *address == self.own)
    }
}
