//! Whether a gateway fetches upstreams' entries from a peer, and from which one.
//!
//! A gateway that does not get changes from the store itself gets all of them this way, also
//! while it tries to follow a store that turns it away.
//!
//! Entries may differ at the same position of the store, when a follower keeps missing
//! entries for a while. The entries that most followers know are then taken. The time for
//! which they have differed goes on while changes arrive, because in a busy fleet there is
//! hardly a moment without one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_types::id::StorePosition;
use tokio::time::Instant;

use super::claims::FollowerRole;
use super::claims::RoleClaim;
use super::claims::RoleClaims;
use super::entry_bounds::EntryBounds;

/// What a gateway knows of the upstreams' entries.
#[derive(Clone, Copy, Debug)]
pub struct OwnEntries {
    /// The gateway's address.
    pub address: SocketAddr,
    /// The digest of the name of its failure domain.
    pub domain: u64,
    /// The newest position that it has applied.
    pub position: StorePosition,
    /// The digest of its entries.
    pub digest: u64,
    /// Whether it has read all entries once.
    pub is_synced: bool,
}

/// The entries to fetch from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryFetch {
    /// The changes since the own position.
    Changes(SocketAddr),
    /// All entries, since none are known.
    All(SocketAddr),
    /// All entries, since the own ones differ from those of most followers.
    Differing(SocketAddr),
}

/// Decides when entries are fetched from a peer.
#[derive(Debug, Default)]
pub struct EntrySync {
    differing_since: Option<Instant>,
}

impl EntrySync {
    /// Creates the state of a gateway whose entries agree with its peers'.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what to fetch now. `silence` is the time after which a claim is outdated.
    pub fn next_fetch(
        &mut self,
        own: &OwnEntries,
        claims: &RoleClaims,
        bounds: EntryBounds,
        silence: Duration,
        now: Instant,
    ) -> Option<EntryFetch> {
        let source = |fits: &dyn Fn(&RoleClaim) -> bool| {
            let source = claims.entry_source(own.address, own.domain, silence, now, fits);
            source.map(|source| source.holder)
        };
        if !own.is_synced {
            return source(&|_| true).map(EntryFetch::All);
        }
        let newer = source(&|claim| claim.instances_position > own.position);
        if let Some(peer) = newer {
            return Some(EntryFetch::Changes(peer));
        }
        let at_own_position = |claim: &RoleClaim| claim.instances_position == own.position;
        let common = most_common_digest(
            served(claims, own.address, silence, now).filter(|claim| at_own_position(claim)),
        );
        let Some(common) = common else {
            // Without a peer at the same position it stays unknown whether the entries differ.
            return None;
        };
        if common == own.digest {
            return None;
        }
        let since = *self.differing_since.get_or_insert(now);
        if now.saturating_duration_since(since) < bounds.max_mismatch() {
            return None;
        }

        source(&|claim| at_own_position(claim) && claim.instances_digest == common)
            .map(EntryFetch::Differing)
    }

    /// Records that this gateway gets changes from the store itself, so that its entries do
    /// not depend on its peers'.
    pub fn on_store_source(&mut self) {}
}

/// Returns whether more than half of the followers that the store answers have entries with
/// this digest.
pub fn most_followers_have(
    digest: u64,
    own: SocketAddr,
    claims: &RoleClaims,
    silence: Duration,
    now: Instant,
) -> bool {
    let known = served(claims, own, silence, now);
    let (agreeing, all) = known.fold((0, 0), |(agreeing, all), claim| {
        (
            agreeing + u32::from(claim.instances_digest == digest),
            all + 1,
        )
    });
    agreeing * 2 > all
}

/// Returns the claims of the other followers that the store answers.
fn served(
    claims: &RoleClaims,
    own: SocketAddr,
    silence: Duration,
    now: Instant,
) -> impl Iterator<Item = &RoleClaim> {
    claims
        .live_holders(silence, now)
        .filter(move |claim| claim.follower == FollowerRole::Served && claim.holder != own)
}

/// Returns the digest that most of the claims have; the largest one among equals.
fn most_common_digest<'a>(claims: impl Iterator<Item = &'a RoleClaim>) -> Option<u64> {
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for claim in claims {
        *counts.entry(claim.instances_digest).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(digest, _)| digest)
}
