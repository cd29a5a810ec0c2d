//! The actor that owns the connections of a process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_protocol::frame::Frame;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::message::Message;
use jujubewall_types::id::MemberName;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::error::ActorStopReason;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use log::info;
use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::network::NetworkEvent;
use crate::network::connection::ConnectionHandle;
use crate::network::connection::ConnectionId;
use crate::network::dial;
use crate::network::error::NetworkError;
use crate::network::handshake::Introduced;
use crate::network::handshake::introduce;
use crate::network::peer::Peer;
use crate::network::tls::Identity;

/// The time between a failed dial and the next one to the same peer.
const REDIAL_INTERVAL: Duration = Duration::from_millis(200);

/// The time that connections get to send what they hold when the process stops.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Owns the sockets, the table of peers and their connections.
#[derive(Debug)]
pub struct NetworkActor {
    own: Hello,
    identity: Identity,
    server: Endpoint,
    client: Option<Endpoint>,
    peers: HashMap<SocketAddr, Peer>,
    next_connection: u64,
    events: mpsc::Sender<NetworkEvent>,
    dropped_frames: u64,
}

/// Asks for a message to be sent.
#[derive(Debug)]
pub struct Outbound {
    /// The receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Box<Message>,
}

/// Tells that a connection can be used.
pub struct Connected {
    /// The connection.
    pub introduced: Introduced,
    /// Whether this process dialled.
    pub was_dialled: bool,
}

/// Tells that a peer could not be dialled.
pub struct DialFailed {
    /// The address that was dialled.
    pub address: SocketAddr,
    /// The reason.
    pub error: NetworkError,
}

/// Tells that a connection has ended.
pub struct ConnectionClosed {
    /// The connection.
    pub id: ConnectionId,
    /// The address of the peer.
    pub address: SocketAddr,
}

/// Asks for another certificate to be used.
#[derive(Debug)]
pub struct ReplaceIdentity(pub Identity);

/// Asks how far away the connected peers are.
#[derive(Debug)]
pub struct MeasureRoundTrips;

/// The time that a packet takes to a peer and back.
#[derive(Clone, Debug)]
pub struct RoundTrip {
    /// The peer.
    pub member: MemberName,
    /// The time.
    pub time: Duration,
}

impl NetworkActor {
    /// Creates the actor around the bound socket.
    pub fn new(
        own: Hello,
        identity: Identity,
        server: Endpoint,
        events: mpsc::Sender<NetworkEvent>,
    ) -> Self {
        Self {
            own,
            identity,
            server,
            client: None,
            peers: HashMap::new(),
            next_connection: 0,
            events,
            dropped_frames: 0,
        }
    }

    fn send(&mut self, to: SocketAddr, message: Box<Message>, actor: &ActorRef<Self>) {
        if to == self.own.peer_address {
            self.deliver_to_self(message);
            return;
        }
        let peer = self.peers.entry(to).or_default();
        if !peer.send(Frame::Message(message)) {
            self.dropped_frames += 1;
        }
        if peer.needs_dial(Instant::now()) {
            self.start_dial(to, actor.clone());
        }
    }

    fn deliver_to_self(&mut self, message: Box<Message>) {
        let event = NetworkEvent::Received {
            from: Arc::new(self.own.clone()),
            message,
        };
        if self.events.try_send(event).is_err() {
            self.dropped_frames += 1;
        }
    }

    fn start_dial(&mut self, to: SocketAddr, actor: ActorRef<Self>) {
        let endpoint = match self.client_endpoint() {
            Ok(endpoint) => endpoint,
            Err(error) => {
                self.on_dial_failed(to, &error);
                return;
            }
        };
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.on_dial_started();
        }
        let own = self.own.clone();
        tokio::spawn(async move {
            let _ = match dial_peer(endpoint, to, &own).await {
                Ok(introduced) => {
                    let connected = Connected {
                        introduced,
                        was_dialled: true,
                    };
                    actor.tell(connected).send().await.is_ok()
                }
                Err(error) => {
                    let failed = DialFailed { address: to, error };
                    actor.tell(failed).send().await.is_ok()
                }
            };
        });
    }

    fn client_endpoint(&mut self) -> Result<Endpoint, NetworkError> {
        if let Some(endpoint) = &self.client {
            return Ok(endpoint.clone());
        }
        let endpoint = dial::client_endpoint(self.own.peer_address, &self.identity)?;
        self.client = Some(endpoint.clone());
        Ok(endpoint)
    }

    fn on_dial_failed(&mut self, address: SocketAddr, error: &NetworkError) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let dropped = peer.on_dial_failed(Instant::now() + REDIAL_INTERVAL);
        self.dropped_frames += dropped as u64;
        info!("peer {address} cannot be reached: {error}");
        let _ = self.events.try_send(NetworkEvent::Lost(address));
    }
}

