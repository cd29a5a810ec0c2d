//! HTTP/1 connections to upstreams, and the pool of idle ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONNECTION;
use hyper_util::rt::TokioIo;
use jujubewall_http_client::HeadFault;
use jujubewall_http_client::check_head;
use jujubewall_routing::fleet::instances::InstanceKey;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::gateway::answer::KEEP_ALIVE;
use crate::gateway::upstream_socket::HeadLimit;
use crate::gateway::upstream_socket::SocketTakeover;
use crate::gateway::upstream_socket::UpstreamSocket;

/// The timeout for opening a connection to an upstream. The round trip is a few
/// milliseconds, and the upstream may need some time to accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time for which an idle connection is kept if the upstream states none.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(2);

/// The fraction of the upstream's stated keep-alive time for which an idle connection is
/// kept, so that the upstream does not close it just as it is used again.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// The size in bytes of a connection's read buffer, and so of the largest head of an answer. It
/// is the smallest one that the HTTP library allows.
const MAX_READ_BUFFER_BYTES: usize = 8 * 1024;

/// The largest number of idle connections that are kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

/// The reason why a request got no answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SendFault {
    /// No connection was opened, so nothing was sent.
    #[error("no connection")]
    NotConnected,
    /// The request may have reached the upstream.
    #[error("connection lost")]
    Lost,
    /// The upstream answered, but not in a way that shows how the request ended.
    #[error("{0}")]
    BadHead(HeadFault),
}

/// A connection to one upstream, closed on drop.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    takeover: SocketTakeover,
    driver: JoinHandle<()>,
    max_idle: Duration,
    is_reusable: bool,
    /// The number of requests that were sent over it.
    sends: u32,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, SendFault> {
        let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(socket)) = socket else {
            return Err(SendFault::NotConnected);
        };
        socket
            .set_nodelay(true)
            .map_err(|_| SendFault::NotConnected)?;
        let head_limit = HeadLimit::default();
        let takeover = SocketTakeover::default();
        let socket = UpstreamSocket::new(socket, head_limit.clone(), takeover.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|_| SendFault::NotConnected)?;
        let driver = spawn_local(async move {
            // A connection error also fails the request on it, so it is handled there.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            head_limit,
            takeover,
            driver,
            max_idle: DEFAULT_MAX_IDLE,
            is_reusable: true,
            sends: 0,
        })
    }

    /// Returns a handle that takes over the socket when the connection is dropped.
    pub fn takeover(&self) -> SocketTakeover {
        self.takeover.clone()
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFault> {
        self.sends = self.sends.saturating_add(1);
        self.head_limit.begin_head();
        let answer = self.sender.try_send_request(request).await;
        self.head_limit.end_head();
        match answer {
            Ok(answer) => {
                check_head(&answer).map_err(SendFault::BadHead)?;
                self.update_keep_alive(answer.headers());
                Ok(answer)
            }
            Err(mut failure) => match failure.take_message() {
                Some(_) => Err(SendFault::NotConnected),
                None => Err(SendFault::Lost),
            },
        }
    }

    /// Returns whether a refusal certainly refuses the request that was sent last, given the
    /// identifiers of the request that the refusal names and of the one that was sent.
    ///
    /// A faulty upstream may write an earlier refusal once more. One that names no request
    /// is therefore believed only on a connection without earlier requests. A connection is
    /// not kept after a refusal, so one that names the request is not a copy.
    pub fn is_own_refusal(&self, refused_id: Option<&str>, sent_id: &str) -> bool {
        match refused_id {
            Some(refused_id) if !refused_id.is_empty() => refused_id == sent_id,
            _ => self.sends == 1,
        }
    }

    /// Reads from an answer's headers how long the upstream keeps the connection open.
    fn update_keep_alive(&mut self, headers: &HeaderMap) {
        let closes = headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .any(|value| value.to_ascii_lowercase().contains("close"));
        if closes {
            self.is_reusable = false;
        }
        let stated_timeout = headers
            .get(KEEP_ALIVE)
            .and_then(|value| value.to_str().ok())
            .and_then(keep_alive_timeout);
        if let Some(stated_timeout) = stated_timeout {
            self.max_idle = stated_timeout.mul_f64(KEEP_ALIVE_FRACTION);
        }
    }
}

/// Reads the timeout of a `Keep-Alive` header, in whole seconds.
fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let stated_timeout = value
        .split(',')
        .find_map(|field| field.trim().strip_prefix("timeout="))?;
    stated_timeout.trim().parse().ok().map(Duration::from_secs)
}

/// An idle connection, with the time since which no request uses it.
struct Idle {
    connection: Connection,
    since: Instant,
}

/// The pool of idle connections to upstreams.
pub struct ConnectionPool {
    idle: RefCell<HashMap<InstanceKey, VecDeque<Idle>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self {
            idle: RefCell::new(HashMap::new()),
        }
    }

    /// Takes the connection that has been idle for longest.
    ///
    /// Stray bytes, which belong to no request, have had the most time to arrive on it, and
    /// would have closed it.
    pub fn take(&self, key: InstanceKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(&key)?;
        while let Some(Idle { connection, since }) = queue.pop_front() {
            let is_usable = since.elapsed() < connection.max_idle && connection.sender.is_ready();
            if is_usable {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. Its last answer must have been read to its end.
    pub fn put(&self, key: InstanceKey, connection: Connection) {
        if !connection.is_reusable || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let queue = idle.entry(key).or_default();
        if queue.len() < MAX_IDLE_PER_UPSTREAM {
            queue.push_back(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        self.idle.borrow_mut().retain(|_, queue| {
            queue.retain(|idle| {
                idle.since.elapsed() < idle.connection.max_idle
                    && !idle.connection.sender.is_closed()
            });
            !queue.is_empty()
        });
    }

    /// Closes the idle connections to one upstream.
    pub fn close_idle(&self, key: InstanceKey) {
        self.idle.borrow_mut().remove(&key);
    }
}
