//! Chooses the watchers of a failure domain and the neighbours of a member.

use std::cmp::Reverse;
use std::net::SocketAddr;

use jujubewall_types::id::MemberName;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::dissemination::Peer;

/// The seed of the hash that ranks the members of a failure domain.
const WATCHER_SEED: u64 = 1;

/// The seed of the hash that ranks the neighbours of a member.
const NEIGHBOUR_SEED: u64 = 2;

/// Addresses of a few peers.
type Addresses = SmallVec<[SocketAddr; 8]>;

/// The peers that a member exchanges the configuration with.
///
/// They are the ones with the highest hashes of the pair, so they stay for as
/// long as the members stay, and connections to them are kept.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    addresses: Addresses,
}

impl Neighbours {
    /// Chooses among `live` up to `near` peers of the own failure domain and `far` others.
    ///
    /// Places that one side cannot fill go to the other one.
    pub fn new(own: &Peer, live: &[Peer], near: usize, far: usize) -> Self {
        let others = live.iter().filter(|peer| peer.member != own.member);
        let (near_peers, far_peers): (Vec<&Peer>, Vec<&Peer>) =
            others.partition(|peer| peer.failure_domain == own.failure_domain);
        let spare_near = near.saturating_sub(near_peers.len());
        let spare_far = far.saturating_sub(far_peers.len());
        let mut addresses = Addresses::new();
        addresses.extend(highest(own, near_peers, near + spare_far));
        addresses.extend(highest(own, far_peers, far + spare_near));
        Self { addresses }
    }

    /// Iterates over all neighbours.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses.iter().copied()
    }

    /// Draws one neighbour.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        self.addresses.choose(rng).copied()
    }
}

/// Returns whether `own` is among the watchers of its failure domain.
///
/// The watchers are the members with the highest hashes, so a member that comes
/// or goes moves at most one of them.
pub fn is_watcher(own: &Peer, live: &[Peer], watchers: usize) -> bool {
    let rank = |peer: &Peer| (hash(WATCHER_SEED, &peer.member, None), peer.member.clone());
    let own_rank = rank(own);
    let higher = live
        .iter()
        .filter(|peer| peer.failure_domain == own.failure_domain)
        .filter(|peer| rank(peer) > own_rank)
        .count();
    higher < watchers
}

fn highest(own: &Peer, mut peers: Vec<&Peer>, count: usize) -> Vec<SocketAddr> {
    let rank = |peer: &&Peer| Reverse(hash(NEIGHBOUR_SEED, &own.member, Some(&peer.member)));
    peers.sort_by_cached_key(rank);
    let chosen = peers.into_iter().take(count);
    chosen.map(|peer| peer.address).collect()
}

fn hash(seed: u64, first: &MemberName, second: Option<&MemberName>) -> u64 {
    let second_hash = second.map_or(seed, |name| {
        XxHash64::oneshot(seed, name.as_str().as_bytes())
    });
    XxHash64::oneshot(second_hash, first.as_str().as_bytes())
}
