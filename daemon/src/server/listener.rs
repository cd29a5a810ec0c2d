//! Accepts HTTP connections within limits.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use jujubewall_routing::fleet::request_memory::Need;
use log::info;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::metered_socket::MeteredSocket;
use crate::metrics::Metrics;
use crate::request_memory::RequestShare;
use crate::request_memory::SharedRequestMemory;
use crate::server::answer::Answer;
use crate::server::answer::AnswerBody;

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between checks whether a connection has to give way to one that waits for its
/// place.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The window of an HTTP/2 connection and of its streams, in bytes. What a client sends without
/// being read is held up to it.
const HTTP2_WINDOW_BYTES: u32 = 64 * 1024;

/// The limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The largest number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// The largest header section of a request, in bytes.
    pub max_header_bytes: usize,
    /// The time within which the header section must arrive.
    pub header_timeout: Duration,
}

/// A running HTTP listener.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Starts to serve `handler` on a bound socket.
    pub fn start<H, F>(
        socket: TcpListener,
        limits: ConnectionLimits,
        metrics: &Arc<Metrics>,
        handler: H,
    ) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let address = socket.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_loop(
            socket,
            limits,
            Arc::clone(metrics),
            handler,
            stopped,
        ));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address of the socket.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until requests in progress have ended.
    ///
    /// Returns whether all ended within `grace`.
    pub async fn drain(self, grace: Duration) -> bool {
        let _ = self.stop.send(true);
        timeout(grace, self.task).await.is_ok()
    }
}

/// The requests in progress on a connection, which may give way to others while there are none.
struct ConnectionRequests {
    share: Arc<RequestShare>,
    count: Mutex<usize>,
}

impl ConnectionRequests {
    /// Creates the state of a connection that has just been accepted.
    fn new(waiting: &Arc<SharedRequestMemory>) -> Self {
        let share = Arc::new(RequestShare::new(waiting));
        share.begin_receiving();
        Self {
            share,
            count: Mutex::new(0),
        }
    }

    /// Counts a request as in progress until the guard is dropped.
    fn begin(self: &Arc<Self>) -> ConnectionRequest {
        *self.count() += 1;
        self.share.end_receiving();
        ConnectionRequest {
            requests: Arc::clone(self),
        }
    }

    /// Waits until the connection, on which no request is in progress, has to give way.
    async fn evicted(&self) {
        loop {
            self.share.evicted().await;
            if *self.count() == 0 {
                return;
            }
        }
    }

    fn count(&self) -> MutexGuard<'_, usize> {
        self.count.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request as in progress on its connection until it is dropped.
struct ConnectionRequest {
    requests: Arc<ConnectionRequests>,
}

impl Drop for ConnectionRequest {
    fn drop(&mut self) {
        let mut count = self.requests.count();
        *count -= 1;
        if *count == 0 {
            self.requests.share.begin_receiving();
        }
    }
}

/// The body of an answer, with whose end its request ends.
struct RequestBody {
    body: AnswerBody,
    _request: ConnectionRequest,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn accept_loop<H, F>(
    socket: TcpListener,
    limits: ConnectionLimits,
    metrics: Arc<Metrics>,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    // Only decides which connection gives way; what bodies hold is counted elsewhere.
    let waiting = SharedRequestMemory::new(0);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = accept(&socket, &slots, &waiting, &metrics) => accepted,
        };
        let Some((stream, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let handler = handler.clone();
        let requests = Arc::new(ConnectionRequests::new(&waiting));
        let socket = MeteredSocket::new(stream, Arc::clone(&requests.share));
        let begun = Arc::clone(&requests);
        let service = service_fn(move |request| {
            let request_guard = begun.begin();
            let answer = handler(request);
            async move {
                // The request ends with the body of its answer.
                let answer = answer.await.map(|body| RequestBody {
                    body,
                    _request: request_guard,
                });
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = connection_builder(limits)
            .serve_connection(TokioIo::new(socket), service)
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                _ = watched => {}
                () = requests.evicted() => {}
            }
            drop(slot);
        });
    }
    drop(socket);
    graceful.shutdown().await;
}

async fn accept(
    socket: &TcpListener,
    slots: &Arc<Semaphore>,
    waiting: &SharedRequestMemory,
    metrics: &Metrics,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let (stream, _) = socket.accept().await.ok()?;
    let slot = loop {
        let slot = Arc::clone(slots).acquire_owned();
        if let Ok(slot) = timeout(SLOT_CHECK_INTERVAL, slot).await {
            break slot.ok()?;
        }
        if waiting.evict(Need::Connection) {
            metrics.count_limit("connection_evicted");
            info!("event=connection_evicted reason=\"it waited while others could not connect\"");
        }
    };
    let _ = stream.set_nodelay(true);
    Some((stream, slot))
}

fn connection_builder(limits: ConnectionLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(limits.max_header_bytes)
        .header_read_timeout(limits.header_timeout);
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    builder
}
