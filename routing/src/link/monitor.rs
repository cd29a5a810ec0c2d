//! The failure detector for all connections of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::link::peer::Peer;
use crate::link::peer::PeerState;
use crate::link::settings::LinkSettings;
use crate::timer::Timers;

/// An action that the process takes on its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkAction {
    /// Send a message that the peer replies to.
    Ping {
        /// The peer.
        peer: SocketAddr,
    },
    /// Open a new connection from a new socket, and keep the old one until then.
    ///
    /// The outcome is reported to [`LinkMonitor::on_connected`] or
    /// [`LinkMonitor::on_dial_failed`].
    Redial {
        /// The peer.
        peer: SocketAddr,
    },
    /// Treat the peer's process as failed, since new connections to it failed too.
    PeerLost {
        /// The peer.
        peer: SocketAddr,
    },
    /// Suspect the own link, since most peers and at least `own_link_min_peers` of
    /// them are silent.
    ///
    /// No peer is reported lost until [`Self::OwnLinkRecovered`].
    OwnLinkSuspect,
    /// Stop suspecting the own link, since a silent peer was heard again.
    OwnLinkRecovered,
}

/// Detects failures of the connections of one process to its peers.
#[derive(Debug)]
pub struct LinkMonitor {
    settings: LinkSettings,
    peers: BTreeMap<SocketAddr, Peer>,
    timers: Timers<SocketAddr>,
    silent_peers: usize,
    is_own_link_suspect: bool,
    /// The actions to return from the current call.
    actions: Vec<LinkAction>,
}

impl LinkMonitor {
    /// Creates a monitor without peers.
    pub const fn new(settings: LinkSettings) -> Self {
        Self {
            settings,
            peers: BTreeMap::new(),
            timers: Timers::new(),
            silent_peers: 0,
            is_own_link_suspect: false,
            actions: Vec::new(),
        }
    }

    /// Returns whether the own link is suspected to be down.
    pub const fn is_own_link_suspect(&self) -> bool {
        self.is_own_link_suspect
    }

    /// Returns the number of peers whose connection is silent.
    pub const fn silent_peers(&self) -> usize {
        self.silent_peers
    }

    /// Returns the time at which [`Self::on_tick`] is next due, if any.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Records that either side opened a connection between this process and `peer`.
    pub fn on_connected(&mut self, now: Instant, peer: SocketAddr) -> Vec<LinkAction> {
        self.peers.entry(peer).or_insert_with(|| Peer::live(now));
        self.on_received(now, peer)
    }

