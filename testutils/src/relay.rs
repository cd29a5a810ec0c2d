//! A TCP relay whose open connections can go silent for good, and that can be cut for a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Forwards connections to a target until it is told to swallow what they carry.
pub struct Relay {
    address: SocketAddr,
    silenced: Arc<watch::Sender<u64>>,
    cuts: watch::Sender<Duration>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts to forward connections from `listener` to `target`.
    ///
    /// # Panics
    ///
    /// Panics if the listener has no local address.
    pub fn new(listener: TcpListener, target: SocketAddr) -> Self {
        let address = listener.local_addr().expect("a listener has an address");
        let silenced = Arc::new(watch::Sender::new(0));
        let cuts = watch::Sender::new(Duration::ZERO);
        let coming = cuts.subscribe();
        let task = tokio::spawn(accept_all(listener, target, Arc::clone(&silenced), coming));
        Self {
            address,
            silenced,
            cuts,
            task,
        }
    }

    /// Returns the address at which the relay accepts connections.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes every open connection swallow all bytes while staying open.
    ///
    /// Connections that are opened later work.
    pub fn silence_open_connections(&self) {
        self.silenced.send_modify(|generation| *generation += 1);
    }

    /// Breaks all open connections and refuses others for a time.
    pub fn cut(&self, span: Duration) {
        self.cuts.send_replace(span);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(
    mut listener: TcpListener,
    target: SocketAddr,
    silenced: Arc<watch::Sender<u64>>,
    mut cuts: watch::Receiver<Duration>,
) {
    let address = listener.local_addr().expect("a listener has an address");
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(forward(stream, target, silenced.subscribe()));
            }
            Ok(()) = cuts.changed() => {
                let span = *cuts.borrow_and_update();
                drop(listener);
                connections.shutdown().await;
                sleep(span).await;
                listener = TcpListener::bind(address).await.expect("the address is free");
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(inbound: TcpStream, target: SocketAddr, silenced: watch::Receiver<u64>) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    tokio::join!(
        copy(inbound_read, outbound_write, silenced.clone()),
        copy(outbound_read, inbound_write, silenced),
    );
}

/// Copies one direction; after the silence it only reads, so that the sender notices nothing.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, silenced: watch::Receiver<u64>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(len) = from.read(&mut buffer).await {
        let is_silent = silenced.has_changed().unwrap_or(true);
        if len == 0 {
            break;
        }
        if !is_silent && to.write_all(&buffer[..len]).await.is_err() {
            break;
        }
    }
}
