//! Fetches newer revisions from the peers that announce them.

use std::net::SocketAddr;

use jujubewall_types::id::Revision;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::dissemination::DisseminationSettings;

/// The largest number of announcers that are remembered.
const MAX_ANNOUNCERS: usize = 8;

/// A peer that has announced a revision.
#[derive(Clone, Copy, Debug)]
struct Announcer {
    address: SocketAddr,
    revision: Revision,
}

/// A request that a peer has yet to answer.
#[derive(Clone, Copy, Debug)]
struct PendingFetch {
    from: SocketAddr,
    deadline: Instant,
}

/// The fetches of one member; at most one is under way.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: DisseminationSettings,
    pending: Option<PendingFetch>,
    announcers: SmallVec<[Announcer; MAX_ANNOUNCERS]>,
    served_bytes: u64,
    serving_since: Option<Instant>,
}

impl Gossip {
    /// Creates the state of a member that has heard nothing.
    pub fn new(settings: DisseminationSettings) -> Self {
        Self {
            settings,
            pending: None,
            announcers: SmallVec::new(),
            served_bytes: 0,
            serving_since: None,
        }
    }

    /// Remembers that `address` has `revision`.
    pub fn on_announced(&mut self, address: SocketAddr, revision: Revision) {
        self.announcers
            .retain(|announcer| announcer.address != address);
        if self.announcers.len() == MAX_ANNOUNCERS {
            self.announcers.remove(0);
        }
        self.announcers.push(Announcer { address, revision });
    }

    /// Returns the peer to ask now, if a newer revision than `applied` is known.
    pub fn next_fetch(&mut self, applied: Revision, now: Instant) -> Option<SocketAddr> {
        if let Some(pending) = self.pending {
            if now < pending.deadline {
                return None;
            }
            self.forget(pending.from);
        }
        self.announcers
            .retain(|announcer| announcer.revision > applied);
        let newest = self.announcers.iter().max_by_key(|known| known.revision);
        self.pending = newest.map(|announcer| PendingFetch {
            from: announcer.address,
            deadline: now + self.settings.fetch_timeout,
        });
        self.pending.map(|pending| pending.from)
    }

    /// Ends the fetch after an answer that was applied.
    pub fn on_applied(&mut self) {
        self.pending = None;
    }

    /// Ends the fetch after an answer that cannot be used, and forgets its sender.
    pub fn on_unusable(&mut self) {
        if let Some(pending) = self.pending {
            self.forget(pending.from);
        }
    }

    /// Returns when a fetch is overdue.
    pub fn wake_at(&self) -> Option<Instant> {
        self.pending.map(|pending| pending.deadline)
    }

    /// Returns whether an answer of `len` bytes is within the rate, and counts it.
    ///
    /// The first answer of a second is always within it, however large.
    pub fn may_serve(&mut self, len: usize, now: Instant) -> bool {
        let is_over = |since: Instant| now.duration_since(since).as_secs() >= 1;
        if self.serving_since.is_none_or(is_over) {
            self.serving_since = Some(now);
            self.served_bytes = 0;
        }
        if self.served_bytes >= self.settings.max_served_bytes_per_s {
            return false;
        }
        self.served_bytes += len as u64;
        true
    }

    fn forget(&mut self, address: SocketAddr) {
        self.pending = None;
        self.announcers
            .retain(|announcer| announcer.address != address);
    }
}
