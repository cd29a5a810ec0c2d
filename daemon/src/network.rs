//! Connections between the system's own processes.
//!
//! Messages are sent to the address at which the receiver accepts connections.
//! A connection that was accepted from a peer also carries messages to it. All
//! messages may be lost, late or reordered; the decisions that use them are
//! built for that.

pub mod actor;
mod connection;
mod dial;
pub mod error;
mod handshake;
mod lane;
mod peer;
pub mod tls;

use std::net::SocketAddr;
use std::sync::Arc;

use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::message::Message;
use kameo::actor::ActorRef;
use kameo::actor::Spawn as _;
use tokio::sync::mpsc;

use crate::metrics::Metrics;
use crate::network::actor::MeasureRoundTrips;
use crate::network::actor::NetworkActor;
use crate::network::actor::Outbound;
use crate::network::actor::Redial;
use crate::network::actor::ReplaceIdentity;
use crate::network::actor::RoundTrip;
use crate::network::error::NetworkError;
use crate::network::tls::Identity;

/// The number of events that wait for their reader before the network slows down.
pub const EVENT_QUEUE_LEN: usize = 16 * 1024;

/// What the network tells the rest of the process.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A message has arrived.
    Received {
        /// The sender.
        from: Arc<Hello>,
        /// The message.
        message: Box<Message>,
    },
    /// A peer has been reached or has reached this process.
    Connected(Arc<Hello>),
    /// A peer does not answer over a new connection either.
    Lost(SocketAddr),
    /// Many peers fell silent together, which speaks of this process's own link.
    OwnLinkSuspect,
}

/// A handle on the network.
#[derive(Clone, Debug)]
pub struct Network {
    own_address: SocketAddr,
    actor: ActorRef<NetworkActor>,
}

impl Network {
    /// Binds the socket, starts accepting peers and returns the stream of events.
    ///
    /// Peers are told the address in `hello`; without a `bind_address` it is bound too.
    pub fn start(
        hello: Hello,
        bind_address: Option<SocketAddr>,
        identity: Identity,
        metrics: Arc<Metrics>,
    ) -> Result<(Self, mpsc::Receiver<NetworkEvent>), NetworkError> {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
        let bind_address = bind_address.unwrap_or(hello.peer_address);
        let endpoint = dial::server_endpoint(bind_address, &identity)?;
        let own_address = match hello.peer_address.port() {
            0 => endpoint.local_addr().map_err(NetworkError::Bind)?,
            _ => hello.peer_address,
        };
        let hello = Hello {
            peer_address: own_address,
            ..hello
        };
        let state = NetworkActor::new(hello, identity, endpoint, events, metrics);
        let actor = NetworkActor::spawn(state);
        Ok((Self { own_address, actor }, receiver))
    }

    /// Returns the address at which this process accepts connections.
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Sends a message without waiting; a message that cannot be sent is dropped and counted.
    pub fn send(&self, to: SocketAddr, message: impl Into<Message>) {
        let outbound = Outbound {
            to,
            message: Box::new(message.into()),
        };
        // A full mailbox means that the process is overloaded; senders then rely
        // on their own timeouts, as with any lost message.
        let _ = self.actor.tell(outbound).try_send();
    }

    /// Makes a connection to a peer from a new socket and judges the peer by it.
    pub fn redial(&self, to: SocketAddr) {
        let _ = self.actor.tell(Redial { to }).try_send();
    }

    /// Returns the time that a packet takes to each connected peer and back.
    pub async fn round_trips(&self) -> Vec<RoundTrip> {
        let asked = self.actor.ask(MeasureRoundTrips).send().await;
        asked.unwrap_or_default()
    }

    /// Uses another certificate for every connection from now on.
    pub async fn replace_identity(&self, identity: Identity) {
        let _ = self.actor.tell(ReplaceIdentity(identity)).send().await;
    }

    /// Closes every connection after what was sent has left.
    pub async fn shut_down(&self) {
        if self.actor.stop_gracefully().await.is_ok() {
            self.actor.wait_for_shutdown().await;
        }
    }
}
