//! The state of the connection to one peer.

use tokio::time::Instant;

use crate::link::settings::LinkSettings;
use crate::timer::TimerSlot;

/// The connection to one peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    pub(super) state: PeerState,
    pub(super) timer: TimerSlot,
}

/// The liveness of the connection to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PeerState {
    /// Messages arrive.
    Live {
        /// The time of the last message.
        received_at: Instant,
        /// The time of the last ping.
        pinged_at: Instant,
    },
    /// The connection is silent, and a new one is being dialled.
    Dialling {
        /// The time at which the current dial counts as failed.
        timeout_at: Instant,
        /// The number of failed dials since the connection became silent.
        failed_dials: u32,
    },
    /// New connections failed too.
    Lost {
        /// The time of the next dial.
        redial_at: Instant,
    },
}

impl Peer {
    /// Creates a peer whose connection has just been opened.
    pub(super) fn live(now: Instant) -> Self {
        Self {
            state: PeerState::live(now),
            timer: TimerSlot::default(),
        }
    }

    /// Returns the time at which the peer's state has to be checked next.
    pub(super) fn due(&self, settings: &LinkSettings) -> Instant {
        match self.state {
            PeerState::Live {
                received_at,
                pinged_at,
            } => {
                let ping_at = received_at.max(pinged_at) + settings.ping_after();
                ping_at.min(received_at + settings.silence())
            }
            PeerState::Dialling { timeout_at, .. } => timeout_at,
            PeerState::Lost { redial_at } => redial_at,
        }
    }
}

impl PeerState {
    pub(super) const fn live(now: Instant) -> Self {
        Self::Live {
            received_at: now,
            pinged_at: now,
        }
    }

    pub(super) const fn is_live(&self) -> bool {
        matches!(self, Self::Live { .. })
    }
}
