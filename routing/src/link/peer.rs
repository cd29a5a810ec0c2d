//! What is known about the connection to one peer.

use tokio::time::Instant;

use crate::link::settings::LinkSettings;
use crate::timer::TimerSlot;

/// The connection to one peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    pub(super) state: PeerState,
    pub(super) timer: TimerSlot,
}

/// How the connection to a peer is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PeerState {
    /// Messages come.
    Live {
        /// When the last one came.
        received_at: Instant,
        /// When the last ping went out.
        pinged_at: Instant,
    },
    /// No message came, and a new connection is being tried.
    Dialling {
        /// When the current dial counts as failed.
        until: Instant,
        /// The number of dials that have failed.
        failed: u32,
    },
    /// New connections failed.
    Lost {
        /// When the next dial begins.
        redial_at: Instant,
    },
}

impl Peer {
    /// Creates a peer whose connection has just been made.
    pub(super) fn live(now: Instant) -> Self {
        Self {
            state: PeerState::live(now),
            timer: TimerSlot::default(),
        }
    }

    /// Returns when the peer needs attention.
    pub(super) fn due(&self, settings: &LinkSettings) -> Instant {
        match self.state {
            PeerState::Live {
                received_at,
                pinged_at,
            } => {
                let ping_at = received_at.max(pinged_at) + settings.ping_after();
                ping_at.min(received_at + settings.silence())
            }
            PeerState::Dialling { until, .. } => until,
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
