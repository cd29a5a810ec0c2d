//! Which entry plans when the planner's lease cannot tell.
//!
//! The lease of a planner that was killed outlives it, and while the store is away
//! nobody can win it. Orders are safe without it, so the first of the entries that are
//! heard and stay stands in. An entry that drains is heard for as long as its streams
//! last and plans nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubewall_types::id::MemberName;
use tokio::time::Instant;

/// The time after which an entry that tells nothing counts as lost; entries tell about
/// twice in it, and a datagram may be lost.
const SILENCE: Duration = Duration::from_secs(1);

/// What an entry has told last.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    is_planner: bool,
    is_draining: bool,
}

/// What the other entries tell of who plans.
#[derive(Debug, Default)]
pub struct PlannerWatch {
    heard: BTreeMap<MemberName, Heard>,
    has_heard_planner: bool,
}

impl PlannerWatch {
    /// Creates a watch that has heard nobody.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over what another entry tells.
    pub fn on_told(
        &mut self,
        member: &MemberName,
        is_planner: bool,
        is_draining: bool,
        now: Instant,
    ) {
        self.has_heard_planner |= is_planner;
        let heard = Heard {
            at: now,
            is_planner,
            is_draining,
        };
        self.heard.insert(member.clone(), heard);
        self.heard
            .retain(|_, heard| now.saturating_duration_since(heard.at) < SILENCE);
    }

    /// Returns whether another entry tells that it plans.
    pub fn has_planner(&self, now: Instant) -> bool {
        self.heard_now(now).any(|(_, heard)| heard.is_planner)
    }

    /// Returns whether another entry planned and does so no more.
    ///
    /// At the start of a fleet nobody has planned yet, and whoever wins the lease is
    /// about to tell.
    pub fn has_lost_planner(&self, now: Instant) -> bool {
        self.has_heard_planner && !self.has_planner(now)
    }

    /// Returns whether `own` is the first, by name, of the entries that are heard and
    /// stay.
    pub fn is_first(&self, own: &MemberName, now: Instant) -> bool {
        self.heard_now(now)
            .filter(|(_, heard)| !heard.is_draining)
            .all(|(member, _)| own < member)
    }

    fn heard_now(&self, now: Instant) -> impl Iterator<Item = (&MemberName, &Heard)> {
        let is_now = move |heard: &Heard| now.saturating_duration_since(heard.at) < SILENCE;
        self.heard.iter().filter(move |(_, heard)| is_now(heard))
    }
}
