//! Selection of the watchers of a failure domain and the neighbours of a member.

use std::cmp::Reverse;
use std::net::SocketAddr;

use jujubewall_types::id::MemberName;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::dissemination::Peer;

/// Seed of the hash that ranks the members of a failure domain.
const WATCHER_SEED: u64 = 1;

/// Seed of the hash that ranks the neighbours of a member.
const NEIGHBOUR_SEED: u64 = 2;

/// Addresses of a few peers.
type Addresses = SmallVec<[SocketAddr; 8]>;

/// The peers with which a member exchanges the configuration.
///
/// They are selected by rendezvous hashing of the pair of members, so they do not change as
/// long as the members stay the same, and connections to them are reused.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    addresses: Addresses,
}

impl Neighbours {
    /// Chooses among `live` up to `near` peers of the own failure domain and `far` others.
    ///
    /// If there are too few peers of one group, more of the other one are chosen.
    pub fn new(own: &Peer, live: &[Peer], near: usize, far: usize) -> Self {
        let others = live.iter().filter(|peer| peer.member != own.member);
        let (near_peers, far_peers): (Vec<&Peer>, Vec<&Peer>) =
            others.partition(|peer| peer.failure_domain == own.failure_domain);
        let unused_near = near.saturating_sub(near_peers.len());
        let unused_far = far.saturating_sub(far_peers.len());
        let mut addresses = Addresses::new();
        addresses.extend(highest_ranked(own, near_peers, near + unused_far));
        addresses.extend(highest_ranked(own, far_peers, far + unused_near));
        Self { addresses }
    }

    /// Returns an iterator over the addresses of all neighbours.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.addresses.iter().copied()
    }

    /// Chooses a random neighbour; returns `None` if there are none.
    pub fn choose(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        self.addresses.choose(rng).copied()
    }
}

/// Returns whether `own` is among the watchers of its failure domain.
///
/// The watchers are the members with the highest hashes, so a member that joins or leaves
/// replaces at most one of them.
pub fn is_watcher(own: &Peer, live: &[Peer], watchers: usize) -> bool {
    let rank = |peer: &Peer| (hash(WATCHER_SEED, &peer.member, None), peer.member.clone());
    let own_rank = rank(own);
    let higher_ranked = live
        .iter()
        .filter(|peer| peer.failure_domain == own.failure_domain)
        .filter(|peer| rank(peer) > own_rank)
        .count();
    higher_ranked < watchers
}

fn highest_ranked(own: &Peer, mut peers: Vec<&Peer>, count: usize) -> Vec<SocketAddr> {
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