    /// Records that a message from `peer` arrived.
    pub fn on_received(&mut self, now: Instant, peer: SocketAddr) -> Vec<LinkAction> {
        let Some(connection) = self.peers.get(&peer) else {
            return Vec::new();
        };
        let pinged_at = match connection.state {
            PeerState::Live { pinged_at, .. } => pinged_at,
            _ => now,
        };
        let state = PeerState::Live {
            received_at: now,
            pinged_at,
        };
        let was_silent = !connection.state.is_live();
        self.set_state(peer, state);
        if was_silent && self.is_own_link_suspect {
            self.clear_own_link_suspicion(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Records that a dial requested by [`LinkAction::Redial`] failed.
    pub fn on_dial_failed(&mut self, now: Instant, peer: SocketAddr) -> Vec<LinkAction> {
        let state = self.peers.get(&peer).map(|connection| connection.state);
        if let Some(PeerState::Dialling { failed_dials, .. }) = state {
            self.handle_dial_failure(now, peer, failed_dials + 1);
        }
        std::mem::take(&mut self.actions)
    }

    /// Stops monitoring a peer to which no connection is needed any more.
    pub fn forget(&mut self, peer: SocketAddr) {
        if let Some(mut connection) = self.peers.remove(&peer) {
            self.silent_peers -= usize::from(!connection.state.is_live());
            self.timers.disarm(&mut connection.timer, peer);
        }
    }

    /// Handles the timers that are due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<LinkAction> {
        while let Some(peer) = self.timers.pop_due(now) {
            if let Some(connection) = self.peers.get_mut(&peer) {
                connection.timer.clear();
                let state = connection.state;
                self.handle_timer(now, peer, state);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn handle_timer(&mut self, now: Instant, peer: SocketAddr, state: PeerState) {
        match state {
            PeerState::Live { received_at, .. } if now >= received_at + self.settings.silence() => {
                self.dial(now, peer, 0);
                self.suspect_own_link_if_majority_is_silent();
            }
            PeerState::Live {
                received_at,
                pinged_at,
            } => self.ping_if_due(now, peer, received_at, pinged_at),
            PeerState::Dialling {
                timeout_at,
                failed_dials,
            } if now >= timeout_at => {
                self.handle_dial_failure(now, peer, failed_dials + 1);
            }
            PeerState::Lost { redial_at } if now >= redial_at => {
                // A single failed dial suffices, because the peer is already lost.
                self.dial(now, peer, self.settings.max_dials);
            }
            PeerState::Dialling { .. } | PeerState::Lost { .. } => self.set_state(peer, state),
        }
    }

    fn ping_if_due(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        received_at: Instant,
        pinged_at: Instant,
    ) {
        let is_due = now >= received_at.max(pinged_at) + self.settings.ping_after();
        if is_due {
            self.actions.push(LinkAction::Ping { peer });
        }
        let pinged_at = if is_due { now } else { pinged_at };
        let state = PeerState::Live {
            received_at,
            pinged_at,
        };
        self.set_state(peer, state);
    }

    fn dial(&mut self, now: Instant, peer: SocketAddr, failed_dials: u32) {
        let timeout_at = now + self.settings.dial_timeout();
        self.set_state(
            peer,
            PeerState::Dialling {
                timeout_at,
                failed_dials,
            },
        );
        self.actions.push(LinkAction::Redial { peer });
    }

    fn handle_dial_failure(&mut self, now: Instant, peer: SocketAddr, failed_dials: u32) {
        if failed_dials < self.settings.max_dials || self.is_own_link_suspect {
            self.dial_again(now, peer, failed_dials);
            return;
        }
        let redial_at = now + self.settings.lost_redial();
        self.set_state(peer, PeerState::Lost { redial_at });
        if failed_dials == self.settings.max_dials {
            self.actions.push(LinkAction::PeerLost { peer });
        }
    }

    /// Dials again. While the own link is suspect, failed dials do not count.
    fn dial_again(&mut self, now: Instant, peer: SocketAddr, failed_dials: u32) {
        let counted_dials = if self.is_own_link_suspect {
            0
        } else {
            failed_dials
        };
        self.dial(now, peer, counted_dials);
    }

    fn suspect_own_link_if_majority_is_silent(&mut self) {
        let is_majority_silent = self.silent_peers >= self.settings.own_link_min_peers
            && 2 * self.silent_peers > self.peers.len();
        if is_majority_silent && !self.is_own_link_suspect {
            self.is_own_link_suspect = true;
            self.actions.push(LinkAction::OwnLinkSuspect);
        }
    }

    /// Stops suspecting the own link and restarts the dials in progress, without
    /// counting earlier failures.
    fn clear_own_link_suspicion(&mut self, now: Instant) {
        self.is_own_link_suspect = false;
        self.actions.push(LinkAction::OwnLinkRecovered);
        let is_dialling =
            |connection: &Peer| matches!(connection.state, PeerState::Dialling { .. });
        let dialling = self
            .peers
            .iter()
            .filter(|(_, connection)| is_dialling(connection));
        let peers: Vec<SocketAddr> = dialling.map(|(&peer, _)| peer).collect();
        for peer in peers {
            self.dial(now, peer, 0);
        }
    }

    fn set_state(&mut self, peer: SocketAddr, state: PeerState) {
        let Some(connection) = self.peers.get_mut(&peer) else {
            return;
        };
        let was_silent = usize::from(!connection.state.is_live());
        let is_silent = usize::from(!state.is_live());
        self.silent_peers = self.silent_peers + is_silent - was_silent;
        connection.state = state;
        let due = connection.due(&self.settings);
        self.timers.arm(&mut connection.timer, peer, due);
    }
}
