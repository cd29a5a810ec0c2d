//! The actor that owns the connections of a process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_protocol::frame::Frame;
use jujubewall_protocol::hello::Hello;
use jujubewall_protocol::message::Message;
use jujubewall_routing::link::LinkAction;
use jujubewall_routing::link::LinkMonitor;
use jujubewall_routing::link::LinkSettings;
use jujubewall_types::id::MemberName;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::error::ActorStopReason;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use log::debug;
use log::info;
use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::alarm::Alarm;
use crate::metrics::Metrics;
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

/// The shortest time between two looks at which peers are silent.
const MONITOR_INTERVAL: Duration = Duration::from_millis(25);

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
    monitor: LinkMonitor,
    next_ping: u64,
    alarm: Option<Alarm>,
    metrics: Arc<Metrics>,
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

/// Asks for a connection from a new socket.
#[derive(Debug)]
pub struct Redial {
    /// The peer.
    pub to: SocketAddr,
}

/// The alarm has rung.
struct Wake;

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
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            own,
            identity,
            server,
            client: None,
            peers: HashMap::new(),
            next_connection: 0,
            events,
            monitor: LinkMonitor::new(LinkSettings::default()),
            next_ping: 0,
            alarm: None,
            metrics,
        }
    }

    fn send(&mut self, to: SocketAddr, message: Box<Message>, actor: &ActorRef<Self>) {
        if to == self.own.peer_address {
            self.deliver_to_self(message);
            return;
        }
        let peer = self.peers.entry(to).or_default();
        if !peer.send(Frame::Message(message)) {
            self.metrics.dropped_frames.inc();
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
            self.metrics.dropped_frames.inc();
        }
    }

    fn start_dial(&mut self, to: SocketAddr, actor: ActorRef<Self>) {
        let endpoint = match self.client_endpoint() {
            Ok(endpoint) => endpoint,
            Err(error) => {
                self.on_dial_failed(to, &error, &actor);
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

    fn on_dial_failed(
        &mut self,
        address: SocketAddr,
        error: &NetworkError,
        actor: &ActorRef<Self>,
    ) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let dropped = peer.on_dial_failed(Instant::now() + REDIAL_INTERVAL);
        self.metrics.dropped_frames.inc_by(dropped as u64);
        debug!("peer {address} cannot be dialled: {error}");
        let actions = self.monitor.on_dial_failed(Instant::now(), address);
        self.judge(actions, actor);
    }

    /// Dials a peer from a new socket, beside the connections that it has.
    fn redial(&mut self, to: SocketAddr, actor: &ActorRef<Self>) {
        if self.peers.entry(to).or_default().is_dialling() {
            return;
        }
        // The state that something in between has lost belongs to the old socket.
        self.client = None;
        self.start_dial(to, actor.clone());
    }

    fn judge(&mut self, actions: Vec<LinkAction>, actor: &ActorRef<Self>) {
        for action in actions {
            match action {
                LinkAction::Ping { peer } => self.ping(peer),
                LinkAction::Redial { peer } => self.redial(peer, actor),
                LinkAction::PeerLost { peer } => {
                    self.metrics.lost_peers.inc();
                    info!("peer {peer} is lost");
                    let _ = self.events.try_send(NetworkEvent::Lost(peer));
                }
                LinkAction::OwnLinkSuspect => {
                    self.metrics.own_link_suspicions.inc();
                    info!("many peers are silent, so the own link is suspect");
                    let _ = self.events.try_send(NetworkEvent::OwnLinkSuspect);
                }
                LinkAction::OwnLinkRecovered => info!("the own link is trusted again"),
            }
        }
        self.set_alarm();
    }

    fn ping(&mut self, peer: SocketAddr) {
        let sequence = self.next_ping;
        self.next_ping += 1;
        if let Some(connection) = self.peers.get(&peer).and_then(Peer::newest) {
            connection.send(&Frame::Ping { sequence });
        }
    }

    fn set_alarm(&self) {
        let earliest = Instant::now() + MONITOR_INTERVAL;
        let wakeup = self.monitor.next_wakeup().map(|at| at.max(earliest));
        if let Some(alarm) = &self.alarm {
            alarm.set(wakeup);
        }
    }

    /// Tells the monitor which peers were heard since the last time.
    fn note_received(&mut self, now: Instant) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        for (address, peer) in &mut self.peers {
            if peer.has_received() {
                actions.extend(self.monitor.on_received(now, *address));
            }
        }
        actions
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

async fn accept_peers(
    endpoint: Endpoint,
    own: Hello,
    actor: ActorRef<NetworkActor>,
    metrics: Arc<Metrics>,
) {
    while let Some(incoming) = endpoint.accept().await {
        let own = own.clone();
        let actor = actor.clone();
        let metrics = Arc::clone(&metrics);
        tokio::spawn(async move {
            match accept_peer(incoming, &own).await {
                Ok(connected) => {
                    let _ = actor.tell(connected).send().await;
                }
                Err(error) => {
                    metrics.refused_peers.inc();
                    debug!("a peer is refused: {error}");
                }
            }
        });
    }
}

async fn accept_peer(incoming: quinn::Incoming, own: &Hello) -> Result<Connected, NetworkError> {
    let connection = incoming
        .await
        .map_err(|error| NetworkError::Closed(error.to_string()))?;
    Ok(Connected {
        introduced: introduce(connection, own).await?,
        was_dialled: false,
    })
}

impl Actor for NetworkActor {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mut state: Self, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        state.alarm = Some(Alarm::start_for(&actor, || Wake));
        tokio::spawn(accept_peers(
            state.server.clone(),
            state.own.clone(),
            actor,
            Arc::clone(&state.metrics),
        ));
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
        let actions = self
            .monitor
            .on_connected(Instant::now(), hello.peer_address);
        let _ = self.events.try_send(NetworkEvent::Connected(hello));
        self.judge(actions, context.actor_ref());
    }
}

impl Handle<DialFailed> for NetworkActor {
    type Reply = ();

    async fn handle(&mut self, failed: DialFailed, context: &mut Context<Self, ()>) {
        self.on_dial_failed(failed.address, &failed.error, context.actor_ref());
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
            self.monitor.forget(closed.address);
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

impl Handle<Redial> for NetworkActor {
    type Reply = ();

    async fn handle(&mut self, redial: Redial, context: &mut Context<Self, ()>) {
        self.redial(redial.to, context.actor_ref());
    }
}

impl Handle<Wake> for NetworkActor {
    type Reply = ();

    async fn handle(&mut self, _: Wake, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let mut actions = self.note_received(now);
        actions.extend(self.monitor.on_tick(now));
        self.judge(actions, context.actor_ref());
    }
}
