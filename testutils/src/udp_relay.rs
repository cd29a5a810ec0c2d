//! A UDP relay whose open flows can go silent for good.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// The size of the largest packet, in bytes.
const PACKET_BYTES: usize = 64 * 1024;

/// One sender's way to the target.
#[derive(Clone)]
enum Flow {
    /// Packets are forwarded over this socket.
    Open(Arc<UdpSocket>),
    /// Packets are swallowed.
    Silent,
}

type Flows = Arc<Mutex<HashMap<SocketAddr, Flow>>>;

/// Forwards packets to a target until it is told to lose track of their senders.
pub struct UdpRelay {
    address: SocketAddr,
    target: SocketAddr,
    flows: Flows,
    task: JoinHandle<()>,
}

impl UdpRelay {
    /// Starts to forward packets that arrive at `address` to `target`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let socket = UdpSocket::bind(address).await;
        let socket = Arc::new(socket.expect("the address can be bound"));
        let flows = Flows::default();
        let task = tokio::spawn(forward(socket, target, Arc::clone(&flows)));
        Self {
            address,
            target,
            flows,
            task,
        }
    }

    /// Returns the address at which packets arrive.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that packets are forwarded to.
    pub const fn target(&self) -> SocketAddr {
        self.target
    }

    /// Swallows every packet of the senders that were seen up to now, in both directions.
    ///
    /// Packets from other sockets are forwarded.
    pub fn silence_open_flows(&self) {
        let mut flows = self.flows.lock().unwrap_or_else(PoisonError::into_inner);
        for flow in flows.values_mut() {
            *flow = Flow::Silent;
        }
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(socket: Arc<UdpSocket>, target: SocketAddr, flows: Flows) {
    let mut buffer = vec![0; PACKET_BYTES];
    loop {
        let Ok((len, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let known = find(&flows, sender);
        let flow = match known {
            Some(flow) => flow,
            None => open(&socket, target, sender, &flows).await,
        };
        if let Flow::Open(outgoing) = flow {
            let _ = outgoing.send(&buffer[..len]).await;
        }
    }
}

fn find(flows: &Flows, sender: SocketAddr) -> Option<Flow> {
    let flows = flows.lock().unwrap_or_else(PoisonError::into_inner);
    flows.get(&sender).cloned()
}

async fn open(
    socket: &Arc<UdpSocket>,
    target: SocketAddr,
    sender: SocketAddr,
    flows: &Flows,
) -> Flow {
    let Ok(outgoing) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
        return Flow::Silent;
    };
    if outgoing.connect(target).await.is_err() {
        return Flow::Silent;
    }
    let outgoing = Arc::new(outgoing);
    let flow = Flow::Open(Arc::clone(&outgoing));
    flows
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(sender, flow.clone());
    tokio::spawn(send_back(
        Arc::clone(socket),
        outgoing,
        sender,
        Arc::clone(flows),
    ));
    flow
}

async fn send_back(
    socket: Arc<UdpSocket>,
    outgoing: Arc<UdpSocket>,
    sender: SocketAddr,
    flows: Flows,
) {
    let mut buffer = vec![0; PACKET_BYTES];
    loop {
        let Ok(len) = outgoing.recv(&mut buffer).await else {
            return;
        };
        if !matches!(find(&flows, sender), Some(Flow::Open(_))) {
            return;
        }
        let _ = socket.send_to(&buffer[..len], sender).await;
    }
}
