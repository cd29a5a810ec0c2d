//! The tasks that read and write one connection.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_protocol::codec;
use jujubewall_protocol::frame::Frame;
use jujubewall_protocol::hello::Hello;
use jujubewall_types::id::MemberName;
use kameo::actor::ActorRef;
use log::debug;
use quinn::Connection;
use quinn::RecvStream;
use quinn::SendStream;
use tokio::sync::mpsc;

use crate::network::NetworkEvent;
use crate::network::actor::ConnectionClosed;
use crate::network::actor::NetworkActor;
use crate::network::error::NetworkError;
use crate::network::handshake::Introduced;
use crate::network::lane::Lane;
use crate::network::lane::read_frame;
use crate::network::lane::write_frame;

/// The number of frames that may wait to be written on one lane.
const LANE_QUEUE_LEN: usize = 4 * 1024;

/// Distinguishes the connections of one process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// What the readers of a connection need.
#[derive(Clone)]
struct Reader {
    id: ConnectionId,
    hello: Arc<Hello>,
    received: Arc<AtomicU64>,
    reply: mpsc::Sender<Bytes>,
    events: mpsc::Sender<NetworkEvent>,
}

/// A connection that frames can be written to.
#[derive(Debug)]
pub struct ConnectionHandle {
    id: ConnectionId,
    hello: Arc<Hello>,
    received: Arc<AtomicU64>,
    connection: Connection,
    control: mpsc::Sender<Bytes>,
    data: mpsc::Sender<Bytes>,
}

impl ConnectionHandle {
    /// Starts the tasks of an introduced connection.
    pub fn start(
        id: ConnectionId,
        introduced: Introduced,
        events: mpsc::Sender<NetworkEvent>,
        actor: ActorRef<NetworkActor>,
    ) -> Self {
        let (control, control_queue) = mpsc::channel(LANE_QUEUE_LEN);
        let (data, data_queue) = mpsc::channel(LANE_QUEUE_LEN);
        let received = Arc::new(AtomicU64::new(0));
        let reader = Reader {
            id,
            hello: Arc::clone(&introduced.hello),
            received: Arc::clone(&received),
            reply: control.clone(),
            events,
        };
        tokio::spawn(write_control(introduced.control_out, control_queue));
        tokio::spawn(write_data(introduced.connection.clone(), data_queue));
        tokio::spawn(read_lane(reader.clone(), introduced.control_in));
        tokio::spawn(accept_lanes(reader, introduced.connection.clone(), actor));
        Self {
            id,
            hello: introduced.hello,
            received,
            connection: introduced.connection,
            control,
            data,
        }
    }

    /// Returns the identifier of the connection.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the name of the peer.
    pub fn member(&self) -> &MemberName {
        &self.hello.member
    }

    /// Returns the number of frames that have been received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the time that a packet takes to the peer and back.
    pub fn round_trip(&self) -> Duration {
        self.connection.rtt()
    }

    /// Queues a frame; returns whether there was room.
    pub fn send(&self, frame: &Frame) -> bool {
        let Ok(body) = codec::encode(frame) else {
            return false;
        };
        match Lane::of(frame, body.len()) {
            Lane::Control => self.control.try_send(body).is_ok(),
            Lane::Data => self.data.try_send(body).is_ok(),
            Lane::Bulk => {
                tokio::spawn(write_bulk(self.connection.clone(), body));
                true
            }
        }
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.connection.close(0_u32.into(), b"closed");
    }
}

async fn write_control(mut stream: SendStream, mut queue: mpsc::Receiver<Bytes>) {
    while let Some(body) = queue.recv().await {
        if write_frame(&mut stream, body).await.is_err() {
            return;
        }
    }
    let _ = stream.finish();
}

async fn write_data(connection: Connection, mut queue: mpsc::Receiver<Bytes>) {
    let Some(first) = queue.recv().await else {
        return;
    };
    let Ok(mut stream) = connection.open_uni().await else {
        return;
    };
    let mut next = Some(first);
    while let Some(body) = next {
        if write_frame(&mut stream, body).await.is_err() {
            return;
        }
        next = queue.recv().await;
    }
    let _ = stream.finish();
}

async fn write_bulk(connection: Connection, body: Bytes) {
    let Ok(mut stream) = connection.open_uni().await else {
        return;
    };
    if write_frame(&mut stream, body).await.is_ok() {
        let _ = stream.finish();
        let _ = stream.stopped().await;
    }
}

async fn accept_lanes(reader: Reader, connection: Connection, actor: ActorRef<NetworkActor>) {
    let id = reader.id;
    let address = reader.hello.peer_address;
    while let Ok(stream) = connection.accept_uni().await {
        tokio::spawn(read_lane(reader.clone(), stream));
    }
    let _ = actor.tell(ConnectionClosed { id, address }).send().await;
}

async fn read_lane(reader: Reader, mut stream: RecvStream) {
    loop {
        match read_next(&reader, &mut stream).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => {
                debug!("lane from {} ended: {error}", reader.hello.member);
                return;
            }
        }
    }
}

async fn read_next(reader: &Reader, stream: &mut RecvStream) -> Result<bool, NetworkError> {
    let Some(body) = read_frame(stream).await? else {
        return Ok(false);
    };
    reader.received.fetch_add(1, Ordering::Relaxed);
    match codec::decode(&body)? {
        Frame::Hello(_) => return Err(NetworkError::Refused("a second introduction")),
        Frame::Ping { sequence } => {
            let pong = codec::encode(&Frame::Pong { sequence })?;
            let _ = reader.reply.try_send(pong);
        }
        Frame::Pong { .. } => {}
        Frame::Message(message) => {
            let event = NetworkEvent::Received {
                from: Arc::clone(&reader.hello),
                message,
            };
            if reader.events.send(event).await.is_err() {
                return Ok(false);
            }
        }
    }
    Ok(true)
}