async fn dial_peer(
    endpoint: Endpoint,
    to: SocketAddr,
    own: &Hello,
) -> Result<Introduced, NetworkError> {
    let connection = dial::dial(endpoint, to).await?;
    introduce(connection, own).await
}

async fn accept_peers(endpoint: Endpoint, own: Hello, actor: ActorRef<NetworkActor>) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(accept_peer(incoming, own.clone(), actor.clone()));
    }
}

async fn accept_peer(incoming: quinn::Incoming, own: Hello, actor: ActorRef<NetworkActor>) {
    let address = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            info!("a peer at {address} is refused: {error}");
            return;
        }
    };
    match introduce(connection, &own).await {
        Ok(introduced) => {
            let connected = Connected {
                introduced,
                was_dialled: false,
            };
            let _ = actor.tell(connected).send().await;
        }
        Err(error) => info!("a peer at {address} is refused: {error}"),
    }
}

impl Actor for NetworkActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(state: Self, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(accept_peers(state.server.clone(), state.own.clone(), actor));
        Ok(state)
    }

    async fn on_stop(
        &mut self,
        _: WeakActorRef<Self>,
        _: ActorStopReason,
    ) -> Result<(), Infallible> {
        for peer in self.peers.values_mut() {
            peer.close_all();
        }
        self.server.close(0_u32.into(), b"stopped");
        let endpoints = [Some(self.server.clone()), self.client.take()];
        for endpoint in endpoints.into_iter().flatten() {
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
        }
        Ok(())
    }
}

impl Handle<Outbound> for NetworkActor {
    type Reply = ();

    async fn handle(&mut self, outbound: Outbound, context: &mut Context<Self, ()>) {
        self.send(outbound.to, outbound.message, context.actor_ref());
    }
}

impl Handle<Connected> for NetworkActor {
    type Reply = ();

    async fn handle(&mut self, connected: Connected, context: &mut Context<Self, ()>) {
        let hello = Arc::clone(&connected.introduced.hello);
        let id = ConnectionId(self.next_connection);
        self.next_connection += 1;
        let connection = ConnectionHandle::start(
            id,
            connected.introduced,
            self.events.clone(),
            context.actor_ref().clone(),
        );
        let peer = self.peers.entry(hello.peer_address).or_default();
        peer.on_connected(connection, connected.was_dialled);
        let _ = self.events.try_send(NetworkEvent::Connected(hello));
    }
}

impl Handle<DialFailed> for NetworkActor {
    type Reply = ();

    async fn handle(&mut self, failed: DialFailed, _: &mut Context<Self, ()>) {
        self.on_dial_failed(failed.address, &failed.error);
    }
}

impl Handle<ConnectionClosed> for NetworkActor {
    type Reply = ();

    async fn handle(&mut self, closed: ConnectionClosed, _: &mut Context<Self, ()>) {
        let Some(peer) = self.peers.get_mut(&closed.address) else {
            return;
        };
        peer.on_closed(closed.id);
        if peer.is_idle() {
            self.peers.remove(&closed.address);
        }
    }
}

impl Handle<ReplaceIdentity> for NetworkActor {
    type Reply = ();

    async fn handle(&mut self, replace: ReplaceIdentity, _: &mut Context<Self, ()>) {
        match replace.0.server_config() {
            Ok(config) => self.server.set_server_config(Some(config)),
            Err(error) => {
                info!("the new TLS identity is not used: {error}");
                return;
            }
        }
        self.identity = replace.0;
        self.client = None;
    }
}

impl Handle<MeasureRoundTrips> for NetworkActor {
    type Reply = Vec<RoundTrip>;

    async fn handle(
        &mut self,
        _: MeasureRoundTrips,
        _: &mut Context<Self, Vec<RoundTrip>>,
    ) -> Vec<RoundTrip> {
        let connections = self.peers.values().filter_map(Peer::newest);
        connections
            .map(|connection| RoundTrip {
                member: connection.member().clone(),
                time: connection.round_trip(),
            })
            .collect()
    }
}
