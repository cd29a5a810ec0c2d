//! Whether a gateway fetches upstreams' entries from a peer, and from which one.
//!
//! A gateway that does not get changes from the store itself gets all of them this way, also
//! while it tries to follow a store that turns it away.
//!
//! Entries may differ at the same position of the store, when a follower keeps missing
//! entries for a while, or when some followers have not read the store since an entry was
//! removed. The entries that most followers know are then taken, of those that have read it
//! since. The time for which they have differed goes on while changes arrive, because in a busy
//! fleet there is hardly a moment without one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_types::id::StorePosition;
use tokio::time::Instant;

use super::claims::FollowerRole;
use super::claims::RoleClaim;
use super::claims::RoleClaims;
use super::entry_bounds::EntryBounds;
use super::store_answers::Topic;

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

/// Entries of a peer that differ from the own ones at the same position.
#[derive(Clone, Copy, Debug)]
struct Difference {
    /// Since when there have been such entries.
    since: Instant,
    /// The digest of the last ones that became known.
    digest: u64,
    /// When a follower had read them, as far as is known. Those that have not read the store
    /// since then may not know of a change that it knows.
    read_at: Option<Instant>,
}

/// Decides when entries are fetched from a peer.
#[derive(Debug, Default)]
pub struct EntrySync {
    difference: Option<Difference>,
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
        let read_at = |claim: &RoleClaim| {
            let answers = claims.answers_of(claim.holder);
            answers.answered_at(Topic::Entries)
        };
        let followers = || served(claims, own.address, silence, now);
        let peers = || followers().filter(|claim| at_own_position(claim));
        let newest = peers()
            .filter(|claim| claim.instances_digest != own.digest)
            .max_by_key(|claim| read_at(claim));
        let Some(newest) = newest else {
            // Without a peer at the same position it stays unknown whether the entries differ.
            if followers().all(at_own_position) {
                self.difference = None;
            }
            return None;
        };
        let difference = match self.difference {
            Some(known) if known.digest == newest.instances_digest => known,
            known => Difference {
                since: known.map_or(now, |known| known.since),
                digest: newest.instances_digest,
                read_at: read_at(newest),
            },
        };
        self.difference = Some(difference);
        let common =
            most_common_digest(peers().filter(|claim| read_at(claim) >= difference.read_at))?;
        let lasts = now.saturating_duration_since(difference.since);
        if common == own.digest || lasts < bounds.max_mismatch() {
            return None;
        }

        source(&|claim| at_own_position(claim) && claim.instances_digest == common)
            .map(EntryFetch::Differing)
    }

    /// Records that this gateway gets changes from the store itself, so that its entries do
    /// not depend on its peers'.
    pub const fn on_store_source(&mut self) {
        self.difference = None;
    }
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
