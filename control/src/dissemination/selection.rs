//! Chooses watchers and the peers of one exchange.

use std::net::SocketAddr;

use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::MemberName;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::dissemination::Peer;

/// The seed of the hash that ranks the members of a failure domain.
const WATCHER_SEED: u64 = 1;

/// Addresses of a few peers.
pub type Addresses = SmallVec<[SocketAddr; 8]>;

/// The other live members, split by whether they share the own failure domain.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    own_domain: Vec<SocketAddr>,
    other_domains: Vec<SocketAddr>,
}

impl Peers {
    /// Sorts the members of `live` other than `own`.
    pub fn new(own: &Peer, live: &[Peer]) -> Self {
        let mut peers = Self::default();
        for peer in live.iter().filter(|peer| peer.member != own.member) {
            if peer.failure_domain == own.failure_domain {
                peers.own_domain.push(peer.address);
            } else {
                peers.other_domains.push(peer.address);
            }
        }
        peers
    }

    /// Draws up to `own_domain` and `other_domains` distinct peers.
    ///
    /// Places that one side cannot fill go to the other one.
    pub fn draw(&self, rng: &mut ChaCha8Rng, own_domain: usize, other_domains: usize) -> Addresses {
        let own_spare = own_domain.saturating_sub(self.own_domain.len());
        let other_spare = other_domains.saturating_sub(self.other_domains.len());
        let own = self.own_domain.sample(rng, own_domain + other_spare);
        let mut drawn: Addresses = own.copied().collect();
        let others = self.other_domains.sample(rng, other_domains + own_spare);
        drawn.extend(others.copied());
        drawn
    }

    /// Draws one peer of any failure domain.
    pub fn draw_any(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let all: Vec<SocketAddr> = self
            .own_domain
            .iter()
            .chain(&self.other_domains)
            .copied()
            .collect();
        all.choose(rng).copied()
    }

    /// Draws one peer of the own failure domain, or any if it has none.
    pub fn draw_near(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let near = self.own_domain.choose(rng);
        near.or_else(|| self.other_domains.choose(rng)).copied()
    }
}

/// Returns whether `own` is among the watchers of its failure domain.
///
/// The watchers are the members with the highest hashes, so a member that comes
/// or goes moves at most one of them.
pub fn is_watcher(own: &Peer, live: &[Peer], watchers: usize) -> bool {
    let own_score = score(&own.failure_domain, &own.member);
    let higher = live
        .iter()
        .filter(|peer| peer.failure_domain == own.failure_domain)
        .filter(|peer| peer.member != own.member)
        .filter(|peer| score(&peer.failure_domain, &peer.member) > own_score)
        .count();
    higher < watchers
}

fn score<'a>(domain: &FailureDomainName, member: &'a MemberName) -> (u64, &'a MemberName) {
    let text = format!("{domain}/{member}");
    (XxHash64::oneshot(WATCHER_SEED, text.as_bytes()), member)
}
