//! Whether an upstream can be reached, and whether it has ended if it cannot.
//!
//! A connection that is refused or not answered tells of one moment. A link that is cut for half
//! a second refuses connections like a process that has ended, while the runs on the upstream go
//! on. That it has ended is a conclusion from time only; what tells for certain is another
//! incarnation under its name, which replaces this one.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use super::InstanceKey;
use super::InstanceTable;
use super::TrackedInstance;
use crate::fleet::pace::Recovery;

/// The time without a sign of life after which an upstream that cannot be reached is presumed
/// ended or partitioned. A sound one may be out of reach for a second or so.
const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1_500);

/// The largest share of all upstreams that a gateway may suspect. A gateway that suspects
/// more has lost its own link.
pub(super) const MAX_SUSPECTED_SHARE: f64 = 0.34;

/// The longest time that an event is under way. One that arrives later shows that the upstream
/// was alive after it was suspected.
const EVENT_TRANSFER_TIME: Duration = Duration::from_millis(100);

/// Evidence that an upstream is down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// A connection was refused. The process may have ended, or something on the way refuses.
    Refused,
    /// The upstream did not answer in time.
    Silent,
}

impl fmt::Display for Evidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
        })
    }
}

/// The effect of evidence against an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// The upstream is suspected from now on.
    New,
    /// The upstream was suspected before, or is gone.
    Known,
    /// Too many upstreams would be suspected, so the fault is in this process's own link.
    OwnLink,
}

/// What the connections to one incarnation of an upstream have shown.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reachability {
    suspected_since: Option<Instant>,
    /// Since when connections have been refused, also if too many others are suspected for this
    /// one to be.
    refused_since: Option<Instant>,
    /// When an event last passed through the upstream although it was suspected.
    event_at: Option<Instant>,
}

impl Reachability {
    /// Returns since when there has been direct evidence against the upstream.
    pub(super) const fn suspected_since(&self) -> Option<Instant> {
        self.suspected_since
    }

    /// Records an event that passed through the upstream. Returns since when it was suspected if
    /// it no longer is: an event does not show that it accepts connections again.
    pub(super) fn on_event(&mut self, now: Instant) -> Option<Instant> {
        let since = self.suspected_since?;
        if now.saturating_duration_since(since) < EVENT_TRANSFER_TIME {
            return None;
        }
        if self.refused_since.is_some() {
            self.event_at = Some(now);
            return None;
        }
        *self = Self::default();
        Some(since)
    }

    /// Returns since when the upstream has given no sign of life.
    fn lifeless_since(&self) -> Option<Instant> {
        let since = self.suspected_since?;
        Some(self.event_at.map_or(since, |at| at.max(since)))
    }
}

impl TrackedInstance {
    /// Returns since when there has been direct evidence against the upstream.
    pub const fn suspected_since(&self) -> Option<Instant> {
        self.reachability.suspected_since
    }

    /// Returns whether this incarnation of the upstream may still be running.
    ///
    /// One that cannot be reached is presumed alive until it has given no sign of life for a
    /// while, during which it is probed again.
    pub fn is_presumed_alive(&self, now: Instant) -> bool {
        let since = self.reachability.lifeless_since();
        since.is_none_or(|since| now.saturating_duration_since(since) < MAX_SOUND_SILENCE)
    }

    /// Returns whether this incarnation of the upstream has ended, as far as is known: it refuses
    /// connections, and has given no sign of life for a while.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.reachability.refused_since.is_some() && !self.is_presumed_alive(now)
    }

    /// Returns since when the upstream has refused connections, also if too many others are
    /// suspected for it to be.
    pub const fn refused_since(&self) -> Option<Instant> {
        self.reachability.refused_since
    }
}

impl InstanceTable {
    /// Records that an upstream did not answer over a new connection, or that a path
    /// reported it as lost.
    ///
    /// If too many upstreams seem lost at once, the fault is in this process's own link.
    pub fn suspect(&mut self, key: InstanceKey, evidence: Evidence, now: Instant) -> Suspicion {
        let suspected = self.suspected().len();
        let max_suspected = MAX_SUSPECTED_SHARE * self.instances.len() as f64;
        let Some(tracked) = self.instances.get_mut(key) else {
            return Suspicion::Known;
        };
        let reachability = &mut tracked.reachability;
        if evidence == Evidence::Refused {
            reachability.refused_since.get_or_insert(now);
        }
        if reachability.suspected_since.is_some() {
            return Suspicion::Known;
        }
        if suspected as f64 >= max_suspected.max(2.0) {
            return Suspicion::OwnLink;
        }
        // A refusal from before, at which the upstream was not suspected, says nothing now.
        *reachability = Reachability {
            suspected_since: Some(now),
            refused_since: (evidence == Evidence::Refused).then_some(now),
            event_at: None,
        };
        Suspicion::New
    }

    /// Records that an upstream answered over a new connection. Returns since when it was
    /// suspected.
    pub fn clear_suspicion(&mut self, key: InstanceKey, now: Instant) -> Option<Instant> {
        let tracked = self.instances.get_mut(key)?;
        let since = std::mem::take(&mut tracked.reachability).suspected_since?;
        self.begin_pace(key, Recovery::SuspicionCleared, now);
        Some(since)
    }

    /// Records that an upstream accepted a connection, which is newer than a refusal at which it
    /// was not suspected.
    pub fn note_accepted(&mut self, key: InstanceKey) {
        if let Some(tracked) = self.instances.get_mut(key)
            && tracked.suspected_since().is_none()
        {
            tracked.reachability.refused_since = None;
        }
    }

    /// Returns the suspected upstreams, and since when they have been suspected.
    pub fn suspected(&self) -> Vec<(InstanceKey, Instant)> {
        self.instances
            .iter()
            .filter_map(|(key, tracked)| Some((key, tracked.suspected_since()?)))
            .collect()
    }
}
