//! What the network keeps for each peer.

use std::time::Duration;

use jujubewall_protocol::frame::Frame;
use smallvec::SmallVec;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::network::connection::ConnectionHandle;
use crate::network::connection::ConnectionId;

/// The number of frames that may wait for a connection.
const PENDING_LEN: usize = 1024;

/// The time that a replaced connection has to deliver what it carries.
const RETIRE_TIME: Duration = Duration::from_secs(2);

/// The connections of one peer and the frames that wait for one.
#[derive(Debug, Default)]
pub struct Peer {
    connections: SmallVec<[ConnectionHandle; 2]>,
    pending: Vec<Frame>,
    replaced: SmallVec<[ConnectionId; 2]>,
    is_dialling: bool,
    dial_allowed_at: Option<Instant>,
    received: u64,
}

impl Peer {
    /// Sends a frame over the newest connection, or keeps it until there is one.
    ///
    /// Returns whether the frame was sent or kept.
    pub fn send(&mut self, frame: Frame) -> bool {
        if let Some(connection) = self.connections.last() {
            return connection.send(&frame);
        }
        if self.pending.len() >= PENDING_LEN {
            return false;
        }
        self.pending.push(frame);
        true
    }

    /// Returns whether a dial has to be started at `now`.
    pub fn needs_dial(&self, now: Instant) -> bool {
        let may_dial = self.dial_allowed_at.is_none_or(|at| at <= now);
        self.connections.is_empty() && !self.is_dialling && may_dial
    }

    /// Returns whether a dial is under way.
    pub fn is_dialling(&self) -> bool {
        self.is_dialling
    }

    /// Returns whether a frame was received since the last call.
    pub fn has_received(&mut self) -> bool {
        let received = self
            .connections
            .iter()
            .map(ConnectionHandle::received)
            .sum();
        let has_received = received > self.received;
        self.received = received;
        has_received
    }

    /// Notes that a dial has been started, which replaces the connections of now.
    ///
    /// Two processes that dial each other at once keep both connections.
    pub fn on_dial_started(&mut self) {
        self.is_dialling = true;
        self.replaced = self.connections.iter().map(ConnectionHandle::id).collect();
    }

    /// Notes that a dial has failed and when the next one may start.
    ///
    /// Returns the number of frames that are dropped for it.
    pub fn on_dial_failed(&mut self, dial_allowed_at: Instant) -> usize {
        self.is_dialling = false;
        self.dial_allowed_at = Some(dial_allowed_at);
        let dropped = self.pending.len();
        self.pending.clear();
        dropped
    }

    /// Takes a new connection into use and sends what waited for it.
    pub fn on_connected(&mut self, connection: ConnectionHandle, was_dialled: bool) {
        if was_dialled {
            self.is_dialling = false;
            self.dial_allowed_at = None;
            self.retire_replaced();
        }
        for frame in self.pending.drain(..) {
            connection.send(&frame);
        }
        self.connections.push(connection);
    }

    /// Closes the replaced connections after what they still carry has arrived.
    fn retire_replaced(&mut self) {
        let replaced = std::mem::take(&mut self.replaced);
        let is_replaced = |connection: &ConnectionHandle| replaced.contains(&connection.id());
        for connection in self.connections.drain(..).collect::<Vec<_>>() {
            if is_replaced(&connection) {
                tokio::spawn(close_later(connection));
            } else {
                self.connections.push(connection);
            }
        }
    }

    /// Forgets a closed connection.
    pub fn on_closed(&mut self, id: ConnectionId) {
        self.connections.retain(|connection| connection.id() != id);
    }

    /// Closes every connection, so that the next frame goes over a new one.
    pub fn close_all(&mut self) {
        for connection in self.connections.drain(..) {
            connection.close();
        }
    }

    /// Returns the newest connection.
    pub fn newest(&self) -> Option<&ConnectionHandle> {
        self.connections.last()
    }

    /// Returns whether nothing is kept for the peer.
    pub fn is_idle(&self) -> bool {
        self.connections.is_empty() && self.pending.is_empty() && !self.is_dialling
    }
}

async fn close_later(connection: ConnectionHandle) {
    sleep(RETIRE_TIME).await;
    connection.close();
}
