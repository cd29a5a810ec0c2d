//! How often one request may be sent.
//!
//! A route limits the upstreams that may run one request. Upstreams that have ended do not
//! count, and those that are only silent do, because they may still go on.

use std::fmt;

use jujubewall_types::fleet::Route;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::instances::InstanceKey;
use super::instances::InstanceTable;

/// The largest number of sends of one request, including those that did not run. More would
/// put still more load on a fleet that loses runs that often.
const MAX_SENDS: u32 = 4;

/// The limit that forbids another run of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Barred {
    /// The request was sent too often.
    Sends,
    /// The route allows no further run.
    Attempts,
    /// The retry budget of the service is used up.
    Budget,
}

impl fmt::Display for Barred {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Sends => "sends",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
        })
    }
}

/// The sends of one request so far.
#[derive(Clone, Debug)]
pub struct Attempts {
    sends: u32,
    /// The first upstreams of the runs that may have run.
    runs: SmallVec<[InstanceKey; 4]>,
    max_attempts: usize,
    is_resumable: bool,
}

impl Attempts {
    /// Creates the record of a request that has not been sent.
    pub fn new(route: &Route) -> Self {
        Self {
            sends: 0,
            runs: SmallVec::new(),
            max_attempts: usize::try_from(route.max_attempts).unwrap_or(usize::MAX),
            is_resumable: route.is_resumable,
        }
    }

    /// Counts a send that is about to begin.
    pub fn begin_send(&mut self) {
        self.sends += 1;
    }

    /// Takes back the last send, for which there was no upstream.
    pub fn cancel_send(&mut self) {
        self.sends = self.sends.saturating_sub(1);
    }

    /// Returns the number of sends.
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Records that the request may have run on a path that begins at `first`.
    pub fn note_run(&mut self, first: InstanceKey) {
        if !self.runs.contains(&first) {
            self.runs.push(first);
        }
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Returns the limit that forbids another run, if any.
    pub fn barred(&self, instances: &InstanceTable, now: Instant) -> Option<Barred> {
        if self.sends >= MAX_SENDS {
            return Some(Barred::Sends);
        }
        if !self.may_have_run() {
            return None;
        }
        let is_standing = |key: &&InstanceKey| {
            let tracked = instances.get(**key);
            tracked.is_some_and(|tracked| tracked.is_presumed_alive(now))
        };
        let standing_count = self.runs.iter().filter(is_standing).count();
        let is_allowed = self.is_resumable && standing_count < self.max_attempts;
        (!is_allowed).then_some(Barred::Attempts)
    }

    /// Returns the limit that would forbid another run if the present one, on a path that
    /// begins at `first`, were given up.
    pub fn barred_after(
        &self,
        first: InstanceKey,
        instances: &InstanceTable,
        now: Instant,
    ) -> Option<Barred> {
        let mut after = self.clone();
        after.note_run(first);
        after.barred(instances, now)
    }
}
