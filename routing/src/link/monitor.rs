//! The judgement of all connections of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::link::peer::Peer;
use crate::link::peer::PeerState;
use crate::link::settings::LinkSettings;
use crate::timer::Timers;

/// What a process is to do about its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkAction {
    /// Send a message that the peer answers.
    Ping {
        /// The peer.
        peer: SocketAddr,
    },
    /// Make a new connection from a new socket; the old one stays open until then.
    ///
    /// The result goes to `on_connected` or `on_dial_failed`.
    Redial {
        /// The peer.
        peer: SocketAddr,
    },
    /// Treat the peer's process as gone: new connections to it fail too.
    PeerLost {
        /// The peer.
        peer: SocketAddr,
    },
    /// Judge nobody by silence: so many peers are silent that the own link may be lost.
    OwnLinkSuspect,
    /// Trust the own link again.
    OwnLinkBack,
}

/// The connections of one process to its peers.
#[derive(Debug)]
pub struct LinkMonitor {
    settings: LinkSettings,
    peers: BTreeMap<SocketAddr, Peer>,
    timers: Timers<SocketAddr>,
    silent_peers: usize,
    is_own_link_suspect: bool,
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

    /// Returns whether the own link is thought to be lost.
    pub const fn is_own_link_suspect(&self) -> bool {
        self.is_own_link_suspect
    }

    /// Returns the number of peers whose connection is silent.
    pub const fn silent_peers(&self) -> usize {
        self.silent_peers
    }

    /// Returns when [`Self::on_tick`] has something to do.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Notes that a connection to `peer` was made by either side.
    pub fn on_connected(&mut self, now: Instant, peer: SocketAddr) -> Vec<LinkAction> {
        self.peers.entry(peer).or_insert_with(|| Peer::live(now));
        self.on_received(now, peer)
    }

    /// Notes that a message of `peer` came.
    pub fn on_received(&mut self, now: Instant, peer: SocketAddr) -> Vec<LinkAction> {
        let Some(known) = self.peers.get(&peer) else {
            return Vec::new();
        };
        let pinged_at = match known.state {
            PeerState::Live { pinged_at, .. } => pinged_at,
            _ => now,
        };
        let state = PeerState::Live {
            received_at: now,
            pinged_at,
        };
        let was_silent = !known.state.is_live();
        self.set_state(peer, state);
        if was_silent && self.is_own_link_suspect {
            self.trust_own_link(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Notes that the dial that was asked for has failed.
    pub fn on_dial_failed(&mut self, now: Instant, peer: SocketAddr) -> Vec<LinkAction> {
        let state = self.peers.get(&peer).map(|known| known.state);
        if let Some(PeerState::Dialling { failed, .. }) = state {
            self.dial_failed(now, peer, failed + 1);
        }
        std::mem::take(&mut self.actions)
    }

    /// Forgets a peer to which no connection is wanted any more.
    pub fn forget(&mut self, peer: SocketAddr) {
        if let Some(mut known) = self.peers.remove(&peer) {
            self.silent_peers -= usize::from(!known.state.is_live());
            self.timers.disarm(&mut known.timer, peer);
        }
    }

    /// Handles the passing of time.
    pub fn on_tick(&mut self, now: Instant) -> Vec<LinkAction> {
        while let Some(peer) = self.timers.pop_due(now) {
            if let Some(known) = self.peers.get_mut(&peer) {
                known.timer.clear();
                let state = known.state;
                self.check(now, peer, state);
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn check(&mut self, now: Instant, peer: SocketAddr, state: PeerState) {
        match state {
            PeerState::Live { received_at, .. } if now >= received_at + self.settings.silence() => {
                self.dial(now, peer, 0);
                self.suspect_own_link();
            }
            PeerState::Live {
                received_at,
                pinged_at,
            } => self.ping_if_due(now, peer, received_at, pinged_at),
            PeerState::Dialling { until, failed } if now >= until => {
                self.dial_failed(now, peer, failed + 1);
            }
            PeerState::Lost { redial_at } if now >= redial_at => {
                // One further failure is enough, since the peer is already lost.
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

    fn dial(&mut self, now: Instant, peer: SocketAddr, failed: u32) {
        let until = now + self.settings.dial_timeout();
        self.set_state(peer, PeerState::Dialling { until, failed });
        self.actions.push(LinkAction::Redial { peer });
    }

    fn dial_failed(&mut self, now: Instant, peer: SocketAddr, failed: u32) {
        if failed < self.settings.max_dials || self.is_own_link_suspect {
            self.dial_again(now, peer, failed);
            return;
        }
        let redial_at = now + self.settings.lost_redial();
        self.set_state(peer, PeerState::Lost { redial_at });
        if failed == self.settings.max_dials {
            self.actions.push(LinkAction::PeerLost { peer });
        }
    }

    /// Dials again; while the own link is suspect, no failure counts against the peer.
    fn dial_again(&mut self, now: Instant, peer: SocketAddr, failed: u32) {
        let counted = if self.is_own_link_suspect { 0 } else { failed };
        self.dial(now, peer, counted);
    }

    fn suspect_own_link(&mut self) {
        let is_many = self.silent_peers >= self.settings.own_link_min_peers
            && 2 * self.silent_peers > self.peers.len();
        if is_many && !self.is_own_link_suspect {
            self.is_own_link_suspect = true;
            self.actions.push(LinkAction::OwnLinkSuspect);
        }
    }

    /// Lets every peer that is still silent be judged by new dials.
    fn trust_own_link(&mut self, now: Instant) {
        self.is_own_link_suspect = false;
        self.actions.push(LinkAction::OwnLinkBack);
        let is_dialling = |known: &Peer| matches!(known.state, PeerState::Dialling { .. });
        let dialling = self.peers.iter().filter(|(_, known)| is_dialling(known));
        let peers: Vec<SocketAddr> = dialling.map(|(&peer, _)| peer).collect();
        for peer in peers {
            self.dial(now, peer, 0);
        }
    }

    fn set_state(&mut self, peer: SocketAddr, state: PeerState) {
        let Some(known) = self.peers.get_mut(&peer) else {
            return;
        };
        let was_silent = usize::from(!known.state.is_live());
        let is_silent = usize::from(!state.is_live());
        self.silent_peers = self.silent_peers + is_silent - was_silent;
        known.state = state;
        let due = known.due(&self.settings);
        self.timers.arm(&mut known.timer, peer, due);
    }
}
