//! The queue of simulated events.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jujubewall_protocol::stream::StreamMessage;
use jujubewall_routing::stream::action::RerouteRequest;
use tokio::time::Instant;

use super::engine_host::EngineCall;

/// An event of the simulation.
pub(super) enum Event {
    /// A message arrives.
    Message {
        from: SocketAddr,
        to: SocketAddr,
        message: StreamMessage,
    },
    /// An entry's request for a route is answered.
    Route {
        entry: usize,
        reroute: Box<RerouteRequest>,
    },
    /// Membership reports to an entry that a process is dead.
    PeerLost { entry: usize, peer: SocketAddr },
    /// An engine or admission answers.
    Engine { agent: usize, call: EngineCall },
}

/// Events in the order of their instants; events of one instant keep the order of insertion.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    pub(super) fn next(&self) -> Option<Instant> {
        self.events.keys().next().map(|&(at, _)| at)
    }

    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Event> {
        let first = self.events.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }
}
