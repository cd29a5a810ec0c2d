//! Fetching newer revisions from the peers that announced them.

use std::net::SocketAddr;

use jujubewall_types::id::Revision;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::dissemination::DisseminationSettings;

/// Maximum number of announcers to keep; the oldest is dropped first.
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

/// The fetches of one member, of which at most one is pending, and the rate limit for serving
/// other members.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: DisseminationSettings,
    pending: Option<PendingFetch>,
    announcers: SmallVec<[Announcer; MAX_ANNOUNCERS]>,
    served_bytes: u64,
    serve_window_start: Option<Instant>,
}

impl Gossip {
    /// Creates the state of a member without announcements.
    pub fn new(settings: DisseminationSettings) -> Self {
        Self {
            settings,
            pending: None,
            announcers: SmallVec::new(),
            served_bytes: 0,
            serve_window_start: None,
        }
    }

    /// Records that `address` announced `revision`.
    pub fn on_announced(&mut self, address: SocketAddr, revision: Revision) {
        self.announcers
            .retain(|announcer| announcer.address != address);
        if self.announcers.len() == MAX_ANNOUNCERS {
            self.announcers.remove(0);
        }
        self.announcers.push(Announcer { address, revision });
    }

    /// Returns the peer to fetch from now, if it announced a newer revision than `applied` and
    /// no fetch is pending.
    pub fn next_fetch(&mut self, applied: Revision, now: Instant) -> Option<SocketAddr> {
        if let Some(pending) = self.pending {
            if now < pending.deadline {
                return None;
            }
            self.remove_announcer(pending.from);
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

    /// Ends the pending fetch after its answer was applied.
    pub fn on_applied(&mut self) {
        self.pending = None;
    }

    /// Ends the pending fetch after an invalid answer and removes the announcer.
    pub fn on_unusable(&mut self) {
        if let Some(pending) = self.pending {
            self.remove_announcer(pending.from);
        }
    }

    /// Returns the time at which the pending fetch times out.
    pub fn wake_at(&self) -> Option<Instant> {
        self.pending.map(|pending| pending.deadline)
    }

    /// Returns whether an answer of `len` bytes is within the rate limit, and if so counts it.
    ///
    /// The first answer within a second is always allowed, regardless of its size.
    pub fn try_serve(&mut self, len: usize, now: Instant) -> bool {
        let has_ended = |since: Instant| now.duration_since(since).as_secs() >= 1;
        if self.serve_window_start.is_none_or(has_ended) {
            self.serve_window_start = Some(now);
            self.served_bytes = 0;
        }
        if self.served_bytes >= self.settings.max_served_bytes_per_s {
            return false;
        }
        self.served_bytes += len as u64;
        true
    }

    fn remove_announcer(&mut self, address: SocketAddr) {
        self.pending = None;
        self.announcers
            .retain(|announcer| announcer.address != address);
    }
}
